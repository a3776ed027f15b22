#include <errno.h>
#include <stdlib.h>

#include <sys/socket.h>

#include "client.h"
#include "socket.h"

#define FRESH_WITHIN MSP_SECOND /* bytes so recent prove a connection alive */
#define READ_SIZE (64 * 1024) /* bytes; all that may come with a head */

static int
read_body(msp_client_connection_t *lane, struct lws *wsi)
{
	char buffer[LWS_PRE + READ_SIZE];
	char *at = buffer + LWS_PRE;
	int len = READ_SIZE;

	int result;

	lane->reading = true;
	lane->at_eof =
	    lane->call->chunked && msp_is_socket_at_eof(lws_get_socket_fd(wsi));
	result = lws_http_client_read(wsi, &at, &len);
	lane->reading = false;
	return result < 0 ? -1 : 0;
}

static void
lose_call(msp_call_t *call)
{
	if (call != NULL)
		msp_end_call(call,
		    call->maybe_sent ? MSP_E_CUT_ANSWER : MSP_E_PEER_DOWN);
}

/* The connection is gone. */
static void
lose_connection(msp_client_connection_t *lane, struct lws *wsi)
{
	if (lane->wsi != wsi)
		return;
	lane->wsi = NULL;
	lose_call(lane->call);
	if (!lane->connecting)
		msp_release_client_connection(lane);
}

static int
on_call_event(struct lws *wsi, enum lws_callback_reasons reason,
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
		msp_end_response(call);
		return 0;
	default:
		return 0;
	}
}

static int
on_client(struct lws *wsi, enum lws_callback_reasons reason, void *user,
    void *in, size_t len)
{
	msp_client_connection_t *lane;

	(void)user;
	if (wsi == NULL)
		return 0;
	lane = lws_get_opaque_user_data(wsi);
	if (lane == NULL)
		return 0;
	/* On a kept connection the first events come before the call returns.
	 */
	if (lane->connecting && lane->wsi == NULL)
		lane->wsi = wsi;
	switch (reason) {
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
	case LWS_CALLBACK_WSI_DESTROY:
		lws_set_opaque_user_data(wsi, NULL);
		lose_connection(lane, wsi);
		return 0;
	default:
		break;
	}
	if (lane->wsi != wsi)
		return 0;
	/* Bytes that belong to no call. */
	if (lane->call == NULL)
		return reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ? -1 : 0;
	return on_call_event(wsi, reason, lane->call, in, len);
}

static const struct lws_protocols protocols[] = {
    {.name = "http", .callback = on_client, .rx_buffer_size = READ_SIZE},
    {.name = NULL},
};

static struct lws_vhost *
find_vhost(msp_http_client_t *client, unsigned int index)
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
new_lane(msp_origin_t *origin)
{
	msp_client_connection_t *lane;

	if (origin->connection_count ==
	    origin->client->options.max_connections_per_server)
		return NULL;
	lane = calloc(1, sizeof(*lane));
	if (lane == NULL)
		return NULL;
	lane->origin = origin;
	lane->vhost = find_vhost(origin->client, origin->connection_count);
	if (lane->vhost == NULL) {
		free(lane);
		return NULL;
	}
	origin->connection_count++;
	LIST_INSERT_HEAD(&origin->connections, lane, all_link);
	return lane;
}

static bool
is_recent(const msp_client_connection_t *lane)
{
	return lane->wsi != NULL &&
	    lane->last_active + FRESH_WITHIN > msp_loop_now();
}

/*
 * Whether nothing has come on a kept connection since its last answer: neither
 * an end nor bytes, which would be taken for the next answer.
 */
static bool
is_quiet(const msp_client_connection_t *lane)
{
	char byte;

	return recv(lws_get_socket_fd(lane->wsi), &byte, 1,
		   MSG_PEEK | MSG_DONTWAIT) < 0 &&
	    errno == EAGAIN;
}

msp_client_connection_t *
msp_acquire_client_connection(msp_origin_t *origin, bool fresh)
{
	msp_client_connection_t *lane = TAILQ_FIRST(&origin->idle);

	if (fresh && lane != NULL && !is_recent(lane)) {
		/* Unconnected lanes are last, old connections before them. */
		lane = TAILQ_LAST(&origin->idle, msp_client_connection_queue);
		if (lane->wsi != NULL)
			msp_close_client_connection(lane);
	}
	if (lane == NULL)
		return new_lane(origin);
	TAILQ_REMOVE(&origin->idle, lane, link);
	lane->idle = false;
	if (lane->wsi != NULL && !is_quiet(lane))
		msp_close_client_connection(lane);
	return lane;
}

void
msp_release_client_connection(msp_client_connection_t *lane)
{
	msp_origin_t *origin = lane->origin;

	if (lane->call != NULL)
		return;
	if (lane->idle)
		TAILQ_REMOVE(&origin->idle, lane, link);
	lane->idle = true;
	if (lane->wsi != NULL)
		TAILQ_INSERT_HEAD(&origin->idle, lane, link);
	else
		TAILQ_INSERT_TAIL(&origin->idle, lane, link);
	msp_schedule_waiting_calls(origin);
}

void
msp_close_client_connection(msp_client_connection_t *lane)
{
	struct lws *wsi = lane->wsi;

	if (wsi == NULL)
		return;
	lane->wsi = NULL;
	lws_set_opaque_user_data(wsi, NULL);
	lws_set_timeout(wsi, 1, LWS_TO_KILL_SYNC);
}

void
msp_open_client_connection(msp_client_connection_t *lane, msp_call_t *call)
{
	msp_origin_t *origin = lane->origin;
	msp_http_client_t *client = origin->client;
	struct lws_client_connect_info info = {
	    .context = msp_loop_lws(client->loop),
	    .vhost = lane->vhost,
	    .address = origin->address,
	    .host = origin->address,
	    .port = origin->port,
	    .path = call->request.path,
	    .method = call->request.method,
	    .ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT,
	    .alpn = "http/1.1",
	    .local_protocol_name = "http",
	    .opaque_user_data = lane,
	    .keep_warm_secs =
		(uint16_t)(client->options.idle_timeout_ms / 1000),
	    .pwsi = &lane->wsi,
	};
	struct lws *wsi;

	lane->call = call;
	call->connection = lane;
	lane->socket_options_set = lane->wsi != NULL;
	if (lane->wsi != NULL)
		lws_set_opaque_user_data(lane->wsi, NULL);
	lane->wsi = NULL;
	lane->connecting = true;
	wsi = lws_client_connect_via_info(&info);
	lane->connecting = false;
	if (wsi != NULL)
		return;
	lane->wsi = NULL;
	lose_call(lane->call);
	msp_release_client_connection(lane);
}
