#include "socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024
#define USER_TIMEOUT_MS 10000
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 5
#define KEEPALIVE_PROBES 3
#define UDP_BUFFER_SIZE (4 * 1024 * 1024) /* bytes */

static int
bind_socket(int type, const char *address, uint16_t port, uint16_t *bound)
{
	struct sockaddr_in sa = {
	    .sin_family = AF_INET,
	    .sin_port = htons(port),
	};
	socklen_t len = sizeof(sa);
	int on = 1;
	int fd;

	if (address == NULL || inet_pton(AF_INET, address, &sa.sin_addr) != 1) {
		msp_fail(MSP_E_RANGE, "\"%s\" is not an IPv4 address",
		    address == NULL ? "" : address);
		return -1;
	}
	fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		msp_fail(MSP_E_IO, "socket: %s", strerror(errno));
		return -1;
	}
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sa, &len) != 0) {
		msp_fail(MSP_E_IO, "cannot bind %s:%u: %s", address, port,
		    strerror(errno));
		close(fd);
		return -1;
	}
	*bound = ntohs(sa.sin_port);
	return fd;
}

int
msp_listen_tcp(const char *address, uint16_t port, uint16_t *bound)
{
	int fd = bind_socket(SOCK_STREAM, address, port, bound);

	if (fd >= 0 && listen(fd, LISTEN_BACKLOG) != 0) {
		msp_fail(MSP_E_IO, "listen: %s", strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

int
msp_bind_udp(const char *address, uint16_t port, uint16_t *bound)
{
	int fd = bind_socket(SOCK_DGRAM, address, port, bound);
	int size = UDP_BUFFER_SIZE;
	int on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	setsockopt(fd, IPPROTO_IP, IP_RECVERR, &on, sizeof(on));
	return fd;
}

void
msp_set_tcp_options(int fd)
{
	unsigned int timeout = USER_TIMEOUT_MS;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

uint64_t
msp_get_socket_cookie(int fd)
{
	uint64_t cookie = 0;
	socklen_t len = sizeof(cookie);

	if (getsockopt(fd, SOL_SOCKET, SO_COOKIE, &cookie, &len) != 0)
		return 0;
	return cookie;
}

bool
msp_is_socket_at_eof(int fd)
{
	char byte;
	ssize_t len = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return len == 0 || (len < 0 && errno != EAGAIN);
}
