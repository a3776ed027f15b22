#ifndef MONSOONSPINDLE_SOURCE_COORD_PEERS_H
#define MONSOONSPINDLE_SOURCE_COORD_PEERS_H

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/map.h"
#include "monsoonspindle/coord/membership.h"

#define MSP_SENDS_MAX 40U /* of one update or load */

/* A member, and the state of its dissemination to others. */
typedef struct msp_peer {
	TAILQ_ENTRY(msp_peer) update_link;
	TAILQ_ENTRY(msp_peer) load_link;
	msp_member_t info;
	unsigned int update_sends_left; /* queued for updates while not 0 */
	unsigned int load_sends_left; /* queued for loads while not 0 */
	msp_time_t deadline; /* suspect: becomes dead; dead: is removed */
	/* Earliest next ping of a dead member that others report as live. */
	msp_time_t next_check;
	/* The membership's pause_count when the member last answered. */
	uint32_t answered_pause_count;
} msp_peer_t;

TAILQ_HEAD(msp_peer_queue, msp_peer);

/* All known members, including this VM. */
typedef struct msp_peers {
	msp_map_t *by_name;
	msp_peer_t *sorted[MSP_MEMBERS_MAX]; /* by name; owned */
	msp_peer_t *probe_order[MSP_MEMBERS_MAX];
	size_t count;
	size_t next_probe; /* index in probe_order */
	/* Queues by sends left. The highest goes first: it was sent least. */
	struct msp_peer_queue updates[MSP_SENDS_MAX + 1];
	struct msp_peer_queue loads[MSP_SENDS_MAX + 1];
} msp_peers_t;

msp_status_t msp_init_peers(msp_peers_t *peers);
void msp_clear_peers(msp_peers_t *peers);

msp_peer_t *msp_find_peer(const msp_peers_t *peers, const char *name);

/* Adds a copy of `info`. NULL if the table is full or memory is short. */
msp_peer_t *msp_add_peer(
    msp_peers_t *peers, const msp_member_t *info, const msp_env_t *env);
void msp_remove_peer(msp_peers_t *peers, msp_peer_t *peer);

/* Returns the next peer to probe that is neither dead nor `self`, or NULL. */
msp_peer_t *msp_next_probe_target(
    msp_peers_t *peers, const msp_peer_t *self, const msp_env_t *env);

/* Picks one of the peers that `wanted` accepts, uniformly; NULL if none. */
msp_peer_t *msp_pick_peer(const msp_peers_t *peers, const msp_env_t *env,
    bool (*wanted)(const msp_peer_t *peer, const void *ctx), const void *ctx);

/* Returns the number of members that are not dead. */
size_t msp_count_live(const msp_peers_t *peers);

/*
 * Queue the peer's record, or its load, to be sent `sends` more times; with 0
 * it is removed from the queue.
 */
void msp_queue_update(msp_peers_t *peers, msp_peer_t *peer, unsigned int sends);
void msp_queue_load(msp_peers_t *peers, msp_peer_t *peer, unsigned int sends);

/* Iterate over the queues; NULL at the end. */
msp_peer_t *msp_first_update(const msp_peers_t *peers);
msp_peer_t *msp_next_update(const msp_peers_t *peers, const msp_peer_t *peer);
msp_peer_t *msp_first_load(const msp_peers_t *peers);
msp_peer_t *msp_next_load(const msp_peers_t *peers, const msp_peer_t *peer);

/* Count one send: one less is left. */
void msp_count_sent_update(msp_peers_t *peers, msp_peer_t *peer);
void msp_count_sent_load(msp_peers_t *peers, msp_peer_t *peer);

#endif
