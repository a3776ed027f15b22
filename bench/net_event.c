#include "net_event.h"

#include <stdlib.h>
#include <string.h>

double
net_chance(net_t *net)
{
	return (double)(msp_next_random(&net->rng) >> 11) / 9007199254740992.0;
}

static bool
runs_before(const net_event_t *a, const net_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->number < b->number;
}

void
push_event(net_t *net, net_event_t *event)
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

net_event_t *
pop_event(net_t *net)
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

net_event_t *
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
