#include "gossip_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net_transport.h"

#define TICK (100 * MSP_MS)
#define SEEDS 3
#define START_OF_TIME ((uint64_t)1700000000 * MSP_SECOND)

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
			net_reply(net, event, MSP_E_PEER_DOWN, NULL, 0);
	} else if (event->kind == EVENT_CALL) {
		net_serve_call(net, node, event);
	} else if (node->run == event->to_run) {
		if (event->kind == EVENT_TICK) {
			msp_tick_membership(node->membership);
			if (node->relay != NULL)
				msp_tick_relay(node->relay);
			event->at = net->now + TICK;
			push_event(net, event);
			return;
		}
		net_serve_reply(node, event);
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
	msp_relay_callbacks_t callbacks = {.send = net_send_call, .ctx = node};
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
	msp_set_contacts(node->relay, contacts, count);
}

void
start_node(net_t *net, size_t index)
{
	net_node_t *node = &net->nodes[index];
	msp_membership_options_t options = net->options;
	msp_env_t env = {.now = node_now, .random = node_random, .ctx = node};
	msp_membership_callbacks_t callbacks = {
	    .send = net_send_call, .on_change = member_changed, .ctx = node};
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
	    START_OF_TIME + net->now + index - net->clock_offset;
	options.seeds = seeds;
	options.seed_count = fill_seeds(net, node, seeds);
	node->membership = msp_new_membership(&env, &options, &callbacks);
	if (net->relays)
		start_relay(net, node, &env);
	tick = new_event(
	    EVENT_TICK, net->now + msp_next_random(&net->rng) % TICK, NULL, 0);
	tick->to = index;
	tick->to_run = node->run;
	push_event(net, tick);
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
		push_event(net, event);
		event = next;
	}
}

void
run_net(net_t *net, msp_time_t span)
{
	msp_time_t end = net->now + span;

	while (net->heap_len > 0 && net->heap[0]->at <= end) {
		net_event_t *event = pop_event(net);

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
