#include <stdlib.h>

#include "free_port.h"
#include "soak_private.h"

/*
 * A VM's link with a bandwidth, which all its connections to the store and
 * those of other VMs to its peer port share, in each direction.
 */

#define SEGMENT 4096 /* bytes that are sent at a time */
#define WINDOW (128 * 1024) /* bytes of a connection in a link's queue */
#define STEP (2 * MSP_MS)
#define CREDIT_TIME_MAX (50 * MSP_MS) /* for which a busy link saves credit */

/* Directions of a link. */
#define TO_VM 0
#define FROM_VM 1

typedef struct relay_end {
	soak_relay_t *relay;
	soak_stream_t stream;
	msp_buffer_t queue; /* what came from this end */
	size_t sent; /* of the queue */
	size_t under_way; /* bytes after `sent` that are in the link's queue */
	unsigned int direction; /* of what comes from this end */
	bool has_ended;
} relay_end_t;

/* A connection, and the one to its destination. */
struct soak_relay {
	soak_vm_t *vm;
	TAILQ_ENTRY(soak_relay) link;
	relay_end_t ends[2];
	uint32_t rate; /* bytes per second of each direction; 0: no limit */
	soak_flow_t flows[2]; /* of that rate, by the end that sends */
};

/* Bytes of a connection in the queue of a link. */
struct link_segment {
	TAILQ_ENTRY(link_segment) link;
	relay_end_t *from;
	size_t len;
};

static void
drop_segments(soak_flow_t *flow, const soak_relay_t *relay)
{
	struct link_segment *segment;
	struct link_segment *next;

	TAILQ_FOREACH_SAFE(segment, &flow->segments, link, next) {
		if (segment->from->relay != relay)
			continue;
		TAILQ_REMOVE(&flow->segments, segment, link);
		free(segment);
	}
}

static void
free_relay(soak_relay_t *relay)
{
	unsigned int i;

	for (i = 0; i < 2; i++) {
		drop_segments(&relay->vm->flows[i], relay);
		close_soak_stream(&relay->ends[i].stream);
		msp_drop_buffer(&relay->ends[i].queue);
	}
	TAILQ_REMOVE(&relay->vm->relays, relay, link);
	free(relay);
}

uint32_t
get_soak_bandwidth(const soak_vm_t *vm)
{
	const soak_profile_t *profile = vm->soak->profile;

	return vm->index / SOAK_ZONES < profile->fast_vms
	    ? profile->fast_bandwidth
	    : profile->vm_bandwidth;
}

static void
add_credit(soak_flow_t *flow, double per_second)
{
	double max = per_second * (double)CREDIT_TIME_MAX / MSP_SECOND;
	msp_time_t now = soak_now();

	flow->credit += per_second * (double)(now - flow->updated) / MSP_SECOND;
	if (flow->credit > max)
		flow->credit = max;
	flow->updated = now;
}

static size_t
get_pending(const relay_end_t *end)
{
	return end->queue.len - end->sent;
}

/* Returns how much may enter the queue of the link now. */
static size_t
get_next_len(const relay_end_t *end)
{
	const soak_relay_t *relay = end->relay;
	const soak_flow_t *own = &relay->flows[end - relay->ends];
	size_t len = get_pending(end) - end->under_way;

	if (len > SEGMENT)
		len = SEGMENT;
	if (end->under_way + len > WINDOW ||
	    (relay->rate != 0 && own->credit < (double)len))
		return 0;
	return len;
}

/* Moves what came from an end to the queue of the link. */
static void
queue_segments(relay_end_t *end)
{
	soak_relay_t *relay = end->relay;
	struct link_segment *segment;
	size_t len;

	while ((len = get_next_len(end)) > 0) {
		segment = calloc(1, sizeof(*segment));
		if (segment == NULL)
			abort();
		segment->from = end;
		segment->len = len;
		end->under_way += len;
		relay->flows[end - relay->ends].credit -= (double)len;
		TAILQ_INSERT_TAIL(
		    &relay->vm->flows[end->direction].segments, segment, link);
	}
}

