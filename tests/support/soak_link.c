#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <netinet/in.h>

#include "free_port.h"
#include "soak_private.h"

/*
 * Links between each VM and each target, with a delay: bytes and closes arrive
 * later than they were sent, in both directions. The links of one VM can be
 * cut without those of the others: each VM has an address of its own for them,
 * to which the library in tests/preload diverts its connections.
 */

#define LINK_ADDRESS(vm) (INADDR_LOOPBACK + 10 + (vm))
/* Connections that fill the queue of a listener that is paused. */
#define FILLERS 2

typedef struct soak_link {
	soak_vm_t *vm;
	soak_target_t *target;
	soak_stream_t listener;
	int fillers[FILLERS]; /* -1: none */
} soak_link_t;

typedef struct link_pair link_pair_t;

/* Bytes on their way, or the end of the connection if there are none. */
typedef struct link_chunk {
	TAILQ_ENTRY(link_chunk) link;
	msp_time_t due;
	size_t len;
	char data[];
} link_chunk_t;

TAILQ_HEAD(link_chunk_queue, link_chunk);

typedef struct link_end {
	link_pair_t *pair;
	unsigned int index;
	soak_stream_t stream;
	struct link_chunk_queue chunks; /* from this end, in order */
	soak_timer_t timer; /* set while there are chunks */
} link_end_t;

/* The connection of a VM and the one to the target that belongs to it. */
struct link_pair {
	soak_t *soak;
	soak_vm_t *vm;
	uint16_t port; /* from which the target is reached */
	LIST_ENTRY(link_pair) link;
	link_end_t ends[2];
};

static void
drop_end(link_end_t *end)
{
	link_chunk_t *chunk;
	link_chunk_t *next;

	TAILQ_FOREACH_SAFE(chunk, &end->chunks, link, next)
		free(chunk);
	clear_soak_timer(end->pair->soak->loop, &end->timer);
}

static void
free_pair(link_pair_t *pair)
{
	drop_end(&pair->ends[0]);
	drop_end(&pair->ends[1]);
	close_soak_stream(&pair->ends[0].stream);
	close_soak_stream(&pair->ends[1].stream);
	LIST_REMOVE(pair, link);
	free(pair);
}

static void
reset_pair(link_pair_t *pair)
{
	reset_soak_stream(&pair->ends[0].stream);
	reset_soak_stream(&pair->ends[1].stream);
	free_pair(pair);
}

/* Frees the pair if nothing can pass it any more. */
static bool
free_ended_pair(link_pair_t *pair)
{
	if (pair->ends[0].stream.fd >= 0 || pair->ends[1].stream.fd >= 0)
		return false;
	free_pair(pair);
	return true;
}

static void
deliver_chunk(soak_stream_t *to, const link_chunk_t *chunk)
{
	if (to->fd < 0)
		return;
	if (chunk->len > 0)
		send_soak_data(to, chunk->data, chunk->len);
	else if (to->out.len > 0)
		finish_soak_stream(to);
	else
		close_soak_stream(to);
}

/* Delivers what is due, once the link is not silent. */
static void
handle_due(void *ctx)
{
	link_end_t *end = ctx;
	link_pair_t *pair = end->pair;
	msp_time_t now = soak_now();
	link_chunk_t *chunk;
	link_chunk_t *next;

	if (pair->vm->silent_until > now) {
		set_soak_timer(
		    pair->soak->loop, &end->timer, pair->vm->silent_until);
		return;
	}
	TAILQ_FOREACH_SAFE(chunk, &end->chunks, link, next) {
		if (chunk->due > now)
			break;
		TAILQ_REMOVE(&end->chunks, chunk, link);
		deliver_chunk(&pair->ends[1 - end->index].stream, chunk);
		free(chunk);
	}
	if (chunk != NULL)
		set_soak_timer(pair->soak->loop, &end->timer, chunk->due);
	else
		free_ended_pair(pair);
}

static void
add_chunk(link_end_t *from)
{
	soak_t *soak = from->pair->soak;
	const msp_buffer_t *in = &from->stream.in;
	link_chunk_t *chunk = malloc(sizeof(*chunk) + in->len);

	if (chunk == NULL)
		abort();
	chunk->due = soak_now() + soak->profile->link_delay_ms * MSP_MS;
	chunk->len = in->len;
	if (in->len > 0)
		memcpy(chunk->data, in->data, in->len);
	msp_clear_buffer(&from->stream.in);
	TAILQ_INSERT_TAIL(&from->chunks, chunk, link);
	if (from->timer.slot == 0)
		set_soak_timer(soak->loop, &from->timer, chunk->due);
}

static void
handle_input(void *ctx, bool closed)
{
	link_end_t *end = ctx;

	if (end->stream.in.len > 0)
		add_chunk(end);
	if (!closed)
		return;
	close_soak_stream(&end->stream);
	add_chunk(end);
}

static void
open_end(link_pair_t *pair, unsigned int index, int fd)
{
	link_end_t *end = &pair->ends[index];

	*end = (link_end_t){.pair = pair,
	    .index = index,
	    .stream = {.on_input = handle_input, .ctx = end},
	    .timer = {.fire = handle_due, .ctx = end}};
	TAILQ_INIT(&end->chunks);
	open_soak_stream(pair->soak->loop, &end->stream, fd);
}

