#ifndef SUPPORT_FREE_PORT_H
#define SUPPORT_FREE_PORT_H

#include <stdint.h>

/*
 * Returns a port for a process that is about to be started, or 0 if there is
 * none. The port is free now, for TCP and UDP on loopback. Each calling process
 * has a range of its own, so that no two pick the same port, and uses a port
 * again only after all others of its range.
 */
uint16_t pick_free_port(void);

#endif
