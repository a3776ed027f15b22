#include "monsoonspindle/steer/balancer.h"

#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/map.h"
#include "monsoonspindle/steer/region_share.h"

#define MEMORY_SLOTS 8192 /* pairs of object and target that are remembered */
#define MEMORY_SPAN (60 * MSP_SECOND)
#define COLD_SLOWNESS 2.0 /* a target that has just started */
#define FAR_COST (10 * MSP_MS) /* what bytes between regions are worth */
#define FAILURE_COST 2.0 /* objectives that a failed try is worth */
#define FULL_COST (500 * MSP_MS)
#define CHOICES_MAX 4 /* targets in the order of an object that are weighed */
/*
 * A target without the object works several times as long and so takes room
 * from others: a later choice must cost less than this part of the first.
 */
#define LATER_GAIN 0.5
#define LATER_WARM_GAIN 0.8 /* where the object is known to be warm */

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
	msp_latency_model_t *book;
	msp_map_t *shares; /* msp_region_share_t by service */
	memory_slot_t memory[MEMORY_SLOTS];
};

/* Slots and load of targets that may have a request. */
typedef struct room {
	double slots;
	double busy;
	double told; /* requests of other VMs, by the weight of the reports */
	double told_slots;
} room_t;

typedef struct rooms {
	room_t here; /* this VM's region */
	room_t elsewhere;
} rooms_t;

/* The first targets for one object, by rendezvous hashing. */
typedef struct ranking {
	msp_view_target_t *list[CHOICES_MAX];
	uint64_t scores[CHOICES_MAX];
	size_t count;
} ranking_t;

msp_balancer_t *
msp_new_balancer(const msp_env_t *env, const msp_balancer_options_t *options,
    const msp_balancer_callbacks_t *callbacks, msp_target_view_t *view,
    msp_latency_model_t *book)
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
		free(share);
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
	return msp_target_is_usable(target, request->service->name) &&
	    target->traffic.suspect_since == 0 &&
	    msp_route_allows_region(request->route, target->region) &&
	    !balancer->callbacks.is_evacuated(
		balancer->callbacks.ctx, target->registration.place);
}

static bool
is_here(const msp_balancer_t *balancer, const msp_view_target_t *target)
{
	return strcmp(target->region, balancer->options.region) == 0;
}

/* Requests of other VMs on a target of which there is no news. */
static double
usual_load(const room_t *room, const msp_view_target_t *target)
{
	if (room->told_slots <= 0)
		return 0;
	return room->told / room->told_slots * target->registration.slots;
}

static double
estimate_load(const msp_balancer_t *balancer, const rooms_t *rooms,
    const msp_view_target_t *target)
{
	const room_t *room =
	    is_here(balancer, target) ? &rooms->here : &rooms->elsewhere;

	return msp_estimate_target_load(&target->traffic,
	    msp_now(&balancer->env), usual_load(room, target));
}

static void
measure_rooms(msp_balancer_t *balancer, const msp_balance_request_t *request,
    rooms_t *rooms)
{
	msp_time_t now = msp_now(&balancer->env);
	const msp_view_target_t *target;
	double weight;
	room_t *room;

	*rooms = (rooms_t){0};
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target))
			continue;
		room = is_here(balancer, target) ? &rooms->here
						 : &rooms->elsewhere;
		weight = msp_server_load_weight(&target->traffic, now);
		room->told += weight * target->traffic.other_vms_load;
		room->told_slots += weight * target->registration.slots;
	}
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target) ||
		    msp_target_is_cold(target, now))
			continue;
		room = is_here(balancer, target) ? &rooms->here
						 : &rooms->elsewhere;
		room->slots += target->registration.slots;
		room->busy += estimate_load(balancer, rooms, target);
	}
}

static double
use_of(const room_t *room)
{
	return room->slots > 0 ? room->busy / room->slots : -1;
}

static msp_region_share_t *
find_share(msp_balancer_t *balancer, const char *service)
{
	msp_region_share_t *share = msp_map_get(balancer->shares, service);

	if (share != NULL)
		return share;
	share = calloc(1, sizeof(*share));
	if (share == NULL)
		return NULL;
	if (msp_map_put(balancer->shares, service, share) == MSP_OK)
		return share;
	free(share);
	return NULL;
}

