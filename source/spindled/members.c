#include "members.h"

#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <bsd/string.h>
#include <bsd/sys/queue.h>

#include "daemon.h"
#include "dispatch.h"
#include "load_codec.h"
#include "log.h"
#include "monsoonspindle/coord/gossip_xdr.h"
#include "monsoonspindle/coord/rendezvous.h"
#include "releases.h"

#define TICKS_PER_PERIOD 10
#define TARGETS_MAX 4096
#define LIST_PERIOD (10 * MSP_SECOND)
#define LIST_TIMEOUT_MS 2000

struct members {
	daemon_t *daemon;
	msp_rpc_t *rpc;
	msp_membership_t *list;
	msp_timer_t *tick;
	msp_timer_t *list_timer;
	LIST_HEAD(, waiting_call) waiting;
};

/* One call whose end membership waits for. */
typedef struct waiting_call {
	LIST_ENTRY(waiting_call) link;
	members_t *members;
	uint32_t token;
} waiting_call_t;

static msp_status_t
serve(members_t *members, uint32_t procedure, void *argument, void *result)
{
	if (members->list == NULL)
		return MSP_E_NOT_READY;
	return msp_serve_membership(members->list, procedure, argument, result);
}

static msp_status_t
serve_ping(void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_PING, arg, result);
}

static msp_status_t
serve_ping_req(
    void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_PING_REQ, arg, result);
}

static msp_status_t
serve_ping_ok(
    void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_PING_OK, arg, result);
}

static msp_status_t
serve_announce(
    void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_ANNOUNCE, arg, result);
}

static msp_status_t
serve_sync(void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_SYNC, arg, result);
}

static const msp_rpc_procedure_t procedures[] = {
    {.number = MSP_GOSSIP_PING,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_ping_t,
	.argument_size = sizeof(msp_gossip_ping_t),
	.encode_result = (xdrproc_t)xdr_msp_gossip_ack_t,
	.result_size = sizeof(msp_gossip_ack_t),
	.serve = serve_ping},
    {.number = MSP_GOSSIP_PING_REQ,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_ping_req_t,
	.argument_size = sizeof(msp_gossip_ping_req_t),
	.serve = serve_ping_req},
    {.number = MSP_GOSSIP_PING_OK,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_ping_ok_t,
	.argument_size = sizeof(msp_gossip_ping_ok_t),
	.serve = serve_ping_ok},
    {.number = MSP_GOSSIP_ANNOUNCE,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_ping_t,
	.argument_size = sizeof(msp_gossip_ping_t),
	.serve = serve_announce},
    {.number = MSP_GOSSIP_SYNC,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_sync_t,
	.argument_size = sizeof(msp_gossip_sync_t),
	.encode_result = (xdrproc_t)xdr_msp_gossip_page_t,
	.result_size = sizeof(msp_gossip_page_t),
	.serve = serve_sync},
};

static void
on_rpc_done(void *ctx, msp_status_t status, void *result)
{
	waiting_call_t *waiting = ctx;
	members_t *members = waiting->members;
	uint32_t token = waiting->token;

	LIST_REMOVE(waiting, link);
	free(waiting);
	msp_membership_answered(members->list, token, status, result);
}

static void
send_message(void *ctx, const char *address, uint16_t peer_port,
    uint32_t procedure, const void *message, uint32_t token, msp_time_t timeout)
{
	members_t *members = ctx;
	const msp_gossip_codec_t *codec = msp_find_gossip_codec(procedure);
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(peer_port)};
	waiting_call_t *waiting = NULL;
	msp_status_t status;

	if (codec == NULL || inet_pton(AF_INET, address, &to.sin_addr) != 1)
		return;
	if (token != 0) {
		waiting = calloc(1, sizeof(*waiting));
		if (waiting == NULL)
			return;
		waiting->members = members;
		waiting->token = token;
		LIST_INSERT_HEAD(&members->waiting, waiting, link);
	}
	status = msp_call_rpc(members->rpc, &to, procedure, codec->argument,
	    (void *)message, codec->result, codec->result_size, timeout,
	    waiting == NULL ? NULL : on_rpc_done, waiting);
	if (status == MSP_OK)
		return;
	log_warn("event=gossip-not-sent to=%s:%u error=%s", address, peer_port,
	    msp_last_message());
	if (waiting == NULL)
		return;
	LIST_REMOVE(waiting, link);
	free(waiting);
}

static void
on_change(void *ctx, const msp_member_t *member)
{
	members_t *members = ctx;

	msp_count(members->daemon->counters, 1,
	    "msp_member_changes_total{state=\"%s\"}",
	    msp_member_state_name(member->state));
	log_info("decision=member chosen_vm=%s place=%s reason=%s",
	    member->name, member->place, msp_member_state_name(member->state));
}

/* A member's load while it is written. */
typedef struct load_payload {
	size_t len;
	uint8_t data[MSP_MEMBER_LOAD_MAX];
} load_payload_t;

static void
add_loads(void *ctx, const char *service, msp_dispatcher_t *dispatcher)
{
	static msp_target_load_t loads[TARGETS_MAX];
	load_payload_t *payload = ctx;
	size_t count = msp_list_target_loads(dispatcher, loads, TARGETS_MAX);
	load_record_t record;
	size_t i;

	for (i = 0; i < count && i < TARGETS_MAX; i++) {
		if (loads[i].in_flight == 0)
			continue;
		if (payload->len + LOAD_RECORD_SIZE > sizeof(payload->data))
			return;
		record.target = hash_target(service, loads[i].name);
		record.in_flight = loads[i].in_flight > UINT8_MAX
		    ? UINT8_MAX
		    : (uint8_t)loads[i].in_flight;
		record.span = loads[i].span;
		write_load_record(&record, payload->data + payload->len);
		payload->len += LOAD_RECORD_SIZE;
	}
}

