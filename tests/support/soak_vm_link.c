#include <stdlib.h>

#include "free_port.h"
#include "soak_private.h"

/*
 * A VM's link with a bandwidth, which all its connections to the store and
 * those of other VMs to its peer port share, in each direction.
 */

#define SEGMENT 1460 /* bytes that a connection sends before the next may */
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
	unsigned int direction; /* of what comes from this end */
	bool has_ended;
} relay_end_t;

/* A connection, and the one to its destination. */
struct soak_relay {
	soak_vm_t *vm;
	TAILQ_ENTRY(soak_relay) link;
	relay_end_t ends[2];
};

static void
free_relay(soak_relay_t *relay)
{
	unsigned int i;

	for (i = 0; i < 2; i++) {
		close_soak_stream(&relay->ends[i].stream);
		msp_drop_buffer(&relay->ends[i].queue);
	}
	TAILQ_REMOVE(&relay->vm->relays, relay, link);
	free(relay);
}

static void
add_credit(const soak_vm_t *vm, soak_flow_t *flow)
{
	double per_second = vm->soak->profile->vm_bandwidth;
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

/* Sends a segment at most; returns the number of bytes. */
static size_t
send_segment(relay_end_t *from, relay_end_t *to, soak_flow_t *flow)
{
	size_t len = get_pending(from);

	if (len > SEGMENT)
		len = SEGMENT;
	if (len == 0 || flow->credit < (double)len)
		return 0;
	send_soak_data(&to->stream, from->queue.data + from->sent, len);
	flow->credit -= (double)len;
	from->sent += len;
	if (from->sent == from->queue.len) {
		msp_clear_buffer(&from->queue);
		from->sent = 0;
	}
	return len;
}

/* One segment in each direction; the relay may be gone afterwards. */
static size_t
step_relay(soak_relay_t *relay)
{
	relay_end_t *ends = relay->ends;
	size_t sent = 0;
	unsigned int i;

	for (i = 0; i < 2; i++)
		sent += send_segment(&ends[i], &ends[1 - i],
		    &relay->vm->flows[ends[i].direction]);
	for (i = 0; i < 2; i++) {
		if (ends[i].has_ended && get_pending(&ends[i]) == 0) {
			free_relay(relay);
			break;
		}
	}
	return sent;
}

static bool
has_pending(const soak_vm_t *vm)
{
	const soak_relay_t *relay;

	TAILQ_FOREACH(relay, &vm->relays, link) {
		if (get_pending(&relay->ends[0]) > 0 ||
		    get_pending(&relay->ends[1]) > 0)
			return true;
	}
	return false;
}

/* Sends by turns, as far as there is credit. */
static void
handle_flow(void *ctx)
{
	soak_vm_t *vm = ctx;
	soak_relay_t *relay;
	soak_relay_t *next;
	size_t sent;

	add_credit(vm, &vm->flows[TO_VM]);
	add_credit(vm, &vm->flows[FROM_VM]);
	do {
		sent = 0;
		TAILQ_FOREACH_SAFE(relay, &vm->relays, link, next)
			sent += step_relay(relay);
	} while (sent > 0);
	/* Another one begins the next time. */
	relay = TAILQ_FIRST(&vm->relays);
	if (relay != NULL) {
		TAILQ_REMOVE(&vm->relays, relay, link);
		TAILQ_INSERT_TAIL(&vm->relays, relay, link);
	}
	if (has_pending(vm))
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
open_relay(soak_vm_t *vm, int fd, uint16_t port, unsigned int direction)
{
	int fds[2] = {fd, connect_soak_socket(port, false)};
	soak_relay_t *relay = calloc(1, sizeof(*relay));
	unsigned int i;

	if (relay == NULL)
		abort();
	relay->vm = vm;
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

	open_relay(vm, fd, vm->soak->store_port, FROM_VM);
}

static void
handle_peer_accept(void *ctx, int fd)
{
	soak_vm_t *vm = ctx;

	open_relay(vm, fd, vm->peer, TO_VM);
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
