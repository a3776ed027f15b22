#ifndef SUPPORT_FREE_PORT_H
#define SUPPORT_FREE_PORT_H

#include <stdint.h>

/*
 * A port for a process that is about to be started: free for TCP and UDP on
 * loopback now. Each process draws from a range of its own, and draws a port
 * again only after all others of the range. 0 if there is none.
 */
uint16_t pick_free_port(void);

#endif
