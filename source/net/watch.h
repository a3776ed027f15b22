#ifndef MONSOONSPINDLE_NET_WATCH_H
#define MONSOONSPINDLE_NET_WATCH_H

#include <libwebsockets.h>

#include "monsoonspindle/net/loop.h"

#define MSP_WATCH_PROTOCOL "msp-watch"

/* Calls a function from the loop whenever a descriptor is readable. */
typedef struct msp_watch msp_watch_t;

/* The vhost of all watched descriptors. */
struct lws_vhost *msp_loop_vhost(msp_loop_t *loop);

/* Callback of the libwebsockets protocol for all watches. */
int msp_handle_watch_event(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len);

/*
 * Takes ownership of `fd`, which is closed with the watch, or at once on
 * failure. Returns NULL on failure, with the reason in msp_last_message().
 */
msp_watch_t *msp_new_watch(
    msp_loop_t *loop, int fd, void (*on_readable)(void *ctx), void *ctx);

/* May be called by `on_readable`. */
void msp_drop_watch(msp_watch_t *watch);

#endif
