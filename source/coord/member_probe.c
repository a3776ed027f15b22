#include <string.h>

#include <bsd/string.h>

#include "membership_private.h"

#define PROBE_PINGS 4U /* direct pings of a probe, at most */
#define FIRST_INDIRECT_PING 3U /* from this ping on, also indirect pings */
#define CHECKS_PER_PERIOD 4 /* expected pings of a suspect, by all members */
/* All members ping a suspect whose deadline is at most this far away. */
#define FINAL_CHECK_PERIODS 2

static bool
is_helper(const msp_peer_t *peer, const void *ctx)
{
	const msp_membership_t *m = ctx;

	return peer != m->self && peer->info.state == MSP_MEMBER_ALIVE &&
	    strcmp(peer->info.name, m->probe.name) != 0;
}

static void
send_ping_req(
    msp_membership_t *m, const msp_peer_t *helper, const msp_peer_t *target)
{
	msp_gossip_ping_req_t request = {.token = m->probe.token};

	if (msp_fill_head(m, &request.head) == MSP_OK &&
	    msp_fill_record(&request.target, &target->info) == MSP_OK)
		m->callbacks.send(m->callbacks.ctx, helper->info.address,
		    helper->info.peer_port, MSP_GOSSIP_PING_REQ, &request, 0,
		    0);
	xdr_free((xdrproc_t)xdr_msp_gossip_ping_req_t, (char *)&request);
}

static void
probe_indirectly(msp_membership_t *m, const msp_peer_t *target)
{
	msp_peer_t *previous = NULL;
	unsigned int i;

	for (i = 0; i < m->options.indirect_probes; i++) {
		msp_peer_t *helper =
		    msp_pick_peer(&m->peers, &m->env, is_helper, m);

		if (helper == NULL)
			return;
		if (helper != previous)
			send_ping_req(m, helper, target);
		previous = helper;
	}
}

void
msp_start_probe(msp_membership_t *m)
{
	msp_peer_t *peer = msp_find_peer(&m->peers, m->probe.name);

	if (peer != NULL)
		msp_suspect_peer(m, peer, 0);
	m->probe.name[0] = '\0';
	peer = msp_next_probe_target(&m->peers, m->self, &m->env);
	if (peer == NULL)
		return;
	strlcpy(m->probe.name, peer->info.name, sizeof(m->probe.name));
	m->probe.token++;
	m->probe.ping_count = 1;
	m->probe.next_ping = msp_now(&m->env) + m->options.ping_timeout;
	msp_ping_peer(m, peer, MSP_CALL_PROBE);
}

void
msp_retry_probe(msp_membership_t *m)
{
	msp_peer_t *peer;

	if (m->probe.name[0] == '\0' || m->probe.ping_count >= PROBE_PINGS ||
	    m->probe.next_ping > msp_now(&m->env))
		return;
	peer = msp_find_peer(&m->peers, m->probe.name);
	if (peer == NULL)
		return;
	m->probe.next_ping += m->options.ping_timeout;
	msp_ping_peer(m, peer, MSP_CALL_PROBE);
	if (++m->probe.ping_count >= FIRST_INDIRECT_PING)
		probe_indirectly(m, peer);
}

void
msp_end_probe(msp_membership_t *m, const char *name)
{
	if (strcmp(m->probe.name, name) == 0)
		m->probe.name[0] = '\0';
}

/* Notifies the member that requested an indirect ping of the answer. */
static void
send_ping_ok(
    msp_membership_t *m, const msp_gossip_call_t *call, uint64_t incarnation)
{
	msp_gossip_ping_ok_t ok = {
	    .target = strdup(call->name),
	    .incarnation = incarnation,
	    .token = call->requester_token,
	};

	if (ok.target != NULL && msp_fill_head(m, &ok.head) == MSP_OK)
		m->callbacks.send(m->callbacks.ctx, call->requester_address,
		    call->requester_port, MSP_GOSSIP_PING_OK, &ok, 0, 0);
	xdr_free((xdrproc_t)xdr_msp_gossip_ping_ok_t, (char *)&ok);
}

