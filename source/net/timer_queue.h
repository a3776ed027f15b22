#ifndef MONSOONSPINDLE_NET_TIMER_QUEUE_H
#define MONSOONSPINDLE_NET_TIMER_QUEUE_H

#include <stdbool.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/net/loop.h"
#include "watch.h"

/*
 * The timers of a loop, behind one timer descriptor. The library's own timers
 * are not used for them: it polls in whole milliseconds and spins for the rest.
 */
typedef struct msp_timer_queue msp_timer_queue_t;

struct msp_timer {
	TAILQ_ENTRY(msp_timer) link; /* sorted by due; not while it fires */
	msp_timer_queue_t *queue;
	msp_time_t due;
	msp_time_t period;
	void (*fire)(void *ctx);
	void *ctx;
	bool firing; /* `fire` runs */
};

/* Returns NULL with a last message. */
msp_timer_queue_t *msp_new_timer_queue(msp_loop_t *loop);

/* Timers still in it are orphaned: they never fire, and may be dropped. */
void msp_drop_timer_queue(msp_timer_queue_t *queue);

void msp_queue_timer(msp_timer_queue_t *queue, msp_timer_t *timer);
/* Takes the timer out, also while it fires; it may then be freed. */
void msp_unqueue_timer(msp_timer_t *timer);

/* Of the loop. */
msp_timer_queue_t *msp_loop_timers(msp_loop_t *loop);

#endif