static void
send_segment(const struct link_segment *segment)
{
	relay_end_t *from = segment->from;
	soak_relay_t *relay = from->relay;
	relay_end_t *to = &relay->ends[from == relay->ends ? 1 : 0];

	send_soak_data(
	    &to->stream, from->queue.data + from->sent, segment->len);
	from->sent += segment->len;
	from->under_way -= segment->len;
	if (from->sent == from->queue.len) {
		msp_clear_buffer(&from->queue);
		from->sent = 0;
	}
	queue_segments(from);
}

/* Sends in the order of the queue, as far as there is credit. */
static void
send_segments(soak_flow_t *flow)
{
	struct link_segment *segment;
	struct link_segment *next;

	TAILQ_FOREACH_SAFE(segment, &flow->segments, link, next) {
		if (flow->credit < (double)segment->len)
			return;
		TAILQ_REMOVE(&flow->segments, segment, link);
		flow->credit -= (double)segment->len;
		send_segment(segment);
		free(segment);
	}
}

static bool
has_pending(const soak_relay_t *relay)
{
	return get_pending(&relay->ends[0]) > 0 ||
	    get_pending(&relay->ends[1]) > 0;
}

static bool
has_ended(const soak_relay_t *relay)
{
	const relay_end_t *ends = relay->ends;

	return (ends[0].has_ended && get_pending(&ends[0]) == 0) ||
	    (ends[1].has_ended && get_pending(&ends[1]) == 0);
}

/*
 * Ends connections of which nothing is left to send. Returns whether others
 * have something left.
 */
static bool
free_ended_relays(soak_vm_t *vm)
{
	bool pending = false;
	soak_relay_t *relay;
	soak_relay_t *next;

	TAILQ_FOREACH_SAFE(relay, &vm->relays, link, next) {
		if (has_ended(relay))
			free_relay(relay);
		else
			pending |= has_pending(relay);
	}
	return pending;
}

static void
handle_flow(void *ctx)
{
	soak_vm_t *vm = ctx;
	soak_relay_t *relay;
	unsigned int i;

	TAILQ_FOREACH(relay, &vm->relays, link) {
		for (i = 0; i < 2; i++) {
			add_credit(&relay->flows[i], relay->rate);
			queue_segments(&relay->ends[i]);
		}
	}
	for (i = 0; i < 2; i++) {
		add_credit(&vm->flows[i], get_soak_bandwidth(vm));
		send_segments(&vm->flows[i]);
	}
	if (free_ended_relays(vm))
		set_soak_timer(vm->soak->loop, &vm->flow, soak_now() + STEP);
}

static void
handle_input(void *ctx, bool closed)
{
	relay_end_t *end = ctx;
	soak_vm_t *vm = end->relay->vm;

	msp_append_data(&end->queue, end->stream.in.data, end->stream.in.len);
	msp_clear_buffer(&end->stream.in);
	if (closed) {
		end->has_ended = true;
		close_soak_stream(&end->stream);
	}
	if (vm->flow.slot == 0)
		handle_flow(vm);
}

static void
open_relay(
    soak_vm_t *vm, int fd, uint16_t port, unsigned int direction, uint32_t rate)
{
	int fds[2] = {fd, connect_soak_socket(port, false)};
	soak_relay_t *relay = calloc(1, sizeof(*relay));
	unsigned int i;

	if (relay == NULL)
		abort();
	relay->vm = vm;
	relay->rate = rate;
	TAILQ_INSERT_TAIL(&vm->relays, relay, link);
	for (i = 0; i < 2; i++) {
		relay->ends[i] = (relay_end_t){.relay = relay,
		    .direction = i == 0 ? direction : 1 - direction,
		    .stream = {.fd = -1,
			.on_input = handle_input,
			.ctx = &relay->ends[i]}};
		if (fds[i] >= 0)
			open_soak_stream(
			    vm->soak->loop, &relay->ends[i].stream, fds[i]);
	}
	/* Nobody listens there. */
	if (fds[1] < 0)
		free_relay(relay);
}

