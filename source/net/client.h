#ifndef MONSOONSPINDLE_NET_CLIENT_H
#define MONSOONSPINDLE_NET_CLIENT_H

#include <bsd/sys/queue.h>

#include <libwebsockets.h>

#include "deadline.h"
#include "monsoonspindle/base/map.h"
#include "monsoonspindle/net/http_client.h"

#define MSP_SERVER_ADDRESS_MAX 48 /* an IP number as text */

typedef struct msp_origin msp_origin_t;
typedef struct msp_client_connection msp_client_connection_t;

/*
 * One connection to a server, carrying one request at a time. Each lane of a
 * server has a vhost of its own: the library queues requests for the same
 * server behind each other within a vhost.
 */
struct msp_client_connection {
	TAILQ_ENTRY(msp_client_connection)
	link; /* in the server's idle lanes */
	LIST_ENTRY(msp_client_connection) all_link;
	msp_origin_t *origin;
	struct lws_vhost *vhost;
	struct lws *wsi; /* the connection, kept or in use; or NULL */
	msp_call_t *call; /* or NULL */
	msp_time_t last_active; /* when the last bytes came */
	bool idle; /* in the server's idle lanes */
	bool socket_options_set; /* the options of the socket are set */
	bool connecting; /* inside the library's connect call */
	bool reading; /* inside the library's read call */
	bool at_eof; /* and that call can see but the end of the connection */
};

TAILQ_HEAD(msp_client_connection_queue, msp_client_connection);
TAILQ_HEAD(msp_calls, msp_call);
LIST_HEAD(msp_client_connection_list, msp_client_connection);
TAILQ_HEAD(msp_origins, msp_origin);

/* One server that the client has called. */
struct msp_origin {
	TAILQ_ENTRY(msp_origin) link; /* in the client's ready servers */
	bool ready; /* a lane was released and calls wait */
	msp_http_client_t *client;
	char address[MSP_SERVER_ADDRESS_MAX];
	uint16_t port;
	unsigned int connection_count;
	struct msp_client_connection_list connections;
	struct msp_client_connection_queue idle; /* the last used first */
	struct msp_calls waiting; /* for a lane */
};

typedef enum msp_call_state {
	MSP_CALL_WAITING, /* for a lane */
	MSP_CALL_CONNECTING, /* the head has not been handed out */
	MSP_CALL_SENT, /* no byte of an answer yet */
	MSP_CALL_RECEIVING,
	MSP_CALL_ENDED, /* `done` is about to be called */
} msp_call_state_t;

struct msp_call {
	TAILQ_ENTRY(msp_call) link; /* in waiting or ended */
	msp_http_client_t *client;
	msp_origin_t *origin;
	msp_client_connection_t *connection;
	msp_call_state_t state;
	msp_request_t request;
	msp_response_t response;
	msp_call_done_t *done;
	void *ctx;
	msp_deadline_t deadline;
	msp_time_t response_deadline; /* of the whole answer */
	uint32_t first_byte_timeout_ms;
	bool fresh_connection;
	bool maybe_sent;
	bool no_first_byte;
	bool bodiless; /* the answer has no body by its kind */
	long long content_length; /* of the answer's body; -1: not given */
	bool chunked;
	size_t body_sent;
	msp_status_t status;
};

struct msp_http_client {
	msp_loop_t *loop;
	msp_http_client_options_t options;
	struct lws_vhost **vhosts; /* of the lanes, made when first used */
	msp_map_t *origins;
	struct msp_calls ended;
	struct msp_origins ready_origins;
	lws_sorted_usec_list_t delivery_timer;
	msp_http_client_t **delivering; /* set while a `done` runs */
};

/* Ends a call: its lane is freed, `done` is called from the loop later. */
void msp_end_call(msp_call_t *call, msp_status_t status);

/* Starts the calls that wait for a lane of `origin`, from the loop later. */
void msp_schedule_waiting_calls(msp_origin_t *origin);

/* Finds the server or makes it; NULL without memory. */
msp_origin_t *msp_find_origin(
    msp_http_client_t *client, const char *address, uint16_t port);
void msp_drop_origin(msp_origin_t *origin);

/*
 * Takes a lane for `call`, or returns NULL if all are busy. A lane without a
 * usable connection opens one.
 */
msp_client_connection_t *msp_acquire_client_connection(
    msp_origin_t *origin, bool fresh);
void msp_open_client_connection(
    msp_client_connection_t *lane, msp_call_t *call);

/* Closes the connection of a lane, not from inside its own events. */
void msp_close_client_connection(msp_client_connection_t *lane);

/* Makes the lane available once more. */
void msp_release_client_connection(msp_client_connection_t *lane);

/* Events of the call on a lane; -1 closes the connection. */
int msp_write_request_head(msp_call_t *call, unsigned char **at, size_t len);
int msp_write_request_body(msp_call_t *call);
int msp_read_response_head(msp_call_t *call);
int msp_read_response_body(msp_call_t *call, const char *data, size_t len);
void msp_end_response(msp_call_t *call);

#endif
