#include "monsoonspindle/steer/locator.h"

#include <string.h>

#include <bsd/string.h>

#include "locator_places.h"

/* Lifetime of a result. */
#define TTL_MS 10000
/* The same while the client's place is unusable or membership is paused. */
#define UNSETTLED_TTL_MS 2000

static const char *const kind_names[MSP_ENTRY_KIND_COUNT] = {
    [MSP_ENTRY_NEAR] = "near",
    [MSP_ENTRY_REGION] = "region",
    [MSP_ENTRY_REMOTE] = "remote",
    [MSP_ENTRY_DRAINING] = "draining",
};

const char *
msp_entry_kind_name(msp_entry_kind_t kind)
{
	return (unsigned int)kind < MSP_ENTRY_KIND_COUNT ? kind_names[kind]
							 : "unknown";
}

static msp_entry_kind_t
get_entry_kind(const msp_place_candidate_t *candidate)
{
	if (candidate->drained)
		return MSP_ENTRY_DRAINING;
	if (candidate->distance == MSP_DISTANCE_PLACE)
		return MSP_ENTRY_NEAR;
	if (candidate->distance == MSP_DISTANCE_REGION)
		return MSP_ENTRY_REGION;
	return MSP_ENTRY_REMOTE;
}

/* State of one lookup. */
typedef struct locate_ctx {
	const msp_membership_t *membership;
	msp_lookup_result_t *result;
	size_t max;
	msp_place_candidates_t candidates;
} locate_ctx_t;

/* Adds up to `count` further entries of a place; returns false if none. */
static bool
add_entries(locate_ctx_t *ctx, msp_place_candidate_t *candidate, size_t count)
{
	msp_lookup_result_t *result = ctx->result;
	msp_ranked_vms_t vms;
	bool added = false;

	if (result->count == ctx->max)
		return false;
	msp_rank_vms(ctx->membership, candidate, ctx->candidates.hash, &vms);
	while (count-- > 0 && result->count < ctx->max &&
	    candidate->entries_taken < vms.count) {
		const msp_entry_vm_t *vm =
		    &vms.list[candidate->entries_taken++];
		msp_lookup_entry_t *entry = &result->entries[result->count++];

		memcpy(entry->name, vm->name, sizeof(entry->name));
		memcpy(entry->address, vm->address, sizeof(entry->address));
		entry->caller_port = vm->caller_port;
		strlcpy(entry->place, candidate->place, sizeof(entry->place));
		strlcpy(
		    entry->region, candidate->region, sizeof(entry->region));
		entry->kind = get_entry_kind(candidate);
		added = true;
	}
	return added;
}

/*
 * Adds one entry of the first place that is in the region of the nearest place,
 * or of the first one outside of it.
 */
static void
add_fallback(locate_ctx_t *ctx, bool in_region)
{
	msp_place_candidates_t *candidates = &ctx->candidates;
	size_t i;

	for (i = 1; i < candidates->count; i++) {
		msp_place_candidate_t *candidate = &candidates->list[i];

		if ((strcmp(candidate->region, candidates->list[0].region) ==
			0) == in_region &&
		    add_entries(ctx, candidate, 1))
			return;
	}
}

/* Adds entries of all but the nearest place, one of each per round. */
static void
add_round_robin(locate_ctx_t *ctx)
{
	msp_place_candidates_t *candidates = &ctx->candidates;
	size_t round;
	size_t i;

	for (round = 1; round <= MSP_LOOKUP_ENTRIES_MAX; round++) {
		for (i = 1; i < candidates->count; i++) {
			if (ctx->result->count == ctx->max)
				return;
			if (candidates->list[i].entries_taken < round)
				add_entries(ctx, &candidates->list[i], 1);
		}
	}
}

msp_status_t
msp_locate_entries(const msp_membership_t *membership, const msp_relay_t *relay,
    const msp_lookup_t *lookup, msp_lookup_result_t *result)
{
	locate_ctx_t ctx = {
	    .membership = membership,
	    .result = result,
	    .max = lookup->max == 0 || lookup->max > MSP_LOOKUP_ENTRIES_MAX
		? MSP_LOOKUP_ENTRIES_MAX
		: lookup->max,
	};
	msp_place_candidate_t *nearest = &ctx.candidates.list[0];

	result->count = 0;
	msp_rank_places(membership, relay, lookup, &ctx.candidates);
	if (ctx.candidates.count == 0)
		return msp_fail(MSP_E_NO_TARGET, "no entry VM is known");
	add_entries(&ctx, nearest, (ctx.max + 1) / 2);
	add_fallback(&ctx, true);
	add_fallback(&ctx, false);
	add_round_robin(&ctx);
	add_entries(&ctx, nearest, ctx.max);
	result->ttl_ms = nearest->distance == MSP_DISTANCE_PLACE &&
		!nearest->drained && !nearest->stale &&
		!msp_membership_is_paused(membership)
	    ? TTL_MS
	    : UNSETTLED_TTL_MS;
	return MSP_OK;
}
