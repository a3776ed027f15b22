#include "spillover.h"

#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "load.h"
#include "members.h"
#include "monsoonspindle/coord/credits.h"
#include "monsoonspindle/steer/spill.h"

#define REFRESH_PERIOD (100 * MSP_MS)
/* Typical round trip times of deployments. Mainly their order matters. */
#define NEAR_RTT (1 * MSP_MS)
#define FAR_RTT (55 * MSP_MS)

/* The data centres that may get requests of one service. */
typedef struct service_state {
	msp_spill_t spill[MSP_CLASS_COUNT];
	msp_sender_credits_t *credits; /* offered by other regions */
	msp_time_t refreshed;
	msp_spill_option_t options[MSP_PLACES_MAX];
	msp_time_t background_waits[MSP_PLACES_MAX];
	char names[MSP_PLACES_MAX][MSP_MEMBER_NAME_SIZE];
	bool is_far[MSP_PLACES_MAX]; /* in another region, which needs credit */
	size_t count;
} service_state_t;

struct spillover {
	daemon_t *daemon;
	msp_map_t *states; /* service_state_t by service name */
};

spillover_t *
new_spillover(struct daemon *daemon)
{
	spillover_t *spillover = calloc(1, sizeof(*spillover));

	if (spillover == NULL)
		return NULL;
	spillover->daemon = daemon;
	spillover->states = msp_new_map();
	if (spillover->states == NULL) {
		free(spillover);
		return NULL;
	}
	return spillover;
}

void
drop_spillover(spillover_t *spillover)
{
	service_state_t *state;
	size_t cursor = 0;
	void *value;

	if (spillover == NULL)
		return;
	while (msp_map_next(spillover->states, &cursor, NULL, &value)) {
		state = value;
		msp_drop_sender_credits(state->credits);
		free(state);
	}
	msp_drop_map(spillover->states);
	free(spillover);
}

static service_state_t *
open_state(spillover_t *spillover, const char *service)
{
	service_state_t *state = msp_map_get(spillover->states, service);

	if (state != NULL)
		return state;
	state = calloc(1, sizeof(*state));
	if (state == NULL)
		return NULL;
	state->credits = msp_new_sender_credits(&spillover->daemon->env);
	if (state->credits == NULL ||
	    msp_map_put(spillover->states, service, state) != MSP_OK) {
		msp_drop_sender_credits(state->credits);
		free(state);
		return NULL;
	}
	return state;
}

/* Number of VMs of this region, which share each offer equally. */
static uint32_t
count_senders(const daemon_t *daemon)
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
accept_offer(const daemon_t *daemon, service_state_t *state,
    const msp_summary_t *summary, const load_t *load,
    const load_service_t *service, uint32_t senders)
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
	    state->credits, summary->place, &offer, senders, age);
}

/* Adds a data centre, unless it can't take requests of the service. */
static void
add_place(const daemon_t *daemon, service_state_t *state, const char *service,
    const msp_summary_t *summary, bool allow_far, uint32_t senders)
{
	bool far = strcmp(summary->region, daemon->settings->region) != 0;
	const load_service_t *found;
	msp_spill_option_t *option = &state->options[state->count];
	load_t load;

	decode_load(summary->credits, summary->credits_len, &load);
	found = find_load_service(&load, hash_name(service));
	if (found == NULL || found->wait == MSP_NEVER || (far && !allow_far) ||
	    summary->draining || is_place_drained(daemon, summary->place) ||
	    msp_summary_is_stale(get_places_relay(daemon->places), summary))
		return;
	if (far)
		accept_offer(daemon, state, summary, &load, found, senders);
	state->background_waits[state->count] = far
	    ? msp_get_offered_background_wait(state->credits, summary->place)
	    : found->background_wait;
	option->rtt = far ? FAR_RTT : NEAR_RTT;
	option->wait = far
	    ? msp_get_offered_wait(state->credits, summary->place)
	    : found->wait;
	state->is_far[state->count] = far;
	memcpy(state->names[state->count++], summary->place,
	    sizeof(summary->place));
}

