#include "free_port.h"

#include <stdbool.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <bsd/stdlib.h>
#include <sys/socket.h>

/* Below the ports that the system takes for outgoing connections. */
#define PORT_FIRST 10240
#define RANGE_PORTS 256 /* the first of them is held while the range is */
#define RANGES 88
#define RANGE_TRIES 1000

/* Of this process; `first` 0: none yet. */
static struct {
	uint16_t first;
	unsigned int drawn;
} range;

static int
bind_port(int type, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool
is_port_free(uint16_t port)
{
	int tcp = bind_port(SOCK_STREAM, port);
	int udp = bind_port(SOCK_DGRAM, port);

	if (tcp >= 0)
		close(tcp);
	if (udp >= 0)
		close(udp);
	return tcp >= 0 && udp >= 0;
}

/* Its first port stays bound until this process ends. */
static bool
take_range(void)
{
	uint16_t first;
	int tries;

	for (tries = 0; tries < RANGE_TRIES; tries++) {
		first = (uint16_t)(PORT_FIRST +
		    arc4random_uniform(RANGES) * RANGE_PORTS);
		if (bind_port(SOCK_STREAM, first) < 0)
			continue;
		range.first = first;
		range.drawn = 0;
		return true;
	}
	return false;
}

static uint16_t
draw_from_range(void)
{
	unsigned int tries;
	uint16_t port;

	for (tries = 1; tries < RANGE_PORTS; tries++) {
		port = (uint16_t)(range.first + 1 +
		    range.drawn++ % (RANGE_PORTS - 1));
		if (is_port_free(port))
			return port;
	}
	return 0;
}

uint16_t
pick_free_port(void)
{
	uint16_t port = range.first == 0 ? 0 : draw_from_range();

	if (port != 0)
		return port;
	return take_range() ? draw_from_range() : 0;
}
