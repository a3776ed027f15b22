#ifndef MONSOONSPINDLE_NET_CONNECTION_H
#define MONSOONSPINDLE_NET_CONNECTION_H

#include <bsd/sys/queue.h>

#include <libwebsockets.h>
#include <netinet/in.h>

#include "chunk_decoder.h"
#include "deadline.h"
#include "monsoonspindle/net/http_server.h"

#define MSP_CLIENT_ADDRESS_MAX 48 /* an IP number as text */

typedef struct msp_connection msp_connection_t;

struct msp_exchange {
	msp_connection_t *connection;
	msp_request_t request;
	msp_response_t response;
	msp_time_t arrival;
	void *data;
};

/* What a connection of a server is doing. */
typedef enum msp_connection_state {
	MSP_CONNECTION_ACCEPTED, /* not yet the library's: no method has come */
	MSP_CONNECTION_IDLE, /* before a request, or amid its head */
	MSP_CONNECTION_BODY,
	MSP_CONNECTION_WAITING, /* for the handler's answer */
	MSP_CONNECTION_SENDING,
	MSP_CONNECTION_CLOSING, /* refused; waits for the peer to close */
} msp_connection_state_t;

struct msp_connection {
	LIST_ENTRY(msp_connection) link;
	msp_http_server_t *server;
	int fd;
	char client_address[MSP_CLIENT_ADDRESS_MAX];
	struct lws *wsi; /* NULL while arriving or refused on arrival */
	msp_connection_state_t state;
	msp_time_t opened;
	msp_deadline_t deadline;
	msp_exchange_t *exchange; /* from the head until the answer is out */
	msp_chunk_decoder_t chunk_decoder;
	bool chunked;
	bool close_after_response; /* this answer */
	bool head_started; /* seen at the last look, the head not whole */
	uint64_t received_before; /* bytes, when the last request was whole */
	char *head; /* the answer's head and the first bytes of its body */
	size_t head_len;
	size_t body_sent; /* bytes of the body handed to the library */
	bool head_sent;
};

LIST_HEAD(msp_connections, msp_connection);

#define MSP_LINGER_MS 2000 /* for a refused peer to read the answer */

struct msp_http_server {
	msp_loop_t *loop;
	struct msp_watch *listener; /* NULL once closed */
	int listen_fd;
	uint16_t port;
	msp_http_limits_t limits;
	msp_http_handler_t handler;
	struct msp_connections connections;
	unsigned int connection_count;
	size_t open_exchanges;
	bool no_keep_alive; /* no connection is kept after its next answer */
	bool closing;
};

/* The protocol's callback for all servers of a loop. */
int msp_on_http_event(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len);

/* Takes a socket over that was accepted. */
void msp_new_connection(
    msp_http_server_t *server, int fd, const struct sockaddr_in *peer);

/*
 * The socket of the connection has news for us: a first byte, an end of the
 * peer's side, or room to write.
 */
void msp_handle_socket_event(msp_connection_t *connection, bool closed);

/*
 * Frees it; calls on_gone if a handler is waiting. The socket is the
 * library's, unless it was never handed over.
 */
void msp_drop_connection(msp_connection_t *connection);

/* Ends the present exchange, whether answered or not. */
void msp_drop_exchange(msp_connection_t *connection);

/* msp_drop_connection(), and closes the socket. */
void msp_close_connection(msp_connection_t *connection);

/*
 * Looks at the first bytes of an arriving connection. The library answers an
 * unknown method with a page of its own, so that such peers are refused before
 * they are handed over.
 */
void msp_check_first_bytes(msp_connection_t *connection);

/* Events of the library; -1 closes the connection. */
int msp_receive_head(msp_connection_t *connection);
int msp_receive_body(
    msp_connection_t *connection, const char *data, size_t len);
int msp_end_body(msp_connection_t *connection);
int msp_send_response(msp_connection_t *connection);

/* Bounds how long the present state may last. */
void msp_set_connection_timeout(
    msp_connection_t *connection, uint32_t timeout_ms);

/* Answers with the problem document of `status` and closes after it. */
void msp_refuse_request(msp_connection_t *connection, msp_status_t status);

/* The same where the library cannot answer: amid a head. */
void msp_refuse_connection(msp_connection_t *connection, msp_status_t status);

/* Hands the answer in `exchange` over to be sent. */
void msp_begin_response(msp_exchange_t *exchange);

#endif
