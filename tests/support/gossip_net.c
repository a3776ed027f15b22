#include "gossip_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK (100 * MSP_MS)
#define SEEDS 3
#define DATAGRAM_OVERHEAD 28U /* bytes of IP and UDP headers */
#define CALL_OVERHEAD 40U /* bytes of an ONC RPC call header */
#define REPLY_OVERHEAD 24U
#define HELD_MAX 256 /* messages that wait for a frozen process */
#define START_OF_TIME ((uint64_t)1700000000 * MSP_SECOND)

typedef enum event_kind {
	EVENT_TICK,
	EVENT_CALL,
	EVENT_REPLY,
	EVENT_TIMEOUT
} event_kind_t;

struct net_event {
	msp_time_t at;
	uint64_t number;
	event_kind_t kind;
	size_t from;
	size_t to;
	uint64_t from_run;
	uint64_t to_run;
	uint32_t procedure;
	uint32_t token;
	msp_status_t status;
	net_event_t *next; /* while held */
	size_t len;
	char bytes[];
};

static msp_time_t
node_now(void *ctx)
{
	return ((net_node_t *)ctx)->net->now;
}

static uint64_t
node_random(void *ctx)
{
	return msp_next_random(&((net_node_t *)ctx)->rng);
}

static double
chance(net_t *net)
{
	return (double)(msp_next_random(&net->rng) >> 11) / 9007199254740992.0;
}

static bool
runs_before(const net_event_t *a, const net_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->number < b->number;
}

static void
push(net_t *net, net_event_t *event)
{
	static uint64_t number;
	size_t i = net->heap_len++;

	event->number = number++;
	if (net->heap_len > net->heap_size) {
		net->heap_size = net->heap_size * 2 + 64;
		net->heap =
		    realloc(net->heap, net->heap_size * sizeof(net_event_t *));
	}
	while (i > 0 && runs_before(event, net->heap[(i - 1) / 2])) {
		net->heap[i] = net->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	net->heap[i] = event;
}

static net_event_t *
pop(net_t *net)
{
	net_event_t *first = net->heap[0];
	net_event_t *last = net->heap[--net->heap_len];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= net->heap_len)
			break;
		if (child + 1 < net->heap_len &&
		    runs_before(net->heap[child + 1], net->heap[child]))
			child++;
		if (!runs_before(net->heap[child], last))
			break;
		net->heap[i] = net->heap[child];
		i = child;
	}
	net->heap[i] = last;
	return first;
}

static net_event_t *
new_event(event_kind_t kind, msp_time_t at, const char *bytes, size_t len)
{
	net_event_t *event = calloc(1, sizeof(*event) + len);

	event->kind = kind;
	event->at = at;
	event->len = len;
	if (len > 0)
		memcpy(event->bytes, bytes, len);
	return event;
}

static msp_time_t
travel(net_t *net)
{
	msp_time_t span =
	    net->delay + msp_next_random(&net->rng) % (net->delay / 2 + 1);

	if (net->late > 0 && chance(net) < net->late)
		span += msp_next_random(&net->rng) % (net->late_max + 1);
	return span;
}

static void
corrupt(net_t *net, net_event_t *event)
{
	unsigned int changes = 1 + msp_next_random(&net->rng) % 4;

	if (event->len == 0 || chance(net) >= net->corrupt)
		return;
	if (msp_next_random(&net->rng) % 4 == 0) {
		event->len = msp_next_random(&net->rng) % event->len;
		return;
	}
	while (changes-- > 0)
		event->bytes[msp_next_random(&net->rng) % event->len] =
		    (char)msp_next_random(&net->rng);
}

