#include <stdio.h>
#include <string.h>

#include "commit_parts.h"

msp_digest_t
cw_body_digest(const caller_t *caller, bool changed)
{
	char body[96];

	snprintf(
	    body, sizeof(body), "%s%s", caller->key, changed ? " changed" : "");
	return msp_digest(body, strlen(body));
}

/* Some outcomes are past the bound of a row, and go into an object. */
void
cw_print_outcome(const caller_t *caller, bool changed, char *out, size_t size)
{
	snprintf(out, size, "%s printed%s%s", caller->key,
	    changed ? " changed" : "",
	    caller->index == 0 ? ""
			       : ", with a body that is too long for its row");
}

void
cw_broke(const sent_t *sent, unsigned int *count, const char *what)
{
	world_t *world = sent->caller->world;
	result_t *result = &world->result;

	if (result->what[0] == '\0')
		snprintf(result->what, sizeof(result->what),
		    "seed %llu, key %u, try %u: %s",
		    (unsigned long long)world->scenario->seed,
		    sent->caller->index, sent->number, what);
	(*count)++;
}

static void
check_sent(const sent_t *sent)
{
	const caller_t *caller = sent->caller;
	result_t *result = &caller->world->result;

	if (sent->said_no && caller->runs > 0 &&
	    (caller->ran_at <= sent->said_at ||
		caller->ran_for->arrived <= sent->said_at))
		cw_broke(sent, &result->false_no, "a false \"run: no\"");
	if (sent->tried != NULL && sent->holder->alive &&
	    sent->holder->incarnation == sent->incarnation)
		cw_broke(sent, &result->stuck, "no verdict at all");
}

void
cw_check_callers(world_t *world)
{
	unsigned int i;
	unsigned int k;

	for (i = 0; i < WORLD_KEYS; i++) {
		const caller_t *caller = &world->callers[i];

		world->result.runs += caller->runs;
		if (caller->runs > 1)
			cw_broke(&caller->sent[0], &world->result.doubles,
			    "ran more than once");
		for (k = 0; k < caller->count; k++)
			check_sent(&caller->sent[k]);
	}
}
