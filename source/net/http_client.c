#include "monsoonspindle/net/http_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "fields.h"

#define KEY_SIZE 64 /* bytes of a key in client->origins */
#define HEAD_MAX 48000 /* bytes of a request's path and headers */

msp_origin_t *
msp_find_origin(msp_http_client_t *client, const char *address, uint16_t port)
{
	char key[KEY_SIZE];
	msp_origin_t *origin;

	snprintf(key, sizeof(key), "%s:%u", address, port);
	origin = msp_map_get(client->origins, key);
	if (origin != NULL)
		return origin;
	origin = calloc(1, sizeof(*origin));
	if (origin == NULL)
		return NULL;
	origin->client = client;
	snprintf(origin->address, sizeof(origin->address), "%s", address);
	origin->port = port;
	LIST_INIT(&origin->connections);
	TAILQ_INIT(&origin->idle);
	TAILQ_INIT(&origin->waiting);
	if (msp_map_put(client->origins, key, origin) != MSP_OK) {
		free(origin);
		return NULL;
	}
	return origin;
}

static void
free_call(msp_call_t *call)
{
	msp_clear_deadline(&call->deadline);
	msp_drop_request(&call->request);
	msp_drop_response(&call->response);
	free(call);
}

void
msp_drop_origin(msp_origin_t *origin)
{
	msp_call_t *call;
	msp_client_connection_t *connection;

	while ((call = TAILQ_FIRST(&origin->waiting)) != NULL) {
		TAILQ_REMOVE(&origin->waiting, call, link);
		free_call(call);
	}
	while ((connection = LIST_FIRST(&origin->connections)) != NULL) {
		LIST_REMOVE(connection, all_link);
		msp_close_client_connection(connection);
		if (connection->call != NULL)
			free_call(connection->call);
		free(connection);
	}
	free(origin);
}

static void
connect_call(msp_call_t *call, msp_client_connection_t *connection)
{
	msp_time_t due =
	    msp_loop_now() + call->client->options.connect_timeout_ms * MSP_MS;

	call->state = MSP_CALL_CONNECTING;
	msp_set_deadline(&call->deadline,
	    due < call->response_deadline ? due : call->response_deadline);
	msp_open_client_connection(connection, call);
}

static void
start_waiting_calls(msp_origin_t *origin)
{
	msp_call_t *call;
	msp_client_connection_t *connection;

	while ((call = TAILQ_FIRST(&origin->waiting)) != NULL) {
		connection = msp_acquire_client_connection(origin, call);
		if (connection == NULL)
			return;
		TAILQ_REMOVE(&origin->waiting, call, link);
		connect_call(call, connection);
	}
}

msp_call_result_t
msp_get_call_result(msp_call_t *call)
{
	return (msp_call_result_t){
	    .status = call->status,
	    .maybe_sent = call->maybe_sent,
	    .no_first_byte = call->no_first_byte,
	    .first_on_connection = call->first_on_connection,
	    .connection = call->connection_number,
	    .responses_before = call->responses_before,
	    .transfer_time = msp_call_transfer_time(call),
	    .response = &call->response,
	};
}

static void
handle_delivery_timer(lws_sorted_usec_list_t *sul)
{
	msp_http_client_t *client =
	    lws_container_of(sul, msp_http_client_t, delivery_timer);
	msp_call_t *call;
	msp_call_result_t result;
	msp_origin_t *origin;

	while ((origin = TAILQ_FIRST(&client->ready_origins)) != NULL) {
		TAILQ_REMOVE(&client->ready_origins, origin, link);
		origin->ready = false;
		start_waiting_calls(origin);
	}
	/* `done` may start or cancel calls and may drop the client. */
	while ((call = TAILQ_FIRST(&client->ended)) != NULL) {
		TAILQ_REMOVE(&client->ended, call, link);
		result = msp_get_call_result(call);
		call->client = NULL;
		client->delivering = &client;
		call->done(call->ctx, &result);
		free_call(call);
		if (client == NULL)
			return;
		client->delivering = NULL;
	}
}

static void
schedule_delivery(msp_http_client_t *client)
{
	lws_sul_schedule(msp_loop_lws(client->loop), 0, &client->delivery_timer,
	    handle_delivery_timer, 1);
}

