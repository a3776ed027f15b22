#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "membership_private.h"
#include "monsoonspindle/base/hash.h"

#define PAGE_BYTES_MAX 1150 /* encoded records in a page */
#define PAGES_MAX 128 /* of one sync */
#define RECENT_DEATH MSP_MINUTE /* pages include members dead for less */
#define PAGE_RECORD_SENDS 2U /* sends of a record from a page */
#define PAGE_RETRIES_MAX 3U
#define PAGE_TIMEOUT_PINGS 2 /* timeout of a page, in ping timeouts */
#define FIRST_CONTACTS 3U /* seeds contacted at once while no peer is live */
#define SEED_RETRY_MAX MSP_MINUTE /* longest delay until the next contact */

/*
 * Returns a digest of this VM's view of the members that are not dead. Equal
 * views have equal digests.
 */
static uint64_t
members_digest(const msp_membership_t *m)
{
	uint64_t digest = 0;
	size_t i;

	for (i = 0; i < m->peers.count; i++) {
		const msp_member_t *info = &m->peers.sorted[i]->info;
		uint64_t claim[3] = {
		    info->incarnation, info->round, info->state};

		if (info->state != MSP_MEMBER_DEAD)
			digest += msp_hash(
			    claim, sizeof(claim), msp_hash_text(info->name, 0));
	}
	return digest;
}

static void
send_sync(msp_membership_t *m, const msp_gossip_call_t *call)
{
	msp_gossip_sync_t request = {
	    .digest = call->digest,
	    .after = strdup(call->after),
	};

	if (request.after != NULL &&
	    msp_fill_head(m, &request.head) == MSP_OK &&
	    msp_fill_record(&request.self, &m->self->info) == MSP_OK)
		m->callbacks.send(m->callbacks.ctx, call->address,
		    call->peer_port, MSP_GOSSIP_SYNC, &request, call->token,
		    PAGE_TIMEOUT_PINGS * m->options.ping_timeout);
	xdr_free((xdrproc_t)xdr_msp_gossip_sync_t, (char *)&request);
}

static bool
seed_is_live(const msp_membership_t *m, const msp_seed_t *seed)
{
	size_t i;

	for (i = 0; i < m->peers.count; i++) {
		const msp_member_t *info = &m->peers.sorted[i]->info;

		if (info->state != MSP_MEMBER_DEAD &&
		    info->peer_port == seed->peer_port &&
		    strcmp(info->address, seed->address) == 0)
			return true;
	}
	return false;
}

/*
 * Picks a random seed that is due and at whose address no live member is known.
 * If `alone`, which means that no other live member is known, all are due.
 */
static msp_known_seed_t *
pick_seed(msp_membership_t *m, bool alone)
{
	msp_time_t now = msp_now(&m->env);
	msp_known_seed_t *picked = NULL;
	uint64_t seen = 0;
	size_t i;

	for (i = 0; i < m->seed_count; i++) {
		msp_known_seed_t *known = &m->seeds[i];

		if ((!alone && known->next_contact > now) ||
		    seed_is_live(m, &known->seed))
			continue;
		seen++;
		if (msp_random_below(&m->env, seen) == 0)
			picked = known;
	}
	return picked;
}

static void
contact_seed(msp_membership_t *m, bool alone)
{
	msp_known_seed_t *known = pick_seed(m, alone);

	if (known == NULL)
		return;
	known->next_contact = msp_now(&m->env) + known->retry_delay;
	known->retry_delay = known->retry_delay * 2 < SEED_RETRY_MAX
	    ? known->retry_delay * 2
	    : SEED_RETRY_MAX;
	send_sync(m,
	    msp_new_call(m, MSP_CALL_SYNC, "", known->seed.address,
		known->seed.peer_port));
}

static bool
is_dead(const msp_peer_t *peer, const void *ctx)
{
	(void)ctx;
	return peer->info.state == MSP_MEMBER_DEAD;
}

void
msp_contact_seeds_and_dead(msp_membership_t *m)
{
	bool alone = msp_count_live(&m->peers) == 1;
	unsigned int seeds = alone ? FIRST_CONTACTS : 1;
	msp_peer_t *dead = msp_pick_peer(&m->peers, &m->env, is_dead, NULL);

	while (seeds-- > 0)
		contact_seed(m, alone);
	if (dead != NULL)
		msp_ping_peer(m, dead, MSP_CALL_CHECK);
}

void
msp_sync_with(msp_membership_t *m, const msp_peer_t *peer, uint64_t digest)
{
	msp_gossip_call_t *call;

	if (peer == NULL || peer == m->self)
		return;
	call = msp_new_call(m, MSP_CALL_SYNC, peer->info.name,
	    peer->info.address, peer->info.peer_port);
	call->digest = digest;
	send_sync(m, call);
}

static bool
is_other(const msp_peer_t *peer, const void *ctx)
{
	return peer != ctx && peer->info.state == MSP_MEMBER_ALIVE;
}

void
msp_sync_random(msp_membership_t *m)
{
	msp_sync_with(m, msp_pick_peer(&m->peers, &m->env, is_other, m->self),
	    members_digest(m));
}

