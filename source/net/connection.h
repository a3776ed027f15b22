#ifndef MONSOONSPINDLE_NET_CONNECTION_H
#define MONSOONSPINDLE_NET_CONNECTION_H

#include <bsd/sys/queue.h>

#include <libwebsockets.h>
#include <netinet/in.h>

#include "chunk_decoder.h"
#include "deadline.h"
#include "monsoonspindle/net/http_server.h"

#define MSP_CLIENT_ADDRESS_MAX 48 /* bytes of an IP address as text */

typedef struct msp_connection msp_connection_t;

struct msp_exchange {
	msp_connection_t *connection;
	msp_request_t request;
	msp_response_t response;
	msp_time_t arrival; /* when the request was complete */
	void *data; /* of the handler */
};

/* State of a server connection. */
typedef enum msp_connection_state {
	/* Not yet handed to libwebsockets: the method was not received. */
	MSP_CONNECTION_ACCEPTED,
	MSP_CONNECTION_IDLE, /* before a request, or receiving its head */
	MSP_CONNECTION_BODY, /* receiving the body */
	MSP_CONNECTION_WAITING, /* for the handler's response */
	MSP_CONNECTION_SENDING, /* the response */
	MSP_CONNECTION_CLOSING, /* waits for the peer to close */
} msp_connection_state_t;

struct msp_connection {
	LIST_ENTRY(msp_connection) link;
	msp_http_server_t *server;
	int fd;
	char client_address[MSP_CLIENT_ADDRESS_MAX];
	struct lws *wsi; /* NULL if not handed to libwebsockets */
	msp_connection_state_t state;
	msp_time_t opened; /* when it was accepted */
	msp_deadline_t deadline; /* of the current state */
	msp_exchange_t *exchange; /* from the head until the response is sent */
	msp_chunk_decoder_t chunk_decoder;
	bool chunked; /* the request's body is chunked */
	bool close_after_response;
	/* Bytes received by the end of the last exchange. */
	uint64_t received_before;
	/* The same of bytes that libwebsockets has read; 0: not known. */
	uint64_t read_before;
	char *head; /* the response's head and the first bytes of its body */
	size_t head_len; /* bytes of these */
	size_t body_sent; /* bytes of the body given to libwebsockets */
	bool head_sent; /* `head` was given to libwebsockets */
};

LIST_HEAD(msp_connections, msp_connection);

#define MSP_LINGER_MS 2000 /* for the client to read the last response */

struct msp_http_server {
	msp_loop_t *loop;
	struct msp_watch *listener; /* watch of listen_fd; NULL once closed */
	int listen_fd;
	uint16_t port;
	msp_http_limits_t limits;
	msp_http_handler_t handler;
	struct msp_connections connections;
	unsigned int connection_count;
	/* Received requests whose response isn't completely written yet. */
	size_t open_exchanges;
	bool no_keep_alive; /* close connections after their next response */
	/* The listener is closed; connections close as with no_keep_alive. */
	bool closing;
};

/* Callback of the libwebsockets protocol for the connections of all servers. */
int msp_handle_http_event(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len);

/* Takes ownership of an accepted socket. */
void msp_new_connection(
    msp_http_server_t *server, int fd, const struct sockaddr_in *peer);

/*
 * Handles an event that the socket monitor reports: the connection's first
 * bytes, room to write, or, with `closed`, that the peer has closed its side.
 */
void msp_handle_socket_event(msp_connection_t *connection, bool closed);

/*
 * Frees the connection; calls on_disconnect if the handler has yet to answer.
 * Doesn't close the socket, which libwebsockets owns if there is a wsi.
 */
void msp_drop_connection(msp_connection_t *connection);

/* Frees the current exchange, whether answered or not. */
void msp_drop_exchange(msp_connection_t *connection);

/* Frees the connection and closes its socket. */
void msp_close_connection(msp_connection_t *connection);

/*
 * Checks the first bytes of an accepted connection and hands it to
 * libwebsockets if they are a supported method. libwebsockets would respond to
 * an unknown method with its own HTML page, so it is refused here.
 */
void msp_check_first_bytes(msp_connection_t *connection);

/* Events from libwebsockets; returning -1 closes the connection. */
int msp_receive_head(msp_connection_t *connection);
int msp_receive_body(
    msp_connection_t *connection, const char *data, size_t len);
int msp_end_body(msp_connection_t *connection);
int msp_send_response(msp_connection_t *connection);

/* Limits the duration of the current state. */
void msp_set_connection_timeout(
    msp_connection_t *connection, uint32_t timeout_ms);

/* Responds with the problem document of `status` and closes the connection. */
void msp_refuse_request(msp_connection_t *connection, msp_status_t status);

/*
 * The same before a request's head is complete, when libwebsockets can't send a
 * response: writes to the socket directly.
 */
void msp_refuse_connection(msp_connection_t *connection, msp_status_t status);

/* Starts sending the response in `exchange`. */
void msp_begin_response(msp_exchange_t *exchange);

#endif
