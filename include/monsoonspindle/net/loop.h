#ifndef MONSOONSPINDLE_NET_LOOP_H
#define MONSOONSPINDLE_NET_LOOP_H

#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

struct lws_context;

/* The event loop of the process, based on libwebsockets. */
typedef struct msp_loop msp_loop_t;

/*
 * `max_fds` limits the number of descriptors that the process may open. Returns
 * NULL on failure, with the reason in msp_last_message().
 */
msp_loop_t *msp_new_loop(unsigned int max_fds);
void msp_drop_loop(msp_loop_t *loop);

/* Runs the loop until msp_stop_loop() is called, for example by a callback. */
void msp_run_loop(msp_loop_t *loop);
void msp_stop_loop(msp_loop_t *loop);

/*
 * Waits for events for at most `max_ms`, handles those that are ready and
 * returns.
 */
void msp_step_loop(msp_loop_t *loop, int max_ms);

/* The context of libwebsockets, for the source files of this package. */
struct lws_context *msp_loop_lws(msp_loop_t *loop);

/*
 * A timer that calls `fire` after `delay` and then, if `period` is not 0, every
 * `period`. `fire` may drop it.
 */
typedef struct msp_timer msp_timer_t;

msp_timer_t *msp_new_timer(msp_loop_t *loop, msp_time_t delay,
    msp_time_t period, void (*fire)(void *ctx), void *ctx);
void msp_drop_timer(msp_timer_t *timer);

/*
 * Sets the handler that the loop calls on SIGHUP, from the call of
 * msp_watch_stop_signals() on. Without a handler, the loop ignores SIGHUP.
 */
void msp_watch_reload_signal(
    msp_loop_t *loop, void (*handler)(void *ctx), void *ctx);

/*
 * Calls `handler` from the loop on SIGTERM or SIGINT. Blocks these signals and
 * SIGHUP. Fails with MSP_E_EXISTS if it was called before.
 */
msp_status_t msp_watch_stop_signals(
    msp_loop_t *loop, void (*handler)(void *ctx), void *ctx);

#endif