/* Puts a message on the way, perhaps twice, perhaps not at all. */
static void
transmit(net_t *net, const net_event_t *plan)
{
	unsigned int copies =
	    1 + (net->doubled > 0 && chance(net) < net->doubled);

	if (net->nodes[plan->from].side != net->nodes[plan->to].side)
		return;
	while (copies-- > 0) {
		net_event_t *event;

		if (net->loss > 0 && chance(net) < net->loss)
			continue;
		event = new_event(
		    plan->kind, net->now + travel(net), plan->bytes, plan->len);
		event->from = plan->from;
		event->to = plan->to;
		event->from_run = plan->from_run;
		event->to_run = plan->to_run;
		event->procedure = plan->procedure;
		event->token = plan->token;
		event->status = plan->status;
		corrupt(net, event);
		push(net, event);
	}
}

static size_t
encode(xdrproc_t code, const void *message, char *out, size_t size)
{
	XDR xdrs;
	size_t len;

	xdrmem_create(&xdrs, out, (u_int)size, XDR_ENCODE);
	if (!code(&xdrs, (void *)message)) {
		fprintf(stderr, "a message does not fit\n");
		abort();
	}
	len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return len;
}

static void
count_message(net_node_t *node, size_t len, size_t header)
{
	net_t *net = node->net;

	node->messages_out++;
	node->bytes_out += len + header + DATAGRAM_OVERHEAD;
	if (len + header > net->largest)
		net->largest = len + header;
}

static size_t
node_of(const net_t *net, const char *address)
{
	unsigned int high;
	unsigned int low;
	unsigned int generation;
	size_t index;

	if (sscanf(address, "10.%u.%u.%u", &generation, &high, &low) != 3)
		return net->count;
	index = (size_t)high * 256 + low;
	return index < net->count &&
		strcmp(net->nodes[index].address, address) == 0
	    ? index
	    : net->count;
}

static void
send_call(void *ctx, const char *address, uint16_t peer_port,
    uint32_t procedure, const void *message, uint32_t token, msp_time_t timeout)
{
	net_node_t *node = ctx;
	net_t *net = node->net;
	const msp_gossip_codec_t *codec = msp_find_gossip_codec(procedure);
	char bytes[4096];
	size_t len = encode(codec->argument, message, bytes, sizeof(bytes));
	size_t to = node_of(net, address);
	net_event_t *event;

	count_message(node, len, CALL_OVERHEAD);
	if (token != 0) {
		event = new_event(EVENT_TIMEOUT, net->now + timeout, NULL, 0);
		event->to = node->index;
		event->to_run = node->run;
		event->token = token;
		event->procedure = procedure;
		event->status = MSP_E_DEADLINE;
		push(net, event);
	}
	if (to == net->count || net->nodes[to].peer_port != peer_port)
		return;
	event = new_event(EVENT_CALL, net->now, bytes, len);
	event->from = node->index;
	event->from_run = node->run;
	event->to = to;
	event->to_run = net->nodes[to].run;
	event->procedure = procedure;
	event->token = token;
	transmit(net, event);
	free(event);
}

static void
reply(net_t *net, const net_event_t *call, msp_status_t status,
    const char *bytes, size_t len)
{
	net_event_t *event = new_event(EVENT_REPLY, net->now, bytes, len);

	event->from = call->to;
	event->to = call->from;
	event->to_run = call->from_run;
	event->procedure = call->procedure;
	event->token = call->token;
	event->status = status;
	transmit(net, event);
	free(event);
}

