#ifndef MONSOONSPINDLE_TESTS_GOSSIP_NET_H
#define MONSOONSPINDLE_TESTS_GOSSIP_NET_H

#include "monsoonspindle/coord.h"

/*
 * A simulated network of gossiping VMs (nodes) on one virtual clock. Messages
 * are encoded as on the wire, and lost, delayed, duplicated or corrupted at the
 * configured rates.
 */
#define GOSSIP_NODES_MAX 640

typedef struct gossip_event gossip_event_t;
struct gossip_net;

typedef struct gossip_node {
	struct gossip_net *net;
	size_t index;
	msp_rng_t rng;
	msp_membership_t *membership; /* NULL while no process runs */
	msp_relay_t *relay;
	char name[MSP_MEMBER_NAME_SIZE];
	char place[MSP_MEMBER_NAME_SIZE];
	char region[MSP_MEMBER_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
	uint64_t generation; /* number of processes started so far */
	bool frozen;
	unsigned int partition; /* messages between partitions are lost */
	uint64_t bytes_out; /* with UDP, IP and RPC headers, as bytes_in */
	uint64_t messages_out;
	uint64_t bytes_in;
	gossip_event_t *queued_first; /* events that arrived while frozen */
	gossip_event_t *queued_last;
} gossip_node_t;

typedef struct gossip_net {
	msp_time_t now;
	msp_rng_t rng;
	gossip_node_t *nodes;
	size_t count;
	msp_time_t clock_lag; /* of the wall clocks of new processes */
	/* The rates are probabilities for each message. */
	double loss_rate;
	double duplicate_rate;
	double corrupt_rate; /* of changed bytes or a truncated message */
	double late_rate; /* of an additional delay of up to late_max */
	msp_time_t late_max;
	msp_time_t delay; /* of each message; up to half of it is added */
	msp_membership_options_t options; /* of new members */
	msp_relay_options_t relay_options;
	bool with_relays; /* new members have a relay */
	gossip_event_t **heap;
	size_t heap_len;
	size_t heap_size;
	size_t largest_message; /* in bytes, with the RPC header */
	/*
	 * How often a node was reported dead, or suspect, that was running, not
	 * frozen and in the same partition. Updated if count_false_detections.
	 */
	uint64_t false_dead;
	uint64_t false_suspect;
	bool count_false_detections;
	/* Called when a member changes in an observer's view; may be NULL. */
	void (*on_change)(struct gossip_net *net, gossip_node_t *observer,
	    const msp_member_t *member);
} gossip_net_t;

/* Creates nodes, all in the place "dc1", without starting them. */
gossip_net_t *new_gossip_net(size_t nodes, uint64_t seed);
void drop_gossip_net(gossip_net_t *net);

/* Distributes the nodes evenly over places, and the places over regions. */
void assign_node_places(gossip_net_t *net, size_t places, size_t regions);

/*
 * Starts a process at the node, after killing the one that runs. Its seeds are
 * the first three nodes of its place.
 */
void start_gossip_node(gossip_net_t *net, size_t index);
void kill_gossip_node(gossip_net_t *net, size_t index);
void freeze_gossip_node(gossip_net_t *net, size_t index);
void resume_gossip_node(gossip_net_t *net, size_t index);
void run_gossip_net(gossip_net_t *net, msp_time_t span);

/*
 * Returns whether each running node knows all running nodes of its place and
 * partition, in their current incarnation and whether they are leaving, and
 * no others except as dead.
 */
bool is_gossip_net_converged(const gossip_net_t *net);

/*
 * Runs until is_gossip_net_converged(), at most for `bound`. Returns the time
 * that this took.
 */
msp_time_t run_until_converged(gossip_net_t *net, msp_time_t bound);

/*
 * Returns the state of `subject` in the view of `observer`, or
 * MSP_MEMBER_STATE_COUNT if it isn't known there.
 */
msp_member_state_t get_observed_state(
    const gossip_net_t *net, size_t observer, size_t subject);

#endif
