#ifndef SUPPORT_COUNTING_SERVER_H
#define SUPPORT_COUNTING_SERVER_H

#include <bsd/sys/queue.h>

#include "monsoonspindle/net.h"

/*
 * An HTTP server on plain sockets that counts the requests it receives by id
 * and handles each as planned by the test. The path of a request is "/" and its
 * id in decimal; the id is the index in `requests`. The test steps the server,
 * which has no thread and no loop of its own.
 */

typedef enum server_action {
	SERVER_ANSWER,
	SERVER_ANSWER_SPLIT, /* in two parts */
	SERVER_ANSWER_CHUNKED,
	SERVER_ANSWER_CHUNKED_SPLIT,
	SERVER_ANSWER_UNFRAMED, /* without a length; closes at the end */
	SERVER_ANSWER_204,
	SERVER_ANSWER_304,
	SERVER_ANSWER_CLOSE, /* with "Connection: close"; closes */
	SERVER_ANSWER_FIN, /* closes afterwards, unannounced */
	SERVER_ANSWER_RST, /* resets afterwards */
	SERVER_ANSWER_EARLY, /* before it reads the body, which it reads then */
	SERVER_ANSWER_EARLY_FIN, /* before it reads the body; closes */
	/* Sends a second response together with the first. */
	SERVER_ANSWER_TWICE,
	SERVER_DROP_UNREAD, /* closes with the request unread */
	SERVER_DROP_HEAD_FIN, /* closes after the head */
	SERVER_DROP_HEAD_RST,
	SERVER_DROP_HALF_BODY, /* resets after half of the body */
	SERVER_DROP_HALF_RESPONSE, /* closes after half of the response */
	SERVER_NO_ANSWER,
	SERVER_ACTION_COUNT,
} server_action_t;

typedef struct counted_request {
	/* Set by the test. */
	server_action_t action;
	bool head_only; /* method HEAD */
	size_t body_len; /* of the request */
	size_t response_len; /* of the response's body */
	size_t split; /* bytes of the response's first part */
	uint32_t delay_ms; /* until the response is sent */
	/* Until a connection is closed by SERVER_ANSWER_FIN or _RST. */
	uint32_t idle_ms;
	/* Set by the server. */
	unsigned int seen; /* request lines received */
	bool acted; /* `action` was carried out */
} counted_request_t;

typedef struct server_connection server_connection_t;
LIST_HEAD(server_connections, server_connection);

typedef struct server_origin {
	int fd; /* listener */
	uint16_t port;
	bool slow; /* reads a few bytes at a time, with a small buffer */
	bool paused; /* accepts nothing */
} server_origin_t;

typedef struct counting_server {
	server_origin_t *origins;
	size_t origin_count;
	counted_request_t *requests;
	size_t request_count;
	struct server_connections connections;
	size_t accepted; /* connections */
	/* Data that is not part of the next request of its connection. */
	unsigned int strange_count;
	char strange[80]; /* start of the first such data */
} counting_server_t;

/* Opens the listeners; false on an error. Room for `request_count` requests. */
bool open_counting_server(
    counting_server_t *server, size_t origin_count, size_t request_count);
void close_counting_server(counting_server_t *server);

/*
 * Makes the origin read slowly or not accept at all for now; before the first
 * connection. A paused origin has the smallest backlog.
 */
void slow_server_origin(server_origin_t *origin);
void pause_server_origin(server_origin_t *origin);
void resume_server_origin(server_origin_t *origin);

/* Accepts, reads, acts and writes as far as possible without waiting. */
void step_counting_server(counting_server_t *server);

/* Appends the body of the request or response with this id. */
void append_request_body(msp_buffer_t *buffer, size_t id, size_t len);
void append_response_body(msp_buffer_t *buffer, size_t id, size_t len);

#endif
