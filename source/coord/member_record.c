#include <string.h>

#include <bsd/string.h>

#include "membership_private.h"
#include "gossip_fields.h"

/* Time until a member that refuses connections is dead, in periods. */
#define REFUSED_PERIODS 2
/* Sends of an update, and of a load, per doubling of the members. */
#define SENDS_FACTOR 3U
#define LOAD_SENDS_FACTOR 2U
/* Clocks of VMs may differ by this: limit of a plausible incarnation. */
#define INCARNATION_AHEAD_MAX (24 * 60 * MSP_MINUTE)
/* A claim with this round or a higher one is refuted by a new incarnation. */
#define ROUND_MAX (UINT32_MAX - 1)

static const char *const state_names[MSP_MEMBER_STATE_COUNT] = {
    [MSP_MEMBER_ALIVE] = "alive",
    [MSP_MEMBER_SUSPECT] = "suspect",
    [MSP_MEMBER_LEAVING] = "leaving",
    [MSP_MEMBER_DEAD] = "dead",
};

const char *
msp_member_state_name(msp_member_state_t state)
{
	return (unsigned int)state < MSP_MEMBER_STATE_COUNT ? state_names[state]
							    : "unknown";
}

static unsigned int
log2_up(size_t n)
{
	unsigned int bits = 0;

	while (((size_t)1 << bits) < n)
		bits++;
	return bits;
}

unsigned int
msp_update_sends(const msp_membership_t *m)
{
	return SENDS_FACTOR * log2_up(m->peers.count + 1);
}

unsigned int
msp_load_sends(const msp_membership_t *m)
{
	return LOAD_SENDS_FACTOR * log2_up(m->peers.count + 1);
}

static void
report_change(msp_membership_t *m, const msp_peer_t *peer)
{
	if (m->callbacks.on_change != NULL)
		m->callbacks.on_change(m->callbacks.ctx, &peer->info);
}

/* Returns how long a suspect has to refute; this grows with the members. */
static msp_time_t
suspicion_time(const msp_membership_t *m)
{
	return m->options.suspicion_timeout +
	    m->options.period * log2_up(m->peers.count + 1) / 2;
}

void
msp_set_peer_state(
    msp_membership_t *m, msp_peer_t *peer, msp_member_state_t state)
{
	msp_time_t now = msp_now(&m->env);

	/* All changes are urgent, except a new member that is alive. */
	m->urgent |=
	    state != MSP_MEMBER_ALIVE || peer->info.state != MSP_MEMBER_ALIVE;
	peer->info.state = state;
	peer->deadline = MSP_NEVER;
	if (state == MSP_MEMBER_SUSPECT)
		peer->deadline = now + suspicion_time(m);
	if (state == MSP_MEMBER_DEAD)
		peer->deadline = now + m->options.dead_retention;
	msp_queue_update(&m->peers, peer, msp_update_sends(m));
	report_change(m, peer);
}

void
msp_suspect_peer(msp_membership_t *m, msp_peer_t *peer, msp_time_t wait)
{
	msp_time_t deadline = msp_now(&m->env) + wait;

	if (peer == m->self || peer->info.state == MSP_MEMBER_DEAD)
		return;
	if (peer->info.state == MSP_MEMBER_LEAVING) {
		msp_set_peer_state(m, peer, MSP_MEMBER_DEAD);
		return;
	}
	if (peer->info.state == MSP_MEMBER_ALIVE)
		msp_set_peer_state(m, peer, MSP_MEMBER_SUSPECT);
	if (wait > 0 && deadline < peer->deadline)
		peer->deadline = deadline;
}

void
msp_expire_peers(msp_membership_t *m)
{
	msp_time_t now = msp_now(&m->env);
	size_t i = 0;

	while (i < m->peers.count) {
		msp_peer_t *peer = m->peers.sorted[i];

		if (peer->deadline > now) {
			i++;
			continue;
		}
		if (peer->info.state == MSP_MEMBER_DEAD) {
			msp_remove_peer(&m->peers, peer);
			continue;
		}
		msp_set_peer_state(m, peer, MSP_MEMBER_DEAD);
		i++;
	}
}

/* Returns the highest incarnation that is plausible now. */
static uint64_t
incarnation_limit(const msp_membership_t *m)
{
	return m->start_incarnation + (msp_now(&m->env) - m->start) +
	    INCARNATION_AHEAD_MAX;
}

static bool
record_is_valid(const msp_membership_t *m, const msp_gossip_member_t *record)
{
	return msp_name_is_valid(record->name) &&
	    msp_name_is_valid(record->region) &&
	    strcmp(record->place, m->self->info.place) == 0 &&
	    msp_address_is_valid(record->address) &&
	    msp_port_is_valid(record->caller_port) &&
	    msp_port_is_valid(record->peer_port) &&
	    (unsigned int)record->state < MSP_MEMBER_STATE_COUNT &&
	    record->incarnation > 0 &&
	    record->incarnation <= incarnation_limit(m);
}

