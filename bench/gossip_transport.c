#include "gossip_transport.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DATAGRAM_OVERHEAD 28U /* bytes of IP and UDP headers */
#define CALL_OVERHEAD 40U /* bytes of an ONC RPC call header */
#define REPLY_OVERHEAD 24U

static msp_time_t
draw_delay(gossip_net_t *net)
{
	msp_time_t span =
	    net->delay + msp_next_random(&net->rng) % (net->delay / 2 + 1);

	if (net->late_rate > 0 && draw_net_uniform(net) < net->late_rate)
		span += msp_next_random(&net->rng) % (net->late_max + 1);
	return span;
}

static void
corrupt_message(gossip_net_t *net, gossip_event_t *event)
{
	unsigned int changes = 1 + msp_next_random(&net->rng) % 4;

	if (event->len == 0 || draw_net_uniform(net) >= net->corrupt_rate)
		return;
	if (msp_next_random(&net->rng) % 4 == 0) {
		event->len = msp_next_random(&net->rng) % event->len;
		return;
	}
	while (changes-- > 0)
		event->bytes[msp_next_random(&net->rng) % event->len] =
		    (char)msp_next_random(&net->rng);
}

/* Schedules delivery, with loss, duplication and corruption of the message. */
static void
schedule_delivery(gossip_net_t *net, const gossip_event_t *message)
{
	unsigned int copies = 1 +
	    (net->duplicate_rate > 0 &&
		draw_net_uniform(net) < net->duplicate_rate);

	if (net->nodes[message->from].partition !=
	    net->nodes[message->to].partition)
		return;
	while (copies-- > 0) {
		gossip_event_t *event;

		if (net->loss_rate > 0 &&
		    draw_net_uniform(net) < net->loss_rate)
			continue;
		event = new_event(message->kind, net->now + draw_delay(net),
		    message->bytes, message->len);
		event->from = message->from;
		event->to = message->to;
		event->from_generation = message->from_generation;
		event->to_generation = message->to_generation;
		event->procedure = message->procedure;
		event->token = message->token;
		event->status = message->status;
		corrupt_message(net, event);
		push_event(net, event);
	}
}

static size_t
encode_message(
    xdrproc_t codec_function, const void *message, char *out, size_t size)
{
	XDR xdrs;
	size_t len;

	xdrmem_create(&xdrs, out, (u_int)size, XDR_ENCODE);
	if (!codec_function(&xdrs, (void *)message)) {
		fprintf(stderr, "gossip message exceeds the buffer\n");
		abort();
	}
	len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return len;
}

static void
count_message(gossip_node_t *node, size_t len, size_t header)
{
	gossip_net_t *net = node->net;

	node->messages_out++;
	node->bytes_out += len + header + DATAGRAM_OVERHEAD;
	if (len + header > net->largest_message)
		net->largest_message = len + header;
}

static size_t
find_node_index(const gossip_net_t *net, const char *address)
{
	unsigned int high;
	unsigned int low;
	unsigned int octet;
	size_t index;

	if (sscanf(address, "10.%u.%u.%u", &octet, &high, &low) != 3)
		return net->count;
	index = (size_t)high * 256 + low;
	return index < net->count &&
		strcmp(net->nodes[index].address, address) == 0
	    ? index
	    : net->count;
}

void
send_node_call(void *ctx, const char *address, uint16_t peer_port,
    uint32_t procedure, const void *message, uint32_t token, msp_time_t timeout)
{
	gossip_node_t *node = ctx;
	gossip_net_t *net = node->net;
	const msp_gossip_codec_t *codec = msp_find_gossip_codec(procedure);
	char bytes[4096];
	size_t len =
	    encode_message(codec->argument, message, bytes, sizeof(bytes));
	size_t to = find_node_index(net, address);
	gossip_event_t *event;

	count_message(node, len, CALL_OVERHEAD);
	if (token != 0) {
		event = new_event(EVENT_TIMEOUT, net->now + timeout, NULL, 0);
		event->to = node->index;
		event->to_generation = node->generation;
		event->token = token;
		event->procedure = procedure;
		event->status = MSP_E_DEADLINE;
		push_event(net, event);
	}
	if (to == net->count || net->nodes[to].peer_port != peer_port)
		return;
	event = new_event(EVENT_CALL, net->now, bytes, len);
	event->from = node->index;
	event->from_generation = node->generation;
	event->to = to;
	event->to_generation = net->nodes[to].generation;
	event->procedure = procedure;
	event->token = token;
	schedule_delivery(net, event);
	free(event);
}

