#include "free_port.h"

#include <stdbool.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <bsd/stdlib.h>
#include <sys/socket.h>

/* All ranges are below the ephemeral ports of the system. */
#define FIRST_PORT 10240
#define RANGE_SIZE 256 /* its first port stays bound and marks it as used */
#define RANGE_COUNT 88
#define RANGE_ATTEMPTS_MAX 1000
#define RANGES_PER_PROCESS_MAX 8

/* The newest range of this process. `first` is 0 before it has one. */
static struct {
	unsigned int claimed; /* number of ranges */
	uint16_t first;
	unsigned int picked; /* number of ports tried */
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

/* Binds the first port of a random free range until this process ends. */
static bool
claim_range(void)
{
	uint16_t first;
	int attempts;

	for (attempts = 0; attempts < RANGE_ATTEMPTS_MAX; attempts++) {
		first = (uint16_t)(FIRST_PORT +
		    arc4random_uniform(RANGE_COUNT) * RANGE_SIZE);
		if (bind_port(SOCK_STREAM, first) < 0)
			continue;
		range.claimed++;
		range.first = first;
		range.picked = 0;
		return true;
	}
	return false;
}

static uint16_t
pick_from_range(void)
{
	unsigned int attempts;
	uint16_t port;

	for (attempts = 1; attempts < RANGE_SIZE; attempts++) {
		port = (uint16_t)(range.first + 1 +
		    range.picked++ % (RANGE_SIZE - 1));
		if (is_port_free(port))
			return port;
	}
	return 0;
}

/* A used up range is begun anew only if the process can't get another one. */
static bool
needs_range(void)
{
	return range.first == 0 ||
	    (range.picked >= RANGE_SIZE - 1 &&
		range.claimed < RANGES_PER_PROCESS_MAX);
}

uint16_t
pick_free_port(void)
{
	uint16_t port = needs_range() ? 0 : pick_from_range();

	if (port != 0)
		return port;
	if (!claim_range() && range.first == 0)
		return 0;
	return pick_from_range();
}
