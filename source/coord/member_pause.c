#include "membership_private.h"

#define PEERS_HEARD_MIN 2 /* answers of peers that end a pause */

/*
 * Cancels the probe and postpones the deadlines of suspects, which rest on
 * information from before the pause.
 */
static void
begin_pause(msp_membership_t *m, msp_time_t jump)
{
	size_t i;

	m->paused = true;
	m->pause_count++;
	m->probe.name[0] = '\0';
	for (i = 0; i < m->peers.count; i++) {
		msp_peer_t *peer = m->peers.sorted[i];

		if (peer->info.state == MSP_MEMBER_SUSPECT)
			peer->deadline += jump;
	}
}

/* Whether PEERS_HEARD_MIN peers, or all live ones, answered since the pause. */
static bool
has_heard_enough(const msp_membership_t *m)
{
	size_t heard = 0;
	size_t live = 0;
	size_t i;

	for (i = 0; i < m->peers.count; i++) {
		const msp_peer_t *peer = m->peers.sorted[i];

		if (peer == m->self || peer->info.state == MSP_MEMBER_DEAD)
			continue;
		live++;
		heard += peer->heard_pause_count == m->pause_count;
	}
	return heard >= PEERS_HEARD_MIN || heard == live;
}

static bool
is_unheard(const msp_peer_t *peer, const void *ctx)
{
	const msp_membership_t *m = ctx;

	return peer != m->self && peer->info.state != MSP_MEMBER_DEAD &&
	    peer->heard_pause_count != m->pause_count;
}

void
msp_detect_pause(msp_membership_t *m)
{
	msp_time_t now = msp_now(&m->env);
	msp_time_t jump = now - m->last_clock;
	unsigned int i;

	m->last_clock = now;
	if (jump <= m->options.pause_threshold)
		return;
	begin_pause(m, jump);
	m->next_period = now + m->options.period;
	m->next_sync = now;
	for (i = 0; i < PEERS_HEARD_MIN + 1; i++) {
		msp_peer_t *peer =
		    msp_pick_peer(&m->peers, &m->env, is_unheard, m);

		if (peer != NULL)
			msp_ping_peer(m, peer, MSP_CALL_CHECK);
	}
	msp_try_end_pause(m);
}

void
msp_try_end_pause(msp_membership_t *m)
{
	if (m->paused && has_heard_enough(m))
		m->paused = false;
}

void
msp_mark_peer_heard(
    msp_membership_t *m, const char *name, const msp_gossip_call_t *call)
{
	msp_peer_t *peer = msp_find_peer(&m->peers, name);

	if (peer == NULL || call->pause_count != m->pause_count)
		return;
	peer->heard_pause_count = m->pause_count;
	msp_try_end_pause(m);
}