static void
copy_record(msp_member_t *info, const msp_gossip_member_t *record)
{
	strlcpy(info->name, record->name, sizeof(info->name));
	strlcpy(info->region, record->region, sizeof(info->region));
	strlcpy(info->place, record->place, sizeof(info->place));
	strlcpy(info->address, record->address, sizeof(info->address));
	info->caller_port = (uint16_t)record->caller_port;
	info->peer_port = (uint16_t)record->peer_port;
	info->incarnation = record->incarnation;
	info->round = record->round;
}

/* Raises this VM's round, or its incarnation, above that of the claim. */
static void
refute(msp_membership_t *m, const msp_gossip_member_t *record)
{
	msp_member_t *self = &m->self->info;

	if (record->incarnation > self->incarnation) {
		self->incarnation = record->incarnation + 1;
		self->round = 0;
	} else if (record->round >= ROUND_MAX) {
		self->incarnation++;
		self->round = 0;
	} else {
		self->round = record->round + 1;
	}
	msp_queue_update(&m->peers, m->self, msp_update_sends(m));
	m->urgent = true;
}

static bool
same_address(const msp_member_t *info, const msp_gossip_member_t *record)
{
	return strcmp(info->address, record->address) == 0 &&
	    info->peer_port == record->peer_port;
}

/* Pings the address of another process that claims to run under this name. */
static void
send_verify_ping(msp_membership_t *m, const msp_gossip_member_t *record)
{
	msp_gossip_call_t *call;

	if (m->verifying)
		return;
	m->verifying = true;
	call = msp_new_call(m, MSP_CALL_VERIFY, record->name, record->address,
	    (uint16_t)record->peer_port);
	call->incarnation = record->incarnation;
	msp_send_ping(m, call);
}

static void
apply_to_self(msp_membership_t *m, const msp_gossip_member_t *record)
{
	const msp_member_t *self = &m->self->info;

	if (m->superseded || record->incarnation < self->incarnation)
		return;
	if (record->incarnation > self->incarnation) {
		if (same_address(self, record))
			refute(m, record);
		else
			send_verify_ping(m, record);
		return;
	}
	if (record->round < self->round)
		return;
	if (record->round == self->round &&
	    (unsigned int)record->state <= (unsigned int)self->state)
		return;
	refute(m, record);
}

static bool
record_is_newer(const msp_member_t *info, const msp_gossip_member_t *record)
{
	if (record->incarnation != info->incarnation)
		return record->incarnation > info->incarnation;
	if (record->round != info->round)
		return record->round > info->round;
	return (unsigned int)record->state > (unsigned int)info->state;
}

/* Adds a member. The record of an unknown dead member is not disseminated. */
static bool
add_member(msp_membership_t *m, const msp_gossip_member_t *record)
{
	msp_member_t info = {.state = MSP_MEMBER_ALIVE};
	msp_peer_t *peer;

	copy_record(&info, record);
	peer = msp_add_peer(&m->peers, &info, &m->env);
	if (peer == NULL)
		return false;
	msp_set_peer_state(m, peer, (msp_member_state_t)record->state);
	if (record->state == MSP_GOSSIP_DEAD)
		msp_queue_update(&m->peers, peer, 0);
	return true;
}

/*
 * Pings a member that is dead here but, by the record, not elsewhere. The ping
 * carries the claim, so that the member can refute it.
 */
static void
recheck_dead_peer(
    msp_membership_t *m, msp_peer_t *peer, const msp_gossip_member_t *record)
{
	msp_time_t now = msp_now(&m->env);

	if (peer->info.state != MSP_MEMBER_DEAD ||
	    record->state == MSP_GOSSIP_DEAD || peer->next_check > now ||
	    record->incarnation != peer->info.incarnation ||
	    record->round != peer->info.round)
		return;
	peer->next_check = now + m->options.contact_period;
	msp_ping_peer(m, peer, MSP_CALL_CHECK);
}

bool
msp_apply_record(msp_membership_t *m, const msp_gossip_member_t *record)
{
	msp_peer_t *peer;

	if (!record_is_valid(m, record))
		return false;
	peer = msp_find_peer(&m->peers, record->name);
	if (peer == NULL)
		return add_member(m, record);
	if (peer == m->self) {
		apply_to_self(m, record);
		return false;
	}
	if (!record_is_newer(&peer->info, record)) {
		recheck_dead_peer(m, peer, record);
		return false;
	}
	if (record->incarnation != peer->info.incarnation) {
		peer->info.release = 0;
		peer->info.load_sequence = 0;
		peer->info.load_len = 0;
	}
	copy_record(&peer->info, record);
	msp_set_peer_state(m, peer, (msp_member_state_t)record->state);
	return true;
}

void
msp_report_refused_connection(msp_membership_t *membership, const char *name)
{
	msp_peer_t *peer = msp_find_peer(&membership->peers, name);

	if (peer != NULL)
		msp_suspect_peer(membership, peer,
		    REFUSED_PERIODS * membership->options.period);
}
