#ifndef MONSOONSPINDLE_NET_CLIENT_H
#define MONSOONSPINDLE_NET_CLIENT_H

#include <bsd/sys/queue.h>

#include <libwebsockets.h>

#include "deadline.h"
#include "monsoonspindle/base/map.h"
#include "monsoonspindle/net/http_client.h"

#define MSP_SERVER_ADDRESS_MAX 48 /* bytes of an IP address as text */

typedef struct msp_origin msp_origin_t;
typedef struct msp_client_connection msp_client_connection_t;

/*
 * One entry of the pool of connections to a server. It carries one request at a
 * time, and may have no open connection. The entries of a server have separate
 * vhosts, because libwebsockets queues the requests to one server that share a
 * vhost behind each other.
 */
struct msp_client_connection {
	TAILQ_ENTRY(msp_client_connection)
	link; /* in origin->idle */
	LIST_ENTRY(msp_client_connection) all_link; /* in origin->connections */
	msp_origin_t *origin;
	struct lws_vhost *vhost;
	struct lws *wsi; /* the open connection, or NULL */
	msp_call_t *call; /* the call that uses it, or NULL */
	msp_time_t last_active; /* end of the last response */
	uint64_t number; /* of the TCP connection; 0: none was opened */
	uint32_t delivered; /* complete responses that it has delivered */
	bool idle; /* in origin->idle */
	bool socket_options_set;
	bool connecting; /* inside lws_client_connect_via_info() */
	bool reading; /* inside lws_http_client_read() */
	bool at_eof; /* while reading: only the end of the stream is left */
};

TAILQ_HEAD(msp_client_connection_queue, msp_client_connection);
TAILQ_HEAD(msp_calls, msp_call);
LIST_HEAD(msp_client_connection_list, msp_client_connection);
TAILQ_HEAD(msp_origins, msp_origin);

/* A server that the client has called, identified by address and port. */
struct msp_origin {
	TAILQ_ENTRY(msp_origin) link; /* in client->ready_origins */
	bool ready; /* in client->ready_origins */
	msp_http_client_t *client;
	char address[MSP_SERVER_ADDRESS_MAX];
	uint16_t port;
	unsigned int connection_count;
	struct msp_client_connection_list connections;
	/* Most recently used first, those without an open connection last. */
	struct msp_client_connection_queue idle;
	struct msp_calls waiting; /* calls that wait for a connection */
};

typedef enum msp_call_state {
	MSP_CALL_WAITING, /* for a connection */
	MSP_CALL_CONNECTING, /* no byte of the request was sent */
	MSP_CALL_SENT, /* the response has not begun */
	MSP_CALL_RECEIVING,
	MSP_CALL_ENDED, /* `done` is about to be called */
} msp_call_state_t;

struct msp_call {
	TAILQ_ENTRY(msp_call) link; /* in origin->waiting or client->ended */
	msp_http_client_t *client; /* NULL while `done` runs */
	msp_origin_t *origin;
	msp_client_connection_t *connection; /* or NULL */
	msp_call_state_t state;
	msp_request_t request;
	msp_response_t response;
	msp_call_done_t *done;
	msp_call_judge_t *judge; /* or NULL */
	void *ctx;
	msp_deadline_t deadline; /* of the current state */
	msp_time_t response_deadline; /* of the complete response */
	uint32_t first_byte_timeout_ms;
	uint32_t transfer_timeout_ms;
	uint32_t stall_timeout_ms;
	msp_time_t response_began; /* 0: it has not */
	bool fresh_connection;
	bool unused_connection;
	bool gives_way; /* its memory was taken; it ends soon */
	bool maybe_sent;
	bool no_first_byte;
	bool first_on_connection;
	bool bodiless; /* response to HEAD, or status 204 or 304 */
	long long content_length; /* of the response; -1: not given */
	bool chunked; /* the response is chunked */
	size_t body_sent; /* bytes of the request's body */
	msp_status_t status;
	uint64_t connection_number; /* for the result, as the next member */
	uint32_t responses_before;
};

struct msp_http_client {
	msp_loop_t *loop;
	msp_http_client_options_t options;
	/* For the nth connection to each server; created on first use. */
	struct lws_vhost **vhosts;
	msp_map_t *origins; /* msp_origin_t by "address:port" */
	struct msp_calls ended; /* calls whose `done` is to be called */
	/* Servers with a released connection and waiting calls. */
	struct msp_origins ready_origins;
	lws_sorted_usec_list_t delivery_timer;
	/* While a `done` runs: pointer to clear if it drops the client. */
	msp_http_client_t **delivering;
};

/*
 * Ends a call: detaches its connection and schedules the call of `done`. The
 * connection is neither closed nor released.
 */
void msp_end_call(msp_call_t *call, msp_status_t status);

/*
 * Takes the memory of the response, and ends the call with
 * MSP_E_RESPONSE_TOO_LARGE in the loop's next turn. May be called by events of
 * other calls.
 */
void msp_give_way(msp_call_t *call);

msp_call_result_t msp_get_call_result(msp_call_t *call);

/* Schedules the start of the calls that wait for a connection of `origin`. */
void msp_schedule_waiting_calls(msp_origin_t *origin);

/* Finds or creates the entry of a server; NULL if memory runs out. */
msp_origin_t *msp_find_origin(
    msp_http_client_t *client, const char *address, uint16_t port);
void msp_drop_origin(msp_origin_t *origin);

/*
 * Takes an entry for `call` from the server's pool; NULL if all are in use. It
 * may have no open connection.
 */
msp_client_connection_t *msp_acquire_client_connection(
    msp_origin_t *origin, const msp_call_t *call);
/* Starts `call`, on the entry's open connection or on a new one. */
void msp_open_client_connection(
    msp_client_connection_t *connection, msp_call_t *call);

/*
 * Notes the number of the TCP connection that libwebsockets has chosen. To be
 * called before the first byte of a request is written.
 */
void msp_identify_client_connection(msp_client_connection_t *connection);

/* Closes the open connection, if any; not to be called by its own events. */
void msp_close_client_connection(msp_client_connection_t *connection);

/* Returns the entry to the pool. */
void msp_release_client_connection(msp_client_connection_t *connection);

/* Events of a call in flight; returning -1 closes the connection. */
int msp_write_request_head(msp_call_t *call, unsigned char **at, size_t len);
int msp_write_request_body(msp_call_t *call);
int msp_read_response_head(msp_call_t *call);
int msp_read_response_body(msp_call_t *call, const char *data, size_t len);
int msp_end_response(msp_call_t *call);

#endif