static void
serve_call(net_t *net, net_node_t *node, net_event_t *event)
{
	const msp_gossip_codec_t *codec =
	    msp_find_gossip_codec(event->procedure);
	union {
		msp_gossip_ping_t ping;
		msp_gossip_sync_t sync;
		msp_gossip_ping_req_t request;
		msp_gossip_exchange_t exchange;
		msp_gossip_ack_t ack;
		msp_gossip_page_t page;
		msp_gossip_summaries_t summaries;
	} argument, result;
	char bytes[4096];
	size_t len = 0;
	XDR xdrs;
	msp_status_t status;

	memset(&argument, 0, sizeof(argument));
	memset(&result, 0, sizeof(result));
	node->bytes_in += event->len + CALL_OVERHEAD + DATAGRAM_OVERHEAD;
	xdrmem_create(&xdrs, event->bytes, (u_int)event->len, XDR_DECODE);
	if (!codec->argument(&xdrs, &argument)) {
		xdr_free(codec->argument, (char *)&argument);
		if (codec->result != NULL && event->token != 0)
			reply(net, event, MSP_E_BAD_REQUEST, NULL, 0);
		return;
	}
	if (event->procedure == MSP_GOSSIP_EXCHANGE)
		status = msp_serve_relay(
		    node->relay, event->procedure, &argument, &result);
	else
		status = msp_serve_membership(
		    node->membership, event->procedure, &argument, &result);
	xdr_free(codec->argument, (char *)&argument);
	if (codec->result != NULL && event->token != 0) {
		if (status == MSP_OK)
			len = encode(
			    codec->result, &result, bytes, sizeof(bytes));
		count_message(node, len, REPLY_OVERHEAD);
		reply(net, event, status == MSP_OK ? MSP_OK : MSP_E_BAD_REQUEST,
		    bytes, len);
	}
	if (codec->result != NULL)
		xdr_free(codec->result, (char *)&result);
}

static void
hand_in(net_node_t *node, const net_event_t *event, const void *result)
{
	if (event->procedure == MSP_GOSSIP_EXCHANGE)
		msp_relay_answered(
		    node->relay, event->token, event->status, result);
	else
		msp_membership_answered(
		    node->membership, event->token, event->status, result);
}

static void
serve_reply(net_node_t *node, net_event_t *event)
{
	const msp_gossip_codec_t *codec =
	    msp_find_gossip_codec(event->procedure);
	union {
		msp_gossip_ack_t ack;
		msp_gossip_page_t page;
		msp_gossip_summaries_t summaries;
	} result;
	XDR xdrs;

	memset(&result, 0, sizeof(result));
	if (event->kind == EVENT_TIMEOUT || event->status != MSP_OK) {
		hand_in(node, event, NULL);
		return;
	}
	node->bytes_in += event->len + REPLY_OVERHEAD + DATAGRAM_OVERHEAD;
	xdrmem_create(&xdrs, event->bytes, (u_int)event->len, XDR_DECODE);
	if (codec->result(&xdrs, &result)) {
		hand_in(node, event, &result);
	} else {
		event->status = MSP_E_BAD_REQUEST;
		hand_in(node, event, NULL);
	}
	xdr_free(codec->result, (char *)&result);
}

static void
hold(net_node_t *node, net_event_t *event)
{
	if (node->held_last != NULL)
		node->held_last->next = event;
	else
		node->held_first = event;
	node->held_last = event;
}

static void
handle(net_t *net, net_event_t *event)
{
	net_node_t *node = &net->nodes[event->to];

	if (node->frozen && node->run == event->to_run) {
		hold(node, event);
		return;
	}
	if (node->membership == NULL) {
		if (event->kind == EVENT_CALL && event->token != 0)
			reply(net, event, MSP_E_PEER_DOWN, NULL, 0);
	} else if (event->kind == EVENT_CALL) {
		serve_call(net, node, event);
	} else if (node->run == event->to_run) {
		if (event->kind == EVENT_TICK) {
			msp_tick_membership(node->membership);
			if (node->relay != NULL)
				msp_tick_relay(node->relay);
			event->at = net->now + TICK;
			push(net, event);
			return;
		}
		serve_reply(node, event);
	}
	free(event);
}

static net_node_t *
node_named(net_t *net, const char *name)
{
	size_t index = (size_t)strtoul(name + 3, NULL, 10);

	return index < net->count ? &net->nodes[index] : NULL;
}