/* Leaves out the dead, except the requester itself and recent ones. */
static bool
belongs_in_page(const msp_membership_t *m, const msp_peer_t *peer,
    const msp_gossip_sync_t *request)
{
	const msp_member_t *info = &peer->info;

	return strcmp(info->name, request->after) > 0 &&
	    (info->state != MSP_MEMBER_DEAD ||
		strcmp(info->name, request->self.name) == 0 ||
		peer->deadline + RECENT_DEATH >
		    msp_now(&m->env) + m->options.dead_retention);
}

static msp_status_t
fill_page(const msp_membership_t *m, const msp_gossip_sync_t *request,
    msp_gossip_page_t *page)
{
	size_t used = 0;
	size_t i;
	msp_status_t status;

	page->members.members_val =
	    calloc(MSP_GOSSIP_UPDATES_MAX, sizeof(msp_gossip_member_t));
	if (page->members.members_val == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	for (i = 0; i < m->peers.count; i++) {
		const msp_peer_t *peer = m->peers.sorted[i];
		const msp_member_t *info = &peer->info;

		if (!belongs_in_page(m, peer, request))
			continue;
		used += msp_record_size(info);
		if (page->members.members_len == MSP_GOSSIP_UPDATES_MAX ||
		    used > PAGE_BYTES_MAX) {
			page->more = TRUE;
			break;
		}
		status = msp_fill_record(
		    &page->members.members_val[page->members.members_len++],
		    info);
		if (status != MSP_OK)
			return status;
	}
	return MSP_OK;
}

msp_status_t
msp_serve_sync(msp_membership_t *m, const msp_gossip_sync_t *request,
    msp_gossip_page_t *page)
{
	msp_status_t status = msp_check_head(m, &request->head);

	if (status != MSP_OK)
		return status;
	if (strcmp(request->head.from, request->self.name) != 0)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "sync: record of another member than the sender");
	msp_apply_record(m, &request->self);
	msp_merge_head(m, &request->head);
	status = msp_fill_head(m, &page->head);
	if (status != MSP_OK || request->digest == members_digest(m))
		return status;
	if (request->digest != 0)
		msp_sync_with(
		    m, msp_find_peer(&m->peers, request->self.name), 0);
	return fill_page(m, request, page);
}

/* The address has answered: its seed is contacted soon after it is lost. */
static void
reset_seed_delay(msp_membership_t *m, const msp_gossip_call_t *call)
{
	size_t i;

	for (i = 0; i < m->seed_count; i++) {
		if (m->seeds[i].seed.peer_port == call->peer_port &&
		    strcmp(m->seeds[i].seed.address, call->address) == 0)
			m->seeds[i].retry_delay = m->options.contact_period;
	}
}

static void
send_page_request(msp_membership_t *m, const msp_gossip_call_t *last,
    unsigned int page, unsigned int retries, const char *after)
{
	msp_gossip_call_t *call = msp_new_call(
	    m, MSP_CALL_SYNC, last->name, last->address, last->peer_port);

	call->page = page;
	call->retries = retries;
	call->digest = page == 0 ? last->digest : 0;
	strlcpy(call->after, after, sizeof(call->after));
	send_sync(m, call);
}

/*
 * Merges a record of a page. Other members know it already, so it is sent only
 * a few times.
 */
static bool
merge_page_record(msp_membership_t *m, const msp_gossip_member_t *record)
{
	msp_peer_t *peer;

	if (!msp_apply_record(m, record))
		return false;
	peer = msp_find_peer(&m->peers, record->name);
	if (peer != NULL && peer != m->self)
		msp_queue_update(&m->peers, peer, PAGE_RECORD_SENDS);
	return true;
}

/*
 * Repeats a request that timed out, except the first one to a seed, at whose
 * address no member may run.
 */
static void
retry_page(msp_membership_t *m, const msp_gossip_call_t *call)
{
	if (call->retries < PAGE_RETRIES_MAX &&
	    (call->page > 0 || call->name[0] != '\0'))
		send_page_request(
		    m, call, call->page, call->retries + 1, call->after);
}

void
msp_handle_sync_reply(msp_membership_t *m, const msp_gossip_call_t *call,
    msp_status_t status, const msp_gossip_page_t *page)
{
	bool changed = false;
	u_int count;
	u_int i;

	if (status == MSP_E_PEER_DOWN)
		msp_report_refused_connection(m, call->name);
	if (status == MSP_E_DEADLINE)
		retry_page(m, call);
	if (status != MSP_OK || msp_check_head(m, &page->head) != MSP_OK)
		return;
	count = page->members.members_len;
	for (i = 0; i < count; i++)
		changed |= merge_page_record(m, &page->members.members_val[i]);
	if (changed &&
	    m->next_sync > msp_now(&m->env) + m->options.contact_period)
		m->next_sync = msp_now(&m->env) + m->options.contact_period;
	msp_merge_head(m, &page->head);
	msp_mark_peer_answered(m, page->head.from, call);
	reset_seed_delay(m, call);
	if (page->more && count > 0 && call->page < PAGES_MAX)
		send_page_request(m, call, call->page + 1, 0,
		    page->members.members_val[count - 1].name);
}
