#include "gossip_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gossip_transport.h"

#define TICK_INTERVAL (100 * MSP_MS)
#define SEEDS 3
/* Wall clock time at the start of the virtual clock. */
#define WALL_CLOCK_START ((uint64_t)1700000000 * MSP_SECOND)

static msp_time_t
node_now(void *ctx)
{
	return ((gossip_node_t *)ctx)->net->now;
}

static uint64_t
node_random(void *ctx)
{
	return msp_next_random(&((gossip_node_t *)ctx)->rng);
}

static void
queue_event(gossip_node_t *node, gossip_event_t *event)
{
	if (node->queued_last != NULL)
		node->queued_last->next = event;
	else
		node->queued_first = event;
	node->queued_last = event;
}

static void
handle_event(gossip_net_t *net, gossip_event_t *event)
{
	gossip_node_t *node = &net->nodes[event->to];

	if (node->frozen && node->generation == event->to_generation) {
		queue_event(node, event);
		return;
	}
	if (node->membership == NULL) {
		if (event->kind == EVENT_CALL && event->token != 0)
			send_node_reply(net, event, MSP_E_PEER_DOWN, NULL, 0);
	} else if (event->kind == EVENT_CALL) {
		serve_node_call(net, node, event);
	} else if (node->generation == event->to_generation) {
		if (event->kind == EVENT_TICK) {
			msp_tick_membership(node->membership);
			if (node->relay != NULL)
				msp_tick_relay(node->relay);
			event->at = net->now + TICK_INTERVAL;
			push_event(net, event);
			return;
		}
		handle_node_reply(node, event);
	}
	free(event);
}

/* Node names are "vm-" and the index of the node. */
static gossip_node_t *
find_named_node(gossip_net_t *net, const char *name)
{
	size_t index = (size_t)strtoul(name + 3, NULL, 10);

	return index < net->count ? &net->nodes[index] : NULL;
}

static void
handle_member_change(void *ctx, const msp_member_t *member)
{
	gossip_node_t *observer = ctx;
	gossip_net_t *net = observer->net;
	const gossip_node_t *subject = find_named_node(net, member->name);

	if (net->count_false_detections && subject != NULL &&
	    subject->membership != NULL && !subject->frozen &&
	    subject->partition == observer->partition &&
	    msp_membership_self(subject->membership)->incarnation ==
		member->incarnation) {
		net->false_dead += member->state == MSP_MEMBER_DEAD;
		net->false_suspect += member->state == MSP_MEMBER_SUSPECT;
	}
	if (net->on_change != NULL)
		net->on_change(net, observer, member);
}

