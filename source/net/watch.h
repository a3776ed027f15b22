#ifndef MONSOONSPINDLE_NET_WATCH_H
#define MONSOONSPINDLE_NET_WATCH_H

#include <libwebsockets.h>

#include "monsoonspindle/net/loop.h"

#define MSP_WATCH_PROTOCOL "msp-watch"

/* Calls back from the loop while a descriptor is readable. */
typedef struct msp_watch msp_watch_t;

/*
 * The vhost of all watched descriptors and all server connections. There is
 * but one: the library picks among vhosts by the Host header.
 */
struct lws_vhost *msp_loop_vhost(msp_loop_t *loop);

/* The protocol's callback for all watches of a loop. */
int msp_on_watch_event(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len);

/*
 * Takes `fd` over: it is closed with the watch, or at once on failure. NULL
 * with a last message.
 */
msp_watch_t *msp_new_watch(
    msp_loop_t *loop, int fd, void (*readable)(void *ctx), void *ctx);

/* May be called from `readable`. */
void msp_drop_watch(msp_watch_t *watch);

#endif
