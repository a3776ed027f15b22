#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include "client.h"
#include "socket.h"

/* A connection that was active within this time is assumed to be alive. */
#define RECENT_ACTIVITY MSP_SECOND
/* Bytes of a read; holds all that may be received together with a head. */
#define READ_SIZE (64 * 1024)

static int
read_body(msp_client_connection_t *connection, struct lws *wsi)
{
	char buffer[LWS_PRE + READ_SIZE];
	char *at = buffer + LWS_PRE;
	int len = READ_SIZE;
	int result;

	connection->reading = true;
	connection->at_eof = connection->call->chunked &&
	    msp_is_socket_at_eof(lws_get_socket_fd(wsi));
	result = lws_http_client_read(wsi, &at, &len);
	connection->reading = false;
	/* `len` is now what was read and not used: bytes after the response. */
	if (connection->call == NULL && len > 0)
		return -1;
	return result < 0 ? -1 : 0;
}

static void
fail_call(msp_call_t *call)
{
	if (call != NULL)
		msp_end_call(call,
		    call->maybe_sent ? MSP_E_TRUNCATED_RESPONSE
				     : MSP_E_PEER_DOWN);
}

/* Called when the connection of `wsi` has been closed. */
static void
handle_connection_closed(msp_client_connection_t *connection, struct lws *wsi)
{
	if (connection->wsi != wsi)
		return;
	connection->wsi = NULL;
	fail_call(connection->call);
	if (!connection->connecting)
		msp_release_client_connection(connection);
}

static int
handle_call_event(struct lws *wsi, enum lws_callback_reasons reason,
    msp_call_t *call, void *in, size_t len)
{
	switch (reason) {
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
		return msp_write_request_head(call, in, len);
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
		return msp_write_request_body(call);
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
		return msp_read_response_head(call);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
		return read_body(call->connection, wsi);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		call->connection->at_eof = false;
		return msp_read_response_body(call, in, len);
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		return msp_end_response(call);
	default:
		return 0;
	}
}

static int
handle_client_event(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len)
{
	msp_client_connection_t *connection;

	(void)user;
	if (wsi == NULL)
		return 0;
	connection = lws_get_opaque_user_data(wsi);
	if (connection == NULL)
		return 0;
	/*
	 * When an open connection is reused, the first events come before
	 * lws_client_connect_via_info() returns.
	 */
	if (connection->connecting && connection->wsi == NULL)
		connection->wsi = wsi;
	switch (reason) {
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
	case LWS_CALLBACK_WSI_DESTROY:
		lws_set_opaque_user_data(wsi, NULL);
		handle_connection_closed(connection, wsi);
		return 0;
	default:
		break;
	}
	if (connection->wsi != wsi)
		return 0;
	/* Close the connection if data arrives that belongs to no call. */
	if (connection->call == NULL)
		return reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ? -1 : 0;
	return handle_call_event(wsi, reason, connection->call, in, len);
}

static const struct lws_protocols protocols[] = {
    {.name = "http",
	.callback = handle_client_event,
	.rx_buffer_size = READ_SIZE},
    {.name = NULL},
};

static struct lws_vhost *
get_vhost(msp_http_client_t *client, unsigned int index)
{
	struct lws_context_creation_info info = {
	    .port = CONTEXT_PORT_NO_LISTEN,
	    .protocols = protocols,
	    .vhost_name = "msp-lane",
	};

	if (client->vhosts[index] != NULL)
		return client->vhosts[index];
	client->vhosts[index] =
	    lws_create_vhost(msp_loop_lws(client->loop), &info);
	return client->vhosts[index];
}

static msp_client_connection_t *
new_connection(msp_origin_t *origin)
{
	msp_client_connection_t *connection;

	if (origin->connection_count ==
	    origin->client->options.max_connections_per_server)
		return NULL;
	connection = calloc(1, sizeof(*connection));
	if (connection == NULL)
		return NULL;
	connection->origin = origin;
	connection->vhost = get_vhost(origin->client, origin->connection_count);
	if (connection->vhost == NULL) {
		free(connection);
		return NULL;
	}
	origin->connection_count++;
	LIST_INSERT_HEAD(&origin->connections, connection, all_link);
	return connection;
}

static bool
is_recently_active(const msp_client_connection_t *connection)
{
	return connection->wsi != NULL &&
	    connection->last_active + RECENT_ACTIVITY > msp_loop_now();
}