/* Whether the request stays in this VM's region. */
static bool
stays_here(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const rooms_t *rooms)
{
	msp_region_share_t *share;

	/* A try that failed may go anywhere; homes bind as they are. */
	if (request->tried_count > 0 || request->route->home_region_count > 0)
		return false;
	share = find_share(balancer, request->service->name);
	if (share == NULL)
		return false;
	msp_update_region_share(share, msp_now(&balancer->env),
	    use_of(&rooms->here), use_of(&rooms->elsewhere));
	return msp_assign_to_region(share);
}

/* Inserts a target by its score, if it is among the first. */
static void
rank_target(ranking_t *ranking, msp_view_target_t *target, uint64_t score)
{
	size_t at = ranking->count;

	if (at == CHOICES_MAX && score <= ranking->scores[at - 1])
		return;
	if (at == CHOICES_MAX)
		at--;
	else
		ranking->count++;
	for (; at > 0 && ranking->scores[at - 1] < score; at--) {
		ranking->scores[at] = ranking->scores[at - 1];
		ranking->list[at] = ranking->list[at - 1];
	}
	ranking->scores[at] = score;
	ranking->list[at] = target;
}

/*
 * The order in which targets are to have the object; without an object, the
 * least busy one comes first.
 */
static void
rank_targets(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const rooms_t *rooms, bool here_only, ranking_t *ranking)
{
	msp_view_target_t *target;
	double use;

	ranking->count = 0;
	TAILQ_FOREACH(target, msp_view_targets(balancer->view), link) {
		if (!is_candidate(balancer, request, target) ||
		    was_tried(request, target) ||
		    (here_only && !is_here(balancer, target)))
			continue;
		if (request->has_object) {
			rank_target(ranking, target,
			    score_target(target, request->object_hash));
			continue;
		}
		use = estimate_load(balancer, rooms, target) /
		    target->registration.slots;
		if (!is_here(balancer, target))
			use += 1;
		rank_target(ranking, target, (uint64_t)(1e12 / (1 + use)));
	}
}

static msp_warmth_t
judge_warmth(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target, size_t rank)
{
	if (!request->has_object ||
	    is_remembered(balancer, score_target(target, request->object_hash)))
		return MSP_WARM;
	return rank == 0 ? MSP_LIKELY_WARM : MSP_UNLIKELY_WARM;
}

static msp_time_t
estimate_wait(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const msp_view_target_t *target, double load)
{
	double slots = (double)target->registration.slots;
	double ahead = load + 1 - slots;
	msp_time_t work =
	    msp_mean_service_time(balancer->book, request->service->name);

	if (ahead <= 0)
		return 0;
	if (work == 0)
		work = msp_predict_service_time(
		    balancer->book, request->route, MSP_LIKELY_WARM);
	return (msp_time_t)(ahead / slots * (double)work);
}

/* Fills `choice` for one target and returns what it costs the caller. */
static double
weigh_target(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const rooms_t *rooms, msp_view_target_t *target, size_t rank,
    msp_balance_choice_t *choice)
{
	msp_time_t now = msp_now(&balancer->env);
	bool far = !is_here(balancer, target);
	double slowness = msp_target_latency_ratio(&target->traffic, now);
	double work;
	double cost;

	choice->target = target;
	choice->warmth = judge_warmth(balancer, request, target, rank);
	choice->cold = msp_target_is_cold(target, now);
	choice->load = estimate_load(balancer, rooms, target);
	choice->wait = estimate_wait(balancer, request, target, choice->load);
	work = (double)msp_predict_service_time(
	    balancer->book, request->route, choice->warmth);
	if (choice->cold)
		slowness *= COLD_SLOWNESS;
	/* Slowness is of the target's own part, not of the way there. */
	choice->expected_latency =
	    msp_predict_latency(balancer->book, request->route, choice->warmth,
		far ? target->region : NULL) +
	    (msp_time_t)((double)choice->wait * slowness);
	if (slowness > 1)
		choice->expected_latency += (msp_time_t)(work * (slowness - 1));
	cost = (double)choice->expected_latency;
	cost += msp_target_failure_rate(&target->traffic, now) * FAILURE_COST *
	    (double)request->route->goal_ms * (double)MSP_MS;
	if (far)
		cost += (double)FAR_COST;
	if (msp_target_is_full(&target->traffic, now))
		cost += (double)FULL_COST;
	return cost;
}

