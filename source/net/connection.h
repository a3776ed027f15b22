#ifndef MONSOONSPINDLE_NET_CONNECTION_H
#define MONSOONSPINDLE_NET_CONNECTION_H

#include <bsd/sys/queue.h>

#include <netinet/in.h>

#include "deadline.h"
#include "monsoonspindle/net/http_server.h"
#include "request_parser.h"

#define MSP_CLIENT_ADDRESS_MAX 48 /* bytes of an IP address as text */

typedef struct msp_connection msp_connection_t;

typedef enum msp_exchange_state {
	MSP_EXCHANGE_HELD, /* waits for earlier requests of its connection */
	MSP_EXCHANGE_STARTED, /* the handler works on it */
	MSP_EXCHANGE_ANSWERED, /* the response is complete */
} msp_exchange_state_t;

struct msp_exchange {
	TAILQ_ENTRY(msp_exchange) link; /* in its connection's pipeline */
	msp_connection_t *connection;
	msp_exchange_state_t state;
	msp_request_t request;
	msp_response_t response;
	msp_time_t arrival; /* when the request was complete */
	msp_time_t started; /* when it was passed to the handler */
	msp_time_t answered; /* when its response was complete */
	size_t position; /* unanswered requests before it when it arrived */
	/* May run beside other requests of its connection. */
	bool may_overlap;
	void *data; /* of the handler */
};

TAILQ_HEAD(msp_pipeline, msp_exchange);

/*
 * A connection of a client. Its requests are started in their order, each as
 * soon as those before it allow, and answered in their order.
 */
struct msp_connection {
	LIST_ENTRY(msp_connection) link;
	msp_http_server_t *server;
	int fd;
	char client_address[MSP_CLIENT_ADDRESS_MAX];
	msp_time_t opened; /* when it was accepted */
	msp_request_parser_t *parser;
	msp_buffer_t input; /* received, not yet parsed; from input_used on */
	size_t input_used;
	struct msp_pipeline pipeline;
	size_t exchange_count; /* in the pipeline */
	size_t kept_bytes; /* of the bodies in the pipeline */
	msp_buffer_t head; /* of the response that is being sent */
	size_t head_sent; /* bytes of it */
	size_t body_sent; /* bytes of its body */
	bool sending; /* the first exchange's response */
	bool processing; /* inside msp_process_connection() */
	/* The socket may hold data, since the last read did not empty it. */
	bool readable;
	bool peer_closed; /* the client has closed its side */
	bool failed; /* writing has failed */
	/* No further request is read; the connection closes after the last. */
	bool input_ended;
	/* The last response was sent; waits for the client to close. */
	bool lingering;
	size_t discarded; /* bytes received while lingering */
	uint64_t request_count; /* requests that were read or refused */
	msp_deadline_t deadline; /* the earliest of the following times */
	msp_time_t work_due; /* when msp_process_connection() is to be called */
	msp_time_t read_due; /* of the next request, or of lingering */
	msp_time_t send_due; /* of the response's next bytes */
};

LIST_HEAD(msp_connections, msp_connection);

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

/* connection.c: from accept to close */

/* Takes ownership of an accepted socket. */
void msp_new_connection(
    msp_http_server_t *server, int fd, const struct sockaddr_in *peer);

/* Frees the connection; reports its unanswered requests as disconnected. */
void msp_close_connection(msp_connection_t *connection);

/*
 * Handles an event that the socket monitor reports: data to read, room to
 * write, or, with `closed`, that the peer has closed its side.
 */
void msp_handle_socket_event(msp_connection_t *connection, bool closed);

/*
 * Reads, starts and answers as many requests as possible. May free the
 * connection. Does nothing if it is called by a handler of the connection.
 */
void msp_process_connection(msp_connection_t *connection);

/*
 * To be called after a response was written outside of
 * msp_process_connection(): goes on in the loop's next turn, if necessary.
 */
void msp_continue_connection(msp_connection_t *connection);

/* Whether the connection closes once the requests that were started end. */
bool msp_is_connection_ending(const msp_connection_t *connection);

/* pipeline.c: the requests of a connection */

/*
 * Reads from the socket, *reads_left times at most, and adds complete requests
 * to the pipeline, up to its limits. Adds a refusal, as the last one, if the
 * input is not valid.
 */
void msp_read_requests(msp_connection_t *connection, int *reads_left);

/* Whether another request may be added to the pipeline. */
bool msp_has_pipeline_room(const msp_connection_t *connection);

/*
 * Passes those requests to the handler that may run now. Returns whether there
 * was any.
 */
bool msp_start_requests(msp_connection_t *connection);

/* Refuses the request that is being read, and ends the input. */
void msp_refuse_input(msp_connection_t *connection, msp_status_t status);

/*
 * Drops the requests that were not passed to the handler. They count as not
 * read: the client may send them again.
 */
void msp_drop_held_requests(msp_connection_t *connection);

/* The client has left: cancels the requests that have no response yet. */
void msp_cancel_requests(msp_connection_t *connection);

/* Removes and frees an exchange. */
void msp_drop_exchange(msp_exchange_t *exchange);

/* response.c: responses, in the order of the requests */

/*
 * Writes responses as far as possible; on an error, sets `failed`. Returns
 * whether any exchange was completed.
 */
bool msp_write_responses(msp_connection_t *connection);

#endif
