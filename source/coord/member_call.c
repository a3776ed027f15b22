#include <string.h>

#include <bsd/string.h>

#include "membership_private.h"

#define URGENT_PEERS 3U /* receivers of an urgent announcement */

msp_gossip_call_t *
msp_new_call(msp_membership_t *m, msp_call_kind_t kind, const char *name,
    const char *address, uint16_t peer_port)
{
	msp_gossip_call_t *call;

	if (++m->last_token == 0)
		m->last_token = 1;
	call = &m->calls[m->last_token % MSP_CALLS_MAX];
	memset(call, 0, sizeof(*call));
	call->token = m->last_token;
	call->kind = kind;
	call->pause_count = m->pause_count;
	call->peer_port = peer_port;
	strlcpy(call->name, name, sizeof(call->name));
	strlcpy(call->address, address, sizeof(call->address));
	return call;
}

msp_gossip_call_t *
msp_find_call(msp_membership_t *m, uint32_t token)
{
	msp_gossip_call_t *call = &m->calls[token % MSP_CALLS_MAX];

	return call->kind != MSP_CALL_FREE && call->token == token ? call
								   : NULL;
}

void
msp_send_ping(msp_membership_t *m, const msp_gossip_call_t *call)
{
	msp_gossip_ping_t ping = {0};
	msp_peer_t *peer = msp_find_peer(&m->peers, call->name);

	if (msp_fill_head(m, &ping.head) == MSP_OK &&
	    msp_fill_news(m, &ping.news, peer) == MSP_OK)
		m->callbacks.send(m->callbacks.ctx, call->address,
		    call->peer_port, MSP_GOSSIP_PING, &ping, call->token,
		    m->options.period);
	xdr_free((xdrproc_t)xdr_msp_gossip_ping_t, (char *)&ping);
}

void
msp_ping_peer(msp_membership_t *m, msp_peer_t *peer, msp_call_kind_t kind)
{
	msp_send_ping(m,
	    msp_new_call(m, kind, peer->info.name, peer->info.address,
		peer->info.peer_port));
}

void
msp_announce_to(msp_membership_t *m, msp_peer_t *peer)
{
	msp_gossip_ping_t ping = {0};

	if (msp_fill_head(m, &ping.head) == MSP_OK &&
	    msp_fill_news(m, &ping.news, peer) == MSP_OK)
		m->callbacks.send(m->callbacks.ctx, peer->info.address,
		    peer->info.peer_port, MSP_GOSSIP_ANNOUNCE, &ping, 0, 0);
	xdr_free((xdrproc_t)xdr_msp_gossip_ping_t, (char *)&ping);
}

void
msp_announce_self_to(msp_membership_t *m, msp_peer_t *peer)
{
	if (m->self->update_sends_left == 0)
		msp_queue_update(&m->peers, m->self, 1);
	msp_announce_to(m, peer);
}

static bool
is_alive_peer(const msp_peer_t *peer, const void *ctx)
{
	return peer != ctx && peer->info.state == MSP_MEMBER_ALIVE;
}

void
msp_announce_urgent(msp_membership_t *m)
{
	msp_time_t now = msp_now(&m->env);
	unsigned int i;

	if (!m->urgent || now < m->next_urgent)
		return;
	m->urgent = false;
	m->next_urgent = now + m->options.period / 2;
	for (i = 0; i < URGENT_PEERS; i++) {
		msp_peer_t *peer =
		    msp_pick_peer(&m->peers, &m->env, is_alive_peer, m->self);

		if (peer != NULL)
			msp_announce_to(m, peer);
	}
}
