#include "gossip.h"

#include <stdlib.h>

#include <arpa/inet.h>
#include <bsd/sys/queue.h>

#include "daemon.h"
#include "log.h"
#include "members.h"
#include "monsoonspindle/coord/gossip_xdr.h"
#include "places.h"

struct gossip {
	daemon_t *daemon;
	msp_rpc_t *rpc;
	LIST_HEAD(, pending_call) pending_calls;
};

/* A call that awaits its reply. */
typedef struct pending_call {
	LIST_ENTRY(pending_call) link;
	gossip_done_t *done;
	void *ctx;
	uint32_t token;
} pending_call_t;

static msp_status_t
serve(gossip_t *gossip, uint32_t procedure, void *argument, void *result)
{
	const daemon_t *daemon = gossip->daemon;

	if (daemon->members == NULL)
		return MSP_E_NOT_READY;
	if (procedure == MSP_GOSSIP_EXCHANGE)
		return daemon->places == NULL
		    ? MSP_E_NOT_READY
		    : serve_summary_exchange(daemon->places, argument, result);
	return msp_serve_membership(
	    get_membership(daemon->members), procedure, argument, result);
}

static msp_status_t
serve_ping(void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_PING, arg, result);
}

static msp_status_t
serve_ping_req(
    void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_PING_REQ, arg, result);
}

static msp_status_t
serve_ping_ok(
    void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_PING_OK, arg, result);
}

static msp_status_t
serve_announce(
    void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_ANNOUNCE, arg, result);
}

static msp_status_t
serve_sync(void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_SYNC, arg, result);
}

static msp_status_t
serve_exchange(
    void *ctx, const struct sockaddr_in *from, void *arg, void *result)
{
	(void)from;
	return serve(ctx, MSP_GOSSIP_EXCHANGE, arg, result);
}

static const msp_rpc_procedure_t procedures[] = {
    {.number = MSP_GOSSIP_PING,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_ping_t,
	.argument_size = sizeof(msp_gossip_ping_t),
	.encode_result = (xdrproc_t)xdr_msp_gossip_ack_t,
	.result_size = sizeof(msp_gossip_ack_t),
	.serve = serve_ping},
    {.number = MSP_GOSSIP_PING_REQ,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_ping_req_t,
	.argument_size = sizeof(msp_gossip_ping_req_t),
	.serve = serve_ping_req},
    {.number = MSP_GOSSIP_PING_OK,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_ping_ok_t,
	.argument_size = sizeof(msp_gossip_ping_ok_t),
	.serve = serve_ping_ok},
    {.number = MSP_GOSSIP_ANNOUNCE,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_ping_t,
	.argument_size = sizeof(msp_gossip_ping_t),
	.serve = serve_announce},
    {.number = MSP_GOSSIP_SYNC,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_sync_t,
	.argument_size = sizeof(msp_gossip_sync_t),
	.encode_result = (xdrproc_t)xdr_msp_gossip_page_t,
	.result_size = sizeof(msp_gossip_page_t),
	.serve = serve_sync},
    {.number = MSP_GOSSIP_EXCHANGE,
	.decode_argument = (xdrproc_t)xdr_msp_gossip_exchange_t,
	.argument_size = sizeof(msp_gossip_exchange_t),
	.encode_result = (xdrproc_t)xdr_msp_gossip_summaries_t,
	.result_size = sizeof(msp_gossip_summaries_t),
	.serve = serve_exchange},
};

static void
handle_rpc_done(void *ctx, msp_status_t status, void *result)
{
	pending_call_t *pending = ctx;
	pending_call_t call = *pending;

	LIST_REMOVE(pending, link);
	free(pending);
	call.done(call.ctx, call.token, status, result);
}

void
send_gossip_call(gossip_t *gossip, const char *address, uint16_t port,
    uint32_t procedure, const void *message, uint32_t token, msp_time_t timeout,
    gossip_done_t *done, void *ctx)
{
	const msp_gossip_codec_t *codec = msp_find_gossip_codec(procedure);
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	pending_call_t *pending = NULL;
	msp_status_t status;

	if (codec == NULL || inet_pton(AF_INET, address, &to.sin_addr) != 1)
		return;
	if (token != 0) {
		pending = calloc(1, sizeof(*pending));
		if (pending == NULL)
			return;
		pending->done = done;
		pending->ctx = ctx;
		pending->token = token;
		LIST_INSERT_HEAD(&gossip->pending_calls, pending, link);
	}
	status = msp_call_rpc(gossip->rpc, &to, procedure, codec->argument,
	    (void *)message, codec->result, codec->result_size, timeout,
	    pending == NULL ? NULL : handle_rpc_done, pending);
	if (status == MSP_OK)
		return;
	log_warn("event=gossip-not-sent to=%s:%u error=%s", address, port,
	    msp_last_message());
	if (pending == NULL)
		return;
	LIST_REMOVE(pending, link);
	free(pending);
}

gossip_t *
new_gossip(struct daemon *daemon)
{
	gossip_t *gossip = calloc(1, sizeof(*gossip));
	msp_rpc_options_t options = {.address = daemon->settings->address,
	    .port = daemon->settings->peer_port,
	    .program = MSP_GOSSIP_PROGRAM,
	    .version = MSP_GOSSIP_VERSION,
	    .procedures = procedures,
	    .procedure_count = sizeof(procedures) / sizeof(procedures[0]),
	    .ctx = gossip};

	if (gossip == NULL)
		return NULL;
	gossip->daemon = daemon;
	LIST_INIT(&gossip->pending_calls);
	gossip->rpc = msp_new_rpc(daemon->loop, &options);
	if (gossip->rpc == NULL) {
		free(gossip);
		return NULL;
	}
	return gossip;
}

void
drop_gossip(gossip_t *gossip)
{
	pending_call_t *pending, *next;

	if (gossip == NULL)
		return;
	LIST_FOREACH_SAFE(pending, &gossip->pending_calls, link, next) {
		LIST_REMOVE(pending, link);
		free(pending);
	}
	msp_drop_rpc(gossip->rpc);
	free(gossip);
}

uint64_t
count_refused_gossip(const gossip_t *gossip)
{
	return gossip == NULL ? 0 : msp_rpc_statistics(gossip->rpc)->refused;
}

void
update_gossip_metrics(const gossip_t *gossip)
{
	const msp_rpc_stats_t *stats = msp_rpc_statistics(gossip->rpc);
	msp_counters_t *counters = gossip->daemon->counters;

	*msp_get_counter(counters, "msp_gossip_bytes_in_total") =
	    stats->bytes_in;
	*msp_get_counter(counters, "msp_gossip_bytes_out_total") =
	    stats->bytes_out;
	*msp_get_counter(counters, "msp_gossip_messages_in_total") =
	    stats->messages_in;
	*msp_get_counter(counters, "msp_gossip_messages_out_total") =
	    stats->messages_out;
	*msp_get_counter(counters, "msp_gossip_refused_total") = stats->refused;
}
