#ifndef MONSOONSPINDLE_NET_RPC_H
#define MONSOONSPINDLE_NET_RPC_H

#include <stdint.h>

#include <netinet/in.h>
#include <rpc/rpc.h>

#include "monsoonspindle/net/loop.h"

#define MSP_RPC_MESSAGE_MAX 1400 /* bytes of one datagram */

/* An ONC RPC endpoint on one UDP port: client and server. */
typedef struct msp_rpc msp_rpc_t;

/* One procedure that the endpoint serves. */
typedef struct msp_rpc_procedure {
	uint32_t number;
	xdrproc_t decode_argument;
	size_t argument_size; /* bytes of the decoded struct */
	xdrproc_t encode_result; /* NULL: no answer is sent */
	size_t result_size;
	/*
	 * `argument` is freed by the endpoint afterwards, `result` (zeroed
	 * before) too, with xdr_free. Return MSP_OK, or MSP_E_BAD_REQUEST for
	 * an answer GARBAGE_ARGS, else SYSTEM_ERR.
	 */
	msp_status_t (*serve)(void *ctx, const struct sockaddr_in *from,
	    void *argument, void *result);
} msp_rpc_procedure_t;

typedef struct msp_rpc_options {
	const char *address; /* IP number to bind */
	uint16_t port; /* 0: any free one */
	uint32_t program;
	uint32_t version;
	const msp_rpc_procedure_t *procedures; /* borrowed, static */
	size_t procedure_count;
	void *ctx; /* of the procedures */
} msp_rpc_options_t;

/*
 * status: MSP_OK with the decoded `result` (freed afterwards by the endpoint),
 * MSP_E_DEADLINE without an answer, MSP_E_PEER_DOWN if the port was reported
 * closed, MSP_E_BAD_REQUEST if the peer refused the call.
 */
typedef void msp_rpc_done_t(void *ctx, msp_status_t status, void *result);

/* Returns NULL with a last message. */
msp_rpc_t *msp_new_rpc(msp_loop_t *loop, const msp_rpc_options_t *options);

/* Calls under way end without `done`. */
void msp_drop_rpc(msp_rpc_t *rpc);
uint16_t msp_rpc_port(const msp_rpc_t *rpc);

/*
 * Calls a procedure of `to`. With `done` NULL nothing is awaited. Sends one
 * datagram and never repeats it. `done` is called once, never from inside this
 * call; it may call again and may drop the endpoint. Fails, without `done`,
 * with MSP_E_TOO_LARGE if the message passes MSP_RPC_MESSAGE_MAX, or with
 * MSP_E_NO_MEMORY.
 */
msp_status_t msp_call_rpc(msp_rpc_t *rpc, const struct sockaddr_in *to,
    uint32_t procedure, xdrproc_t encode_argument, void *argument,
    xdrproc_t decode_result, size_t result_size, msp_time_t timeout,
    msp_rpc_done_t *done, void *ctx);

/* Counters of this endpoint. */
typedef struct msp_rpc_stats {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t messages_in;
	uint64_t messages_out;
	uint64_t refused; /* malformed, wrong version, unknown procedure */
	uint64_t unmatched; /* replies late, doubled or from another address */
} msp_rpc_stats_t;

const msp_rpc_stats_t *msp_rpc_statistics(const msp_rpc_t *rpc);

#endif