void
msp_schedule_waiting_calls(msp_origin_t *origin)
{
	if (origin->ready || TAILQ_EMPTY(&origin->waiting))
		return;
	origin->ready = true;
	TAILQ_INSERT_TAIL(&origin->client->ready_origins, origin, link);
	schedule_delivery(origin->client);
}

/* Notes for the result which connection the call has used. */
static void
record_connection(
    msp_call_t *call, msp_client_connection_t *connection, msp_status_t status)
{
	if (call->maybe_sent) {
		call->connection_number = connection->number;
		call->responses_before = connection->delivered;
	}
	if (status == MSP_OK)
		connection->delivered++;
}

void
msp_end_call(msp_call_t *call, msp_status_t status)
{
	msp_client_connection_t *connection = call->connection;

	if (call->state == MSP_CALL_WAITING)
		TAILQ_REMOVE(&call->origin->waiting, call, link);
	call->state = MSP_CALL_ENDED;
	call->status = status;
	msp_clear_deadline(&call->deadline);
	call->connection = NULL;
	if (connection != NULL) {
		record_connection(call, connection, status);
		connection->call = NULL;
	}
	TAILQ_INSERT_TAIL(&call->client->ended, call, link);
	schedule_delivery(call->client);
}

static void
handle_timeout(msp_deadline_t *deadline)
{
	msp_call_t *call = lws_container_of(deadline, msp_call_t, deadline);
	msp_client_connection_t *connection = call->connection;
	bool connecting = call->state == MSP_CALL_CONNECTING;

	call->no_first_byte = call->state == MSP_CALL_SENT;
	if (call->gives_way)
		msp_end_call(call, MSP_E_RESPONSE_TOO_LARGE);
	else
		msp_end_call(
		    call, connecting ? MSP_E_PEER_DOWN : MSP_E_DEADLINE);
	if (connection == NULL)
		return;
	msp_close_client_connection(connection);
	msp_release_client_connection(connection);
}

void
msp_give_way(msp_call_t *call)
{
	call->gives_way = true;
	msp_drop_buffer(&call->response.body);
	msp_set_deadline(&call->deadline, msp_loop_now());
}

static msp_status_t
check_request(const msp_request_t *request)
{
	const unsigned char *at = (const unsigned char *)request->path;
	size_t bytes = strlen(request->path);
	size_t i;

	if (*at != '/' || !msp_is_valid_field(request->method, "") ||
	    !msp_is_valid_field("host", request->host))
		return MSP_E_BAD_REQUEST;
	for (; *at != '\0'; at++) {
		if (*at <= ' ' || *at >= 0x7f)
			return MSP_E_BAD_REQUEST;
	}
	for (i = 0; i < request->headers.count; i++) {
		bytes += strlen(request->headers.fields[i].name) +
		    strlen(request->headers.fields[i].value) + 4;
		if (!msp_is_valid_field(request->headers.fields[i].name,
			request->headers.fields[i].value))
			return MSP_E_BAD_REQUEST;
	}
	return bytes > HEAD_MAX ? MSP_E_HEADERS_TOO_LARGE : MSP_OK;
}

msp_call_t *
msp_start_call(msp_http_client_t *client, const msp_call_options_t *options,
    msp_request_t *request, msp_call_done_t *done, void *ctx)
{
	msp_call_t *call = calloc(1, sizeof(*call));
	msp_origin_t *origin;
	msp_client_connection_t *connection;
	msp_status_t status;

	if (call == NULL)
		return NULL;
	origin = msp_find_origin(client, options->address, options->port);
	if (origin == NULL) {
		free(call);
		return NULL;
	}
	call->client = client;
	call->origin = origin;
	call->request = *request;
	*request = (msp_request_t){0};
	call->done = done;
	call->judge = options->judge;
	call->ctx = ctx;
	call->first_byte_timeout_ms = options->first_byte_timeout_ms;
	call->transfer_timeout_ms = options->transfer_timeout_ms;
	call->stall_timeout_ms = options->stall_timeout_ms;
	call->fresh_connection = options->fresh_connection;
	call->unused_connection = options->unused_connection;
	msp_init_deadline(&call->deadline, client->loop, handle_timeout);
	call->response_deadline = msp_loop_now() + options->timeout_ms * MSP_MS;
	call->state = MSP_CALL_CONNECTING;
	status = check_request(&call->request);
	if (status != MSP_OK) {
		msp_end_call(call, status);
		return call;
	}
	connection = TAILQ_EMPTY(&origin->waiting)
	    ? msp_acquire_client_connection(origin, call)
	    : NULL;
	if (connection != NULL) {
		connect_call(call, connection);
		return call;
	}
	if (client->options.refuses_when_busy) {
		msp_end_call(call, MSP_E_OVERLOAD);
		return call;
	}
	call->state = MSP_CALL_WAITING;
	TAILQ_INSERT_TAIL(&origin->waiting, call, link);
	msp_set_deadline(&call->deadline, call->response_deadline);
	return call;
}

