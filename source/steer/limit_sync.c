#include "monsoonspindle/steer/limit_sync.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest random delay before others are told of a change. */
#define CHANGE_DELAY (300 * MSP_MS)
/* Least time between two reports on one target. */
#define REPORT_INTERVAL MSP_SECOND
/* Interval at which a limit in force is told again, and its random part. */
#define CONFIRM_INTERVAL (10 * MSP_SECOND)
#define CONFIRM_DELAY (3 * MSP_SECOND)
/*
 * How often the end of a limit is told. A VM that heard the limit shortly
 * before its end rejects the first report, since the order is not certain.
 */
#define END_REPORTS 3
#define END_INTERVAL (2 * MSP_SECOND)
/* Longest time from writing a message until it is read. */
#define TRANSIT_TIME_MAX MSP_SECOND
#define LIMIT_TEXT_SIZE 32
/* Older statements are taken for the oldest. */
#define STATEMENT_AGE_MAX MSP_MINUTE

typedef struct limit_line {
	char id[MSP_TARGET_ID_SIZE];
	uint64_t incarnation;
	msp_limit_statement_t statement;
} limit_line_t;

static void
plan(const msp_env_t *env, msp_target_limit_t *limit, msp_time_t delay)
{
	msp_time_t due = msp_now(env) + msp_random_below(env, delay);

	if (limit->told_at != 0 && due < limit->told_at + REPORT_INTERVAL)
		due = limit->told_at + REPORT_INTERVAL +
		    msp_random_below(env, delay);
	if (limit->report_due == 0 || due < limit->report_due)
		limit->report_due = due;
}

bool
msp_plan_limit_report(
    const msp_env_t *env, msp_target_limit_t *limit, msp_limit_change_t change)
{
	msp_time_t planned = limit->report_due;

	if (change == MSP_LIMIT_ENDED)
		limit->end_reports = END_REPORTS;
	if (change != MSP_LIMIT_UNCHANGED)
		plan(env, limit, CHANGE_DELAY);
	else if (limit->last.named && planned == 0 &&
	    msp_now(env) >= limit->told_at + CONFIRM_INTERVAL)
		plan(env, limit, CONFIRM_DELAY);
	return limit->report_due != planned;
}

static bool
append_line(msp_time_t now, const msp_view_target_t *target, msp_buffer_t *out)
{
	const msp_registration_t *registration = &target->registration;
	const msp_limit_statement_t *last = &target->limit.last;
	char text[LIMIT_TEXT_SIZE] = "-";

	if (last->named)
		snprintf(text, sizeof(text), "%.17g", last->per_second);
	return msp_append_printf(out,
		   "%s %" PRIu64 " %s %" PRIu64 " %" PRIu64 "\n",
		   registration->id, registration->incarnation, text,
		   now - last->sent_at, now - last->heard_at) == MSP_OK;
}

/* Plans the next report of an end, if there is one. */
static void
mark_told(msp_target_limit_t *limit, msp_time_t now)
{
	limit->told_at = now;
	limit->report_due = 0;
	if (limit->last.named || limit->end_reports == 0)
		return;
	if (--limit->end_reports > 0)
		limit->report_due = now + END_INTERVAL;
}

size_t
msp_encode_due_limits(
    const msp_env_t *env, msp_target_view_t *view, msp_buffer_t *out)
{
	msp_time_t now = msp_now(env);
	msp_view_target_t *target;
	size_t count = 0;

	TAILQ_FOREACH(target, msp_view_targets(view), link) {
		msp_target_limit_t *limit = &target->limit;

		if (limit->report_due == 0 || now < limit->report_due)
			continue;
		if (count == MSP_LIMITS_PER_MESSAGE_MAX)
			break;
		if (append_line(now, target, out))
			count++;
		mark_told(limit, now);
	}
	return count;
}

msp_time_t
msp_next_limit_report(const msp_target_view_t *view)
{
	const msp_view_target_t *target;
	msp_time_t next = MSP_NEVER;

	TAILQ_FOREACH(target, msp_view_targets(view), link) {
		msp_time_t due = target->limit.report_due;

		if (due != 0 && due < next)
			next = due;
	}
	return next;
}

/* Parses one line; returns the text after it, or NULL if it is malformed. */
static const char *
parse_line(const char *text, msp_time_t now, limit_line_t *out)
{
	char limit[LIMIT_TEXT_SIZE];
	msp_time_t sent_ago;
	msp_time_t heard_ago;
	char *end = NULL;
	int len = 0;

	if (sscanf(text, "%207s %" SCNu64 " %31s %" SCNu64 " %" SCNu64 "%n",
		out->id, &out->incarnation, limit, &sent_ago, &heard_ago,
		&len) != 5 ||
	    text[len] != '\n' || heard_ago > sent_ago)
		return NULL;
	out->statement = (msp_limit_statement_t){
	    .named = strcmp(limit, "-") != 0,
	    .heard_at = heard_ago < now ? now - heard_ago : 0,
	};
	/* The message was written up to TRANSIT_TIME_MAX ago. */
	if (sent_ago < STATEMENT_AGE_MAX && sent_ago + TRANSIT_TIME_MAX < now)
		out->statement.sent_at = now - sent_ago - TRANSIT_TIME_MAX;
	if (out->statement.named) {
		out->statement.per_second = strtod(limit, &end);
		if (*end != '\0' || limit[0] < '0' || limit[0] > '9')
			return NULL;
	}
	return text + len + 1;
}

/* Whether this VM knows better than a line of another. */
static bool
is_outdated(
    const msp_limit_statement_t *last, const msp_limit_statement_t *told)
{
	return told->heard_at < last->sent_at && told->named != last->named;
}

static void
apply_line(const msp_env_t *env, msp_target_view_t *view,
    const limit_line_t *line, const msp_limit_sync_callbacks_t *callbacks)
{
	msp_view_target_t *target = msp_find_view_target(view, line->id);
	msp_target_limit_t *limit;
	msp_limit_change_t change;

	if (target == NULL ||
	    target->registration.incarnation != line->incarnation)
		return;
	limit = &target->limit;
	if (is_outdated(&limit->last, &line->statement)) {
		plan(env, limit, CHANGE_DELAY);
		return;
	}
	change = msp_apply_limit_statement(limit, &line->statement);
	if (line->statement.named == limit->last.named &&
	    line->statement.per_second == limit->last.per_second) {
		limit->told_at = msp_now(env);
		limit->report_due = 0;
	}
	if (change != MSP_LIMIT_UNCHANGED)
		callbacks->on_change(callbacks->ctx, target, change);
}

msp_status_t
msp_receive_limits(const msp_env_t *env, msp_target_view_t *view,
    const char *text, const msp_limit_sync_callbacks_t *callbacks)
{
	limit_line_t lines[MSP_LIMITS_PER_MESSAGE_MAX];
	size_t count = 0;
	size_t i;

	while (*text != '\0') {
		if (count == MSP_LIMITS_PER_MESSAGE_MAX)
			return msp_fail(MSP_E_SYNTAX, "too many limits");
		text = parse_line(text, msp_now(env), &lines[count++]);
		if (text == NULL)
			return msp_fail(
			    MSP_E_SYNTAX, "limit %zu is malformed", count);
	}
	for (i = 0; i < count; i++)
		apply_line(env, view, &lines[i], callbacks);
	return MSP_OK;
}
