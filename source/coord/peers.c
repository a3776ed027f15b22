#include "peers.h"

#include <stdlib.h>
#include <string.h>

msp_status_t
msp_init_peers(msp_peers_t *peers)
{
	unsigned int i;

	for (i = 0; i <= MSP_SENDS_MAX; i++) {
		TAILQ_INIT(&peers->updates[i]);
		TAILQ_INIT(&peers->loads[i]);
	}
	peers->by_name = msp_new_map();
	if (peers->by_name == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for the members");
	return MSP_OK;
}

void
msp_clear_peers(msp_peers_t *peers)
{
	size_t i;

	for (i = 0; i < peers->count; i++)
		free(peers->sorted[i]);
	peers->count = 0;
	msp_drop_map(peers->by_name);
}

msp_peer_t *
msp_find_peer(const msp_peers_t *peers, const char *name)
{
	return msp_map_get(peers->by_name, name);
}

/* Inserts `peer` at a random position of the part not probed yet. */
static void
insert_in_probe_order(
    msp_peers_t *peers, msp_peer_t *peer, const msp_env_t *env)
{
	size_t left = peers->count - peers->next_probe;
	size_t at = peers->next_probe + msp_random_below(env, left + 1);

	memmove(&peers->probe_order[at + 1], &peers->probe_order[at],
	    (peers->count - at) * sizeof(msp_peer_t *));
	peers->probe_order[at] = peer;
}

msp_peer_t *
msp_add_peer(msp_peers_t *peers, const msp_member_t *info, const msp_env_t *env)
{
	msp_peer_t *peer;
	size_t at = peers->count;

	if (peers->count == MSP_MEMBERS_MAX)
		return NULL;
	peer = calloc(1, sizeof(*peer));
	if (peer == NULL)
		return NULL;
	peer->info = *info;
	if (msp_map_put(peers->by_name, peer->info.name, peer) != MSP_OK) {
		free(peer);
		return NULL;
	}
	while (at > 0 &&
	    strcmp(peers->sorted[at - 1]->info.name, info->name) > 0) {
		peers->sorted[at] = peers->sorted[at - 1];
		at--;
	}
	peers->sorted[at] = peer;
	insert_in_probe_order(peers, peer, env);
	peers->count++;
	return peer;
}

static size_t
remove_from_list(msp_peer_t **list, size_t count, const msp_peer_t *peer)
{
	size_t at = 0;

	while (at < count && list[at] != peer)
		at++;
	if (at < count)
		memmove(&list[at], &list[at + 1],
		    (count - at - 1) * sizeof(msp_peer_t *));
	return at;
}

void
msp_remove_peer(msp_peers_t *peers, msp_peer_t *peer)
{
	msp_queue_update(peers, peer, 0);
	msp_queue_load(peers, peer, 0);
	msp_map_remove(peers->by_name, peer->info.name);
	remove_from_list(peers->sorted, peers->count, peer);
	if (remove_from_list(peers->probe_order, peers->count, peer) <
	    peers->next_probe)
		peers->next_probe--;
	peers->count--;
	free(peer);
}

static void
shuffle(msp_peers_t *peers, const msp_env_t *env)
{
	size_t i;

	for (i = peers->count; i > 1; i--) {
		size_t j = msp_random_below(env, i);
		msp_peer_t *peer = peers->probe_order[i - 1];

		peers->probe_order[i - 1] = peers->probe_order[j];
		peers->probe_order[j] = peer;
	}
}

msp_peer_t *
msp_next_probe_target(
    msp_peers_t *peers, const msp_peer_t *self, const msp_env_t *env)
{
	size_t i;
	msp_peer_t *peer;

	for (i = 0; i < 2 * peers->count; i++) {
		if (peers->next_probe >= peers->count) {
			shuffle(peers, env);
			peers->next_probe = 0;
		}
		peer = peers->probe_order[peers->next_probe++];
		if (peer != self && peer->info.state != MSP_MEMBER_DEAD)
			return peer;
	}
	return NULL;
}

msp_peer_t *
msp_pick_peer(const msp_peers_t *peers, const msp_env_t *env,
    bool (*wanted)(const msp_peer_t *peer, const void *ctx), const void *ctx)
{
	msp_peer_t *picked = NULL;
	size_t seen = 0;
	size_t i;

	for (i = 0; i < peers->count; i++) {
		if (!wanted(peers->sorted[i], ctx))
			continue;
		seen++;
		if (msp_random_below(env, seen) == 0)
			picked = peers->sorted[i];
	}
	return picked;
}

size_t
msp_count_live(const msp_peers_t *peers)
{
	size_t live = 0;
	size_t i;

	for (i = 0; i < peers->count; i++)
		live += peers->sorted[i]->info.state != MSP_MEMBER_DEAD;
	return live;
}

void
msp_queue_update(msp_peers_t *peers, msp_peer_t *peer, unsigned int sends)
{
	if (peer->update_sends_left > 0)
		TAILQ_REMOVE(&peers->updates[peer->update_sends_left], peer,
		    update_link);
	peer->update_sends_left = sends < MSP_SENDS_MAX ? sends : MSP_SENDS_MAX;
	if (peer->update_sends_left > 0)
		TAILQ_INSERT_TAIL(&peers->updates[peer->update_sends_left],
		    peer, update_link);
}

void
msp_count_sent_update(msp_peers_t *peers, msp_peer_t *peer)
{
	msp_queue_update(peers, peer, peer->update_sends_left - 1);
}

/* Returns the first peer with at most `sends` left. */
static msp_peer_t *
first_update(const msp_peers_t *peers, unsigned int sends)
{
	for (; sends > 0; sends--) {
		if (!TAILQ_EMPTY(&peers->updates[sends]))
			return TAILQ_FIRST(&peers->updates[sends]);
	}
	return NULL;
}

msp_peer_t *
msp_first_update(const msp_peers_t *peers)
{
	return first_update(peers, MSP_SENDS_MAX);
}

msp_peer_t *
msp_next_update(const msp_peers_t *peers, const msp_peer_t *peer)
{
	msp_peer_t *next = TAILQ_NEXT(peer, update_link);

	return next != NULL ? next
			    : first_update(peers, peer->update_sends_left - 1);
}

void
msp_queue_load(msp_peers_t *peers, msp_peer_t *peer, unsigned int sends)
{
	if (peer->load_sends_left > 0)
		TAILQ_REMOVE(
		    &peers->loads[peer->load_sends_left], peer, load_link);
	peer->load_sends_left = sends < MSP_SENDS_MAX ? sends : MSP_SENDS_MAX;
	if (peer->load_sends_left > 0)
		TAILQ_INSERT_TAIL(
		    &peers->loads[peer->load_sends_left], peer, load_link);
}

void
msp_count_sent_load(msp_peers_t *peers, msp_peer_t *peer)
{
	msp_queue_load(peers, peer, peer->load_sends_left - 1);
}

/* Returns the first peer with at most `sends` left. */
static msp_peer_t *
first_load(const msp_peers_t *peers, unsigned int sends)
{
	for (; sends > 0; sends--) {
		if (!TAILQ_EMPTY(&peers->loads[sends]))
			return TAILQ_FIRST(&peers->loads[sends]);
	}
	return NULL;
}

msp_peer_t *
msp_first_load(const msp_peers_t *peers)
{
	return first_load(peers, MSP_SENDS_MAX);
}

msp_peer_t *
msp_next_load(const msp_peers_t *peers, const msp_peer_t *peer)
{
	msp_peer_t *next = TAILQ_NEXT(peer, load_link);

	return next != NULL ? next
			    : first_load(peers, peer->load_sends_left - 1);
}
