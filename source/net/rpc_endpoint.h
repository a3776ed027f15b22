#ifndef MONSOONSPINDLE_NET_RPC_ENDPOINT_H
#define MONSOONSPINDLE_NET_RPC_ENDPOINT_H

#include <bsd/sys/queue.h>

#include "deadline.h"
#include "monsoonspindle/net/rpc.h"
#include "watch.h"

#define MSP_RPC_BUCKETS 1024 /* of the table of pending calls; a power of 2 */

/* A call that waits for its reply. */
typedef struct msp_rpc_call {
	LIST_ENTRY(msp_rpc_call) link; /* in its bucket */
	TAILQ_ENTRY(msp_rpc_call) pending_link; /* by the time it ends */
	uint32_t xid;
	struct sockaddr_in to;
	msp_time_t deadline;
	xdrproc_t decode_result;
	size_t result_size;
	msp_rpc_done_t *done;
	void *ctx;
} msp_rpc_call_t;

LIST_HEAD(msp_rpc_bucket, msp_rpc_call);
TAILQ_HEAD(msp_rpc_pending_calls, msp_rpc_call);

struct msp_rpc {
	msp_loop_t *loop;
	msp_rpc_options_t options;
	int fd;
	int poll_fd; /* readable on datagrams and on reported errors */
	msp_watch_t *watch;
	uint16_t port;
	uint32_t next_xid;
	struct msp_rpc_bucket buckets[MSP_RPC_BUCKETS];
	struct msp_rpc_pending_calls pending; /* the first to end first */
	msp_deadline_t deadline;
	msp_rpc_stats_t stats;
	bool in_callback; /* callbacks may run; a drop frees the struct after */
	bool dropped;
};

/* Sends one datagram; a full socket loses it, as the network might. */
void msp_send_datagram(
    msp_rpc_t *rpc, const struct sockaddr_in *to, const void *data, size_t len);

/* Serves one message that is a call. */
void msp_serve_rpc_call(
    msp_rpc_t *rpc, const struct sockaddr_in *from, char *data, size_t len);

/* Takes one message that is a reply. */
void msp_handle_rpc_reply(
    msp_rpc_t *rpc, const struct sockaddr_in *from, char *data, size_t len);

/* The network has returned a datagram of ours to `to`. */
void msp_handle_icmp_error(
    msp_rpc_t *rpc, const struct sockaddr_in *to, const char *data, size_t len);

/* Ends the call; the endpoint may be gone afterwards. */
void msp_end_rpc_call(
    msp_rpc_t *rpc, msp_rpc_call_t *call, msp_status_t status, void *result);

#endif
