#ifndef MONSOONSPINDLE_TESTS_GOSSIP_EVENT_H
#define MONSOONSPINDLE_TESTS_GOSSIP_EVENT_H

#include "gossip_net.h"

/* Events of a network that are scheduled on the virtual clock. */
typedef enum gossip_event_kind {
	EVENT_TICK,
	EVENT_CALL,
	EVENT_REPLY,
	EVENT_TIMEOUT
} gossip_event_kind_t;

struct gossip_event {
	msp_time_t at;
	uint64_t number; /* order of events with the same time */
	gossip_event_kind_t kind;
	size_t from; /* indexes of nodes */
	size_t to;
	uint64_t from_generation;
	uint64_t to_generation;
	uint32_t procedure;
	uint32_t token; /* identifies the call; 0: no reply is expected */
	msp_status_t status;
	gossip_event_t *next; /* in the queue of a frozen node */
	size_t len;
	char bytes[]; /* XDR of the argument or the result */
};

gossip_event_t *new_event(
    gossip_event_kind_t kind, msp_time_t at, const char *bytes, size_t len);

/* Takes ownership of the event. */
void push_event(gossip_net_t *net, gossip_event_t *event);

/* Removes the next event. The caller frees it. */
gossip_event_t *pop_event(gossip_net_t *net);

/* Returns a random number with a uniform distribution over [0, 1). */
double draw_net_uniform(gossip_net_t *net);

#endif
