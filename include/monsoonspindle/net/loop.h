#ifndef MONSOONSPINDLE_NET_LOOP_H
#define MONSOONSPINDLE_NET_LOOP_H

#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

struct lws_context;

/* The process's one event loop, over libwebsockets. */
typedef struct msp_loop msp_loop_t;

/* Returns NULL with a last message. `max_fds` bounds all sockets together. */
msp_loop_t *msp_new_loop(unsigned int max_fds);
void msp_drop_loop(msp_loop_t *loop);

/* Runs until msp_stop_loop(), which may be called from a callback. */
void msp_run_loop(msp_loop_t *loop);
void msp_stop_loop(msp_loop_t *loop);

/* Runs the loop until it has handled what is ready, at most `max_ms`. */
void msp_step_loop(msp_loop_t *loop, int max_ms);

/* For modules of net. */
struct lws_context *msp_loop_lws(msp_loop_t *loop);

/*
 * A timer that calls `fire` after `delay` and, if `period` is not 0, again each
 * period. Dropping it inside `fire` is allowed.
 */
typedef struct msp_timer msp_timer_t;

msp_timer_t *msp_new_timer(msp_loop_t *loop, msp_time_t delay,
    msp_time_t period, void (*fire)(void *ctx), void *ctx);
void msp_drop_timer(msp_timer_t *timer);

/*
 * Calls `handler` from the loop when SIGHUP arrives, once stop signals are
 * watched. Without one SIGHUP does nothing.
 */
void msp_watch_reload_signal(
    msp_loop_t *loop, void (*handler)(void *ctx), void *ctx);

/* Calls `handler` from the loop when SIGTERM or SIGINT arrives. */
msp_status_t msp_watch_stop_signals(
    msp_loop_t *loop, void (*handler)(void *ctx), void *ctx);

#endif
