#ifndef MONSOONSPINDLE_NET_HTTP_SERVER_H
#define MONSOONSPINDLE_NET_HTTP_SERVER_H

#include "monsoonspindle/net/http.h"
#include "monsoonspindle/net/loop.h"

typedef struct msp_http_server msp_http_server_t;

/*
 * A completely received request, until its response has been sent.
 *
 * A client may send further requests before it has received the responses
 * (pipelining). They are read at once and passed to the handler in their order;
 * the responses are sent in this order, too, whenever they are ready. A request
 * that may not overlap with others is passed to the handler only when all
 * responses before it have been sent, and what follows it only after its own.
 *
 * A connection that is to close sends the responses to the requests that the
 * handler has received, the last one with "connection: close". Later requests
 * are dropped; they have not run, and the client may send them again.
 */
typedef struct msp_exchange msp_exchange_t;

/* Limits of a server. 0 selects the default that is given with the limit. */
typedef struct msp_http_limits {
	size_t max_body; /* bytes of a request body; 1 MiB */
	size_t max_headers; /* bytes of the path and the headers; 16 KiB */
	unsigned int max_connections; /* 4096 */
	/* From accept to the first head, or from a later head's first byte. */
	uint32_t head_timeout_ms; /* 10 s */
	uint32_t body_timeout_ms; /* for the complete body; 30 s */
	uint32_t send_timeout_ms; /* without progress while sending; 30 s */
	uint32_t
	    idle_timeout_ms; /* from a response to the next request; 60 s */
	/*
	 * Of one connection, requests and the bytes of their bodies and
	 * responses that are read before the first response has been sent. At
	 * the limit the server stops reading.
	 */
	size_t max_pipeline; /* requests; 16 */
	size_t max_pipeline_bytes; /* 1 MiB; one request may exceed it */
	/*
	 * The memory of the bodies of all requests is taken from this one. A
	 * request whose body does not fit is refused with 503. NULL: no bound.
	 */
	msp_memory_budget_t *body_budget; /* borrowed */
} msp_http_limits_t;

/* What the server refuses by itself; valid only during the callback. */
typedef struct msp_http_refusal {
	msp_status_t status; /* the reason, which determines the response */
	const char *client_address; /* IP address as text */
	/*
	 * The request, which is incomplete or not valid: what was read of its
	 * head and body. NULL if no head was read.
	 */
	const msp_request_t *request;
} msp_http_refusal_t;

typedef struct msp_http_handler {
	/*
	 * Called when a request is complete and its client still connected. The
	 * handler calls msp_send_exchange_response() once, now or later; the
	 * exchange stays valid until then.
	 */
	void (*on_request)(void *ctx, msp_exchange_t *exchange);
	/*
	 * Called when the client has closed the connection, or its sending
	 * side, before msp_send_exchange_response() was called. The exchange is
	 * freed on return and must not be answered.
	 */
	void (*on_disconnect)(void *ctx, msp_exchange_t *exchange);
	/*
	 * Whether a request may run beside other such requests of its
	 * connection, before or after them, and more than once. NULL: GET, HEAD
	 * and OPTIONS may. Must not answer or drop anything.
	 */
	bool (*may_overlap)(void *ctx, const msp_request_t *request);
	/*
	 * Called when the first bytes of a response are about to be sent. Must
	 * not answer or drop anything. May be NULL.
	 */
	void (*on_response)(void *ctx, const msp_exchange_t *exchange);
	/*
	 * Called when the server refuses a request or a connection by itself,
	 * before it responds. Must not drop the server. May be NULL.
	 */
	void (*on_refusal)(void *ctx, const msp_http_refusal_t *refusal);
	void *ctx;
} msp_http_handler_t;

typedef struct msp_http_server_options {
	const char *address; /* IPv4 address to bind */
	uint16_t port; /* 0: the kernel chooses one */
	msp_http_limits_t limits;
	msp_http_handler_t handler;
} msp_http_server_options_t;

/*
 * Starts listening. The server itself refuses invalid requests and those that
 * exceed a limit, with a problem document (RFC 9457) after the responses to the
 * requests before them, and closes the connection; the handler doesn't see
 * them. Returns NULL on failure, with the reason in msp_last_message().
 */
msp_http_server_t *msp_new_http_server(
    msp_loop_t *loop, const msp_http_server_options_t *options);

/* Closes all connections; calls on_disconnect for unanswered exchanges. */
void msp_drop_http_server(msp_http_server_t *server);

/*
 * Closes each connection after its next response, while new connections are
 * still accepted.
 */
void msp_disable_keep_alive(msp_http_server_t *server);

/*
 * Stops accepting connections, closes the idle ones, and closes each of the
 * others after its current response.
 */
void msp_close_http_listener(msp_http_server_t *server);

/* Counts the received requests whose response isn't completely written yet. */
size_t msp_count_open_exchanges(const msp_http_server_t *server);

uint16_t msp_http_server_port(const msp_http_server_t *server);

const msp_request_t *msp_exchange_request(const msp_exchange_t *exchange);

/* IP address of the client, as text; owned by the exchange. */
const char *msp_exchange_client_address(const msp_exchange_t *exchange);

/* Time on the loop's clock at which the request was complete. */
msp_time_t msp_exchange_arrival(const msp_exchange_t *exchange);

/* Unanswered requests of the connection that were before it when it arrived. */
size_t msp_exchange_position(const msp_exchange_t *exchange);

/* Time from its arrival until it was passed to the handler. */
msp_time_t msp_exchange_hold_time(const msp_exchange_t *exchange);

/* Time on the loop's clock of msp_send_exchange_response(). */
msp_time_t msp_exchange_response_time(const msp_exchange_t *exchange);

/* Pointer for the handler's own use, NULL at first. */
void msp_set_exchange_data(msp_exchange_t *exchange, void *data);
void *msp_exchange_data(const msp_exchange_t *exchange);

/*
 * Sends the response. Takes over what `response` owns and zeroes it. The
 * handler must not use the exchange after this call.
 */
void msp_send_exchange_response(
    msp_exchange_t *exchange, msp_response_t *response);

#endif