static void
handle_verify_reply(msp_membership_t *m, const msp_gossip_call_t *call,
    const msp_gossip_ack_t *ack)
{
	msp_member_t *self = &m->self->info;

	m->verifying = false;
	if (ack != NULL && strcmp(ack->head.from, self->name) == 0 &&
	    ack->head.incarnation == call->incarnation) {
		m->superseded = true;
		return;
	}
	if (call->incarnation <= self->incarnation)
		return;
	self->incarnation = call->incarnation + 1;
	self->round = 0;
	msp_queue_update(&m->peers, m->self, msp_update_sends(m));
}

void
msp_handle_ping_reply(msp_membership_t *m, const msp_gossip_call_t *call,
    msp_status_t status, const msp_gossip_ack_t *ack)
{
	msp_peer_t *peer = msp_find_peer(&m->peers, call->name);
	bool was_dead;

	if (call->kind == MSP_CALL_VERIFY) {
		handle_verify_reply(m, call, status == MSP_OK ? ack : NULL);
		return;
	}
	if (status == MSP_E_PEER_DOWN && call->kind != MSP_CALL_INDIRECT) {
		msp_end_probe(m, call->name);
		msp_report_refused_connection(m, call->name);
	}
	if (status != MSP_OK || msp_check_head(m, &ack->head) != MSP_OK)
		return;
	was_dead = peer != NULL && peer->info.state == MSP_MEMBER_DEAD;
	msp_merge_head(m, &ack->head);
	msp_merge_news(m, &ack->news);
	if (was_dead && peer->info.state != MSP_MEMBER_DEAD)
		msp_sync_with(m, peer, 0);
	if (strcmp(ack->head.from, call->name) != 0)
		return;
	msp_end_probe(m, call->name);
	msp_mark_peer_answered(m, call->name, call);
	if (call->kind == MSP_CALL_INDIRECT)
		send_ping_ok(m, call, ack->head.incarnation);
	if (ack->unknown && peer != NULL)
		msp_announce_self_to(m, peer);
}

msp_status_t
msp_serve_ping_req(msp_membership_t *m, const msp_gossip_ping_req_t *request)
{
	const msp_peer_t *requester;
	const msp_peer_t *target;
	msp_gossip_call_t *call;
	msp_status_t status = msp_check_head(m, &request->head);

	if (status != MSP_OK)
		return status;
	msp_apply_record(m, &request->target);
	requester = msp_find_peer(&m->peers, request->head.from);
	target = msp_find_peer(&m->peers, request->target.name);
	if (requester == NULL || target == NULL || target == m->self)
		return MSP_OK;
	call = msp_new_call(m, MSP_CALL_INDIRECT, target->info.name,
	    target->info.address, target->info.peer_port);
	call->requester_port = requester->info.peer_port;
	call->requester_token = request->token;
	memcpy(call->requester_address, requester->info.address,
	    sizeof(call->requester_address));
	msp_send_ping(m, call);
	return MSP_OK;
}

msp_status_t
msp_serve_ping_ok(msp_membership_t *m, const msp_gossip_ping_ok_t *ok)
{
	msp_status_t status = msp_check_head(m, &ok->head);

	if (status == MSP_OK && ok->token == m->probe.token)
		msp_end_probe(m, ok->target);
	return status;
}

void
msp_check_suspects(msp_membership_t *m)
{
	size_t live = msp_count_live(&m->peers);
	msp_time_t near_deadline =
	    msp_now(&m->env) + FINAL_CHECK_PERIODS * m->options.period;
	size_t i;

	for (i = 0; i < m->peers.count; i++) {
		msp_peer_t *peer = m->peers.sorted[i];

		if (peer->info.state != MSP_MEMBER_SUSPECT)
			continue;
		if (peer->deadline <= near_deadline ||
		    msp_random_below(&m->env, live) < CHECKS_PER_PERIOD)
			msp_ping_peer(m, peer, MSP_CALL_CHECK);
	}
}