/* Puts what this VM's dispatchers have in flight into its load. */
static void
publish_loads(members_t *members)
{
	load_payload_t payload = {0};

	each_dispatcher(members->daemon->dispatchers, add_loads, &payload);
	msp_set_member_load(members->list, payload.data, payload.len);
}

static void
tick(void *ctx)
{
	members_t *members = ctx;

	if (members->daemon->dispatchers != NULL)
		publish_loads(members);
	msp_set_member_release(
	    members->list, daemon_release(members->daemon)->version);
	msp_tick_membership(members->list);
}

static void
on_vm_list(void *ctx, const msp_store_reply_t *reply)
{
	members_t *members = ctx;
	msp_seed_t *seeds;
	size_t count = 0;
	size_t i;

	if (reply->status != MSP_OK || reply->vm_count == 0)
		return;
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
	msp_suggest_seeds(members->list, seeds, count);
	free(seeds);
}

static void
ask_vm_list(void *ctx)
{
	members_t *members = ctx;
	const msp_store_t *store = &members->daemon->store;

	store->list_vms(store->ctx, LIST_TIMEOUT_MS, on_vm_list, members);
}

static msp_status_t
start_membership(members_t *members)
{
	daemon_t *daemon = members->daemon;
	const msp_settings_t *settings = daemon->settings;
	msp_membership_options_t options = {
	    .period = settings->gossip_period_ms * MSP_MS,
	    .suspicion = settings->suspicion_ms * MSP_MS,
	    .seed_count = settings->seed_count};
	msp_membership_callbacks_t callbacks = {
	    .send = send_message, .on_change = on_change, .ctx = members};
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
	members->list = msp_new_membership(&daemon->env, &options, &callbacks);
	free(seeds);
	return members->list == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}

members_t *
new_members(struct daemon *daemon)
{
	const msp_settings_t *settings = daemon->settings;
	msp_time_t period =
	    settings->gossip_period_ms * MSP_MS / TICKS_PER_PERIOD;
	members_t *members = calloc(1, sizeof(*members));
	msp_rpc_options_t options = {.address = settings->address,
	    .port = settings->peer_port,
	    .program = MSP_GOSSIP_PROGRAM,
	    .version = MSP_GOSSIP_VERSION,
	    .procedures = procedures,
	    .procedure_count = sizeof(procedures) / sizeof(procedures[0]),
	    .ctx = members};

	if (members == NULL)
		return NULL;
	members->daemon = daemon;
	LIST_INIT(&members->waiting);
	members->rpc = msp_new_rpc(daemon->loop, &options);
	if (members->rpc == NULL || start_membership(members) != MSP_OK)
		goto fail;
	members->tick =
	    msp_new_timer(daemon->loop, period, period, tick, members);
	members->list_timer = msp_new_timer(
	    daemon->loop, period, LIST_PERIOD, ask_vm_list, members);
	if (members->tick == NULL || members->list_timer == NULL)
		goto fail;
	return members;
fail:
	drop_members(members);
	return NULL;
}

void
drop_members(members_t *members)
{
	waiting_call_t *waiting;

	if (members == NULL)
		return;
	while ((waiting = LIST_FIRST(&members->waiting)) != NULL) {
		LIST_REMOVE(waiting, link);
		free(waiting);
	}
	msp_drop_timer(members->tick);
	msp_drop_timer(members->list_timer);
	msp_drop_rpc(members->rpc);
	msp_drop_membership(members->list);
	free(members);
}

msp_membership_t *
members_list(const members_t *members)
{
	return members->list;
}

const msp_member_t *
first_member(const members_t *members, const char *service)
{
	const msp_member_t *first = NULL;

	if (msp_rank_members(members->list, service,
		members->daemon->settings->place, 0, &first, 1) == 0)
		return NULL;
	return first;
}

bool
members_paused(const members_t *members)
{
	return msp_membership_paused(members->list);
}

/* What the other VMs together last had in flight on one target. */
static void
inherit_target(const members_t *members, const char *service,
    const char *target, msp_dispatcher_t *dispatcher)
{
	uint32_t hash = hash_target(service, target);
	uint32_t in_flight = 0;
	msp_time_t span = 0;
	load_record_t record;
	size_t i;

	for (i = 0; i < msp_member_count(members->list); i++) {
		const msp_member_t *member = msp_member_at(members->list, i);

		if (strcmp(member->name, members->daemon->settings->vm) == 0 ||
		    !find_load_record(
			member->load, member->load_len, hash, &record))
			continue;
		in_flight += record.in_flight;
		if (record.span > span)
			span = record.span;
	}
	if (in_flight > 0)
		msp_inherit_inflight(dispatcher, target, in_flight, span);
}

void
inherit_loads(
    const members_t *members, const char *service, msp_dispatcher_t *dispatcher)
{
	const daemon_t *daemon = members->daemon;
	const msp_target_t *target;
	msp_cursor_t cursor = {0};

	while ((target = msp_next_target(daemon_release(daemon), service,
		    daemon->settings->place, &cursor)) != NULL)
		inherit_target(members, service, target->name, dispatcher);
}