static void
member_changed(void *ctx, const msp_member_t *member)
{
	net_node_t *at = ctx;
	net_t *net = at->net;
	const net_node_t *about = node_named(net, member->name);

	if (net->watch && about != NULL && about->membership != NULL &&
	    !about->frozen && about->side == at->side &&
	    msp_membership_self(about->membership)->incarnation ==
		member->incarnation) {
		net->false_dead += member->state == MSP_MEMBER_DEAD;
		net->false_suspect += member->state == MSP_MEMBER_SUSPECT;
	}
	if (net->on_change != NULL)
		net->on_change(net, at, member);
}

net_t *
new_net(size_t nodes, uint64_t seed)
{
	net_t *net = calloc(1, sizeof(*net));
	size_t i;

	net->nodes = calloc(nodes, sizeof(net_node_t));
	net->count = nodes;
	net->rng.state = seed;
	net->now = MSP_SECOND;
	net->delay = MSP_MS;
	for (i = 0; i < nodes; i++) {
		net_node_t *node = &net->nodes[i];

		node->net = net;
		node->index = i;
		node->rng.state = seed * 1000003 + i;
		node->peer_port = 7000;
		snprintf(node->name, sizeof(node->name), "vm-%04zu", i);
		snprintf(node->address, sizeof(node->address), "10.0.%zu.%zu",
		    i / 256, i % 256);
		snprintf(node->place, sizeof(node->place), "dc1");
		snprintf(node->region, sizeof(node->region), "region1");
	}
	return net;
}

void
place_nodes(net_t *net, size_t places, size_t regions)
{
	size_t i;

	for (i = 0; i < net->count; i++) {
		size_t place = i * places / net->count;

		snprintf(net->nodes[i].place, sizeof(net->nodes[i].place),
		    "dc-%02zu", place);
		snprintf(net->nodes[i].region, sizeof(net->nodes[i].region),
		    "region-%02zu", place * regions / places);
	}
}

void
drop_net(net_t *net)
{
	size_t i;

	for (i = 0; i < net->count; i++)
		kill_node(net, i);
	for (i = 0; i < net->heap_len; i++)
		free(net->heap[i]);
	free(net->heap);
	free(net->nodes);
	free(net);
}

static size_t
fill_seeds(const net_t *net, const net_node_t *node, msp_seed_t *seeds)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < net->count && count < SEEDS; i++) {
		if (strcmp(net->nodes[i].place, node->place) != 0)
			continue;
		memcpy(seeds[count].address, net->nodes[i].address,
		    sizeof(seeds[count].address));
		seeds[count++].peer_port = net->nodes[i].peer_port;
	}
	return count;
}

/* Its contacts are the first VMs of each place. */
static void
start_relay(net_t *net, net_node_t *node, const msp_env_t *env)
{
	msp_relay_callbacks_t callbacks = {.send = send_call, .ctx = node};
	msp_contact_t contacts[MSP_CONTACTS_MAX] = {0};
	size_t count = 0;
	size_t i;

	node->relay = msp_new_relay(
	    env, node->membership, &net->relay_options, &callbacks);
	for (i = 0; i < net->count && count < MSP_CONTACTS_MAX; i++) {
		const net_node_t *other = &net->nodes[i];
		msp_contact_t *contact = &contacts[count];

		if (i >= SEEDS &&
		    strcmp(other->place, net->nodes[i - SEEDS].place) == 0)
			continue;
		memcpy(contact->place, other->place, sizeof(contact->place));
		memcpy(contact->region, other->region, sizeof(contact->region));
		memcpy(
		    contact->address, other->address, sizeof(contact->address));
		contact->peer_port = other->peer_port;
		count++;
	}
	msp_suggest_contacts(node->relay, contacts, count);
}

