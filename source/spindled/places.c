#include "places.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <json-c/json.h>

#include "daemon.h"
#include "gossip.h"
#include "load.h"
#include "members.h"

#define EXCHANGE_PERIOD MSP_SECOND
#define TICK_INTERVAL (100 * MSP_MS)
#define SUMMARY_STALE_AFTER (20 * MSP_SECOND)

struct places {
	daemon_t *daemon;
	msp_relay_t *relay;
	msp_timer_t *tick_timer;
	/* Data centres with VMs in the platform's list, this one included. */
	char listed[MSP_PLACES_MAX][MSP_MEMBER_NAME_SIZE];
	size_t listed_count;
};

static void
handle_call_done(
    void *ctx, uint32_t token, msp_status_t status, const void *result)
{
	places_t *places = ctx;

	msp_complete_relay_call(places->relay, token, status, result);
}

static void
send_message(void *ctx, const char *address, uint16_t port, uint32_t procedure,
    const void *message, uint32_t token, msp_time_t timeout)
{
	places_t *places = ctx;

	send_gossip_call(places->daemon->gossip, address, port, procedure,
	    message, token, timeout, handle_call_done, places);
}

/*
 * Sets the summary of this data centre, which the relay sends to others if this
 * VM is its author.
 */
static void
update_own_summary(places_t *places)
{
	const daemon_t *daemon = places->daemon;
	const msp_service_t *service;
	const load_service_t *found;
	msp_summary_t summary = {0};
	msp_cursor_t cursor = {0};
	load_t load;

	gather_place_load(daemon, &load);
	summary.draining = is_place_drained(daemon, daemon->settings->place);
	while (summary.service_count < MSP_SUMMARY_SERVICES_MAX &&
	    (service = msp_next_item(get_daemon_release(daemon),
		 MSP_ITEM_SERVICE, &cursor)) != NULL) {
		msp_headroom_t *headroom =
		    &summary.services[summary.service_count];

		found = find_load_service(&load, hash_name(service->name));
		if (found == NULL)
			continue;
		strlcpy(headroom->service, service->name,
		    sizeof(headroom->service));
		headroom->slots = found->slots;
		headroom->slots_free = found->free_slots;
		summary.service_count++;
	}
	summary.credits_len =
	    encode_load(&load, summary.credits, sizeof(summary.credits));
	msp_set_own_summary(places->relay, &summary);
}

static void
handle_tick(void *ctx)
{
	places_t *places = ctx;

	if (places->daemon->dispatchers != NULL)
		update_own_summary(places);
	msp_tick_relay(places->relay);
}

places_t *
new_places(struct daemon *daemon)
{
	places_t *places = calloc(1, sizeof(*places));
	msp_relay_options_t options = {
	    .period = EXCHANGE_PERIOD, .stale_after = SUMMARY_STALE_AFTER};
	msp_relay_callbacks_t callbacks = {.send = send_message, .ctx = places};

	if (places == NULL)
		return NULL;
	places->daemon = daemon;
	places->relay = msp_new_relay(&daemon->env,
	    get_membership(daemon->members), &options, &callbacks);
	places->tick_timer = msp_new_timer(
	    daemon->loop, TICK_INTERVAL, TICK_INTERVAL, handle_tick, places);
	if (places->relay == NULL || places->tick_timer == NULL) {
		drop_places(places);
		return NULL;
	}
	return places;
}

void
drop_places(places_t *places)
{
	if (places == NULL)
		return;
	msp_drop_timer(places->tick_timer);
	msp_drop_relay(places->relay);
	free(places);
}

msp_relay_t *
get_places_relay(const places_t *places)
{
	return places->relay;
}

msp_status_t
serve_summary_exchange(places_t *places, const void *argument, void *result)
{
	return msp_serve_relay(
	    places->relay, MSP_GOSSIP_EXCHANGE, argument, result);
}

/* The region of a data centre by the release in force; "" if unknown. */
static const char *
find_region_name(const daemon_t *daemon, const char *name)
{
	const msp_place_t *place =
	    msp_find_place(get_daemon_release(daemon), name);

	return place == NULL ? "" : place->region;
}

static void
add_listed_place(places_t *places, const char *name)
{
	size_t i;

	for (i = 0; i < places->listed_count; i++) {
		if (strcmp(places->listed[i], name) == 0)
			return;
	}
	if (places->listed_count < MSP_PLACES_MAX)
		strlcpy(places->listed[places->listed_count++], name,
		    MSP_MEMBER_NAME_SIZE);
}