void
msp_cancel_call(msp_call_t *call)
{
	msp_client_connection_t *connection = call->connection;

	if (call->client == NULL)
		return;
	if (call->state == MSP_CALL_WAITING)
		TAILQ_REMOVE(&call->origin->waiting, call, link);
	if (call->state == MSP_CALL_ENDED)
		TAILQ_REMOVE(&call->client->ended, call, link);
	if (connection != NULL) {
		connection->call = NULL;
		msp_close_client_connection(connection);
		msp_release_client_connection(connection);
	}
	free_call(call);
}

bool
msp_call_maybe_sent(const msp_call_t *call)
{
	return call->maybe_sent;
}

msp_time_t
msp_call_transfer_time(const msp_call_t *call)
{
	return call->response_began == 0
	    ? 0
	    : msp_loop_now() - call->response_began;
}

void
msp_close_idle_connections(
    msp_http_client_t *client, const char *address, uint16_t port)
{
	msp_origin_t *origin = msp_find_origin(client, address, port);
	msp_client_connection_t *connection;

	if (origin == NULL)
		return;
	for (connection = LIST_FIRST(&origin->connections); connection != NULL;
	     connection = LIST_NEXT(connection, all_link)) {
		if (!connection->idle || connection->wsi == NULL)
			continue;
		msp_close_client_connection(connection);
		msp_release_client_connection(connection);
	}
}

#define DEFAULT_OPTION(field, value)                     \
	do {                                             \
		if (client->options.field == 0)          \
			client->options.field = (value); \
	} while (0)

msp_http_client_t *
msp_new_http_client(msp_loop_t *loop, const msp_http_client_options_t *options)
{
	msp_http_client_t *client = calloc(1, sizeof(*client));

	if (client == NULL)
		goto no_memory;
	client->loop = loop;
	if (options != NULL)
		client->options = *options;
	DEFAULT_OPTION(max_connections_per_server, 64);
	DEFAULT_OPTION(max_response_body, (size_t)8 * 1024 * 1024);
	DEFAULT_OPTION(connect_timeout_ms, 1000);
	DEFAULT_OPTION(idle_timeout_ms, 20 * 1000);
	TAILQ_INIT(&client->ended);
	TAILQ_INIT(&client->ready_origins);
	client->vhosts = calloc(client->options.max_connections_per_server,
	    sizeof(struct lws_vhost *));
	client->origins = msp_new_map();
	if (client->vhosts == NULL || client->origins == NULL)
		goto no_memory;
	return client;

no_memory:
	if (client != NULL) {
		free(client->vhosts);
		msp_drop_map(client->origins);
	}
	free(client);
	msp_fail(MSP_E_NO_MEMORY, "no memory for an HTTP client");
	return NULL;
}

void
msp_drop_http_client(msp_http_client_t *client)
{
	msp_call_t *call;
	size_t cursor = 0;
	unsigned int i;
	void *origin;

	if (client == NULL)
		return;
	if (client->delivering != NULL)
		*client->delivering = NULL;
	lws_sul_cancel(&client->delivery_timer);
	while ((call = TAILQ_FIRST(&client->ended)) != NULL) {
		TAILQ_REMOVE(&client->ended, call, link);
		free_call(call);
	}
	while (msp_map_next(client->origins, &cursor, NULL, &origin))
		msp_drop_origin(origin);
	msp_drop_map(client->origins);
	for (i = 0; i < client->options.max_connections_per_server; i++) {
		if (client->vhosts[i] != NULL)
			lws_vhost_destroy(client->vhosts[i]);
	}
	free(client->vhosts);
	free(client);
}
