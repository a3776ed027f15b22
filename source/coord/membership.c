#include <stdlib.h>
#include <string.h>

#include "membership_private.h"

#define LEAVE_ANNOUNCES 3U /* announcements to all before leaving */

static void
set_defaults(msp_membership_options_t *options)
{
	if (options->period == 0)
		options->period = MSP_SECOND;
	if (options->ping_timeout == 0)
		options->ping_timeout = options->period / 5;
	if (options->suspicion_timeout == 0)
		options->suspicion_timeout = 3 * options->period;
	if (options->pause_threshold == 0)
		options->pause_threshold = 2 * options->period;
	if (options->dead_retention == 0)
		options->dead_retention = 30 * MSP_MINUTE;
	if (options->contact_period == 0)
		options->contact_period = 2 * options->period;
	if (options->sync_period == 0)
		options->sync_period = 30 * options->period;
	if (options->indirect_probes == 0)
		options->indirect_probes = 3;
	if (options->load_bytes_max == 0)
		options->load_bytes_max = 400;
}

static size_t
add_seeds(msp_membership_t *m, const msp_seed_t *seeds, size_t count)
{
	size_t i;

	if (count > MSP_SEEDS_MAX)
		count = MSP_SEEDS_MAX;
	for (i = 0; i < count; i++)
		m->seeds[m->seed_count++] = (msp_known_seed_t){
		    .seed = seeds[i], .retry_delay = m->options.contact_period};
	return count;
}

msp_membership_t *
msp_new_membership(const msp_env_t *env,
    const msp_membership_options_t *options,
    const msp_membership_callbacks_t *callbacks)
{
	msp_membership_t *m = calloc(1, sizeof(*m));
	msp_member_t self = options->self;

	if (m == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for the membership");
		return NULL;
	}
	m->env = *env;
	m->options = *options;
	m->callbacks = *callbacks;
	set_defaults(&m->options);
	if (msp_init_peers(&m->peers) != MSP_OK) {
		free(m);
		return NULL;
	}
	self.state = MSP_MEMBER_ALIVE;
	self.round = 0;
	m->self = msp_add_peer(&m->peers, &self, env);
	if (m->self == NULL) {
		msp_drop_membership(m);
		msp_fail(MSP_E_NO_MEMORY, "no memory for the membership");
		return NULL;
	}
	m->self->deadline = MSP_NEVER;
	m->configured_seed_count =
	    add_seeds(m, options->seeds, options->seed_count);
	m->start_incarnation = self.incarnation;
	m->start = msp_now(env);
	m->last_clock = m->start;
	m->next_period = m->start + msp_random_below(env, m->options.period);
	m->next_sync = m->start + m->options.sync_period / 2 +
	    msp_random_below(env, m->options.sync_period);
	m->next_contact = m->start;
	return m;
}

void
msp_drop_membership(msp_membership_t *membership)
{
	if (membership == NULL)
		return;
	msp_clear_peers(&membership->peers);
	free(membership);
}

static void
announce_to_all(msp_membership_t *m)
{
	size_t i;

	for (i = 0; i < m->peers.count; i++) {
		msp_peer_t *peer = m->peers.sorted[i];

		if (peer != m->self && peer->info.state != MSP_MEMBER_DEAD)
			msp_announce_self_to(m, peer);
	}
}

static void
start_period(msp_membership_t *m, msp_time_t now)
{
	m->next_period += m->options.period;
	if (m->next_period <= now)
		m->next_period = now + m->options.period;
	msp_start_probe(m);
	msp_check_suspects(m);
}

void
msp_tick_membership(msp_membership_t *membership)
{
	msp_membership_t *m = membership;
	msp_time_t now = msp_now(&m->env);

	msp_detect_pause(m);
	msp_expire_peers(m);
	msp_try_end_pause(m);
	if (m->superseded)
		return;
	if (m->announces_left > 0 && now >= m->next_announce) {
		m->announces_left--;
		m->next_announce = now + m->options.ping_timeout;
		announce_to_all(m);
	}
	if (now >= m->next_period)
		start_period(m, now);
	msp_retry_probe(m);
	if (now >= m->next_contact) {
		m->next_contact = now + m->options.contact_period;
		msp_contact_seeds_and_dead(m);
	}
	if (now >= m->next_sync) {
		m->next_sync = now + m->options.sync_period;
		msp_sync_random(m);
	}
	msp_announce_urgent(m);
}

static msp_status_t
serve_ping(
    msp_membership_t *m, const msp_gossip_ping_t *ping, msp_gossip_ack_t *ack)
{
	msp_peer_t *from;
	msp_status_t status = msp_check_head(m, &ping->head);

	if (status != MSP_OK)
		return status;
	msp_merge_news(m, &ping->news);
	msp_merge_head(m, &ping->head);
	if (ack == NULL)
		return MSP_OK;
	from = msp_find_peer(&m->peers, ping->head.from);
	ack->unknown =
	    from == NULL || from->info.incarnation < ping->head.incarnation;
	status = msp_fill_head(m, &ack->head);
	return status == MSP_OK ? msp_fill_news(m, &ack->news, from) : status;
}

