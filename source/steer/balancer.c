#include "monsoonspindle/steer/balancer.h"

#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/map.h"
#include "monsoonspindle/steer/region_share.h"

#define MEMORY_SLOTS 8192 /* pairs of object and target that are remembered */
#define MEMORY_SPAN (60 * MSP_SECOND)
#define REGIONS_MAX 32
#define COLD_SLOWNESS 2.0 /* a target that has just started */
#define FAR_COST (10 * MSP_MS) /* what bytes between regions are worth */
#define FAILURE_COST 2.0 /* objectives that a failed try is worth */
#define FULL_COST (500 * MSP_MS)
#define NEAR_COST (1 * MSP_MS) /* another data centre of the same region */

/* When this VM last had an object answered by a target. */
typedef struct memory_slot {
	uint64_t key;
	msp_time_t at;
} memory_slot_t;

struct msp_balancer {
	msp_env_t env;
	msp_balancer_options_t options;
	msp_balancer_callbacks_t callbacks;
	msp_target_view_t *view;
	msp_latency_book_t *book;
	msp_map_t *shares; /* msp_region_share_t by service */
	memory_slot_t memory[MEMORY_SLOTS];
};

/* The first choice of each region for one object. */
typedef struct first_choices {
	struct {
		const char *region;
		const msp_view_target_t *target;
		uint64_t score;
	} list[REGIONS_MAX];
	size_t count;
} first_choices_t;

msp_balancer_t *
msp_new_balancer(const msp_env_t *env, const msp_balancer_options_t *options,
    const msp_balancer_callbacks_t *callbacks, msp_target_view_t *view,
    msp_latency_book_t *book)
{
	msp_balancer_t *balancer = calloc(1, sizeof(*balancer));

	if (balancer == NULL)
		return NULL;
	balancer->env = *env;
	balancer->options = *options;
	balancer->callbacks = *callbacks;
	balancer->view = view;
	balancer->book = book;
	balancer->shares = msp_new_map();
	if (balancer->shares != NULL)
		return balancer;
	free(balancer);
	return NULL;
}

void
msp_drop_balancer(msp_balancer_t *balancer)
{
	size_t cursor = 0;
	void *share;

	if (balancer == NULL)
		return;
	while (msp_map_next(balancer->shares, &cursor, NULL, &share))
		msp_drop_region_share(share);
	msp_drop_map(balancer->shares);
	free(balancer);
}

static uint64_t
score_target(const msp_view_target_t *target, uint64_t object)
{
	return msp_hash_text(target->registration.id, object);
}

static memory_slot_t *
find_memory(msp_balancer_t *balancer, uint64_t key)
{
	return &balancer->memory[key % MEMORY_SLOTS];
}

static bool
is_remembered(msp_balancer_t *balancer, uint64_t key)
{
	const memory_slot_t *slot = find_memory(balancer, key);

	return slot->at != 0 && slot->key == key &&
	    msp_now(&balancer->env) < slot->at + MEMORY_SPAN;
}

static bool
was_tried(const msp_balance_request_t *request, const msp_view_target_t *target)
{
	size_t i;

	for (i = 0; i < request->tried_count; i++) {
		if (request->tried[i] == target)
			return true;
	}
	return false;
}

/* Whether the target may have the request at all. */
static bool
is_candidate(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target)
{
	return msp_target_usable(target, request->service->name) &&
	    target->traffic.suspect_since == 0 &&
	    msp_route_allows_region(request->route, target->region) &&
	    !balancer->callbacks.is_evacuated(
		balancer->callbacks.ctx, target->registration.place);
}

static void
find_first_choices(msp_balancer_t *balancer,
    const msp_balance_request_t *request, first_choices_t *firsts)
{
	const msp_view_target_t *target;
	uint64_t score;
	size_t i;

	firsts->count = 0;
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target))
			continue;
		score = score_target(target, request->object);
		for (i = 0; i < firsts->count; i++) {
			if (strcmp(firsts->list[i].region, target->region) == 0)
				break;
		}
		if (i == REGIONS_MAX)
			continue;
		if (i == firsts->count) {
			firsts->list[i].region = target->region;
			firsts->list[i].score = 0;
			firsts->count++;
		}
		if (score >= firsts->list[i].score) {
			firsts->list[i].score = score;
			firsts->list[i].target = target;
		}
	}
}

