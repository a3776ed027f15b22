#ifndef MONSOONSPINDLE_TESTS_GOSSIP_NET_H
#define MONSOONSPINDLE_TESTS_GOSSIP_NET_H

#include "monsoonspindle/coord.h"

/*
 * Members on one virtual clock, with messages that are coded as on the wire
 * and lost, late, doubled or cut off as the fields of the net say.
 */
#define GOSSIP_NODES_MAX 640

typedef struct gossip_event gossip_event_t;
struct gossip_net;

typedef struct gossip_node {
	struct gossip_net *net;
	size_t index;
	msp_rng_t rng;
	msp_membership_t *membership; /* NULL: no process runs */
	msp_relay_t *relay;
	char name[MSP_MEMBER_NAME_SIZE];
	char place[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
	uint64_t generation; /* number of the process */
	bool frozen;
	unsigned int partition; /* nodes of different sides cannot talk */
	uint64_t bytes_out; /* with UDP, IP and RPC headers */
	uint64_t messages_out;
	uint64_t bytes_in;
	gossip_event_t *queued_first; /* arrived while frozen */
	gossip_event_t *queued_last;
} gossip_node_t;

typedef struct gossip_net {
	msp_time_t now;
	msp_rng_t rng;
	gossip_node_t *nodes;
	size_t count;
	msp_time_t clock_lag; /* wall clock of new processes is late by */
	double loss_rate; /* of each message */
	double duplicate_rate;
	double corrupt_rate; /* bytes changed, or the end cut off */
	double late_rate; /* by up to late_max */
	msp_time_t late_max;
	msp_time_t delay; /* of each message, plus up to half */
	msp_membership_options_t options; /* of new members */
	msp_relay_options_t relay_options;
	bool with_relays; /* new members have a relay */
	gossip_event_t **heap;
	size_t heap_len;
	size_t heap_size;
	size_t largest_message; /* message, in bytes, with the RPC header */
	uint64_t false_dead; /* members taken for dead that ran, unfrozen */
	uint64_t false_suspect;
	bool count_false_detections; /* count the two above */
	void (*on_change)(struct gossip_net *net, gossip_node_t *at,
	    const msp_member_t *member);
} gossip_net_t;

/* All nodes are in one place "dc1" at first; none runs. */
gossip_net_t *new_gossip_net(size_t nodes, uint64_t seed);
void drop_gossip_net(gossip_net_t *net);

/* Spreads the nodes evenly, in order, over places and these over regions. */
void assign_node_places(gossip_net_t *net, size_t places, size_t regions);

/* Starts a process, or a new one, whose seeds are the nodes 0, 1 and 2. */
void start_gossip_node(gossip_net_t *net, size_t index);
void kill_gossip_node(gossip_net_t *net, size_t index);
void freeze_gossip_node(gossip_net_t *net, size_t index);
void resume_gossip_node(gossip_net_t *net, size_t index);
void run_gossip_net(gossip_net_t *net, msp_time_t span);

/*
 * True if every running node holds exactly those of its place and side to live
 * (alive or suspect), or to be leaving, in their present incarnation.
 */
bool is_gossip_net_converged(const gossip_net_t *net);

/* Runs until is_gossip_net_converged(), or `bound` is over. Returns the time it
 * took. */
msp_time_t run_until_converged(gossip_net_t *net, msp_time_t bound);

/* State of `about` at `at`; MSP_MEMBER_STATE_COUNT if it is not known. */
msp_member_state_t get_observed_state(
    const gossip_net_t *net, size_t at, size_t about);

#endif
