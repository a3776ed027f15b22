#ifndef MONSOONSPINDLE_NET_RPC_H
#define MONSOONSPINDLE_NET_RPC_H

#include <stdint.h>

#include <netinet/in.h>
#include <rpc/rpc.h>

#include "monsoonspindle/net/loop.h"

#define MSP_RPC_MESSAGE_MAX 1400 /* bytes of a datagram */

/* An ONC RPC endpoint on a UDP port, client and server at once. */
typedef struct msp_rpc msp_rpc_t;

/* A procedure that the endpoint serves. */
typedef struct msp_rpc_procedure {
	uint32_t number;
	xdrproc_t decode_argument;
	size_t argument_size; /* bytes of the decoded struct */
	xdrproc_t encode_result; /* NULL: no reply is sent */
	size_t result_size; /* bytes of the struct to encode */
	/*
	 * Fills `result`, which is zeroed before. The endpoint frees what
	 * `argument` and `result` own afterwards, with xdr_free(). Returns
	 * MSP_OK, MSP_E_BAD_REQUEST to reply GARBAGE_ARGS, or another error to
	 * reply SYSTEM_ERR.
	 */
	msp_status_t (*serve)(void *ctx, const struct sockaddr_in *from,
	    void *argument, void *result);
} msp_rpc_procedure_t;

typedef struct msp_rpc_options {
	const char *address; /* IPv4 address to bind */
	uint16_t port; /* 0: the kernel chooses one */
	uint32_t program;
	uint32_t version;
	const msp_rpc_procedure_t *procedures; /* must outlive the endpoint */
	size_t procedure_count;
	void *ctx; /* passed to the procedures */
} msp_rpc_options_t;

/*
 * Callback with the result of a call. The values of `status`:
 *
 * MSP_OK             `result` is the decoded result. The endpoint frees it
 *                    after the callback.
 * MSP_E_DEADLINE     There was no reply in time.
 * MSP_E_PEER_DOWN    An ICMP error reported that the port is closed.
 * MSP_E_BAD_REQUEST  The peer rejected the call.
 */
typedef void msp_rpc_done_t(void *ctx, msp_status_t status, void *result);

/* Returns NULL on failure, with the reason in msp_last_message(). */
msp_rpc_t *msp_new_rpc(msp_loop_t *loop, const msp_rpc_options_t *options);

/* Discards pending calls without calling their `done`. */
void msp_drop_rpc(msp_rpc_t *rpc);
uint16_t msp_rpc_port(const msp_rpc_t *rpc);

/*
 * Calls a procedure of the endpoint at `to`. Sends one datagram and doesn't
 * retransmit it. Calls `done` once, from the loop, never before this function
 * returns; `done` may start other calls and drop the endpoint. If `done` is
 * NULL, no reply is expected. Fails with MSP_E_TOO_LARGE if the message exceeds
 * MSP_RPC_MESSAGE_MAX, or with MSP_E_NO_MEMORY, and never calls `done` then.
 */
msp_status_t msp_call_rpc(msp_rpc_t *rpc, const struct sockaddr_in *to,
    uint32_t procedure, xdrproc_t encode_argument, void *argument,
    xdrproc_t decode_result, size_t result_size, msp_time_t timeout,
    msp_rpc_done_t *done, void *ctx);

/* Counters of an endpoint. */
typedef struct msp_rpc_stats {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t messages_in;
	uint64_t messages_out;
	uint64_t refused; /* malformed, wrong version, unknown procedure */
	/* Replies that were late, duplicate or from another address. */
	uint64_t unmatched;
} msp_rpc_stats_t;

const msp_rpc_stats_t *msp_rpc_statistics(const msp_rpc_t *rpc);

#endif
