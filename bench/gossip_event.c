#include "gossip_event.h"

#include <stdlib.h>
#include <string.h>

double
draw_net_uniform(gossip_net_t *net)
{
	return (double)(msp_next_random(&net->rng) >> 11) / 9007199254740992.0;
}

static bool
is_before(const gossip_event_t *a, const gossip_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->number < b->number;
}

void
push_event(gossip_net_t *net, gossip_event_t *event)
{
	static uint64_t number;
	size_t i = net->heap_len++;

	event->number = number++;
	if (net->heap_len > net->heap_size) {
		net->heap_size = net->heap_size * 2 + 64;
		net->heap = realloc(
		    net->heap, net->heap_size * sizeof(gossip_event_t *));
	}
	while (i > 0 && is_before(event, net->heap[(i - 1) / 2])) {
		net->heap[i] = net->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	net->heap[i] = event;
}

gossip_event_t *
pop_event(gossip_net_t *net)
{
	gossip_event_t *first = net->heap[0];
	gossip_event_t *last = net->heap[--net->heap_len];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= net->heap_len)
			break;
		if (child + 1 < net->heap_len &&
		    is_before(net->heap[child + 1], net->heap[child]))
			child++;
		if (!is_before(net->heap[child], last))
			break;
		net->heap[i] = net->heap[child];
		i = child;
	}
	net->heap[i] = last;
	return first;
}

gossip_event_t *
new_event(
    gossip_event_kind_t kind, msp_time_t at, const char *bytes, size_t len)
{
	gossip_event_t *event = calloc(1, sizeof(*event) + len);

	event->kind = kind;
	event->at = at;
	event->len = len;
	if (len > 0)
		memcpy(event->bytes, bytes, len);
	return event;
}
