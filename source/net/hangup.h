#ifndef MONSOONSPINDLE_NET_HANGUP_H
#define MONSOONSPINDLE_NET_HANGUP_H

#include "monsoonspindle/net/loop.h"

typedef struct msp_connection msp_connection_t;

/*
 * Reports peers that close their side. The library itself does not look at a
 * connection whose request it has handed over.
 */
typedef struct msp_hangups msp_hangups_t;

/* Returns NULL with a last message. */
msp_hangups_t *msp_new_hangups(msp_loop_t *loop);
void msp_drop_hangups(msp_hangups_t *hangups);

/* The set of a loop. */
msp_hangups_t *msp_loop_hangups(msp_loop_t *loop);

/* What to look out for, besides the end of the peer's side. */
typedef enum msp_hangup_mode {
	MSP_HANGUP_ONLY,
	MSP_HANGUP_OR_BYTES,
	MSP_HANGUP_OR_ROOM, /* to write */
} msp_hangup_mode_t;

/* Calls msp_notice_socket() once each time. */
void msp_watch_hangup(msp_hangups_t *hangups, int fd, msp_hangup_mode_t mode,
    msp_connection_t *connection);
void msp_forget_hangup(msp_hangups_t *hangups, int fd);

#endif
