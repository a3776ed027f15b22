#include <stdlib.h>
#include <string.h>

#include "relay_private.h"
#include "summary_codec.h"

/* Clocks of VMs may differ by this: limit of a plausible sequence. */
#define SEQUENCE_AHEAD_MAX_MS ((uint64_t)24 * 3600 * 1000)

/* Returns the index of the place's summary, or where to insert it. */
static size_t
find_position(const msp_relay_t *relay, const char *place)
{
	size_t low = 0;
	size_t high = relay->summary_count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (strcmp(relay->summaries[middle]->place, place) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const msp_summary_t *
msp_find_summary(const msp_relay_t *relay, const char *place)
{
	size_t at = find_position(relay, place);

	if (at == relay->summary_count ||
	    strcmp(relay->summaries[at]->place, place) != 0)
		return NULL;
	return relay->summaries[at];
}

uint64_t
msp_summary_sequence(const msp_relay_t *relay)
{
	return (msp_membership_self(relay->membership)->incarnation +
		   (msp_now(&relay->env) - relay->start)) /
	    MSP_MS;
}

static bool
is_newer(const msp_summary_t *a, const msp_summary_t *b)
{
	return a->sequence != b->sequence ? a->sequence > b->sequence
					  : a->incarnation > b->incarnation;
}

msp_summary_t *
msp_insert_summary(msp_relay_t *relay, const msp_summary_t *summary)
{
	size_t at = find_position(relay, summary->place);
	msp_summary_t *stored;

	if (summary->sequence >
	    msp_summary_sequence(relay) + SEQUENCE_AHEAD_MAX_MS)
		return NULL;
	if (at < relay->summary_count &&
	    strcmp(relay->summaries[at]->place, summary->place) == 0) {
		stored = relay->summaries[at];
		if (!is_newer(summary, stored))
			return NULL;
		*stored = *summary;
		return stored;
	}
	if (relay->summary_count == MSP_PLACES_MAX)
		return NULL;
	stored = malloc(sizeof(*stored));
	if (stored == NULL)
		return NULL;
	*stored = *summary;
	memmove(&relay->summaries[at + 1], &relay->summaries[at],
	    (relay->summary_count - at) * sizeof(msp_summary_t *));
	relay->summaries[at] = stored;
	relay->summary_count++;
	return stored;
}

void
msp_expire_summaries(msp_relay_t *relay)
{
	msp_time_t now = msp_now(&relay->env);
	size_t kept = 0;
	size_t i;

	for (i = 0; i < relay->summary_count; i++) {
		msp_summary_t *summary = relay->summaries[i];

		if (msp_summary_age(summary, now) > relay->options.expire_after)
			free(summary);
		else
			relay->summaries[kept++] = summary;
	}
	relay->summary_count = kept;
}

size_t
msp_summary_count(const msp_relay_t *relay)
{
	return relay->summary_count;
}

const msp_summary_t *
msp_summary_at(const msp_relay_t *relay, size_t index)
{
	return relay->summaries[index];
}

/*
 * An answer carries only a few summaries, so with more places each of them is
 * updated less often. Hence the bound for other regions grows with the places.
 */
bool
msp_summary_is_stale(const msp_relay_t *relay, const msp_summary_t *summary)
{
	msp_time_t bound = relay->options.stale_after;
	const char *region = msp_membership_self(relay->membership)->region;

	if (strcmp(summary->region, region) != 0)
		bound += relay->summary_count * relay->options.period;
	return msp_summary_age(summary, msp_now(&relay->env)) > bound;
}
