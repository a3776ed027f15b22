#ifndef MONSOONSPINDLE_NET_DEADLINE_H
#define MONSOONSPINDLE_NET_DEADLINE_H

#include <libwebsockets.h>

#include "monsoonspindle/net/loop.h"

/*
 * A timeout that is often postponed and rarely expires. Postponing it doesn't
 * touch the loop's sorted list of timers: the timer fires at the earlier time
 * and is then set again.
 */
typedef struct msp_deadline {
	lws_sorted_usec_list_t sul;
	msp_loop_t *loop;
	msp_time_t due; /* when it expires; MSP_NEVER: not set */
	msp_time_t armed; /* when the timer fires; MSP_NEVER: not armed */
	void (*on_expired)(struct msp_deadline *deadline);
} msp_deadline_t;

void msp_init_deadline(msp_deadline_t *deadline, msp_loop_t *loop,
    void (*on_expired)(msp_deadline_t *deadline));

/* Sets the time, on the loop's clock. MSP_NEVER disables the deadline. */
void msp_set_deadline(msp_deadline_t *deadline, msp_time_t due);
void msp_clear_deadline(msp_deadline_t *deadline);

/* The loop's clock, which is monotonic. */
msp_time_t msp_loop_now(void);

#endif