static void
handle_store_accept(void *ctx, int fd)
{
	soak_vm_t *vm = ctx;

	/* The store is in the first region. */
	open_relay(vm, fd, vm->soak->store_port, FROM_VM,
	    vm->index % SOAK_ZONES == 0 ? 0 : vm->soak->profile->far_rate);
}

static void
handle_peer_accept(void *ctx, int fd)
{
	soak_vm_t *vm = ctx;

	open_relay(vm, fd, vm->peer, TO_VM, 0);
}

static int
open_listener(soak_vm_t *vm, soak_stream_t *stream, uint16_t *port,
    void (*on_accept)(void *ctx, int fd))
{
	int fd;

	*port = pick_free_port();
	fd = listen_soak_socket(*port, false);
	if (fd < 0)
		return -1;
	stream->on_accept = on_accept;
	stream->ctx = vm;
	open_soak_stream(vm->soak->loop, stream, fd);
	return 0;
}

static void
reset_relays(soak_vm_t *vm)
{
	soak_relay_t *relay;
	soak_relay_t *next;

	TAILQ_FOREACH_SAFE(relay, &vm->relays, link, next) {
		reset_soak_stream(&relay->ends[0].stream);
		reset_soak_stream(&relay->ends[1].stream);
		free_relay(relay);
	}
}

static void
set_cut_timer(soak_t *soak)
{
	msp_time_t period = (msp_time_t)(MSP_SECOND / soak->profile->link_cuts);

	set_soak_timer(soak->loop, &soak->link_cut,
	    soak_now() + period / 2 +
		msp_next_random(&soak->link_cut_rng) % period);
}

/* Resets all connections over one link. */
static void
handle_cut(void *ctx)
{
	soak_t *soak = ctx;

	if (soak->finishing)
		return;
	soak->result->faults++;
	reset_relays(&soak->vms[msp_next_random(&soak->link_cut_rng) %
	    soak->options->vms]);
	set_cut_timer(soak);
}

void
start_soak_link_cuts(soak_t *soak)
{
	/* Cuts don't depend on how much traffic there was. */
	soak->link_cut_rng.state = soak->options->seed;
	soak->link_cut = (soak_timer_t){.fire = handle_cut, .ctx = soak};
	if (soak->profile->link_cuts > 0)
		set_cut_timer(soak);
}

int
open_soak_vm_link(soak_vm_t *vm)
{
	TAILQ_INIT(&vm->relays);
	TAILQ_INIT(&vm->flows[TO_VM].segments);
	TAILQ_INIT(&vm->flows[FROM_VM].segments);
	vm->flow = (soak_timer_t){.fire = handle_flow, .ctx = vm};
	vm->store_link.fd = vm->peer_link.fd = vm->gossip_link.fd = -1;
	vm->store_port = vm->soak->store_port;
	vm->peer_link_port = vm->peer;
	if (vm->soak->profile->vm_bandwidth == 0)
		return 0;
	if (open_listener(vm, &vm->store_link, &vm->store_port,
		handle_store_accept) != 0 ||
	    open_listener(vm, &vm->peer_link, &vm->peer_link_port,
		handle_peer_accept) != 0 ||
	    open_soak_gossip_link(vm) != 0)
		return -1;
	list_soak_vm(vm);
	return 0;
}

void
close_soak_vm_link(soak_vm_t *vm)
{
	if (vm->soak == NULL)
		return;
	clear_soak_timer(vm->soak->loop, &vm->flow);
	close_soak_stream(&vm->store_link);
	close_soak_stream(&vm->peer_link);
	close_soak_stream(&vm->gossip_link);
	reset_relays(vm);
}
