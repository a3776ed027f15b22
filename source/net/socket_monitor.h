#ifndef MONSOONSPINDLE_NET_SOCKET_MONITOR_H
#define MONSOONSPINDLE_NET_SOCKET_MONITOR_H

#include "monsoonspindle/net/loop.h"

typedef struct msp_connection msp_connection_t;

/*
 * Reports peers that close their side. The library itself does not look at a
 * connection whose request it has handed over.
 */
typedef struct msp_socket_monitor msp_socket_monitor_t;

/* Returns NULL with a last message. */
msp_socket_monitor_t *msp_new_socket_monitor(msp_loop_t *loop);
void msp_drop_socket_monitor(msp_socket_monitor_t *hangups);

/* The set of a loop. */
msp_socket_monitor_t *msp_loop_socket_monitor(msp_loop_t *loop);

/* What to look out for, besides the end of the peer's side. */
typedef enum msp_monitor_mode {
	MSP_MONITOR_HANGUP,
	MSP_MONITOR_HANGUP_OR_READABLE,
	MSP_MONITOR_HANGUP_OR_WRITABLE, /* to write */
} msp_monitor_mode_t;

/* Calls msp_handle_socket_event() once each time. */
void msp_monitor_socket(msp_socket_monitor_t *hangups, int fd,
    msp_monitor_mode_t mode, msp_connection_t *connection);
void msp_unmonitor_socket(msp_socket_monitor_t *hangups, int fd);

#endif
