#ifndef MONSOONSPINDLE_NET_SOCKET_MONITOR_H
#define MONSOONSPINDLE_NET_SOCKET_MONITOR_H

#include "monsoonspindle/net/loop.h"

typedef struct msp_connection msp_connection_t;

/*
 * Reports events of the connections of servers. They are in an epoll set of
 * their own, of which libwebsockets polls one descriptor only: it polls all of
 * its descriptors in each turn, so that idle connections would slow it down.
 */
typedef struct msp_socket_monitor msp_socket_monitor_t;

/* Returns NULL on failure, with the reason in msp_last_message(). */
msp_socket_monitor_t *msp_new_socket_monitor(msp_loop_t *loop);
void msp_drop_socket_monitor(msp_socket_monitor_t *monitor);

/* The monitor of a loop. */
msp_socket_monitor_t *msp_loop_socket_monitor(msp_loop_t *loop);

/* Events that are reported, besides that the peer closes its side. */
typedef enum msp_monitor_mode {
	MSP_MONITOR_READ,
	MSP_MONITOR_READ_WRITE,
} msp_monitor_mode_t;

/*
 * Calls msp_handle_socket_event() once for each change (edge-triggered). A
 * second call for the same descriptor replaces the first; a state that was
 * reported before is then reported again.
 */
void msp_monitor_socket(msp_socket_monitor_t *monitor, int fd,
    msp_monitor_mode_t mode, msp_connection_t *connection);
void msp_unmonitor_socket(msp_socket_monitor_t *monitor, int fd);

#endif
