#include <inttypes.h>

#include "edge_private.h"
#include "log.h"

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

	if (field == LIMIT_FIELD_MALFORMED) {
		log_request(MSP_LINE_NOTABLE,
		    "event=target-limit target=%s change=none "
		    "reason=malformed",
		    target->registration.id);
		msp_add_to_counter(edge->daemon->counters, 1,
		    "msp_target_limits_malformed_total");
		return;
	}
	report_limit_change(edge, target,
	    msp_apply_limit_statement(&target->limit, &statement), "response");
}

void
count_sent_request(
    edge_t *edge, const msp_view_target_t *target, const char *kind)
{
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_target_sends_total{kind=\"%s\",limited=\"%d\"}", kind,
	    msp_limit_in_force(&target->limit));
}