void
set_places_from_vm_list(places_t *places, const msp_vm_t *vms, size_t count)
{
	msp_contact_t *contacts = calloc(count, sizeof(*contacts));
	size_t i;

	if (contacts == NULL)
		return;
	places->listed_count = 0;
	for (i = 0; i < count; i++) {
		add_listed_place(places, vms[i].place);
		strlcpy(
		    contacts[i].place, vms[i].place, sizeof(contacts[i].place));
		strlcpy(contacts[i].region,
		    find_region_name(places->daemon, vms[i].place),
		    sizeof(contacts[i].region));
		strlcpy(contacts[i].address, vms[i].address,
		    sizeof(contacts[i].address));
		contacts[i].peer_port = vms[i].peer_port;
	}
	msp_set_contacts(places->relay, contacts,
	    count > MSP_CONTACTS_MAX ? MSP_CONTACTS_MAX : count);
	free(contacts);
}

bool
choose_entry_vm(
    const places_t *places, const msp_summary_t *summary, remote_vm_t *vm)
{
	const msp_entry_vm_t *entry;

	if (summary->entry_count == 0)
		return false;
	entry = &summary->entries[msp_random_below(
	    &places->daemon->env, summary->entry_count)];
	strlcpy(vm->name, entry->name, sizeof(vm->name));
	strlcpy(vm->place, summary->place, sizeof(vm->place));
	strlcpy(vm->address, entry->address, sizeof(vm->address));
	vm->peer_port = entry->peer_port;
	return true;
}

static bool
is_own_place(const places_t *places, const msp_summary_t *summary)
{
	return strcmp(summary->place, places->daemon->settings->place) == 0;
}

bool
choose_release_peer(places_t *places, uint64_t after, remote_vm_t *vm)
{
	const msp_summary_t *chosen = NULL;
	uint64_t candidate_count = 0;
	size_t i;

	for (i = 0; i < msp_summary_count(places->relay); i++) {
		const msp_summary_t *summary = msp_summary_at(places->relay, i);

		if (summary->release <= after || is_own_place(places, summary))
			continue;
		if (msp_random_below(&places->daemon->env, ++candidate_count) ==
		    0)
			chosen = summary;
	}
	return chosen != NULL && choose_entry_vm(places, chosen, vm);
}

bool
is_place_drained(const struct daemon *daemon, const char *name)
{
	const msp_place_t *place =
	    msp_find_place(get_daemon_release(daemon), name);

	return place != NULL && place->state == MSP_STATE_DRAINING;
}

static json_object *
describe_place(const places_t *places, const msp_summary_t *summary)
{
	json_object *doc = json_object_new_object();
	msp_time_t now = msp_now(&places->daemon->env);

	json_object_object_add(
	    doc, "place", json_object_new_string(summary->place));
	json_object_object_add(
	    doc, "region", json_object_new_string(summary->region));
	json_object_object_add(
	    doc, "version", json_object_new_uint64(summary->release));
	json_object_object_add(
	    doc, "live_vms", json_object_new_int64(summary->live));
	json_object_object_add(doc, "age_ms",
	    json_object_new_uint64(msp_summary_age(summary, now) / MSP_MS));
	json_object_object_add(doc, "stale",
	    json_object_new_boolean(
		msp_summary_is_stale(places->relay, summary)));
	json_object_object_add(
	    doc, "draining", json_object_new_boolean(summary->draining));
	return doc;
}

/* A data centre that is in the platform's list, but has sent no summary. */
static json_object *
describe_unknown_place(const places_t *places, const char *name)
{
	json_object *doc = json_object_new_object();

	json_object_object_add(doc, "place", json_object_new_string(name));
	json_object_object_add(doc, "region",
	    json_object_new_string(find_region_name(places->daemon, name)));
	json_object_object_add(doc, "version", json_object_new_uint64(0));
	json_object_object_add(doc, "stale", json_object_new_boolean(1));
	return doc;
}

struct json_object *
describe_places(const places_t *places)
{
	json_object *list = json_object_new_array();
	size_t i;

	for (i = 0; i < msp_summary_count(places->relay); i++) {
		const msp_summary_t *summary = msp_summary_at(places->relay, i);

		if (!is_own_place(places, summary))
			json_object_array_add(
			    list, describe_place(places, summary));
	}
	for (i = 0; i < places->listed_count; i++) {
		if (strcmp(places->listed[i],
			places->daemon->settings->place) != 0 &&
		    msp_find_summary(places->relay, places->listed[i]) == NULL)
			json_object_array_add(list,
			    describe_unknown_place(places, places->listed[i]));
	}
	return list;
}
