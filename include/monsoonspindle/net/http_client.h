#ifndef MONSOONSPINDLE_NET_HTTP_CLIENT_H
#define MONSOONSPINDLE_NET_HTTP_CLIENT_H

#include "monsoonspindle/net/http.h"
#include "monsoonspindle/net/loop.h"

/* A pool of kept connections to any number of HTTP servers. */
typedef struct msp_http_client msp_http_client_t;

/* One request under way. */
typedef struct msp_call msp_call_t;

typedef struct msp_http_client_options {
	unsigned int max_connections_per_server; /* requests in flight to one
						    server; 64 */
	size_t max_response_body; /* bytes of an answer's body; 8 MiB */
	uint32_t connect_timeout_ms; /* 1 s */
	uint32_t idle_timeout_ms; /* a kept connection is closed after; 20 s */
} msp_http_client_options_t;

typedef struct msp_call_options {
	const char *address; /* IP number */
	uint16_t port;
	uint32_t timeout_ms; /* for the whole answer */
	uint32_t first_byte_timeout_ms; /* 0: as timeout_ms */
	bool fresh_connection; /* on a new connection, or one active in the last
				  second */
} msp_call_options_t;

/*
 * How a call ended.
 *
 * MSP_OK                  the whole answer is in `response`, whatever its
 *                         HTTP status; it may be taken by emptying it
 * MSP_E_PEER_DOWN         refused, unreachable or no connection in time
 * MSP_E_CUT_ANSWER        the connection ended before the whole answer, or the
 *                         answer is malformed, or one cannot tell that it is
 *                         whole: neither length nor chunks, trailers after the
 *                         chunks, or an interim answer (1xx) before it
 * MSP_E_DEADLINE          no whole answer within the timeout
 * MSP_E_ANSWER_TOO_LARGE  past max_answer; the rest was not read
 * MSP_E_BAD_REQUEST       method, path or a header cannot stand in a request;
 *                         nothing was sent
 * MSP_E_HEADERS_TOO_LARGE path and headers are over 48,000 bytes; not sent
 */
typedef struct msp_call_result {
	msp_status_t status;
	bool maybe_sent; /* a byte of the request may have left */
	bool no_first_byte; /* not one byte of an answer came before the timeout
			     */
	msp_response_t *response;
} msp_call_result_t;

typedef void msp_call_done_t(void *ctx, msp_call_result_t *result);

/* Returns NULL with a last message. */
msp_http_client_t *msp_new_http_client(
    msp_loop_t *loop, const msp_http_client_options_t *options);

/* Cancels all calls; their `done` is not called. */
void msp_drop_http_client(msp_http_client_t *client);

/*
 * Sends `request`, taking over what it owns and emptying it. Calls `done` once,
 * never from inside this call. With all lanes of a server busy the call waits
 * for one, within its timeout. A request is never sent twice.
 * Returns NULL, with `done` never called, only without memory.
 */
msp_call_t *msp_start_call(msp_http_client_t *client,
    const msp_call_options_t *options, msp_request_t *request,
    msp_call_done_t *done, void *ctx);

/* Closes the call's connection; `done` is not called. */
void msp_cancel_call(msp_call_t *call);

/* Whether a byte of the request may have left by now. */
bool msp_call_maybe_sent(const msp_call_t *call);

/* Drops the kept idle connections to one server: they may be silent. */
void msp_close_idle_connections(
    msp_http_client_t *client, const char *address, uint16_t port);

#endif
