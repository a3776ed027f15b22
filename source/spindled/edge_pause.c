#include <inttypes.h>

#include "edge_request.h"
#include "log.h"

/*
 * What targets say of later requests in their responses: how long they want
 * none from this VM, and that they leave.
 */

/* Whether the request was given to a target and has sent it nothing yet. */
static bool
is_unsent(const edge_request_t *request)
{
	return request->call != NULL && !request->forward.in_flight &&
	    !msp_call_maybe_sent(request->call);
}

static size_t
count_unsent_requests(const edge_t *edge, const msp_view_target_t *target)
{
	const edge_request_t *request;
	size_t count = 0;

	TAILQ_FOREACH(request, &edge->requests, link) {
		if (is_unsent(request) && request->choice.target == target)
			count++;
	}
	return count;
}

static edge_request_t *
find_paused_request(const edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);
	edge_request_t *request;

	TAILQ_FOREACH(request, &edge->requests, link) {
		if (is_unsent(request) &&
		    msp_target_is_paused(&request->choice.target->pause, now))
			return request;
	}
	return NULL;
}

/*
 * Requests that wait for a connection to a target that now wants none go
 * elsewhere. As in refuse_unsent_requests(), each turn starts at the first.
 */
static void
handle_recall_timer(void *ctx)
{
	edge_t *edge = ctx;
	edge_request_t *request;

	close_pauses(edge);
	while ((request = find_paused_request(edge)) != NULL)
		recall_request(request, "target-pause");
}

static uint64_t
get_pause_left_ms(const msp_view_target_t *target, msp_time_t now)
{
	return msp_target_is_paused(&target->pause, now)
	    ? (target->pause.until - now) / MSP_MS
	    : 0;
}

static void
report_pause(const edge_t *edge, const msp_view_target_t *target,
    const msp_retry_after_t *asked, msp_pause_change_t change)
{
	msp_time_t now = msp_now(&edge->daemon->env);

	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_target_pauses_total{field=\"%s\",change=\"%s\"}",
	    msp_retry_after_form_name(asked->form),
	    msp_pause_change_name(change));
	/* Each response in a pause extends it a little. */
	if (change != MSP_PAUSE_BEGUN && asked->form == MSP_RETRY_AFTER_VALID)
		return;
	log_request(MSP_LINE_VITAL,
	    "event=target-pause target=%s service=%s incarnation=%" PRIu64
	    " change=%s field=%s asked_ms=%u left_ms=%" PRIu64
	    " in_flight=%u unsent=%zu",
	    target->registration.id, target->registration.service,
	    target->registration.incarnation, msp_pause_change_name(change),
	    msp_retry_after_form_name(asked->form), asked->ms,
	    get_pause_left_ms(target, now), target->traffic.in_flight,
	    count_unsent_requests(edge, target));
}

static void
observe_pause(
    edge_t *edge, msp_view_target_t *target, const msp_retry_after_t *asked)
{
	const msp_pause_request_t request = {.span = asked->ms * MSP_MS,
	    .slots = target->registration.slots,
	    .vms = count_known_vms(edge)};
	msp_pause_change_t change;

	if (asked->form == MSP_RETRY_AFTER_MISSING)
		return;
	change = msp_apply_target_pause(
	    &target->pause, &edge->daemon->env, &request);
	report_pause(edge, target, asked, change);
	if (change == MSP_PAUSE_BEGUN && edge->recall_timer == NULL)
		edge->recall_timer = msp_new_timer(
		    edge->daemon->loop, 0, 0, handle_recall_timer, edge);
}

void
observe_target_wishes(edge_t *edge, msp_view_target_t *target,
    const msp_retry_after_t *pause, bool leaving)
{
	observe_pause(edge, target, pause);
	if (leaving)
		msp_mark_target_leaving(edge->view, target);
}

void
close_pauses(edge_t *edge)
{
	msp_drop_timer(edge->recall_timer);
	edge->recall_timer = NULL;
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
	    get_pause_left_ms(target, now));
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
