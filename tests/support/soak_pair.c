#include <stdlib.h>
#include <string.h>

#include "soak_private.h"

/*
 * Connections over the links between VMs and targets: bytes and closes arrive
 * later than they were sent, in both directions, and not while the link is
 * silent.
 */

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

void
open_soak_pair(soak_vm_t *vm, int fd, int to)
{
	link_pair_t *pair = calloc(1, sizeof(*pair));

	if (pair == NULL)
		abort();
	pair->soak = vm->soak;
	pair->vm = vm;
	pair->port = soak_own_port(to);
	LIST_INSERT_HEAD(&vm->soak->pairs, pair, link);
	open_end(pair, 0, fd);
	open_end(pair, 1, to);
}

void
reset_soak_pairs(soak_vm_t *vm)
{
	link_pair_t *pair;
	link_pair_t *next;

	LIST_FOREACH_SAFE(pair, &vm->soak->pairs, link, next) {
		if (pair->vm == vm)
			reset_pair(pair);
	}
}

void
close_soak_pairs(soak_t *soak)
{
	link_pair_t *pair;
	link_pair_t *next;

	LIST_FOREACH_SAFE(pair, &soak->pairs, link, next)
		free_pair(pair);
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
