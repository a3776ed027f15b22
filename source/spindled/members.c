#include "members.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "daemon.h"
#include "edge.h"
#include "gossip.h"
#include "load.h"
#include "log.h"
#include "monsoonspindle/coord/rendezvous.h"
#include "places.h"

#define TICKS_PER_PERIOD 10
#define VM_LIST_INTERVAL (10 * MSP_SECOND)
#define VM_LIST_TIMEOUT_MS 2000

struct members {
	daemon_t *daemon;
	msp_membership_t *membership;
	msp_timer_t *tick_timer;
	msp_timer_t *vm_list_timer;
};

static void
handle_call_done(
    void *ctx, uint32_t token, msp_status_t status, const void *result)
{
	members_t *members = ctx;

	msp_complete_membership_call(
	    members->membership, token, status, result);
}

static void
send_message(void *ctx, const char *address, uint16_t peer_port,
    uint32_t procedure, const void *message, uint32_t token, msp_time_t timeout)
{
	members_t *members = ctx;

	send_gossip_call(members->daemon->gossip, address, peer_port, procedure,
	    message, token, timeout, handle_call_done, members);
}

static void
handle_member_change(void *ctx, const msp_member_t *member)
{
	members_t *members = ctx;

	msp_add_to_counter(members->daemon->counters, 1,
	    "msp_member_changes_total{state=\"%s\"}",
	    msp_member_state_name(member->state));
	log_info("decision=member chosen_vm=%s place=%s reason=%s",
	    member->name, member->place, msp_member_state_name(member->state));
}

static uint64_t
get_version_in_force(const members_t *members)
{
	const daemon_t *daemon = members->daemon;

	if (daemon->releases != NULL)
		return get_daemon_release(daemon)->version;
	return daemon->edge == NULL ? 0 : get_routes_version(daemon->edge);
}

static void
handle_tick(void *ctx)
{
	members_t *members = ctx;

	if (members->daemon->dispatchers != NULL)
		publish_load(members);
	msp_set_member_release(
	    members->membership, get_version_in_force(members));
	msp_tick_membership(members->membership);
}

static void
handle_vm_list_reply(void *ctx, const msp_store_reply_t *reply)
{
	members_t *members = ctx;
	msp_seed_t *seeds;
	size_t count = 0;
	size_t i;

	if (reply->status != MSP_OK || reply->vm_count == 0)
		return;
	if (members->daemon->places != NULL)
		set_places_from_vm_list(
		    members->daemon->places, reply->vms, reply->vm_count);
	seeds = calloc(reply->vm_count, sizeof(*seeds));
	if (seeds == NULL)
		return;
	for (i = 0; i < reply->vm_count; i++) {
		const msp_vm_t *vm = &reply->vms[i];

		if (strcmp(vm->place, members->daemon->settings->place) != 0)
			continue;
		strlcpy(seeds[count].address, vm->address,
		    sizeof(seeds[count].address));
		seeds[count++].peer_port = vm->peer_port;
	}
	msp_set_discovered_seeds(members->membership, seeds, count);
	free(seeds);
}

static void
handle_vm_list_timer(void *ctx)
{
	members_t *members = ctx;
	const msp_store_t *store = &members->daemon->store;

	store->list_vms(
	    store->ctx, VM_LIST_TIMEOUT_MS, handle_vm_list_reply, members);
}

static msp_status_t
start_membership(members_t *members)
{
	daemon_t *daemon = members->daemon;
	const msp_settings_t *settings = daemon->settings;
	msp_membership_options_t options = {
	    .period = settings->gossip_period_ms * MSP_MS,
	    .suspicion_timeout = settings->suspicion_ms * MSP_MS,
	    .seed_count = settings->seed_count};
	msp_membership_callbacks_t callbacks = {.send = send_message,
	    .on_change = handle_member_change,
	    .ctx = members};
	msp_member_t *self = &options.self;
	msp_seed_t *seeds = calloc(settings->seed_count + 1, sizeof(*seeds));
	size_t i;

	if (seeds == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for the seeds");
	for (i = 0; i < settings->seed_count; i++) {
		strlcpy(seeds[i].address, settings->seeds[i].address,
		    sizeof(seeds[i].address));
		seeds[i].peer_port = settings->seeds[i].peer_port;
	}
	options.seeds = seeds;
	strlcpy(self->name, settings->vm, sizeof(self->name));
	strlcpy(self->region, settings->region, sizeof(self->region));
	strlcpy(self->place, settings->place, sizeof(self->place));
	strlcpy(self->address, settings->address, sizeof(self->address));
	self->caller_port = settings->caller_port;
	self->peer_port = settings->peer_port;
	self->incarnation = daemon->incarnation;
	members->membership =
	    msp_new_membership(&daemon->env, &options, &callbacks);
	free(seeds);
	return members->membership == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}

members_t *
new_members(struct daemon *daemon)
{
	msp_time_t period =
	    daemon->settings->gossip_period_ms * MSP_MS / TICKS_PER_PERIOD;
	members_t *members = calloc(1, sizeof(*members));

	if (members == NULL)
		return NULL;
	members->daemon = daemon;
	if (start_membership(members) != MSP_OK)
		goto fail;
	members->tick_timer =
	    msp_new_timer(daemon->loop, period, period, handle_tick, members);
	if (members->tick_timer == NULL)
		goto fail;
	/* In edge mode `store` is not set, and the edge sets the seeds. */
	if (daemon->store.list_vms == NULL)
		return members;
	members->vm_list_timer = msp_new_timer(daemon->loop, period,
	    VM_LIST_INTERVAL, handle_vm_list_timer, members);
	if (members->vm_list_timer == NULL)
		goto fail;
	return members;
fail:
	drop_members(members);
	return NULL;
}

void
drop_members(members_t *members)
{
	if (members == NULL)
		return;
	msp_drop_timer(members->tick_timer);
	msp_drop_timer(members->vm_list_timer);
	msp_drop_membership(members->membership);
	free(members);
}

msp_membership_t *
get_membership(const members_t *members)
{
	return members->membership;
}

const struct daemon *
get_members_daemon(const members_t *members)
{
	return members->daemon;
}

const msp_member_t *
find_dispatcher_vm(const members_t *members, const char *service)
{
	const msp_member_t *first = NULL;

	if (msp_rank_members(members->membership, service,
		members->daemon->settings->place, 0, &first, 1) == 0)
		return NULL;
	return first;
}

const msp_member_t *
find_member_by_incarnation(const members_t *members, uint64_t incarnation)
{
	size_t i;

	for (i = 0; i < msp_member_count(members->membership); i++) {
		const msp_member_t *member =
		    msp_member_at(members->membership, i);

		if (member->incarnation == incarnation &&
		    member->state != MSP_MEMBER_DEAD)
			return member;
	}
	return NULL;
}

bool
is_membership_paused(const members_t *members)
{
	return msp_membership_is_paused(members->membership);
}
