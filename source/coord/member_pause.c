#include "membership_private.h"

#define PEER_ANSWERS_MIN 2 /* peers whose answers end a pause */

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

/* Whether enough peers, or all live ones, have answered since the pause. */
static bool
has_enough_answers(const msp_membership_t *m)
{
	size_t answered = 0;
	size_t live = 0;
	size_t i;

	for (i = 0; i < m->peers.count; i++) {
		const msp_peer_t *peer = m->peers.sorted[i];

		if (peer == m->self || peer->info.state == MSP_MEMBER_DEAD)
			continue;
		live++;
		answered += peer->answered_pause_count == m->pause_count;
	}
	return answered >= PEER_ANSWERS_MIN || answered == live;
}

static bool
has_not_answered(const msp_peer_t *peer, const void *ctx)
{
	const msp_membership_t *m = ctx;

	return peer != m->self && peer->info.state != MSP_MEMBER_DEAD &&
	    peer->answered_pause_count != m->pause_count;
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
	for (i = 0; i < PEER_ANSWERS_MIN + 1; i++) {
		msp_peer_t *peer =
		    msp_pick_peer(&m->peers, &m->env, has_not_answered, m);

		if (peer != NULL)
			msp_ping_peer(m, peer, MSP_CALL_CHECK);
	}
	msp_try_end_pause(m);
}

void
msp_try_end_pause(msp_membership_t *m)
{
	if (m->paused && has_enough_answers(m))
		m->paused = false;
}

void
msp_mark_peer_answered(
    msp_membership_t *m, const char *name, const msp_gossip_call_t *call)
{
	msp_peer_t *peer = msp_find_peer(&m->peers, name);

	m->heard_at = msp_now(&m->env);
	if (peer == NULL || call->pause_count != m->pause_count)
		return;
	peer->answered_pause_count = m->pause_count;
	msp_try_end_pause(m);
}
