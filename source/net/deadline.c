#include "deadline.h"

static void arm(msp_deadline_t *deadline);

static void
handle_timer(lws_sorted_usec_list_t *sul)
{
	msp_deadline_t *deadline = lws_container_of(sul, msp_deadline_t, sul);

	deadline->armed = MSP_NEVER;
	if (deadline->due == MSP_NEVER)
		return;
	if (deadline->due > msp_loop_now()) {
		arm(deadline);
		return;
	}
	deadline->due = MSP_NEVER;
	deadline->on_expired(deadline);
}

static void
arm(msp_deadline_t *deadline)
{
	msp_time_t now = msp_loop_now();
	msp_time_t delay = deadline->due > now ? deadline->due - now : 1;

	deadline->armed = deadline->due;
	lws_sul_schedule(msp_loop_lws(deadline->loop), 0, &deadline->sul,
	    handle_timer, (lws_usec_t)delay);
}

void
msp_init_deadline(msp_deadline_t *deadline, msp_loop_t *loop,
    void (*on_expired)(msp_deadline_t *deadline))
{
	*deadline = (msp_deadline_t){
	    .loop = loop,
	    .due = MSP_NEVER,
	    .armed = MSP_NEVER,
	    .on_expired = on_expired,
	};
}

void
msp_set_deadline(msp_deadline_t *deadline, msp_time_t due)
{
	deadline->due = due;
	if (due < deadline->armed)
		arm(deadline);
}

void
msp_clear_deadline(msp_deadline_t *deadline)
{
	deadline->due = MSP_NEVER;
	deadline->armed = MSP_NEVER;
	lws_sul_cancel(&deadline->sul);
}

msp_time_t
msp_loop_now(void)
{
	return (msp_time_t)lws_now_usecs();
}
