#include <inttypes.h>

#include "edge_private.h"
#include "log.h"
#include "monsoonspindle/steer/limit_sync.h"
#include "problem.h"

/* Logs and counts what a statement about a target's limit changed. */
static void
report_limit_change(edge_t *edge, const msp_view_target_t *target,
    msp_limit_change_t change, const char *source)
{
	const msp_limit_statement_t *last = &target->limit.last;

	if (change == MSP_LIMIT_UNCHANGED)
		return;
	log_info("event=target-limit target=%s service=%s incarnation=%" PRIu64
		 " change=%s per_second=%.3f source=%s age_ms=%" PRIu64,
	    target->registration.id, target->registration.service,
	    target->registration.incarnation, msp_limit_change_name(change),
	    last->named ? last->per_second : 0.0, source,
	    (msp_now(&edge->daemon->env) - last->heard_at) / MSP_MS);
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_target_limit_changes_total{change=\"%s\",source=\"%s\"}",
	    msp_limit_change_name(change), source);
}

static void send_limits(void *ctx);

/* Wakes up when the next report is due. */
static void
set_limit_timer(edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);
	msp_time_t due = msp_next_limit_report(edge->view);

	msp_drop_timer(edge->limit_timer);
	edge->limit_timer = NULL;
	if (due == MSP_NEVER)
		return;
	edge->limit_timer = msp_new_timer(edge->daemon->loop,
	    due > now ? due - now : 0, 0, send_limits, edge);
}

static void
send_limits(void *ctx)
{
	edge_t *edge = ctx;
	msp_buffer_t text = {.limit = MSP_LIMIT_MESSAGE_MAX};
	size_t count =
	    msp_encode_due_limits(&edge->daemon->env, edge->view, &text);

	if (count > 0) {
		msp_add_to_counter(
		    edge->daemon->counters, count, "msp_limits_told_total");
		broadcast_to_vms(&edge->limit_messages, msp_buffer_text(&text));
	}
	msp_drop_buffer(&text);
	set_limit_timer(edge);
}

static void
handle_limit_told(
    void *ctx, const msp_view_target_t *target, msp_limit_change_t change)
{
	report_limit_change(ctx, target, change, "vm");
}

void
serve_limits(edge_t *edge, msp_exchange_t *exchange)
{
	const msp_limit_sync_callbacks_t callbacks = {
	    .on_change = handle_limit_told, .ctx = edge};
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *text = msp_buffer_text(&request->body);
	msp_response_t response = {.status = 204};
	msp_status_t status = msp_receive_limits(
	    &edge->daemon->env, edge->view, text, &callbacks);

	if (status != MSP_OK) {
		answer_error(exchange, status);
		return;
	}
	if (is_to_pass_on(request))
		pass_on_to_members(&edge->limit_messages, text);
	set_limit_timer(edge);
	msp_send_exchange_response(exchange, &response);
}

void
update_limit_gauges(const edge_t *edge)
{
	msp_counters_t *counters = edge->daemon->counters;
	const msp_view_target_t *target;
	uint64_t limited = 0;
	uint64_t with_part = 0;

	TAILQ_FOREACH(target, msp_view_targets(edge->view), link) {
		if (!msp_limit_in_force(&target->limit))
			continue;
		limited++;
		with_part += target->limit.share.per_second > 0 ? 1 : 0;
	}
	*msp_get_counter(counters, "msp_targets_limited") = limited;
	*msp_get_counter(counters, "msp_targets_limited_with_part") = with_part;
}

void
open_limits(edge_t *edge)
{
	edge->limit_messages = (edge_broadcast_t){.edge = edge,
	    .path = LIMITS_PATH,
	    .lost_counter = "msp_limits_not_told_total"};
}

void
close_limits(edge_t *edge)
{
	msp_drop_timer(edge->limit_timer);
	edge->limit_timer = NULL;
}

void
observe_target_limit(edge_t *edge, msp_view_target_t *target,
    msp_time_t sent_at, limit_field_t field, double per_second)
{
	msp_limit_statement_t statement = {
	    .named = field == LIMIT_FIELD_VALID,
	    .per_second = per_second,
	    .sent_at = sent_at,
	    .heard_at = msp_now(&edge->daemon->env),
	};
	msp_limit_change_t change;

	if (field == LIMIT_FIELD_MALFORMED) {
		log_request(MSP_LINE_NOTABLE,
		    "event=target-limit target=%s change=none "
		    "reason=malformed",
		    target->registration.id);
		msp_add_to_counter(edge->daemon->counters, 1,
		    "msp_target_limits_malformed_total");
		return;
	}
	change = msp_apply_limit_statement(&target->limit, &statement);
	report_limit_change(edge, target, change, "response");
	if (msp_plan_limit_report(&edge->daemon->env, &target->limit, change))
		set_limit_timer(edge);
}

void
count_sent_request(
    edge_t *edge, const msp_view_target_t *target, const char *kind)
{
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_target_sends_total{kind=\"%s\",limited=\"%d\"}", kind,
	    msp_limit_in_force(&target->limit));
}
