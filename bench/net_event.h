#ifndef MONSOONSPINDLE_TESTS_NET_EVENT_H
#define MONSOONSPINDLE_TESTS_NET_EVENT_H

#include "gossip_net.h"

/* What is to happen on a net, in the order of time. */
typedef enum event_kind {
	EVENT_TICK,
	EVENT_CALL,
	EVENT_REPLY,
	EVENT_TIMEOUT
} event_kind_t;

struct net_event {
	msp_time_t at;
	uint64_t number;
	event_kind_t kind;
	size_t from;
	size_t to;
	uint64_t from_run;
	uint64_t to_run;
	uint32_t procedure;
	uint32_t token;
	msp_status_t status;
	net_event_t *next; /* while held */
	size_t len;
	char bytes[];
};

net_event_t *new_event(
    event_kind_t kind, msp_time_t at, const char *bytes, size_t len);

/* Takes the event over. */
void push_event(net_t *net, net_event_t *event);

/* The next event, which is the caller's. */
net_event_t *pop_event(net_t *net);

/* A random number in [0, 1). */
double net_chance(net_t *net);

#endif
