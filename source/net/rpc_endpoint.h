#ifndef MONSOONSPINDLE_NET_RPC_ENDPOINT_H
#define MONSOONSPINDLE_NET_RPC_ENDPOINT_H

#include <bsd/sys/queue.h>

#include "deadline.h"
#include "monsoonspindle/net/rpc.h"
#include "watch.h"

/* Buckets of the hash table of pending calls; a power of 2. */
#define MSP_RPC_BUCKETS 1024

/* A pending call. */
typedef struct msp_rpc_call {
	LIST_ENTRY(msp_rpc_call) link; /* in its hash bucket */
	TAILQ_ENTRY(msp_rpc_call) pending_link; /* in rpc->pending */
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
	int epoll_fd; /* of fd; ready on datagrams and queued errors */
	msp_watch_t *watch;
	uint16_t port;
	uint32_t next_xid;
	struct msp_rpc_bucket buckets[MSP_RPC_BUCKETS];
	struct msp_rpc_pending_calls pending; /* by deadline, earliest first */
	msp_deadline_t deadline; /* of the first pending call */
	msp_rpc_stats_t stats;
	bool in_callback; /* msp_drop_rpc() leaves freeing to end_callback() */
	bool dropped; /* to be freed by end_callback() */
};

/* Sends a datagram; discards it if the socket's send buffer is full. */
void msp_send_datagram(
    msp_rpc_t *rpc, const struct sockaddr_in *to, const void *data, size_t len);

/* Handles a received call message. */
void msp_serve_rpc_call(
    msp_rpc_t *rpc, const struct sockaddr_in *from, char *data, size_t len);

/* Handles a received reply message. */
void msp_handle_rpc_reply(
    msp_rpc_t *rpc, const struct sockaddr_in *from, char *data, size_t len);

/*
 * Handles an ICMP error about a datagram that was sent to `to`. `data` is that
 * datagram.
 */
void msp_handle_icmp_error(
    msp_rpc_t *rpc, const struct sockaddr_in *to, const char *data, size_t len);

/* Ends a call. Its `done` may drop the endpoint. */
void msp_end_rpc_call(
    msp_rpc_t *rpc, msp_rpc_call_t *call, msp_status_t status, void *result);

#endif