msp_status_t
msp_serve_membership(msp_membership_t *membership, uint32_t procedure,
    const void *argument, void *result)
{
	msp_detect_pause(membership);
	membership->heard_at = msp_now(&membership->env);
	switch (procedure) {
	case MSP_GOSSIP_PING:
		return serve_ping(membership, argument, result);
	case MSP_GOSSIP_ANNOUNCE:
		return serve_ping(membership, argument, NULL);
	case MSP_GOSSIP_PING_REQ:
		return msp_serve_ping_req(membership, argument);
	case MSP_GOSSIP_PING_OK:
		return msp_serve_ping_ok(membership, argument);
	case MSP_GOSSIP_SYNC:
		return msp_serve_sync(membership, argument, result);
	default:
		return msp_fail(MSP_E_BAD_REQUEST,
		    "unknown gossip procedure %u", procedure);
	}
}

void
msp_complete_membership_call(msp_membership_t *membership, uint32_t token,
    msp_status_t status, const void *result)
{
	msp_gossip_call_t *slot;
	msp_gossip_call_t call;

	msp_detect_pause(membership);
	slot = msp_find_call(membership, token);
	if (slot == NULL)
		return;
	call = *slot;
	slot->kind = MSP_CALL_FREE;
	if (call.kind == MSP_CALL_SYNC)
		msp_handle_sync_reply(membership, &call, status, result);
	else
		msp_handle_ping_reply(membership, &call, status, result);
}

void
msp_set_discovered_seeds(
    msp_membership_t *membership, const msp_seed_t *seeds, size_t count)
{
	membership->seed_count = membership->configured_seed_count;
	add_seeds(membership, seeds, count);
}

void
msp_leave_membership(msp_membership_t *membership)
{
	msp_peer_t *self = membership->self;

	if (self->info.state == MSP_MEMBER_LEAVING)
		return;
	self->info.round++;
	self->info.state = MSP_MEMBER_LEAVING;
	membership->announces_left = LEAVE_ANNOUNCES;
	membership->next_announce = msp_now(&membership->env);
	msp_queue_update(
	    &membership->peers, self, msp_update_sends(membership));
	msp_tick_membership(membership);
}

static void
queue_own_load(msp_membership_t *m)
{
	m->self->info.load_sequence++;
	msp_queue_load(&m->peers, m->self, msp_load_sends(m));
}

void
msp_set_member_release(msp_membership_t *membership, uint64_t release)
{
	if (membership->self->info.release == release)
		return;
	membership->self->info.release = release;
	queue_own_load(membership);
}

msp_status_t
msp_set_member_load(msp_membership_t *membership, const void *load, size_t len)
{
	msp_member_t *self = &membership->self->info;

	if (len > MSP_MEMBER_LOAD_MAX)
		return msp_fail(
		    MSP_E_TOO_LARGE, "load report too large: %zu bytes", len);
	if (len == self->load_len && memcmp(self->load, load, len) == 0)
		return MSP_OK;
	memcpy(self->load, load, len);
	self->load_len = len;
	queue_own_load(membership);
	return MSP_OK;
}

bool
msp_membership_is_paused(const msp_membership_t *membership)
{
	return membership->paused ||
	    msp_now(&membership->env) - membership->last_clock >
	    membership->options.pause_threshold;
}

bool
msp_membership_is_superseded(const msp_membership_t *membership)
{
	return membership->superseded;
}

msp_time_t
msp_membership_heard_at(const msp_membership_t *membership)
{
	return membership->heard_at;
}

const msp_member_t *
msp_membership_self(const msp_membership_t *membership)
{
	return &membership->self->info;
}

size_t
msp_member_count(const msp_membership_t *membership)
{
	return membership->peers.count;
}

const msp_member_t *
msp_member_at(const msp_membership_t *membership, size_t index)
{
	return &membership->peers.sorted[index]->info;
}

const msp_member_t *
msp_find_member(const msp_membership_t *membership, const char *name)
{
	const msp_peer_t *peer = msp_find_peer(&membership->peers, name);

	return peer == NULL ? NULL : &peer->info;
}

size_t
msp_list_live_members(
    const msp_membership_t *membership, const msp_member_t **out, size_t max)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < membership->peers.count && count < max; i++) {
		const msp_member_t *info = &membership->peers.sorted[i]->info;

		if (info->state != MSP_MEMBER_DEAD)
			out[count++] = info;
	}
	return count;
}