static void
handle_accept(void *ctx, int fd)
{
	soak_link_t *link = ctx;
	soak_t *soak = link->vm->soak;
	link_pair_t *pair;
	int to = connect_soak_socket(
	    link->target->port, soak->profile->small_windows);

	if (to < 0) {
		/* The target does not run. */
		close(fd);
		return;
	}
	pair = calloc(1, sizeof(*pair));
	if (pair == NULL)
		abort();
	pair->soak = soak;
	pair->vm = link->vm;
	pair->port = soak_own_port(to);
	LIST_INSERT_HEAD(&soak->pairs, pair, link);
	open_end(pair, 0, fd);
	open_end(pair, 1, to);
}

static int
open_listener(soak_link_t *link)
{
	int fd = listen_soak_address(
	    LINK_ADDRESS(link->vm->index), link->target->link_port, false);

	if (fd < 0)
		return -1;
	link->listener.on_accept = handle_accept;
	link->listener.ctx = link;
	open_soak_stream(link->vm->soak->loop, &link->listener, fd);
	return 0;
}

/* Lets later connections time out. */
static void
fill_listener(soak_link_t *link)
{
	unsigned int i;

	pause_soak_listener(&link->listener);
	for (i = 0; i < FILLERS; i++)
		link->fillers[i] =
		    connect_soak_address(LINK_ADDRESS(link->vm->index),
			link->target->link_port, false);
}

static void
close_fillers(soak_link_t *link)
{
	unsigned int i;

	for (i = 0; i < FILLERS; i++) {
		if (link->fillers[i] >= 0)
			close(link->fillers[i]);
		link->fillers[i] = -1;
	}
}

bool
has_soak_links(const soak_t *soak)
{
	return soak->profile->link_delay_ms > 0 || soak->profile->cut_ways != 0;
}

void
print_soak_link_address(const soak_vm_t *vm, char *text, size_t size)
{
	uint32_t address = LINK_ADDRESS(vm->index);

	snprintf(text, size, "127.0.0.%u", address & 0xff);
}

soak_vm_t *
find_soak_link_vm(const soak_t *soak, int fd)
{
	uint16_t port = soak_peer_port(fd);
	link_pair_t *pair;

	LIST_FOREACH(pair, &soak->pairs, link) {
		if (pair->port == port)
			return pair->vm;
	}
	return NULL;
}

static soak_link_t *
find_link(const soak_vm_t *vm, unsigned int target)
{
	soak_t *soak = vm->soak;

	return &soak->links[vm->index * soak->options->targets + target];
}

static int
open_link(soak_link_t *link, soak_vm_t *vm, soak_target_t *target)
{
	*link = (soak_link_t){.vm = vm,
	    .target = target,
	    .listener = {.fd = -1},
	    .fillers = {-1, -1}};
	return open_listener(link);
}

static int
allocate_links(soak_t *soak)
{
	size_t count = (size_t)soak->options->vms * soak->options->targets;
	size_t i;

	if (soak->links != NULL)
		return 0;
	soak->links = calloc(count, sizeof(*soak->links));
	if (soak->links == NULL)
		return -1;
	for (i = 0; i < count; i++)
		soak->links[i].listener.fd = -1;
	return 0;
}

int
open_soak_links(soak_target_t *target)
{
	soak_t *soak = target->soak;
	soak_vm_t *vm;
	unsigned int i;

	target->link_port = target->port;
	if (!has_soak_links(soak))
		return 0;
	target->link_port = pick_free_port();
	if (allocate_links(soak) != 0)
		return -1;
	for (i = 0; i < soak->options->vms; i++) {
		vm = &soak->vms[i];
		vm->soak = soak;
		vm->index = i;
		if (open_link(find_link(vm, target->index), vm, target) != 0)
			return -1;
	}
	return 0;
}

static bool
resets_open_connections(soak_cut_t way)
{
	return way == SOAK_CUT_RESET;
}

static bool
refuses_connections(soak_cut_t way)
{
	return way == SOAK_CUT_RESET || way == SOAK_CUT_NEW_RESET;
}

static void
reset_pairs(soak_vm_t *vm)
{
	link_pair_t *pair;
	link_pair_t *next;

	LIST_FOREACH_SAFE(pair, &vm->soak->pairs, link, next) {
		if (pair->vm == vm)
			reset_pair(pair);
	}
}

void
cut_soak_links(soak_vm_t *vm, soak_cut_t way, msp_time_t until)
{
	unsigned int i;

	for (i = 0; i < vm->soak->options->targets; i++) {
		if (refuses_connections(way))
			close_soak_stream(&find_link(vm, i)->listener);
		else
			fill_listener(find_link(vm, i));
	}
	if (resets_open_connections(way))
		reset_pairs(vm);
	if (way == SOAK_CUT_HANG)
		vm->silent_until = until;
	vm->cut = way;
}

void
join_soak_links(soak_vm_t *vm)
{
	soak_link_t *link;
	unsigned int i;

	for (i = 0; i < vm->soak->options->targets; i++) {
		link = find_link(vm, i);
		close_fillers(link);
		if (!refuses_connections(vm->cut))
			resume_soak_listener(&link->listener);
		else if (open_listener(link) != 0)
			abort();
	}
	vm->silent_until = 0;
	vm->cut = SOAK_WHOLE;
}

void
close_soak_links(soak_t *soak)
{
	size_t count = (size_t)soak->options->vms * soak->options->targets;
	link_pair_t *pair;
	link_pair_t *next;
	size_t i;

	LIST_FOREACH_SAFE(pair, &soak->pairs, link, next)
		free_pair(pair);
	if (soak->links == NULL)
		return;
	for (i = 0; i < count; i++) {
		if (soak->links[i].listener.fd < 0)
			continue;
		close_fillers(&soak->links[i]);
		close_soak_stream(&soak->links[i].listener);
	}
	free(soak->links);
	soak->links = NULL;
}
