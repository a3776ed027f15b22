#include <stdlib.h>
#include <string.h>

#include "free_port.h"
#include "soak_private.h"

/*
 * Links with a delay between VMs and a target: bytes and closes arrive later
 * than they were sent, in both directions.
 */

typedef struct link_pair link_pair_t;

/* Bytes on their way, or the end of the connection if there are none. */
typedef struct link_chunk {
	link_pair_t *pair;
	TAILQ_ENTRY(link_chunk) link;
	soak_timer_t timer;
	unsigned int to; /* end */
	size_t len;
	char data[];
} link_chunk_t;

TAILQ_HEAD(link_chunk_queue, link_chunk);

typedef struct link_end {
	link_pair_t *pair;
	unsigned int index;
	soak_stream_t stream;
	msp_time_t last_due; /* of what comes from this end */
} link_end_t;

/* The connection of a VM and the one to the target that belongs to it. */
struct link_pair {
	soak_t *soak;
	LIST_ENTRY(link_pair) link;
	link_end_t ends[2];
	struct link_chunk_queue chunks;
};

static void
free_pair(link_pair_t *pair)
{
	link_chunk_t *chunk;
	link_chunk_t *next;

	TAILQ_FOREACH_SAFE(chunk, &pair->chunks, link, next) {
		clear_soak_timer(pair->soak->loop, &chunk->timer);
		free(chunk);
	}
	close_soak_stream(&pair->ends[0].stream);
	close_soak_stream(&pair->ends[1].stream);
	LIST_REMOVE(pair, link);
	free(pair);
}

static void
deliver_chunk(void *ctx)
{
	link_chunk_t *chunk = ctx;
	link_pair_t *pair = chunk->pair;
	soak_stream_t *to = &pair->ends[chunk->to].stream;

	TAILQ_REMOVE(&pair->chunks, chunk, link);
	if (chunk->len > 0)
		send_soak_data(to, chunk->data, chunk->len);
	else
		close_soak_stream(to);
	free(chunk);
	if (pair->ends[0].stream.fd < 0 && pair->ends[1].stream.fd < 0)
		free_pair(pair);
}

static void
add_chunk(link_end_t *from)
{
	link_pair_t *pair = from->pair;
	const msp_buffer_t *in = &from->stream.in;
	msp_time_t due =
	    soak_now() + pair->soak->profile->link_delay_ms * MSP_MS;
	link_chunk_t *chunk = malloc(sizeof(*chunk) + in->len);

	if (chunk == NULL)
		abort();
	*chunk =
	    (link_chunk_t){.pair = pair, .to = 1 - from->index, .len = in->len};
	chunk->timer = (soak_timer_t){.fire = deliver_chunk, .ctx = chunk};
	if (in->len > 0)
		memcpy(chunk->data, in->data, in->len);
	msp_clear_buffer(&from->stream.in);
	/* Later than what was sent before. */
	from->last_due = due > from->last_due ? due : from->last_due + 1;
	TAILQ_INSERT_TAIL(&pair->chunks, chunk, link);
	set_soak_timer(pair->soak->loop, &chunk->timer, from->last_due);
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
handle_accept(void *ctx, int fd)
{
	soak_target_t *target = ctx;
	soak_t *soak = target->soak;
	link_pair_t *pair = calloc(1, sizeof(*pair));
	int fds[2] = {fd,
	    connect_soak_socket(target->port, soak->profile->small_windows)};
	unsigned int i;

	if (pair == NULL || fds[1] < 0)
		abort();
	pair->soak = soak;
	TAILQ_INIT(&pair->chunks);
	LIST_INSERT_HEAD(&soak->pairs, pair, link);
	for (i = 0; i < 2; i++) {
		pair->ends[i] = (link_end_t){.pair = pair,
		    .index = i,
		    .stream = {
			.on_input = handle_input, .ctx = &pair->ends[i]}};
		open_soak_stream(soak->loop, &pair->ends[i].stream, fds[i]);
	}
}

int
open_soak_link(soak_target_t *target)
{
	int fd;

	target->link.fd = -1;
	target->link_port = target->port;
	if (target->soak->profile->link_delay_ms == 0)
		return 0;
	target->link_port = pick_free_port();
	fd = listen_soak_socket(target->link_port, false);
	if (fd < 0)
		return -1;
	target->link.on_accept = handle_accept;
	target->link.ctx = target;
	open_soak_stream(target->soak->loop, &target->link, fd);
	return 0;
}

void
close_soak_links(soak_t *soak)
{
	link_pair_t *pair;
	link_pair_t *next;
	unsigned int i;

	for (i = 0; i < soak->options->targets; i++) {
		if (soak->targets[i].soak != NULL)
			close_soak_stream(&soak->targets[i].link);
	}
	LIST_FOREACH_SAFE(pair, &soak->pairs, link, next)
		free_pair(pair);
}
