#ifndef MONSOONSPINDLE_SOURCE_COORD_PEERS_H
#define MONSOONSPINDLE_SOURCE_COORD_PEERS_H

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/map.h"
#include "monsoonspindle/coord/membership.h"

#define MSP_SENDS_MAX 40U /* of one update or load */

/* One member and what is kept about telling others of it. */
typedef struct msp_peer {
	TAILQ_ENTRY(msp_peer) update_link;
	TAILQ_ENTRY(msp_peer) load_link;
	msp_member_t info;
	unsigned int update_sends_left; /* left; in the queue while not 0 */
	unsigned int load_sends_left;
	msp_time_t deadline; /* suspect: dead then; dead: forgotten then */
	msp_time_t next_check; /* dead, but others hold it to live */
	uint32_t
	    heard_pause_count; /* number of the wake-up it was heard after */
} msp_peer_t;

TAILQ_HEAD(msp_peer_queue, msp_peer);

/* All members, by name and sorted. */
typedef struct msp_peers {
	msp_map_t *by_name;
	msp_peer_t *sorted[MSP_MEMBERS_MAX];
	msp_peer_t *probe_order[MSP_MEMBERS_MAX]; /* of probes */
	size_t count;
	size_t next_probe; /* in the order of probes */
	/* By sends left: what was sent least goes first. */
	struct msp_peer_queue updates[MSP_SENDS_MAX + 1];
	struct msp_peer_queue loads[MSP_SENDS_MAX + 1];
} msp_peers_t;

msp_status_t msp_init_peers(msp_peers_t *peers);
void msp_clear_peers(msp_peers_t *peers);

msp_peer_t *msp_find_peer(const msp_peers_t *peers, const char *name);

/* Adds a copy of `info`. NULL if the table is full or without memory. */
msp_peer_t *msp_add_peer(
    msp_peers_t *peers, const msp_member_t *info, const msp_env_t *env);
void msp_remove_peer(msp_peers_t *peers, msp_peer_t *peer);

/* The next one in the order of probes that is neither dead nor `self`. */
msp_peer_t *msp_next_probe_target(
    msp_peers_t *peers, const msp_peer_t *self, const msp_env_t *env);

/* Picks one of those for which `wanted` holds, evenly; NULL if none. */
msp_peer_t *msp_pick_peer(const msp_peers_t *peers, const msp_env_t *env,
    bool (*wanted)(const msp_peer_t *peer, const void *ctx), const void *ctx);

size_t msp_count_live(const msp_peers_t *peers);

/*
 * Has the peer's record, or its load, sent `sends` times from now on; 0: no
 * more.
 */
void msp_queue_update(msp_peers_t *peers, msp_peer_t *peer, unsigned int sends);
void msp_queue_load(msp_peers_t *peers, msp_peer_t *peer, unsigned int sends);

/* Walk the queues; NULL at the end. */
msp_peer_t *msp_first_update(const msp_peers_t *peers);
msp_peer_t *msp_next_update(const msp_peers_t *peers, const msp_peer_t *peer);
msp_peer_t *msp_first_load(const msp_peers_t *peers);
msp_peer_t *msp_next_load(const msp_peers_t *peers, const msp_peer_t *peer);

/* Counts one sending off. */
void msp_count_sent_update(msp_peers_t *peers, msp_peer_t *peer);
void msp_count_sent_load(msp_peers_t *peers, msp_peer_t *peer);

#endif
