#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <sys/socket.h>

#include "soak_loop.h"

/* Sockets of the soak. */

#define BACKLOG 1024
#define SMALL_WINDOW 4096 /* bytes */

static int
open_socket(bool small_window)
{
	int size = SMALL_WINDOW;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (small_window)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	return fd;
}

static struct sockaddr_in
make_address(uint32_t address, uint16_t port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr = {.s_addr = htonl(address)}};
}

int
open_soak_datagram_socket(uint16_t port)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct sockaddr_in address = make_address(INADDR_LOOPBACK, port);

	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

int
connect_soak_address(uint32_t address, uint16_t port, bool small_window)
{
	struct sockaddr_in to = make_address(address, port);
	int fd = open_socket(small_window);

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

int
listen_soak_address(uint32_t address, uint16_t port, bool small_window)
{
	struct sockaddr_in at = make_address(address, port);
	int fd = open_socket(small_window);

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0 &&
	    listen(fd, BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

int
connect_soak_socket(uint16_t port, bool small_window)
{
	return connect_soak_address(INADDR_LOOPBACK, port, small_window);
}

int
listen_soak_socket(uint16_t port, bool small_window)
{
	return listen_soak_address(INADDR_LOOPBACK, port, small_window);
}

uint16_t
soak_own_port(int fd)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);

	if (getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		return 0;
	return ntohs(address.sin_port);
}

uint16_t
soak_peer_port(int fd)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);

	if (getpeername(fd, (struct sockaddr *)&address, &len) != 0)
		return 0;
	return ntohs(address.sin_port);
}
