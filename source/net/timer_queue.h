#ifndef MONSOONSPINDLE_NET_TIMER_QUEUE_H
#define MONSOONSPINDLE_NET_TIMER_QUEUE_H

#include <stdbool.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/net/loop.h"
#include "watch.h"

/*
 * The timers of a loop, driven by one timerfd. The timers of libwebsockets are
 * not used, because it polls in whole milliseconds and busy-waits for the rest.
 */
typedef struct msp_timer_queue msp_timer_queue_t;

struct msp_timer {
	TAILQ_ENTRY(msp_timer) link; /* in the queue, except while it fires */
	msp_timer_queue_t *queue; /* NULL: never fires (again) */
	msp_time_t due;
	msp_time_t period; /* 0: fires once */
	void (*fire)(void *ctx);
	void *ctx;
	bool firing; /* inside `fire` */
};

/* Returns NULL on failure, with the reason in msp_last_message(). */
msp_timer_queue_t *msp_new_timer_queue(msp_loop_t *loop);

/* Timers that are still queued never fire; they may be dropped later. */
void msp_drop_timer_queue(msp_timer_queue_t *queue);

void msp_queue_timer(msp_timer_queue_t *queue, msp_timer_t *timer);
/* Removes the timer, which may be firing. It may be freed afterwards. */
void msp_unqueue_timer(msp_timer_t *timer);

/* The timer queue of a loop. */
msp_timer_queue_t *msp_loop_timers(msp_loop_t *loop);

#endif
