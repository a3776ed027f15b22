#include "monsoonspindle/steer/target_limit.h"

#include <math.h>

/* Requests per second to a target that names a lower limit. */
#define LIMIT_RATE_MIN 0.1
#define LIMIT_RATE_MAX 1e9
/*
 * Requests that all VMs together may have saved up, besides those of one
 * second.
 */
#define LIMIT_BURST_SLACK 2
/* Least time without news of a limit after which VMs without a part try it. */
#define TRIAL_DELAY MSP_MINUTE

static const char *const change_names[] = {
    [MSP_LIMIT_UNCHANGED] = "unchanged",
    [MSP_LIMIT_NAMED] = "named",
    [MSP_LIMIT_CHANGED] = "changed",
    [MSP_LIMIT_ENDED] = "ended",
};

const char *
msp_limit_change_name(msp_limit_change_t change)
{
	return change_names[change];
}

bool
msp_limit_in_force(const msp_target_limit_t *limit)
{
	return limit->last.named;
}

/* Whether one of two statements of unknown order is the stricter one. */
static bool
is_stricter(
    const msp_limit_statement_t *statement, const msp_limit_statement_t *than)
{
	if (!statement->named)
		return false;
	return !than->named || statement->per_second <= than->per_second;
}

static msp_limit_change_t
compare_statements(
    const msp_limit_statement_t *before, const msp_limit_statement_t *after)
{
	if (!before->named)
		return after->named ? MSP_LIMIT_NAMED : MSP_LIMIT_UNCHANGED;
	if (!after->named)
		return MSP_LIMIT_ENDED;
	return before->per_second == after->per_second ? MSP_LIMIT_UNCHANGED
						       : MSP_LIMIT_CHANGED;
}

msp_limit_change_t
msp_apply_limit_statement(
    msp_target_limit_t *limit, const msp_limit_statement_t *statement)
{
	msp_limit_statement_t before = limit->last;
	bool is_later = statement->sent_at >= before.heard_at;
	bool is_earlier = statement->heard_at < before.sent_at;
	msp_limit_change_t change;

	if (is_earlier || (!is_later && !is_stricter(statement, &before)))
		return MSP_LIMIT_UNCHANGED;
	limit->last = *statement;
	if (limit->last.heard_at < before.heard_at)
		limit->last.heard_at = before.heard_at;
	change = compare_statements(&before, statement);
	if (change == MSP_LIMIT_NAMED)
		limit->share = (msp_rate_share_t){0};
	if (change != MSP_LIMIT_UNCHANGED)
		limit->share_is_old = true;
	return change;
}

msp_shared_rate_t
msp_limit_rate(const msp_target_limit_t *limit)
{
	double per_second =
	    fmin(fmax(limit->last.per_second, LIMIT_RATE_MIN), LIMIT_RATE_MAX);

	return (msp_shared_rate_t){
	    .per_second = per_second, .burst = per_second + LIMIT_BURST_SLACK};
}

bool
msp_limit_share_is_old(const msp_target_limit_t *limit, msp_time_t now)
{
	return limit->share_is_old || msp_rate_share_is_old(&limit->share, now);
}

void
msp_offer_limit_trial(msp_target_limit_t *limit, const msp_env_t *env)
{
	msp_time_t now = msp_now(env);

	if (limit->trial_heard_at != limit->last.heard_at) {
		limit->trial_heard_at = limit->last.heard_at;
		limit->trial_due = limit->last.heard_at + TRIAL_DELAY +
		    msp_random_below(env, TRIAL_DELAY);
	}
	if (now >= limit->trial_due)
		limit->share.tokens = limit->share.burst = 1;
}

void
msp_use_target_limit(msp_target_limit_t *limit)
{
	if (!limit->last.named)
		return;
	msp_use_rate_share(&limit->share);
	if (limit->share.per_second == 0)
		limit->trial_due += TRIAL_DELAY;
}

void
msp_set_limit_share(
    msp_target_limit_t *limit, msp_time_t now, const msp_sender_rank_t *rank)
{
	msp_shared_rate_t rate = msp_limit_rate(limit);

	msp_set_rate_share(&limit->share, now, &rate, rank);
	limit->share_is_old = false;
}
