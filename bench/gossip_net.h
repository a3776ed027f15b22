#ifndef MONSOONSPINDLE_TESTS_GOSSIP_NET_H
#define MONSOONSPINDLE_TESTS_GOSSIP_NET_H

#include "monsoonspindle/coord.h"

/*
 * Members on one virtual clock, with messages that are coded as on the wire
 * and lost, late, doubled or cut off as the fields of the net say.
 */
#define NET_NODES_MAX 640

typedef struct net_event net_event_t;
struct net;

typedef struct net_node {
	struct net *net;
	size_t index;
	msp_rng_t rng;
	msp_membership_t *membership; /* NULL: no process runs */
	msp_relay_t *relay;
	char name[MSP_MEMBER_NAME_SIZE];
	char place[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
	uint64_t run; /* number of the process */
	bool frozen;
	unsigned int side; /* nodes of different sides cannot talk */
	uint64_t bytes_out; /* with UDP, IP and RPC headers */
	uint64_t messages_out;
	uint64_t bytes_in;
	net_event_t *held_first; /* arrived while frozen */
	net_event_t *held_last;
} net_node_t;

typedef struct net {
	msp_time_t now;
	msp_rng_t rng;
	net_node_t *nodes;
	size_t count;
	msp_time_t clock_offset; /* wall clock of new processes is late by */
	double loss; /* of each message */
	double duplicated;
	double corrupt; /* bytes changed, or the end cut off */
	double late; /* by up to late_max */
	msp_time_t late_max;
	msp_time_t delay; /* of each message, plus up to half */
	msp_membership_options_t options; /* of new members */
	msp_relay_options_t relay_options;
	bool relays; /* new members have a relay */
	net_event_t **heap;
	size_t heap_len;
	size_t heap_size;
	size_t largest; /* message, in bytes, with the RPC header */
	uint64_t false_dead; /* members taken for dead that ran, unfrozen */
	uint64_t false_suspect;
	bool watch; /* count the two above */
	void (*on_change)(
	    struct net *net, net_node_t *at, const msp_member_t *member);
} net_t;

/* All nodes are in one place "dc1" at first; none runs. */
net_t *new_net(size_t nodes, uint64_t seed);
void drop_net(net_t *net);

/* Spreads the nodes evenly, in order, over places and these over regions. */
void place_nodes(net_t *net, size_t places, size_t regions);

/* Starts a process, or a new one, whose seeds are the nodes 0, 1 and 2. */
void start_node(net_t *net, size_t index);
void kill_node(net_t *net, size_t index);
void freeze_node(net_t *net, size_t index);
void wake_node(net_t *net, size_t index);
void run_net(net_t *net, msp_time_t span);

/*
 * True if every running node holds exactly those of its place and side to live
 * (alive or suspect), or to be leaving, in their present incarnation.
 */
bool net_agrees(const net_t *net);

/* Runs until net_agrees(), or `bound` is over. Returns the time it took. */
msp_time_t run_until_agreed(net_t *net, msp_time_t bound);

/* State of `about` at `at`; MSP_MEMBER_STATE_COUNT if it is not known. */
msp_member_state_t state_at(const net_t *net, size_t at, size_t about);

#endif