/*
 * Whether the answer would come too late. What need not wait is tried: its
 * latency may be a mere guess.
 */
static bool
is_hopeless(
    const msp_balance_request_t *request, const msp_balance_choice_t *choice)
{
	return choice->wait > 0 &&
	    choice->expected_latency > request->time_left;
}

/* A cold target gets requests from VMs of its own data centre, at a pace. */
static bool
may_have_cold(msp_balancer_t *balancer, const msp_balance_request_t *request,
    msp_view_target_t *target)
{
	if (strcmp(target->registration.place, balancer->options.place) != 0)
		return false;
	return msp_admit_cold_request(&target->traffic, msp_now(&balancer->env),
	    request->service->cold_requests_per_s *
		balancer->options.cold_rate_factor,
	    balancer->callbacks.count_cold_senders(balancer->callbacks.ctx));
}

/*
 * The first of the ranking that may have the request, unless a later one is
 * far better.
 */
static msp_status_t
choose_ranked(msp_balancer_t *balancer, const msp_balance_request_t *request,
    const rooms_t *rooms, const ranking_t *ranking,
    msp_balance_choice_t *choice)
{
	msp_balance_choice_t option;
	bool late = false;
	bool found = false;
	double best = 0;
	double gain;
	double cost;
	size_t i;

	for (i = 0; i < ranking->count; i++) {
		cost = weigh_target(
		    balancer, request, rooms, ranking->list[i], i, &option);
		if (is_hopeless(request, &option)) {
			if (!late && !found)
				*choice = option;
			late = true;
			continue;
		}
		gain = option.warmth == MSP_WARM ? LATER_WARM_GAIN : LATER_GAIN;
		if (found && cost >= best * gain)
			continue;
		if (option.cold &&
		    !may_have_cold(balancer, request, option.target))
			continue;
		found = true;
		best = cost;
		*choice = option;
	}
	if (found)
		return MSP_OK;
	if (late)
		return msp_fail(
		    MSP_E_OVERLOAD, "no target is expected to answer in time");
	choice->target = NULL;
	return msp_fail(MSP_E_NO_TARGET, "no target may have the request");
}

msp_status_t
msp_balance(msp_balancer_t *balancer, const msp_balance_request_t *request,
    msp_balance_choice_t *choice)
{
	ranking_t ranking;
	rooms_t rooms;

	*choice = (msp_balance_choice_t){0};
	measure_rooms(balancer, request, &rooms);
	if (stays_here(balancer, request, &rooms)) {
		rank_targets(balancer, request, &rooms, true, &ranking);
		if (choose_ranked(
			balancer, request, &rooms, &ranking, choice) == MSP_OK)
			return MSP_OK;
	}
	rank_targets(balancer, request, &rooms, false, &ranking);
	return choose_ranked(balancer, request, &rooms, &ranking, choice);
}

void
msp_begin_balanced_request(
    msp_balancer_t *balancer, const msp_balance_choice_t *choice)
{
	(void)balancer;
	msp_keep_view_target(choice->target)->traffic.in_flight++;
}

void
msp_end_balanced_request(msp_balancer_t *balancer,
    const msp_balance_request_t *request, const msp_balance_choice_t *choice,
    msp_time_t took, bool answered)
{
	msp_view_target_t *target = choice->target;
	msp_time_t now = msp_now(&balancer->env);
	memory_slot_t *slot;
	uint64_t key;

	if (target->traffic.in_flight > 0)
		target->traffic.in_flight--;
	if (answered) {
		msp_record_target_latency(
		    &target->traffic, now, took, choice->expected_latency);
		if (choice->wait == 0 && !choice->cold)
			msp_record_latency(balancer->book, request->route,
			    request->service->name, choice->warmth,
			    is_here(balancer, target) ? NULL : target->region,
			    took);
	}
	if (answered && request->has_object) {
		key = score_target(target, request->object_hash);
		slot = find_memory(balancer, key);
		slot->key = key;
		slot->at = now;
	}
	msp_release_view_target(target);
}
