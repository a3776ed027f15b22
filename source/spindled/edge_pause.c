#include <inttypes.h>

#include "edge_request.h"
#include "log.h"

/* Pauses that targets ask this VM for when they refuse a request. */

static const char *const field_names[] = {
    [PAUSE_FIELD_MISSING] = "missing",
    [PAUSE_FIELD_VALID] = "valid",
    [PAUSE_FIELD_CUT] = "cut",
    [PAUSE_FIELD_MALFORMED] = "malformed",
};

/* Requests that were given to the target and have sent it nothing yet. */
static size_t
count_unsent_requests(const edge_t *edge, const msp_view_target_t *target)
{
	const edge_request_t *request;
	size_t count = 0;

	TAILQ_FOREACH(request, &edge->requests, link) {
		if (request->call != NULL && request->choice.target == target &&
		    !request->forward.in_flight &&
		    !msp_call_maybe_sent(request->call))
			count++;
	}
	return count;
}

static void
report_pause(const edge_t *edge, const msp_view_target_t *target,
    const pause_request_t *asked, msp_pause_change_t change)
{
	msp_time_t now = msp_now(&edge->daemon->env);

	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_target_pauses_total{field=\"%s\",change=\"%s\"}",
	    field_names[asked->field], msp_pause_change_name(change));
	/* Each response in a pause extends it a little. */
	if (change != MSP_PAUSE_BEGUN && asked->field == PAUSE_FIELD_VALID)
		return;
	log_request(MSP_LINE_VITAL,
	    "event=target-pause target=%s service=%s incarnation=%" PRIu64
	    " change=%s field=%s asked_ms=%u left_ms=%" PRIu64
	    " in_flight=%u unsent=%zu",
	    target->registration.id, target->registration.service,
	    target->registration.incarnation, msp_pause_change_name(change),
	    field_names[asked->field], asked->ms,
	    msp_target_pause_left(&target->pause, now) / MSP_MS,
	    target->traffic.in_flight, count_unsent_requests(edge, target));
}

void
observe_target_pause(
    edge_t *edge, msp_view_target_t *target, const pause_request_t *asked)
{
	if (asked->field == PAUSE_FIELD_MISSING)
		return;
	report_pause(edge, target, asked,
	    msp_apply_target_pause(&target->pause, msp_now(&edge->daemon->env),
		asked->ms * MSP_MS));
}

void
report_paused_send(const edge_t *edge, const msp_view_target_t *target,
    const char *kind, const char *id)
{
	msp_time_t now = msp_now(&edge->daemon->env);
	char text[REQUEST_ID_SIZE];

	if (!msp_target_is_paused(&target->pause, now))
		return;
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_target_sends_in_pause_total{kind=\"%s\"}", kind);
	log_request(MSP_LINE_VITAL,
	    "event=sent-in-pause id=%s target=%s kind=%s since_ms=%" PRIu64
	    " left_ms=%" PRIu64,
	    clean_log_value(id, text, sizeof(text)), target->registration.id,
	    kind, (now - target->pause.began) / MSP_MS,
	    msp_target_pause_left(&target->pause, now) / MSP_MS);
}

void
update_pause_gauges(const edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);
	const msp_view_target_t *target;
	uint64_t paused = 0;

	TAILQ_FOREACH(target, msp_view_targets(edge->view), link)
		paused += msp_target_is_paused(&target->pause, now) ? 1 : 0;
	*msp_get_counter(edge->daemon->counters, "msp_targets_paused") = paused;
}