void
start_node(net_t *net, size_t index)
{
	net_node_t *node = &net->nodes[index];
	msp_membership_options_t options = net->options;
	msp_env_t env = {.now = node_now, .random = node_random, .ctx = node};
	msp_membership_callbacks_t callbacks = {
	    .send = send_call, .on_change = member_changed, .ctx = node};
	msp_seed_t seeds[SEEDS] = {0};
	net_event_t *tick;

	kill_node(net, index);
	node->run++;
	memcpy(options.self.name, node->name, sizeof(node->name));
	memcpy(options.self.place, node->place, sizeof(node->place));
	memcpy(options.self.region, node->region, sizeof(node->region));
	memcpy(options.self.address, node->address, sizeof(node->address));
	options.self.peer_port = node->peer_port;
	options.self.caller_port = 8000;
	options.self.incarnation =
	    START_OF_TIME + net->now + index - net->clock_back;
	options.seeds = seeds;
	options.seed_count = fill_seeds(net, node, seeds);
	node->membership = msp_new_membership(&env, &options, &callbacks);
	if (net->relays)
		start_relay(net, node, &env);
	tick = new_event(
	    EVENT_TICK, net->now + msp_next_random(&net->rng) % TICK, NULL, 0);
	tick->to = index;
	tick->to_run = node->run;
	push(net, tick);
}

static void
drop_held(net_node_t *node)
{
	while (node->held_first != NULL) {
		net_event_t *event = node->held_first;

		node->held_first = event->next;
		free(event);
	}
	node->held_last = NULL;
}

void
kill_node(net_t *net, size_t index)
{
	net_node_t *node = &net->nodes[index];

	msp_drop_relay(node->relay);
	msp_drop_membership(node->membership);
	node->relay = NULL;
	node->membership = NULL;
	node->frozen = false;
	drop_held(node);
}

void
freeze_node(net_t *net, size_t index)
{
	net->nodes[index].frozen = true;
}

void
wake_node(net_t *net, size_t index)
{
	net_node_t *node = &net->nodes[index];
	net_event_t *event = node->held_first;

	node->frozen = false;
	node->held_first = NULL;
	node->held_last = NULL;
	while (event != NULL) {
		net_event_t *next = event->next;

		event->next = NULL;
		event->at = net->now;
		push(net, event);
		event = next;
	}
}

void
run_net(net_t *net, msp_time_t span)
{
	msp_time_t end = net->now + span;

	while (net->heap_len > 0 && net->heap[0]->at <= end) {
		net_event_t *event = pop(net);

		net->now = event->at;
		handle(net, event);
	}
	net->now = end;
}

msp_member_state_t
state_at(const net_t *net, size_t at, size_t about)
{
	const msp_member_t *member =
	    msp_find_member(net->nodes[at].membership, net->nodes[about].name);

	return member == NULL ? MSP_MEMBER_STATE_COUNT : member->state;
}

static bool
pair_agrees(const net_node_t *at, const net_node_t *about)
{
	const msp_member_t *self;
	const msp_member_t *member =
	    msp_find_member(at->membership, about->name);

	if (about->membership == NULL || about->side != at->side ||
	    strcmp(about->place, at->place) != 0)
		return member == NULL || member->state == MSP_MEMBER_DEAD;
	self = msp_membership_self(about->membership);
	return member != NULL && member->state != MSP_MEMBER_DEAD &&
	    (member->state == MSP_MEMBER_LEAVING) ==
	    (self->state == MSP_MEMBER_LEAVING) &&
	    member->incarnation == self->incarnation;
}

bool
net_agrees(const net_t *net)
{
	size_t i;
	size_t j;

	for (i = 0; i < net->count; i++) {
		if (net->nodes[i].membership == NULL)
			continue;
		for (j = 0; j < net->count; j++) {
			if (!pair_agrees(&net->nodes[i], &net->nodes[j]))
				return false;
		}
	}
	return true;
}

msp_time_t
run_until_agreed(net_t *net, msp_time_t bound)
{
	msp_time_t start = net->now;

	while (!net_agrees(net) && net->now - start < bound)
		run_net(net, TICK);
	return net->now - start;
}
