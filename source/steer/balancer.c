#include "monsoonspindle/steer/balancer.h"

#include <math.h>
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
/*
 * A target without the object works several times as long, so that spreading
 * objects takes room from others. A slot's time is priced by how busy the
 * region is: nothing up to USE_FREE of its slots, then PRESSURE for each whole
 * use beyond it.
 */
#define USE_FREE 0.5
#define PRESSURE 3.0
#define PRESSURE_MAX 4.0
#define WAIT_MIN 0.25 /* objectives that a request may wait in any case */
#define URGENT_WAIT 1.5 /* factor on the wait of the most urgent requests */
#define URGENT_FALL 0.25 /* by which each step of priority divides it */

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

/* Room of each region's targets, this VM's own region first. */
typedef struct regions {
	msp_region_room_t rooms[MSP_SHARE_REGIONS_MAX];
	/* Requests of other VMs a slot, over the targets that told of them. */
	double usual[MSP_SHARE_REGIONS_MAX];
	size_t count;
} regions_t;

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

/* Index of a region, added if it is new; MSP_SHARE_REGIONS_MAX if full. */
static size_t
find_or_add_region(regions_t *regions, const char *name)
{
	size_t i;

	for (i = 0; i < regions->count; i++) {
		if (strcmp(regions->rooms[i].region, name) == 0)
			return i;
	}
	if (i < MSP_SHARE_REGIONS_MAX)
		regions->rooms[regions->count++] =
		    (msp_region_room_t){.region = name};
	return i;
}

static void
measure_usual(msp_balancer_t *balancer, const msp_balance_request_t *request,
    regions_t *regions)
{
	msp_time_t now = msp_now(&balancer->env);
	double weights[MSP_SHARE_REGIONS_MAX] = {0};
	const msp_view_target_t *target;
	double weight;
	size_t i;

	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target))
			continue;
		i = find_or_add_region(regions, target->region);
		if (i == MSP_SHARE_REGIONS_MAX)
			continue;
		weight = msp_told_weight(&target->traffic, now);
		regions->usual[i] += weight * target->traffic.others;
		weights[i] += weight * target->registration.slots;
	}
	for (i = 0; i < regions->count; i++) {
		if (weights[i] > 0)
			regions->usual[i] /= weights[i];
	}
}

static double
estimate_load(const regions_t *regions, size_t region,
    const msp_view_target_t *target, msp_time_t now)
{
	return msp_estimate_target_load(&target->traffic, now,
	    regions->usual[region] * target->registration.slots);
}

/* Slots and load of each region's targets that may have the request. */
static void
measure_regions(msp_balancer_t *balancer, const msp_balance_request_t *request,
    regions_t *regions)
{
	msp_time_t now = msp_now(&balancer->env);
	const msp_view_target_t *target;
	size_t i;

	*regions = (regions_t){0};
	find_or_add_region(regions, balancer->options.region);
	measure_usual(balancer, request, regions);
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target) ||
		    msp_target_cold(target, now))
			continue;
		i = find_or_add_region(regions, target->region);
		if (i == MSP_SHARE_REGIONS_MAX)
			continue;
		regions->rooms[i].slots += target->registration.slots;
		regions->rooms[i].busy +=
		    estimate_load(regions, i, target, now);
	}
}

static double
pressure_of(const regions_t *regions, size_t region)
{
	double use;

	if (regions->rooms[region].slots <= 0)
		return 0;
	use = regions->rooms[region].busy / regions->rooms[region].slots;
	return fmax(0, fmin(PRESSURE_MAX, PRESSURE * (use - USE_FREE)));
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
    const first_choices_t *firsts, const regions_t *regions, size_t index,
    msp_view_target_t *target, msp_balance_choice_t *choice)
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
	choice->load = estimate_load(regions, index, target, now);
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
	cost = (double)choice->expected + pressure_of(regions, index) * work;
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
    regions_t *regions, const msp_view_target_t *const *passed,
    size_t passed_count, msp_balance_choice_t *choice)
{
	msp_balance_choice_t option;
	msp_view_target_t *target;
	double best = 0;
	double cost;
	bool found = false;
	size_t index;
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
		index = find_or_add_region(regions, target->region);
		if (index == MSP_SHARE_REGIONS_MAX)
			continue;
		cost = weigh_target(
		    balancer, request, firsts, regions, index, target, &option);
		if (found && cost >= best)
			continue;
		found = true;
		best = cost;
		*choice = option;
	}
	return found;
}

#define COLD_PASSED_MAX 16 /* cold targets that are passed over at most */

/*
 * Whether the request would wait so long that it is of little use, and takes
 * the place of others. What need not wait is tried: its latency may be a mere
 * guess.
 */
static bool
is_hopeless(
    const msp_balance_request_t *request, const msp_balance_choice_t *choice)
{
	const msp_path_route_t *route = request->route;
	double goal = (double)route->goal_ms * (double)MSP_MS;
	double work = (double)(choice->expected - choice->wait);
	double allowed = goal - work;

	if (choice->wait == 0)
		return false;
	if (allowed < goal * WAIT_MIN)
		allowed = goal * WAIT_MIN;
	allowed *= URGENT_WAIT / (1 + URGENT_FALL * route->priority);
	return (double)choice->wait > allowed ||
	    choice->expected > request->left;
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

/* The region whose targets are to have the request; NULL: any. */
static const char *
choose_region(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const regions_t *regions)
{
	msp_region_share_t *share;

	/* A try that failed may go anywhere; homes bind as they are. */
	if (request->tried_count > 0 || request->route->home_count > 0)
		return NULL;
	share = find_share(balancer, request->service->name);
	if (share == NULL)
		return NULL;
	msp_update_region_share(share, regions->rooms, regions->count);
	return msp_share_request(share);
}

static msp_status_t
choose_in_region(msp_balancer_t *balancer, const msp_balance_request_t *request,
    regions_t *regions, const char *region, msp_balance_choice_t *choice)
{
	const msp_view_target_t *passed[COLD_PASSED_MAX];
	first_choices_t firsts;
	size_t passed_count = 0;

	*choice = (msp_balance_choice_t){0};
	find_first_choices(balancer, request, &firsts);
	while (find_cheapest(balancer, request, region, &firsts, regions,
	    passed, passed_count, choice)) {
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
	regions_t regions;
	const char *region;

	measure_regions(balancer, request, &regions);
	region = choose_region(balancer, request, &regions);
	if (region != NULL &&
	    choose_in_region(balancer, request, &regions, region, choice) ==
		MSP_OK)
		return MSP_OK;
	return choose_in_region(balancer, request, &regions, NULL, choice);
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
