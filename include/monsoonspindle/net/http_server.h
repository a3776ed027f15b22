#ifndef MONSOONSPINDLE_NET_HTTP_SERVER_H
#define MONSOONSPINDLE_NET_HTTP_SERVER_H

#include "monsoonspindle/net/http.h"
#include "monsoonspindle/net/loop.h"

typedef struct msp_http_server msp_http_server_t;

/* One request that a server has received whole and has not answered yet. */
typedef struct msp_exchange msp_exchange_t;

/* Bounds of one listener. 0 takes the default given. */
typedef struct msp_http_limits {
	size_t max_body; /* bytes of a request body; 1 MiB */
	size_t max_headers; /* bytes of request line and headers; 16 KiB */
	unsigned int max_connections; /* 4096 */
	uint32_t head_timeout_ms; /* for request line and headers; 10 s */
	uint32_t body_timeout_ms; /* for the whole body; 30 s */
	uint32_t send_timeout_ms; /* without progress while answering; 30 s */
	uint32_t idle_timeout_ms; /* between requests; 60 s */
} msp_http_limits_t;

typedef struct msp_http_handler {
	/*
	 * The request has arrived whole, and the client is still there. Answer
	 * it now or later, once, with msp_answer_exchange(); until then the
	 * exchange stays valid.
	 */
	void (*on_request)(void *ctx, msp_exchange_t *exchange);
	/*
	 * The client went away, or closed its side, before the answer was
	 * handed over. The exchange is freed when this returns and must not be
	 * answered.
	 */
	void (*on_disconnect)(void *ctx, msp_exchange_t *exchange);
	void *ctx;
} msp_http_handler_t;

typedef struct msp_http_server_options {
	const char *address; /* IP number */
	uint16_t port; /* 0: any free one */
	msp_http_limits_t limits;
	msp_http_handler_t handler;
} msp_http_server_options_t;

/*
 * Opens a listener. What breaks a limit is refused by the server itself with a
 * problem document, and the connection closed; the handler never sees it. Two
 * cases get less, since libwebsockets ends them by itself: a head over 65,000
 * bytes is closed without an answer, and garbage in place of a second or later
 * request of a connection gets an HTML page of status 403.
 * Returns NULL with a last message.
 */
msp_http_server_t *msp_new_http_server(
    msp_loop_t *loop, const msp_http_server_options_t *options);

/* Closes the listener and all its connections. on_gone is called as usual. */
void msp_drop_http_server(msp_http_server_t *server);

/* Closes each connection after its next answer, and still accepts new ones. */
void msp_disable_keep_alive(msp_http_server_t *server);

/* Accepts no new connection, and closes each after its present answer. */
void msp_close_http_listener(msp_http_server_t *server);

/* Answers that have not been written out whole yet. */
size_t msp_count_open_exchanges(const msp_http_server_t *server);

uint16_t msp_http_server_port(const msp_http_server_t *server);

const msp_request_t *msp_exchange_request(const msp_exchange_t *exchange);

/* The client's IP number; borrowed. */
const char *msp_exchange_client_address(const msp_exchange_t *exchange);

/* When the last byte of the request arrived. */
msp_time_t msp_exchange_arrival(const msp_exchange_t *exchange);

/* A pointer of the handler's own, NULL at first. */
void msp_set_exchange_data(msp_exchange_t *exchange, void *data);
void *msp_exchange_data(const msp_exchange_t *exchange);

/*
 * Sends the answer: takes over what `response` owns and empties it. The
 * exchange is no longer the handler's after this call.
 */
void msp_answer_exchange(msp_exchange_t *exchange, msp_response_t *response);

#endif
