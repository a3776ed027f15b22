#ifndef MONSOONSPINDLE_TESTS_GOSSIP_EVENT_H
#define MONSOONSPINDLE_TESTS_GOSSIP_EVENT_H

#include "gossip_net.h"

/* What is to happen on a net, in the order of time. */
typedef enum gossip_event_kind {
	EVENT_TICK,
	EVENT_CALL,
	EVENT_REPLY,
	EVENT_TIMEOUT
} gossip_event_kind_t;

struct gossip_event {
	msp_time_t at;
	uint64_t number;
	gossip_event_kind_t kind;
	size_t from;
	size_t to;
	uint64_t from_generation;
	uint64_t to_generation;
	uint32_t procedure;
	uint32_t token;
	msp_status_t status;
	gossip_event_t *next; /* while held */
	size_t len;
	char bytes[];
};

gossip_event_t *new_event(
    gossip_event_kind_t kind, msp_time_t at, const char *bytes, size_t len);

/* Takes the event over. */
void push_event(gossip_net_t *net, gossip_event_t *event);

/* The next event, which is the caller's. */
gossip_event_t *pop_event(gossip_net_t *net);

/* A random number in [0, 1). */
double draw_net_uniform(gossip_net_t *net);

#endif
