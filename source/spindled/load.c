#include "load.h"

#include <string.h>

#include "daemon.h"
#include "dispatchers.h"
#include "service_credit.h"
#include "service_dispatcher.h"

#define TARGETS_MAX 4096

static uint16_t
clamp_count(uint32_t count)
{
	return count > UINT16_MAX ? UINT16_MAX : (uint16_t)count;
}

static void
fill_service_load(const service_dispatcher_t *service, load_service_t *out)
{
	msp_dispatcher_load_t load;

	msp_get_dispatcher_load(service->dispatcher, &load);
	out->service = hash_name(service->name);
	out->slots = clamp_count(load.slots);
	out->free_slots = clamp_count(load.capacity > load.in_flight
		? load.capacity - load.in_flight
		: 0);
	out->wait = load.draining || load.capacity == 0 ? MSP_NEVER
							: load.interactive_wait;
	out->background_wait = out->wait == MSP_NEVER
	    ? MSP_NEVER
	    : msp_estimate_wait(service->dispatcher, MSP_CLASS_BACKGROUND);
}

static void
add_targets(const service_dispatcher_t *service, load_t *load)
{
	static msp_target_load_t targets[TARGETS_MAX];
	size_t count =
	    msp_list_target_loads(service->dispatcher, targets, TARGETS_MAX);
	load_target_t *out;
	size_t i;

	for (i = 0; i < count && i < TARGETS_MAX; i++) {
		if (targets[i].in_flight == 0 ||
		    load->target_count == LOAD_TARGETS_MAX)
			continue;
		out = &load->targets[load->target_count++];
		out->target = hash_target(service->name, targets[i].name);
		out->in_flight = targets[i].in_flight > UINT8_MAX
		    ? UINT8_MAX
		    : (uint8_t)targets[i].in_flight;
		out->time_left = targets[i].time_left;
	}
}

static void
add_service(void *ctx, service_dispatcher_t *service)
{
	load_t *load = ctx;

	add_targets(service, load);
	if (service->retired || load->service_count == LOAD_SERVICES_MAX)
		return;
	fill_service_load(service, &load->services[load->service_count++]);
	add_credit_offers(service, load);
}

void
publish_load(members_t *members)
{
	const daemon_t *daemon = get_members_daemon(members);
	uint8_t payload[MSP_MEMBER_LOAD_MAX];
	load_t load = {0};

	visit_dispatchers(daemon->dispatchers, add_service, &load);
	msp_set_member_load(get_membership(members), payload,
	    encode_load(&load, payload, sizeof(payload)));
}

/* Adds up what the other VMs last had in flight on one target. */
static void
import_target_in_flight(const daemon_t *daemon, const char *service,
    const char *target, msp_dispatcher_t *dispatcher)
{
	const msp_membership_t *list = get_membership(daemon->members);
	uint32_t hash = hash_target(service, target);
	const load_target_t *found;
	uint32_t in_flight = 0;
	msp_time_t time_left = 0;
	load_t load;
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member == msp_membership_self(list))
			continue;
		decode_load(member->load, member->load_len, &load);
		found = find_load_target(&load, hash);
		if (found == NULL)
			continue;
		in_flight += found->in_flight;
		if (found->time_left > time_left)
			time_left = found->time_left;
	}
	if (in_flight > 0)
		msp_inherit_inflight(dispatcher, target, in_flight, time_left);
}

void
import_in_flight_counts(const struct daemon *daemon, const char *service,
    msp_dispatcher_t *dispatcher)
{
	const msp_target_t *target;
	msp_cursor_t cursor = {0};

	while ((target = msp_next_target(get_daemon_release(daemon), service,
		    daemon->settings->place, &cursor)) != NULL)
		import_target_in_flight(
		    daemon, service, target->name, dispatcher);
}

bool
get_service_load(
    const struct daemon *daemon, const char *service, load_service_t *out)
{
	const service_dispatcher_t *own =
	    find_service_dispatcher(daemon->dispatchers, service);
	const msp_member_t *dispatcher_vm =
	    find_dispatcher_vm(daemon->members, service);
	const load_service_t *found;
	load_t load;

	if (own != NULL) {
		fill_service_load(own, out);
		return true;
	}
	if (dispatcher_vm == NULL)
		return false;
	decode_load(dispatcher_vm->load, dispatcher_vm->load_len, &load);
	found = find_load_service(&load, hash_name(service));
	if (found == NULL)
		return false;
	*out = *found;
	return true;
}

/* Copies the entries of services that `load` does not have yet. */
static void
merge_load(load_t *load, const load_t *from)
{
	size_t known = load->service_count;
	load_t before = {.service_count = known};
	size_t i;

	memcpy(before.services, load->services, sizeof(before.services));
	for (i = 0; i < from->service_count; i++) {
		if (load->service_count < LOAD_SERVICES_MAX &&
		    find_load_service(&before, from->services[i].service) ==
			NULL)
			load->services[load->service_count++] =
			    from->services[i];
	}
	for (i = 0; i < from->offer_count; i++) {
		if (load->offer_count < LOAD_OFFERS_MAX &&
		    find_load_service(&before, from->offers[i].service) == NULL)
			load->offers[load->offer_count++] = from->offers[i];
	}
}

void
gather_place_load(const struct daemon *daemon, load_t *load)
{
	const msp_membership_t *list = get_membership(daemon->members);
	load_t member_load = {0};
	size_t i;

	memset(load, 0, sizeof(*load));
	visit_dispatchers(daemon->dispatchers, add_service, &member_load);
	merge_load(load, &member_load);
	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member->state != MSP_MEMBER_ALIVE ||
		    member == msp_membership_self(list))
			continue;
		decode_load(member->load, member->load_len, &member_load);
		merge_load(load, &member_load);
	}
	load->target_count = 0;
}