static msp_warmth_t
judge_warmth(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const first_choices_t *firsts, const msp_view_target_t *target)
{
	size_t i;

	if (!request->has_object)
		return MSP_WARM;
	if (is_remembered(balancer, score_target(target, request->object)))
		return MSP_WARM;
	for (i = 0; i < firsts->count; i++) {
		if (firsts->list[i].target == target)
			return MSP_LIKELY_WARM;
	}
	return MSP_UNLIKELY_WARM;
}

static msp_time_t
estimate_wait(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target, double load)
{
	double slots = (double)target->registration.slots;
	double ahead = load + 1 - slots;
	msp_time_t work = msp_mean_work(balancer->book, request->service->name);

	if (ahead <= 0)
		return 0;
	if (work == 0)
		work = msp_expect_work(
		    balancer->book, request->route, MSP_LIKELY_WARM);
	return (msp_time_t)(ahead / slots * (double)work);
}

/* NULL for this VM's own region. */
static const char *
far_region(const msp_balancer_t *balancer, const msp_view_target_t *target)
{
	if (strcmp(target->region, balancer->options.region) == 0)
		return NULL;
	return target->region;
}

/* Fills `choice` for one target and returns what it costs the caller. */
static double
weigh_target(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const first_choices_t *firsts, msp_view_target_t *target,
    msp_balance_choice_t *choice)
{
	msp_time_t now = msp_now(&balancer->env);
	const char *region = far_region(balancer, target);
	double slowness =
	    target->traffic.slowness == 0 ? 1 : target->traffic.slowness;
	double work;
	double cost;

	choice->target = target;
	choice->warmth = judge_warmth(balancer, request, firsts, target);
	choice->cold = msp_target_cold(target, now);
	choice->load = msp_estimate_target_load(&target->traffic, now);
	choice->wait = estimate_wait(balancer, request, target, choice->load);
	work = (double)msp_expect_work(
	    balancer->book, request->route, choice->warmth);
	if (choice->cold)
		slowness *= COLD_SLOWNESS;
	/* Slowness is of the target's own part, not of the way there. */
	choice->expected = msp_expect_latency(balancer->book, request->route,
			       choice->warmth, region) +
	    (msp_time_t)((double)choice->wait * slowness);
	if (slowness > 1)
		choice->expected += (msp_time_t)(work * (slowness - 1));
	cost = (double)choice->expected;
	cost += msp_target_failure_share(&target->traffic, now) * FAILURE_COST *
	    (double)request->route->goal_ms * (double)MSP_MS;
	if (region != NULL)
		cost += (double)FAR_COST;
	else if (strcmp(target->registration.place, balancer->options.place) !=
	    0)
		cost += (double)NEAR_COST;
	if (msp_target_full(&target->traffic, now))
		cost += (double)FULL_COST;
	return cost;
}

/* A cold target gets requests from VMs of its own data centre, at a pace. */
static bool
may_have_cold(msp_balancer_t *balancer, const msp_balance_request_t *request,
    msp_view_target_t *target)
{
	if (strcmp(target->registration.place, balancer->options.place) != 0)
		return false;
	return msp_pace_cold_target(&target->traffic, msp_now(&balancer->env),
	    request->service->cold_per_s * balancer->options.cold_margin,
	    balancer->callbacks.count_cold_senders(balancer->callbacks.ctx));
}

/* The cheapest target of a region (NULL: of any) that is not among `passed`. */
static bool
find_cheapest(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const char *region, const first_choices_t *firsts,
    const msp_view_target_t *const *passed, size_t passed_count,
    msp_balance_choice_t *choice)
{
	msp_balance_choice_t option;
	msp_view_target_t *target;
	double best = 0;
	double cost;
	bool found = false;
	size_t i;

	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target) ||
		    was_tried(request, target) ||
		    (region != NULL && strcmp(region, target->region) != 0))
			continue;
		for (i = 0; i < passed_count && passed[i] != target; i++)
			;
		if (i < passed_count)
			continue;
		cost =
		    weigh_target(balancer, request, firsts, target, &option);
		if (found && cost >= best)
			continue;
		found = true;
		best = cost;
		*choice = option;
	}
	return found;
}

#define COLD_PASSED_MAX 16 /* cold targets that are passed over at most */

/* What has not waited anywhere is tried: its latency may be a mere guess. */
static bool
is_hopeless(
    const msp_balance_request_t *request, const msp_balance_choice_t *choice)
{
	return choice->wait > 0 && choice->expected > request->left;
}

