#include "spillover.h"

#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "load.h"
#include "members.h"
#include "monsoonspindle/coord/credits.h"
#include "monsoonspindle/steer/spill.h"

#define REFRESH_PERIOD (100 * MSP_MS)
/* Round trips, as deployments have them; only their order matters much. */
#define NEAR_RTT (1 * MSP_MS)
#define FAR_RTT (55 * MSP_MS)

/* One service's other places, as last looked at. */
typedef struct shift_state {
	msp_spill_t spill[MSP_CLASS_COUNT];
	msp_sender_credits_t *wallet; /* of offers by places of other regions */
	msp_time_t refreshed;
	msp_spill_option_t options[MSP_PLACES_MAX];
	msp_time_t background_waits[MSP_PLACES_MAX];
	char names[MSP_PLACES_MAX][MSP_MEMBER_NAME_SIZE];
	bool is_far[MSP_PLACES_MAX]; /* in another region: needs credit */
	size_t count;
} shift_state_t;

struct spillover {
	daemon_t *daemon;
	msp_map_t *states; /* service to shift_state_t */
};

spillover_t *
new_spillover(struct daemon *daemon)
{
	spillover_t *shifts = calloc(1, sizeof(*shifts));

	if (shifts == NULL)
		return NULL;
	shifts->daemon = daemon;
	shifts->states = msp_new_map();
	if (shifts->states == NULL) {
		free(shifts);
		return NULL;
	}
	return shifts;
}

void
drop_spillover(spillover_t *shifts)
{
	shift_state_t *state;
	size_t cursor = 0;
	void *value;

	if (shifts == NULL)
		return;
	while (msp_map_next(shifts->states, &cursor, NULL, &value)) {
		state = value;
		msp_drop_sender_credits(state->wallet);
		free(state);
	}
	msp_drop_map(shifts->states);
	free(shifts);
}

static shift_state_t *
open_state(spillover_t *shifts, const char *service)
{
	shift_state_t *state = msp_map_get(shifts->states, service);

	if (state != NULL)
		return state;
	state = calloc(1, sizeof(*state));
	if (state == NULL)
		return NULL;
	state->wallet = msp_new_sender_credits(&shifts->daemon->env);
	if (state->wallet == NULL ||
	    msp_map_put(shifts->states, service, state) != MSP_OK) {
		msp_drop_sender_credits(state->wallet);
		free(state);
		return NULL;
	}
	return state;
}

/* VMs of this region: each may spend its part of an offer. */
static uint32_t
count_spenders(const daemon_t *daemon)
{
	const msp_relay_t *relay = get_places_relay(daemon->places);
	const msp_membership_t *list = get_membership(daemon->members);
	const msp_member_t *live[MSP_MEMBERS_MAX];
	uint32_t count =
	    (uint32_t)msp_list_live_members(list, live, MSP_MEMBERS_MAX);
	size_t i;

	for (i = 0; i < msp_summary_count(relay); i++) {
		const msp_summary_t *summary = msp_summary_at(relay, i);

		if (strcmp(summary->region, daemon->settings->region) == 0 &&
		    strcmp(summary->place, daemon->settings->place) != 0)
			count += summary->live;
	}
	return count == 0 ? 1 : count;
}

static void
take_offer(const daemon_t *daemon, shift_state_t *state,
    const msp_summary_t *summary, const load_t *load,
    const load_service_t *service, uint32_t spenders)
{
	msp_time_t age = msp_summary_age(summary, msp_now(&daemon->env));
	const load_offer_t *found = find_load_offer(
	    load, service->service, hash_name(daemon->settings->region));
	msp_credit_offer_t offer = {0};

	if (found != NULL) {
		offer.rate.requests = found->requests;
		offer.rate.bytes = found->bytes;
		offer.valid_for = found->valid_for;
		offer.wait = service->wait;
		offer.background_wait = service->background_wait;
	}
	msp_accept_credit_offer(
	    state->wallet, summary->place, &offer, spenders, age);
}

/* Takes one data centre in, unless it is of no use to the service. */
static void
add_place(const daemon_t *daemon, shift_state_t *state, const char *service,
    const msp_summary_t *summary, bool may_go_far, uint32_t spenders)
{
	bool far = strcmp(summary->region, daemon->settings->region) != 0;
	const load_service_t *found;
	msp_spill_option_t *option = &state->options[state->count];
	load_t load;

	decode_load(summary->credits, summary->credits_len, &load);
	found = find_load_service(&load, hash_name(service));
	if (found == NULL || found->wait == MSP_NEVER || (far && !may_go_far) ||
	    summary->draining || is_place_drained(daemon, summary->place) ||
	    msp_summary_is_stale(get_places_relay(daemon->places), summary))
		return;
	if (far)
		take_offer(daemon, state, summary, &load, found, spenders);
	state->background_waits[state->count] = far
	    ? msp_get_offered_background_wait(state->wallet, summary->place)
	    : found->background_wait;
	option->rtt = far ? FAR_RTT : NEAR_RTT;
	option->wait = far ? msp_get_offered_wait(state->wallet, summary->place)
			   : found->wait;
	state->is_far[state->count] = far;
	memcpy(state->names[state->count++], summary->place,
	    sizeof(summary->place));
}

