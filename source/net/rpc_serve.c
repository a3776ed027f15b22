#include <stdlib.h>
#include <string.h>

#include "rpc_endpoint.h"

/* A reply without its xid. */
typedef struct rpc_reply {
	bool version_mismatch; /* deny the call: unsupported RPC version */
	enum accept_stat status;
	xdrproc_t encode;
	void *result;
} rpc_reply_t;

static void
send_reply(msp_rpc_t *rpc, const struct sockaddr_in *to, uint32_t xid,
    const rpc_reply_t *reply)
{
	uint32_t data[MSP_RPC_MESSAGE_MAX / sizeof(uint32_t)];
	struct rpc_msg message = {.rm_xid = xid, .rm_direction = REPLY};
	XDR xdr;

	if (reply->version_mismatch) {
		message.rm_reply.rp_stat = MSG_DENIED;
		message.rjcted_rply.rj_stat = RPC_MISMATCH;
		message.rjcted_rply.rj_vers.low = RPC_MSG_VERSION;
		message.rjcted_rply.rj_vers.high = RPC_MSG_VERSION;
	} else {
		message.rm_reply.rp_stat = MSG_ACCEPTED;
		message.acpted_rply.ar_verf.oa_flavor = AUTH_NONE;
		message.acpted_rply.ar_stat = reply->status;
	}
	if (!reply->version_mismatch && reply->status == SUCCESS) {
		message.acpted_rply.ar_results.where = reply->result;
		message.acpted_rply.ar_results.proc = reply->encode;
	}
	if (!reply->version_mismatch && reply->status == PROG_MISMATCH) {
		message.acpted_rply.ar_vers.low = rpc->options.version;
		message.acpted_rply.ar_vers.high = rpc->options.version;
	}
	xdrmem_create(&xdr, (char *)data, sizeof(data), XDR_ENCODE);
	if (xdr_replymsg(&xdr, &message))
		msp_send_datagram(rpc, to, data, xdr_getpos(&xdr));
	else if (!reply->version_mismatch && reply->status == SUCCESS)
		send_reply(rpc, to, xid, &(rpc_reply_t){.status = SYSTEM_ERR});
	xdr_destroy(&xdr);
}

static void
refuse_call(msp_rpc_t *rpc, const struct sockaddr_in *to, uint32_t xid,
    enum accept_stat status)
{
	rpc->stats.refused++;
	send_reply(rpc, to, xid, &(rpc_reply_t){.status = status});
}

static const msp_rpc_procedure_t *
find_procedure(const msp_rpc_t *rpc, uint32_t number)
{
	size_t i;

	for (i = 0; i < rpc->options.procedure_count; i++) {
		if (rpc->options.procedures[i].number == number)
			return &rpc->options.procedures[i];
	}
	return NULL;
}

/*
 * Runs the procedure and sends its reply, if it has one and the procedure
 * hasn't dropped the endpoint.
 */
static void
run_procedure(msp_rpc_t *rpc, const msp_rpc_procedure_t *procedure,
    const struct sockaddr_in *from, uint32_t xid, void *argument)
{
	xdrproc_t encode = procedure->encode_result;
	rpc_reply_t reply = {.status = SUCCESS, .encode = encode};
	msp_status_t status;

	reply.result = calloc(1, procedure->result_size + 1);
	if (reply.result == NULL) {
		refuse_call(rpc, from, xid, SYSTEM_ERR);
		return;
	}
	status =
	    procedure->serve(rpc->options.ctx, from, argument, reply.result);
	if (status == MSP_E_BAD_REQUEST)
		reply.status = GARBAGE_ARGS;
	else if (status != MSP_OK)
		reply.status = SYSTEM_ERR;
	if (encode != NULL && !rpc->dropped)
		send_reply(rpc, from, xid, &reply);
	if (encode != NULL)
		xdr_free(encode, reply.result);
	free(reply.result);
}

static void
serve_call(msp_rpc_t *rpc, const struct sockaddr_in *from, XDR *xdr, size_t len,
    const struct rpc_msg *message)
{
	const msp_rpc_procedure_t *procedure;
	void *argument;

	procedure = find_procedure(rpc, (uint32_t)message->rm_call.cb_proc);
	if (procedure == NULL) {
		refuse_call(rpc, from, message->rm_xid, PROC_UNAVAIL);
		return;
	}
	argument = calloc(1, procedure->argument_size + 1);
	if (argument == NULL) {
		refuse_call(rpc, from, message->rm_xid, SYSTEM_ERR);
		return;
	}
	if (procedure->decode_argument(xdr, argument) && xdr_getpos(xdr) == len)
		run_procedure(rpc, procedure, from, message->rm_xid, argument);
	else
		refuse_call(rpc, from, message->rm_xid, GARBAGE_ARGS);
	xdr_free(procedure->decode_argument, argument);
	free(argument);
}

void
msp_serve_rpc_call(
    msp_rpc_t *rpc, const struct sockaddr_in *from, char *data, size_t len)
{
	char credential[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg message = {0};
	uint32_t head[3] = {0}; /* xid, message type, RPC version */
	XDR xdr;

	memcpy(head, data, len < sizeof(head) ? len : sizeof(head));
	if (len >= sizeof(head) && ntohl(head[2]) != RPC_MSG_VERSION) {
		rpc->stats.refused++;
		send_reply(rpc, from, ntohl(head[0]),
		    &(rpc_reply_t){.version_mismatch = true});
		return;
	}
	message.rm_call.cb_cred.oa_base = credential;
	message.rm_call.cb_verf.oa_base = verifier;
	xdrmem_create(&xdr, data, (u_int)len, XDR_DECODE);
	if (!xdr_callmsg(&xdr, &message))
		rpc->stats.refused++;
	else if (message.rm_call.cb_prog != rpc->options.program)
		refuse_call(rpc, from, message.rm_xid, PROG_UNAVAIL);
	else if (message.rm_call.cb_vers != rpc->options.version)
		refuse_call(rpc, from, message.rm_xid, PROG_MISMATCH);
	else
		serve_call(rpc, from, &xdr, len, &message);
	xdr_destroy(&xdr);
}
