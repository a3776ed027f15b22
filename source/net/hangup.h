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

/* Calls msp_end_connection() once the peer of `fd` has closed its side. */
void msp_watch_hangup(
    msp_hangups_t *hangups, int fd, msp_connection_t *connection);

/* Calls msp_resume_connection() once `fd` can be written. */
void msp_watch_writable(
    msp_hangups_t *hangups, int fd, msp_connection_t *connection);
void msp_forget_hangup(msp_hangups_t *hangups, int fd);

#endif