void
send_node_reply(gossip_net_t *net, const gossip_event_t *call,
    msp_status_t status, const char *bytes, size_t len)
{
	gossip_event_t *event = new_event(EVENT_REPLY, net->now, bytes, len);

	event->from = call->to;
	event->to = call->from;
	event->to_generation = call->from_generation;
	event->procedure = call->procedure;
	event->token = call->token;
	event->status = status;
	schedule_delivery(net, event);
	free(event);
}

void
serve_node_call(gossip_net_t *net, gossip_node_t *node, gossip_event_t *event)
{
	const msp_gossip_codec_t *codec =
	    msp_find_gossip_codec(event->procedure);
	union {
		msp_gossip_ping_t ping;
		msp_gossip_sync_t sync;
		msp_gossip_ping_req_t request;
		msp_gossip_exchange_t exchange;
		msp_gossip_ack_t ack;
		msp_gossip_page_t page;
		msp_gossip_summaries_t summaries;
	} argument, result;
	char bytes[4096];
	size_t len = 0;
	XDR xdrs;
	msp_status_t status;

	memset(&argument, 0, sizeof(argument));
	memset(&result, 0, sizeof(result));
	node->bytes_in += event->len + CALL_OVERHEAD + DATAGRAM_OVERHEAD;
	xdrmem_create(&xdrs, event->bytes, (u_int)event->len, XDR_DECODE);
	if (!codec->argument(&xdrs, &argument)) {
		xdr_free(codec->argument, (char *)&argument);
		if (codec->result != NULL && event->token != 0)
			send_node_reply(net, event, MSP_E_BAD_REQUEST, NULL, 0);
		return;
	}
	if (event->procedure == MSP_GOSSIP_EXCHANGE)
		status = msp_serve_relay(
		    node->relay, event->procedure, &argument, &result);
	else
		status = msp_serve_membership(
		    node->membership, event->procedure, &argument, &result);
	xdr_free(codec->argument, (char *)&argument);
	if (codec->result != NULL && event->token != 0) {
		if (status == MSP_OK)
			len = encode_message(
			    codec->result, &result, bytes, sizeof(bytes));
		count_message(node, len, REPLY_OVERHEAD);
		send_node_reply(net, event,
		    status == MSP_OK ? MSP_OK : MSP_E_BAD_REQUEST, bytes, len);
	}
	if (codec->result != NULL)
		xdr_free(codec->result, (char *)&result);
}

static void
complete_call(
    gossip_node_t *node, const gossip_event_t *event, const void *result)
{
	if (event->procedure == MSP_GOSSIP_EXCHANGE)
		msp_complete_relay_call(
		    node->relay, event->token, event->status, result);
	else
		msp_complete_membership_call(
		    node->membership, event->token, event->status, result);
}

void
handle_node_reply(gossip_node_t *node, gossip_event_t *event)
{
	const msp_gossip_codec_t *codec =
	    msp_find_gossip_codec(event->procedure);
	union {
		msp_gossip_ack_t ack;
		msp_gossip_page_t page;
		msp_gossip_summaries_t summaries;
	} result;
	XDR xdrs;

	memset(&result, 0, sizeof(result));
	if (event->kind == EVENT_TIMEOUT || event->status != MSP_OK) {
		complete_call(node, event, NULL);
		return;
	}
	node->bytes_in += event->len + REPLY_OVERHEAD + DATAGRAM_OVERHEAD;
	xdrmem_create(&xdrs, event->bytes, (u_int)event->len, XDR_DECODE);
	if (codec->result(&xdrs, &result)) {
		complete_call(node, event, &result);
	} else {
		event->status = MSP_E_BAD_REQUEST;
		complete_call(node, event, NULL);
	}
	xdr_free(codec->result, (char *)&result);
}
