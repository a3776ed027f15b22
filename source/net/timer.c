#include <stdlib.h>

#include "deadline.h"
#include "monsoonspindle/net/loop.h"
#include "timer_queue.h"

msp_timer_t *
msp_new_timer(msp_loop_t *loop, msp_time_t delay, msp_time_t period,
    void (*fire)(void *ctx), void *ctx)
{
	msp_timer_t *timer = calloc(1, sizeof(*timer));

	if (timer == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for a timer");
		return NULL;
	}
	/*
	 * At least 1 us, so that a timer that the callback of another one
	 * creates fires in the next turn of the loop at the earliest.
	 */
	timer->due = msp_loop_now() + (delay == 0 ? 1 : delay);
	timer->period = period;
	timer->fire = fire;
	timer->ctx = ctx;
	msp_queue_timer(msp_loop_timers(loop), timer);
	return timer;
}

void
msp_drop_timer(msp_timer_t *timer)
{
	if (timer == NULL)
		return;
	msp_unqueue_timer(timer);
	free(timer);
}