static void
refresh(spillover_t *shifts, shift_state_t *state, const char *service)
{
	const daemon_t *daemon = shifts->daemon;
	const msp_relay_t *relay = get_places_relay(daemon->places);
	const msp_service_t *spec =
	    msp_find_service(get_daemon_release(daemon), service);
	msp_time_t now = msp_now(&daemon->env);
	uint32_t spenders;
	size_t i;

	if (now < state->refreshed + REFRESH_PERIOD || spec == NULL)
		return;
	spenders = count_spenders(daemon);
	state->refreshed = now;
	state->count = 0;
	for (i = 0;
	     i < msp_summary_count(relay) && state->count < MSP_PLACES_MAX;
	     i++) {
		const msp_summary_t *summary = msp_summary_at(relay, i);

		if (strcmp(summary->place, daemon->settings->place) != 0)
			add_place(daemon, state, service, summary, spec->spill,
			    spenders);
	}
}

/* Takes the credit and a VM of the chosen place. */
static bool
take_place(spillover_t *shifts, shift_state_t *state, size_t index,
    remote_vm_t *choice)
{
	const places_t *places = shifts->daemon->places;
	const msp_summary_t *summary =
	    msp_find_summary(get_places_relay(places), state->names[index]);

	if (summary == NULL || !choose_entry_vm(places, summary, choice))
		return false;
	if (state->is_far[index] &&
	    msp_spend_credit(state->wallet, summary->place) != MSP_OK)
		return false;
	choice->reason = state->is_far[index] ? "other-region" : "sibling";
	return true;
}

/* The options as the class of a request sees them. */
static const msp_spill_option_t *
view_options(
    const shift_state_t *state, msp_class_t class, msp_spill_option_t *out)
{
	size_t i;

	if (class != MSP_CLASS_BACKGROUND)
		return state->options;
	for (i = 0; i < state->count; i++) {
		out[i].rtt = state->options[i].rtt;
		out[i].wait = state->background_waits[i];
	}
	return out;
}

static msp_time_t
find_local_wait(const daemon_t *daemon, const proxy_request_t *work)
{
	load_service_t load;

	if (is_place_drained(daemon, daemon->settings->place))
		return MSP_NEVER;
	if (!get_service_load(daemon, work->service, &load))
		return 0;
	return work->class == MSP_CLASS_BACKGROUND ? load.background_wait
						   : load.wait;
}

bool
choose_spill_place(
    spillover_t *shifts, const proxy_request_t *work, remote_vm_t *choice)
{
	const daemon_t *daemon = shifts->daemon;
	shift_state_t *state = open_state(shifts, work->service);
	msp_spill_option_t options[MSP_PLACES_MAX];
	int index;

	if (state == NULL)
		return false;
	refresh(shifts, state, work->service);
	if (state->count == 0)
		return false;
	index = msp_decide_spill(&state->spill[work->class], &daemon->env,
	    find_local_wait(daemon, work),
	    view_options(state, work->class, options), state->count);
	if (index == MSP_SPILL_LOCAL)
		return false;
	return take_place(shifts, state, (size_t)index, choice);
}

static bool
was_tried(const proxy_request_t *work, const char *place)
{
	uint32_t hash = hash_name(place);
	int i;

	for (i = 0; i < work->route_tried_count; i++) {
		if (work->route_tried[i] == hash)
			return true;
	}
	return false;
}

bool
choose_retry_place(
    spillover_t *shifts, const proxy_request_t *work, remote_vm_t *choice)
{
	shift_state_t *state = open_state(shifts, work->service);
	msp_spill_option_t room[MSP_PLACES_MAX] = {{0}};
	const msp_spill_option_t *options;
	msp_time_t best_cost = MSP_NEVER;
	size_t best = 0;
	size_t i;

	if (state == NULL)
		return false;
	refresh(shifts, state, work->service);
	options = view_options(state, work->class, room);
	for (i = 0; i < state->count; i++) {
		const msp_spill_option_t *option = &options[i];

		if (option->wait == MSP_NEVER ||
		    was_tried(work, state->names[i]) ||
		    option->rtt + option->wait >= best_cost)
			continue;
		best = i;
		best_cost = option->rtt + option->wait;
	}
	if (best_cost == MSP_NEVER)
		return false;
	return take_place(shifts, state, best, choice);
}