static msp_region_share_t *
find_share(msp_balancer_t *balancer, const char *service)
{
	msp_region_share_t *share = msp_map_get(balancer->shares, service);

	if (share != NULL)
		return share;
	share = msp_new_region_share(&balancer->env);
	if (share == NULL)
		return NULL;
	if (msp_map_put(balancer->shares, service, share) == MSP_OK)
		return share;
	msp_drop_region_share(share);
	return NULL;
}

/* Slots and load of each region's targets that may have the request. */
static size_t
measure_rooms(msp_balancer_t *balancer, const msp_balance_request_t *request,
    msp_region_room_t *rooms)
{
	msp_time_t now = msp_now(&balancer->env);
	const msp_view_target_t *target;
	size_t count = 1;
	size_t i;

	rooms[0] =
	    (msp_region_room_t){.region = balancer->options.region};
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!msp_target_usable(target, request->service->name))
			continue;
		for (i = 0; i < count; i++) {
			if (strcmp(rooms[i].region, target->region) == 0)
				break;
		}
		if (i == MSP_SHARE_REGIONS_MAX)
			continue;
		if (i == count)
			rooms[count++] =
			    (msp_region_room_t){.region = target->region};
		if (!is_candidate(balancer, request, target) ||
		    msp_target_cold(target, now))
			continue;
		rooms[i].slots += target->registration.slots;
		rooms[i].busy +=
		    msp_estimate_target_load(&target->traffic, now);
	}
	return count;
}

/* The region whose targets are to have the request; NULL: any. */
static const char *
choose_region(msp_balancer_t *balancer, const msp_balance_request_t *request)
{
	msp_region_room_t rooms[MSP_SHARE_REGIONS_MAX];
	msp_region_share_t *share;
	size_t count;

	/* A try that failed may go anywhere; homes bind as they are. */
	if (request->tried_count > 0 || request->route->home_count > 0)
		return NULL;
	share = find_share(balancer, request->service->name);
	if (share == NULL)
		return NULL;
	count = measure_rooms(balancer, request, rooms);
	msp_update_region_share(share, rooms, count);
	return msp_share_request(share);
}

static msp_status_t
choose_in_region(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const char *region, msp_balance_choice_t *choice)
{
	const msp_view_target_t *passed[COLD_PASSED_MAX];
	first_choices_t firsts;
	size_t passed_count = 0;

	*choice = (msp_balance_choice_t){0};
	find_first_choices(balancer, request, &firsts);
	while (find_cheapest(balancer, request, region, &firsts, passed,
	    passed_count, choice)) {
		if (!choice->cold && is_hopeless(request, choice))
			return msp_fail(MSP_E_OVERLOAD,
			    "no target is expected to answer in time");
		if (!choice->cold ||
		    (!is_hopeless(request, choice) &&
			may_have_cold(balancer, request, choice->target)))
			return MSP_OK;
		if (passed_count == COLD_PASSED_MAX)
			break;
		passed[passed_count++] = choice->target;
	}
	choice->target = NULL;
	return msp_fail(MSP_E_NO_TARGET, "no target may have the request");
}

msp_status_t
msp_balance(msp_balancer_t *balancer, const msp_balance_request_t *request,
    msp_balance_choice_t *choice)
{
	const char *region = choose_region(balancer, request);

	if (region != NULL &&
	    choose_in_region(balancer, request, region, choice) == MSP_OK)
		return MSP_OK;
	return choose_in_region(balancer, request, NULL, choice);
}

void
msp_begin_balanced(
    msp_balancer_t *balancer, const msp_balance_choice_t *choice)
{
	(void)balancer;
	msp_keep_view_target(choice->target)->traffic.in_flight++;
}

void
msp_end_balanced(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_balance_choice_t *choice, msp_time_t took, bool answered)
{
	msp_view_target_t *target = choice->target;
	const char *region = far_region(balancer, target);
	memory_slot_t *slot;
	uint64_t key;

	if (target->traffic.in_flight > 0)
		target->traffic.in_flight--;
	if (answered) {
		msp_note_target_latency(&target->traffic, took, choice->expected);
		if (choice->wait == 0 && !choice->cold)
			msp_learn_latency(balancer->book, request->route,
			    request->service->name, choice->warmth, region,
			    took);
	}
	if (answered && request->has_object) {
		key = score_target(target, request->object);
		slot = find_memory(balancer, key);
		slot->key = key;
		slot->at = msp_now(&balancer->env);
	}
	msp_release_view_target(target);
}