/*
 * Whether nothing was received on an open connection since its last response:
 * neither its end nor data, which would be taken for the next response.
 */
static bool
has_no_input(const msp_client_connection_t *connection)
{
	char byte;

	return recv(lws_get_socket_fd(connection->wsi), &byte, 1,
		   MSG_PEEK | MSG_DONTWAIT) < 0 &&
	    errno == EAGAIN;
}

/* Whether the call may use an entry's open connection, if it has one. */
static bool
may_use_connection(
    const msp_client_connection_t *connection, const msp_call_t *call)
{
	if (call->unused_connection)
		return connection->wsi == NULL;
	return !call->fresh_connection || is_recently_active(connection);
}

msp_client_connection_t *
msp_acquire_client_connection(msp_origin_t *origin, const msp_call_t *call)
{
	msp_client_connection_t *connection = TAILQ_FIRST(&origin->idle);

	if (connection != NULL && !may_use_connection(connection, call)) {
		/* The last is not open, or else the least recently used. */
		connection =
		    TAILQ_LAST(&origin->idle, msp_client_connection_queue);
		if (connection->wsi != NULL)
			msp_close_client_connection(connection);
	}
	if (connection == NULL)
		return new_connection(origin);
	TAILQ_REMOVE(&origin->idle, connection, link);
	connection->idle = false;
	if (connection->wsi != NULL && !has_no_input(connection))
		msp_close_client_connection(connection);
	return connection;
}

void
msp_release_client_connection(msp_client_connection_t *connection)
{
	msp_origin_t *origin = connection->origin;

	if (connection->call != NULL)
		return;
	if (connection->idle)
		TAILQ_REMOVE(&origin->idle, connection, link);
	connection->idle = true;
	if (connection->wsi != NULL)
		TAILQ_INSERT_HEAD(&origin->idle, connection, link);
	else
		TAILQ_INSERT_TAIL(&origin->idle, connection, link);
	msp_schedule_waiting_calls(origin);
}

void
msp_identify_client_connection(msp_client_connection_t *connection)
{
	static uint64_t last_number; /* in the process */
	/* The pool can't tell whether libwebsockets has reused a connection. */
	uint64_t number =
	    msp_get_socket_cookie(lws_get_socket_fd(connection->wsi));

	if (number == 0)
		number = connection->number != 0 ? connection->number
						 : ++last_number;
	if (number == connection->number)
		return;
	connection->number = number;
	connection->delivered = 0;
}

void
msp_close_client_connection(msp_client_connection_t *connection)
{
	struct lws *wsi = connection->wsi;

	if (wsi == NULL)
		return;
	connection->wsi = NULL;
	lws_set_opaque_user_data(wsi, NULL);
	lws_set_timeout(wsi, 1, LWS_TO_KILL_SYNC);
}

/*
 * Whether libwebsockets sends a request with this method on an open connection.
 * For others it opens a new one, leaves the open one as it is, and may use that
 * for a later request.
 */
static bool
reuses_connection(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "POST") == 0 ||
	    strcmp(method, "PUT") == 0;
}

void
msp_open_client_connection(
    msp_client_connection_t *connection, msp_call_t *call)
{
	msp_origin_t *origin = connection->origin;
	msp_http_client_t *client = origin->client;
	struct lws_client_connect_info info = {
	    .context = msp_loop_lws(client->loop),
	    .vhost = connection->vhost,
	    .address = origin->address,
	    .host = origin->address,
	    .port = origin->port,
	    .path = call->request.path,
	    .method = call->request.method,
	    .ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT,
	    .alpn = "http/1.1",
	    .local_protocol_name = "http",
	    .opaque_user_data = connection,
	    .keep_warm_secs =
		(uint16_t)(client->options.idle_timeout_ms / 1000),
	    .pwsi = &connection->wsi,
	};
	struct lws *wsi;

	connection->call = call;
	call->connection = connection;
	if (!reuses_connection(call->request.method))
		msp_close_client_connection(connection);
	call->first_on_connection = connection->wsi == NULL;
	connection->socket_options_set = connection->wsi != NULL;
	if (connection->wsi != NULL)
		lws_set_opaque_user_data(connection->wsi, NULL);
	else
		connection->number = 0;
	connection->wsi = NULL;
	connection->connecting = true;
	wsi = lws_client_connect_via_info(&info);
	connection->connecting = false;
	if (wsi != NULL)
		return;
	connection->wsi = NULL;
	fail_call(connection->call);
	msp_release_client_connection(connection);
}
