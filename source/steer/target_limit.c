#include "monsoonspindle/steer/target_limit.h"

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

	if (is_earlier || (!is_later && !is_stricter(statement, &before)))
		return MSP_LIMIT_UNCHANGED;
	limit->last = *statement;
	if (limit->last.heard_at < before.heard_at)
		limit->last.heard_at = before.heard_at;
	return compare_statements(&before, &limit->last);
}
