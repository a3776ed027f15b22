#include "monsoonspindle/net/loop.h"

#include <stdlib.h>

#include <libwebsockets.h>

struct msp_timer {
	lws_sorted_usec_list_t sul;
	msp_loop_t *loop;
	msp_time_t period;
	void (*fire)(void *ctx);
	void *ctx;
	msp_timer_t **dropped; /* set while `fire` runs */
};

static void
on_timer(lws_sorted_usec_list_t *sul)
{
	msp_timer_t *timer = lws_container_of(sul, msp_timer_t, sul);
	msp_timer_t *alive = timer;

	timer->dropped = &alive;
	timer->fire(timer->ctx);
	if (alive == NULL)
		return;
	timer->dropped = NULL;
	if (timer->period != 0)
		lws_sul_schedule(msp_loop_lws(timer->loop), 0, &timer->sul,
		    on_timer, (lws_usec_t)timer->period);
}

msp_timer_t *
msp_new_timer(msp_loop_t *loop, msp_time_t delay, msp_time_t period,
    void (*fire)(void *ctx), void *ctx)
{
	msp_timer_t *timer = calloc(1, sizeof(*timer));

	if (timer == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for a timer");
		return NULL;
	}
	timer->loop = loop;
	timer->period = period;
	timer->fire = fire;
	timer->ctx = ctx;
	lws_sul_schedule(msp_loop_lws(loop), 0, &timer->sul, on_timer,
	    delay == 0 ? 1 : (lws_usec_t)delay);
	return timer;
}

void
msp_drop_timer(msp_timer_t *timer)
{
	if (timer == NULL)
		return;
	lws_sul_cancel(&timer->sul);
	if (timer->dropped != NULL)
		*timer->dropped = NULL;
	free(timer);
}