gossip_net_t *
new_gossip_net(size_t nodes, uint64_t seed)
{
	gossip_net_t *net = calloc(1, sizeof(*net));
	size_t i;

	net->nodes = calloc(nodes, sizeof(gossip_node_t));
	net->count = nodes;
	net->rng.state = seed;
	net->now = MSP_SECOND;
	net->delay = MSP_MS;
	for (i = 0; i < nodes; i++) {
		gossip_node_t *node = &net->nodes[i];

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
assign_node_places(gossip_net_t *net, size_t places, size_t regions)
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
drop_gossip_net(gossip_net_t *net)
{
	size_t i;

	for (i = 0; i < net->count; i++)
		kill_gossip_node(net, i);
	for (i = 0; i < net->heap_len; i++)
		free(net->heap[i]);
	free(net->heap);
	free(net->nodes);
	free(net);
}

static size_t
list_seeds(
    const gossip_net_t *net, const gossip_node_t *node, msp_seed_t *seeds)
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

/* The contacts are the first SEEDS VMs of each place. */
static void
start_relay(gossip_net_t *net, gossip_node_t *node, const msp_env_t *env)
{
	msp_relay_callbacks_t callbacks = {.send = send_node_call, .ctx = node};
	msp_contact_t contacts[MSP_CONTACTS_MAX] = {0};
	size_t count = 0;
	size_t i;

	node->relay = msp_new_relay(
	    env, node->membership, &net->relay_options, &callbacks);
	for (i = 0; i < net->count && count < MSP_CONTACTS_MAX; i++) {
		const gossip_node_t *other = &net->nodes[i];
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
start_gossip_node(gossip_net_t *net, size_t index)
{
	gossip_node_t *node = &net->nodes[index];
	msp_membership_options_t options = net->options;
	msp_env_t env = {.now = node_now, .random = node_random, .ctx = node};
	msp_membership_callbacks_t callbacks = {.send = send_node_call,
	    .on_change = handle_member_change,
	    .ctx = node};
	msp_seed_t seeds[SEEDS] = {0};
	gossip_event_t *tick;

	kill_gossip_node(net, index);
	node->generation++;
	memcpy(options.self.name, node->name, sizeof(node->name));
	memcpy(options.self.place, node->place, sizeof(node->place));
	memcpy(options.self.region, node->region, sizeof(node->region));
	memcpy(options.self.address, node->address, sizeof(node->address));
	options.self.peer_port = node->peer_port;
	options.self.caller_port = 8000;
	options.self.incarnation =
	    WALL_CLOCK_START + net->now + index - net->clock_lag;
	options.seeds = seeds;
	options.seed_count = list_seeds(net, node, seeds);
	node->membership = msp_new_membership(&env, &options, &callbacks);
	if (net->with_relays)
		start_relay(net, node, &env);
	tick = new_event(EVENT_TICK,
	    net->now + msp_next_random(&net->rng) % TICK_INTERVAL, NULL, 0);
	tick->to = index;
	tick->to_generation = node->generation;
	push_event(net, tick);
}

static void
drop_queued_events(gossip_node_t *node)
{
	while (node->queued_first != NULL) {
		gossip_event_t *event = node->queued_first;

		node->queued_first = event->next;
		free(event);
	}
	node->queued_last = NULL;
}

void
kill_gossip_node(gossip_net_t *net, size_t index)
{
	gossip_node_t *node = &net->nodes[index];

	msp_drop_relay(node->relay);
	msp_drop_membership(node->membership);
	node->relay = NULL;
	node->membership = NULL;
	node->frozen = false;
	drop_queued_events(node);
}

void
freeze_gossip_node(gossip_net_t *net, size_t index)
{
	net->nodes[index].frozen = true;
}

void
resume_gossip_node(gossip_net_t *net, size_t index)
{
	gossip_node_t *node = &net->nodes[index];
	gossip_event_t *event = node->queued_first;

	node->frozen = false;
	node->queued_first = NULL;
	node->queued_last = NULL;
	while (event != NULL) {
		gossip_event_t *next = event->next;

		event->next = NULL;
		event->at = net->now;
		push_event(net, event);
		event = next;
	}
}

void
run_gossip_net(gossip_net_t *net, msp_time_t span)
{
	msp_time_t end = net->now + span;

	while (net->heap_len > 0 && net->heap[0]->at <= end) {
		gossip_event_t *event = pop_event(net);

		net->now = event->at;
		handle_event(net, event);
	}
	net->now = end;
}

msp_member_state_t
get_observed_state(const gossip_net_t *net, size_t observer, size_t subject)
{
	const msp_member_t *member = msp_find_member(
	    net->nodes[observer].membership, net->nodes[subject].name);

	return member == NULL ? MSP_MEMBER_STATE_COUNT : member->state;
}

static bool
is_pair_converged(const gossip_node_t *observer, const gossip_node_t *subject)
{
	const msp_member_t *self;
	const msp_member_t *member =
	    msp_find_member(observer->membership, subject->name);

	if (subject->membership == NULL ||
	    subject->partition != observer->partition ||
	    strcmp(subject->place, observer->place) != 0)
		return member == NULL || member->state == MSP_MEMBER_DEAD;
	self = msp_membership_self(subject->membership);
	return member != NULL && member->state != MSP_MEMBER_DEAD &&
	    (member->state == MSP_MEMBER_LEAVING) ==
	    (self->state == MSP_MEMBER_LEAVING) &&
	    member->incarnation == self->incarnation;
}

bool
is_gossip_net_converged(const gossip_net_t *net)
{
	size_t i;
	size_t j;

	for (i = 0; i < net->count; i++) {
		if (net->nodes[i].membership == NULL)
			continue;
		for (j = 0; j < net->count; j++) {
			if (!is_pair_converged(&net->nodes[i], &net->nodes[j]))
				return false;
		}
	}
	return true;
}

msp_time_t
run_until_converged(gossip_net_t *net, msp_time_t bound)
{
	msp_time_t start = net->now;

	while (!is_gossip_net_converged(net) && net->now - start < bound)
		run_gossip_net(net, TICK_INTERVAL);
	return net->now - start;
}