static void
refresh_state(
    spillover_t *spillover, service_state_t *state, const char *service)
{
	const daemon_t *daemon = spillover->daemon;
	const msp_relay_t *relay = get_places_relay(daemon->places);
	const msp_service_t *spec =
	    msp_find_service(get_daemon_release(daemon), service);
	msp_time_t now = msp_now(&daemon->env);
	uint32_t senders;
	size_t i;

	if (now < state->refreshed + REFRESH_PERIOD || spec == NULL)
		return;
	senders = count_senders(daemon);
	state->refreshed = now;
	state->count = 0;
	for (i = 0;
	     i < msp_summary_count(relay) && state->count < MSP_PLACES_MAX;
	     i++) {
		const msp_summary_t *summary = msp_summary_at(relay, i);

		if (strcmp(summary->place, daemon->settings->place) != 0)
			add_place(daemon, state, service, summary, spec->spill,
			    senders);
	}
}

/* Picks a VM of the chosen place and spends the credit; false on failure. */
static bool
choose_place_vm(spillover_t *spillover, service_state_t *state, size_t index,
    remote_vm_t *choice)
{
	const places_t *places = spillover->daemon->places;
	const msp_summary_t *summary =
	    msp_find_summary(get_places_relay(places), state->names[index]);

	if (summary == NULL || !choose_entry_vm(places, summary, choice))
		return false;
	if (state->is_far[index] &&
	    msp_spend_credit(state->credits, summary->place) != MSP_OK)
		return false;
	choice->reason = state->is_far[index] ? "other-region" : "sibling";
	return true;
}

/*
 * Returns the options with the waits of a class. The result may be in `out`,
 * which has room for all options.
 */
static const msp_spill_option_t *
get_class_options(const service_state_t *state, msp_request_class_t class,
    msp_spill_option_t *out)
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
find_local_wait(const daemon_t *daemon, const proxy_request_t *request)
{
	load_service_t load;

	if (is_place_drained(daemon, daemon->settings->place))
		return MSP_NEVER;
	if (!get_service_load(daemon, request->service, &load))
		return 0;
	return request->class == MSP_CLASS_BACKGROUND ? load.background_wait
						      : load.wait;
}

bool
choose_spill_place(
    spillover_t *spillover, const proxy_request_t *request, remote_vm_t *choice)
{
	const daemon_t *daemon = spillover->daemon;
	service_state_t *state = open_state(spillover, request->service);
	msp_spill_option_t options[MSP_PLACES_MAX];
	int index;

	if (state == NULL)
		return false;
	refresh_state(spillover, state, request->service);
	if (state->count == 0)
		return false;
	index = msp_decide_spill(&state->spill[request->class], &daemon->env,
	    find_local_wait(daemon, request),
	    get_class_options(state, request->class, options), state->count);
	if (index == MSP_SPILL_LOCAL)
		return false;
	return choose_place_vm(spillover, state, (size_t)index, choice);
}

static bool
was_tried(const proxy_request_t *request, const char *place)
{
	uint32_t hash = hash_name(place);
	int i;

	for (i = 0; i < request->route_tried_count; i++) {
		if (request->route_tried[i] == hash)
			return true;
	}
	return false;
}

bool
choose_retry_place(
    spillover_t *spillover, const proxy_request_t *request, remote_vm_t *choice)
{
	service_state_t *state = open_state(spillover, request->service);
	msp_spill_option_t buffer[MSP_PLACES_MAX] = {{0}};
	const msp_spill_option_t *options;
	msp_time_t best_cost = MSP_NEVER;
	size_t best = 0;
	size_t i;

	if (state == NULL)
		return false;
	refresh_state(spillover, state, request->service);
	options = get_class_options(state, request->class, buffer);
	for (i = 0; i < state->count; i++) {
		const msp_spill_option_t *option = &options[i];

		if (option->wait == MSP_NEVER ||
		    was_tried(request, state->names[i]) ||
		    option->rtt + option->wait >= best_cost)
			continue;
		best = i;
		best_cost = option->rtt + option->wait;
	}
	if (best_cost == MSP_NEVER)
		return false;
	return choose_place_vm(spillover, state, best, choice);
}
