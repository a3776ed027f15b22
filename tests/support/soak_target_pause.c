#include "soak_private.h"

/*
 * Targets that refuse all requests for a time and say for how long, and others
 * that say nonsense about it.
 */

#define PAUSE_TIME_MIN MSP_SECOND
#define GAP_MIN (300 * MSP_MS) /* between two pauses */
#define GAP_MAX (1500 * MSP_MS)
#define NONSENSE_ONE_IN 8 /* refusals outside of pauses */

bool
is_soak_target_paused(const soak_target_t *target)
{
	return target->paused_until != 0;
}

static void
handle_pause_change(void *ctx)
{
	soak_target_t *target = ctx;
	soak_t *soak = target->soak;
	msp_time_t now = soak_now();

	if (is_soak_target_paused(target)) {
		target->paused_until = 0;
		set_soak_timer(soak->loop, &target->pause_change,
		    now + soak_between(soak->loop, GAP_MIN, GAP_MAX));
		return;
	}
	soak->result->pauses++;
	target->paused_until = now +
	    soak_between(
		soak->loop, PAUSE_TIME_MIN, soak->profile->pausing_ms * MSP_MS);
	set_soak_timer(soak->loop, &target->pause_change, target->paused_until);
}

void
start_soak_target_pauses(soak_target_t *target)
{
	soak_t *soak = target->soak;

	/* Without draws that would change the seeds of other profiles. */
	if (soak->profile->pausing <= 0)
		return;
	target->pause_change =
	    (soak_timer_t){.fire = handle_pause_change, .ctx = target};
	if (soak_chance(soak->loop, soak->profile->pausing))
		set_soak_timer(soak->loop, &target->pause_change,
		    soak_now() + soak_between(soak->loop, 0, GAP_MAX));
}

void
stop_soak_target_pauses(soak_target_t *target)
{
	clear_soak_timer(target->soak->loop, &target->pause_change);
}

void
append_soak_pause(const soak_target_t *target, msp_buffer_t *out)
{
	static const char *const nonsense[] = {
	    "", "-1", "soon", "0", "Sun, 06 Nov 1994 08:49:37 GMT"};
	soak_t *soak = target->soak;
	size_t count = sizeof(nonsense) / sizeof(*nonsense);
	msp_time_t now = soak_now();

	if (target->paused_until > now) {
		msp_append_printf(out, "Retry-After: %.3f\r\n",
		    (double)(target->paused_until - now) / MSP_SECOND);
		return;
	}
	if (soak->profile->pausing <= 0 ||
	    soak_random(soak->loop, NONSENSE_ONE_IN) != 0)
		return;
	msp_append_printf(out, "Retry-After: %s\r\n",
	    nonsense[soak_random(soak->loop, count)]);
}

void
tell_soak_pause(soak_target_t *target, unsigned int vm)
{
	if (target->paused_until > soak_now())
		tell_judged_pause(
		    &target->pause, soak_now(), vm, target->paused_until);
}

void
judge_soak_pause(
    soak_target_t *target, unsigned int sender, const char *request_id)
{
	soak_t *soak = target->soak;
	msp_time_t now = soak_now();
	unsigned int count = judge_pause_arrival(&target->pause, now, sender);

	if (target->pause.worst > soak->result->worst_pause)
		soak->result->worst_pause = target->pause.worst;
	if (count == 0)
		return;
	soak->result->in_pauses++;
	report_soak(&soak->ledger, "PAUSE",
	    "id=%s vm=%u target=%s since_ms=%u count=%u",
	    request_id[0] == '\0' ? "-" : request_id, sender, target->id,
	    (unsigned int)((now - target->pause.told[sender].at) / MSP_MS),
	    count);
}
