#include <stdlib.h>
#include <string.h>

#include "rpc_endpoint.h"

static struct msp_rpc_bucket *
get_bucket(msp_rpc_t *rpc, uint32_t xid)
{
	return &rpc->buckets[xid & (MSP_RPC_BUCKETS - 1)];
}

static msp_rpc_call_t *
find_call(msp_rpc_t *rpc, const struct sockaddr_in *to, uint32_t xid)
{
	msp_rpc_call_t *call = LIST_FIRST(get_bucket(rpc, xid));

	while (call != NULL && call->xid != xid)
		call = LIST_NEXT(call, link);
	if (call == NULL || call->to.sin_addr.s_addr != to->sin_addr.s_addr ||
	    call->to.sin_port != to->sin_port)
		return NULL;
	return call;
}

void
msp_end_rpc_call(
    msp_rpc_t *rpc, msp_rpc_call_t *call, msp_status_t status, void *result)
{
	LIST_REMOVE(call, link);
	TAILQ_REMOVE(&rpc->pending, call, pending_link);
	call->done(call->ctx, status, result);
	free(call);
}

static void
add_call(msp_rpc_t *rpc, msp_rpc_call_t *call)
{
	msp_rpc_call_t *before =
	    TAILQ_LAST(&rpc->pending, msp_rpc_pending_calls);

	while (before != NULL && before->deadline > call->deadline)
		before =
		    TAILQ_PREV(before, msp_rpc_pending_calls, pending_link);
	if (before == NULL)
		TAILQ_INSERT_HEAD(&rpc->pending, call, pending_link);
	else
		TAILQ_INSERT_AFTER(&rpc->pending, before, call, pending_link);
	LIST_INSERT_HEAD(get_bucket(rpc, call->xid), call, link);
	msp_set_deadline(&rpc->deadline, TAILQ_FIRST(&rpc->pending)->deadline);
}

msp_status_t
msp_call_rpc(msp_rpc_t *rpc, const struct sockaddr_in *to, uint32_t procedure,
    xdrproc_t encode_argument, void *argument, xdrproc_t decode_result,
    size_t result_size, msp_time_t timeout, msp_rpc_done_t *done, void *ctx)
{
	uint32_t data[MSP_RPC_MESSAGE_MAX / sizeof(uint32_t)];
	struct rpc_msg message = {
	    .rm_xid = rpc->next_xid++,
	    .rm_direction = CALL,
	    .rm_call =
		{
		    .cb_rpcvers = RPC_MSG_VERSION,
		    .cb_prog = rpc->options.program,
		    .cb_vers = rpc->options.version,
		    .cb_proc = procedure,
		},
	};
	msp_rpc_call_t *call;
	bool fits;
	XDR xdr;

	xdrmem_create(&xdr, (char *)data, sizeof(data), XDR_ENCODE);
	fits = xdr_callmsg(&xdr, &message) && encode_argument(&xdr, argument);
	if (!fits)
		return msp_fail(MSP_E_TOO_LARGE,
		    "RPC call message is over %d bytes", MSP_RPC_MESSAGE_MAX);
	if (done != NULL) {
		call = calloc(1, sizeof(*call));
		if (call == NULL)
			return msp_fail(
			    MSP_E_NO_MEMORY, "no memory for an RPC call");
		*call = (msp_rpc_call_t){
		    .xid = message.rm_xid,
		    .to = *to,
		    .deadline = msp_loop_now() + timeout,
		    .decode_result = decode_result,
		    .result_size = result_size,
		    .done = done,
		    .ctx = ctx,
		};
		add_call(rpc, call);
	}
	msp_send_datagram(rpc, to, data, xdr_getpos(&xdr));
	xdr_destroy(&xdr);
	return MSP_OK;
}

void
msp_handle_rpc_reply(
    msp_rpc_t *rpc, const struct sockaddr_in *from, char *data, size_t len)
{
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg message = {0};
	msp_rpc_call_t *call;
	xdrproc_t decode;
	void *result;
	uint32_t xid;
	XDR xdr;

	memcpy(&xid, data, sizeof(xid));
	call = find_call(rpc, from, ntohl(xid));
	if (call == NULL) {
		rpc->stats.unmatched++;
		return;
	}
	result = calloc(1, call->result_size + 1);
	if (result == NULL)
		return;
	decode = call->decode_result;
	message.acpted_rply.ar_verf.oa_base = verifier;
	message.acpted_rply.ar_results.where = result;
	message.acpted_rply.ar_results.proc = decode;
	xdrmem_create(&xdr, data, (u_int)len, XDR_DECODE);
	if (!xdr_replymsg(&xdr, &message) || xdr_getpos(&xdr) != len)
		rpc->stats.refused++;
	else if (message.rm_reply.rp_stat != MSG_ACCEPTED ||
	    message.acpted_rply.ar_stat != SUCCESS)
		msp_end_rpc_call(rpc, call, MSP_E_BAD_REQUEST, NULL);
	else
		msp_end_rpc_call(rpc, call, MSP_OK, result);
	xdr_destroy(&xdr);
	xdr_free(decode, result);
	free(result);
}

void
msp_handle_icmp_error(
    msp_rpc_t *rpc, const struct sockaddr_in *to, const char *data, size_t len)
{
	msp_rpc_call_t *call;
	uint32_t xid;

	if (len < sizeof(xid))
		return;
	memcpy(&xid, data, sizeof(xid));
	call = find_call(rpc, to, ntohl(xid));
	if (call != NULL)
		msp_end_rpc_call(rpc, call, MSP_E_PEER_DOWN, NULL);
}
