#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include "connection.h"
#include "problem.h"

#define READ_SIZE 16384 /* bytes read from the socket at once */

/*
 * Without an answer by the handler: requests by safe methods may run in any
 * order and several times.
 */
static bool
is_safe_method(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
	    strcmp(method, "OPTIONS") == 0;
}

static bool
may_overlap(const msp_exchange_t *exchange)
{
	const msp_http_handler_t *handler =
	    &exchange->connection->server->handler;

	if (handler->may_overlap != NULL)
		return handler->may_overlap(handler->ctx, &exchange->request);
	return is_safe_method(exchange->request.method);
}

/* Appends an exchange without a request; NULL if memory runs out. */
static msp_exchange_t *
add_exchange(msp_connection_t *connection)
{
	msp_exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (exchange == NULL)
		return NULL;
	exchange->connection = connection;
	exchange->arrival = msp_loop_now();
	exchange->position = connection->exchange_count;
	TAILQ_INSERT_TAIL(&connection->pipeline, exchange, link);
	connection->exchange_count++;
	connection->server->open_exchanges++;
	return exchange;
}

void
msp_drop_exchange(msp_exchange_t *exchange)
{
	msp_connection_t *connection = exchange->connection;

	TAILQ_REMOVE(&connection->pipeline, exchange, link);
	connection->exchange_count--;
	connection->kept_bytes -=
	    exchange->request.body.len + exchange->response.body.len;
	connection->server->open_exchanges--;
	msp_drop_request(&exchange->request);
	msp_drop_response(&exchange->response);
	free(exchange);
}

void
msp_drop_held_requests(msp_connection_t *connection)
{
	msp_exchange_t *exchange;
	msp_exchange_t *next;

	TAILQ_FOREACH_SAFE(exchange, &connection->pipeline, link, next) {
		if (exchange->state == MSP_EXCHANGE_HELD)
			msp_drop_exchange(exchange);
	}
}

void
msp_cancel_requests(msp_connection_t *connection)
{
	msp_http_server_t *server = connection->server;
	msp_exchange_t *exchange;
	msp_exchange_t *next;
	bool found = false; /* one without a response */

	connection->input_ended = true;
	TAILQ_FOREACH_SAFE(exchange, &connection->pipeline, link, next) {
		if (exchange->state != MSP_EXCHANGE_ANSWERED)
			found = true;
		if (!found)
			continue;
		if (exchange->state == MSP_EXCHANGE_STARTED &&
		    server->handler.on_disconnect != NULL)
			server->handler.on_disconnect(
			    server->handler.ctx, exchange);
		msp_drop_exchange(exchange);
	}
}

/* What was read of the current request, or NULL if that is not its head. */
static const msp_request_t *
get_partial_request(const msp_connection_t *connection, msp_status_t status)
{
	if (msp_get_parse_phase(connection->parser) != MSP_PARSE_BODY &&
	    status == MSP_E_REQUEST_TIMEOUT)
		return NULL;
	return msp_get_partial_request(connection->parser);
}

void
msp_refuse_input(msp_connection_t *connection, msp_status_t status)
{
	const msp_http_handler_t *handler = &connection->server->handler;
	msp_exchange_t *exchange = add_exchange(connection);
	msp_http_refusal_t refusal = {
	    .status = status,
	    .client_address = connection->client_address,
	    .request = get_partial_request(connection, status),
	};

	connection->input_ended = true;
	connection->request_count++;
	if (handler->on_refusal != NULL)
		handler->on_refusal(handler->ctx, &refusal);
	if (exchange == NULL) {
		connection->failed = true;
		return;
	}
	msp_fill_problem(&exchange->response, status);
	connection->kept_bytes += exchange->response.body.len;
	exchange->answered = exchange->arrival;
	exchange->state = MSP_EXCHANGE_ANSWERED;
}

static bool
has_input(const msp_connection_t *connection)
{
	return connection->input.len > connection->input_used;
}

bool
msp_has_pipeline_room(const msp_connection_t *connection)
{
	const msp_http_limits_t *limits = &connection->server->limits;

	if (connection->exchange_count == 0)
		return true;
	return connection->exchange_count < limits->max_pipeline &&
	    connection->kept_bytes < limits->max_pipeline_bytes;
}

/* Whether the next request is to be read, as far as it has been received. */
static bool
may_read(const msp_connection_t *connection)
{
	if (connection->input_ended || connection->failed)
		return false;
	/* Of an ending connection only a request in progress is read. */
	if (msp_is_connection_ending(connection) &&
	    connection->exchange_count > 0)
		return false;
	return msp_has_pipeline_room(connection);
}

/* Receives data if there is any. */
static bool
receive_input(msp_connection_t *connection)
{
	char data[READ_SIZE];
	ssize_t len;

	if (!connection->readable)
		return false;
	len = recv(connection->fd, data, sizeof(data), MSG_DONTWAIT);
	if (len <= 0) {
		connection->readable = false;
		if (len == 0 || errno != EAGAIN)
			connection->peer_closed = true;
		return false;
	}
	if ((size_t)len < sizeof(data))
		connection->readable = false;
	msp_clear_buffer(&connection->input);
	connection->input_used = 0;
	if (msp_append_data(&connection->input, data, (size_t)len) == MSP_OK)
		return true;
	connection->failed = true;
	return false;
}

static void
add_request(msp_connection_t *connection)
{
	msp_exchange_t *exchange = add_exchange(connection);
	bool keep_alive;

	if (exchange == NULL) {
		connection->failed = true;
		return;
	}
	connection->request_count++;
	msp_take_request(connection->parser, &exchange->request, &keep_alive);
	connection->input_ended = !keep_alive;
	connection->kept_bytes += exchange->request.body.len;
}

/* Parses the received data up to the end of a request. */
static void
parse_input(msp_connection_t *connection)
{
	msp_status_t status;
	size_t used;

	status = msp_parse_request(connection->parser,
	    connection->input.data + connection->input_used,
	    connection->input.len - connection->input_used, &used);
	connection->input_used += used;
	if (status != MSP_OK)
		msp_refuse_input(connection, status);
	else if (msp_get_parse_phase(connection->parser) == MSP_PARSE_DONE)
		add_request(connection);
	if (!has_input(connection))
		msp_drop_buffer(&connection->input);
}

/* Asks for the body that the client holds back; in the order of responses. */
static void
send_continue(msp_connection_t *connection)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (connection->exchange_count > 0 ||
	    !msp_take_expected_continue(connection->parser))
		return;
	if (send(connection->fd, text, sizeof(text) - 1,
		MSG_DONTWAIT | MSG_NOSIGNAL) != sizeof(text) - 1)
		connection->failed = true;
}

void
msp_read_requests(msp_connection_t *connection, int *reads_left)
{
	while (may_read(connection)) {
		if (has_input(connection)) {
			parse_input(connection);
			continue;
		}
		if (*reads_left == 0 || !receive_input(connection))
			break;
		(*reads_left)--;
	}
	send_continue(connection);
}

static void
start_exchange(msp_exchange_t *exchange)
{
	const msp_http_handler_t *handler =
	    &exchange->connection->server->handler;

	exchange->state = MSP_EXCHANGE_STARTED;
	exchange->started = msp_loop_now();
	handler->on_request(handler->ctx, exchange);
}

/*
 * The first request that was not started, if it may run now: beside others only
 * if all of them may overlap.
 */
static msp_exchange_t *
find_startable(msp_connection_t *connection)
{
	msp_exchange_t *exchange;

	TAILQ_FOREACH(exchange, &connection->pipeline, link) {
		if (exchange->state == MSP_EXCHANGE_HELD)
			break;
		if (!exchange->may_overlap)
			return NULL;
	}
	if (exchange == NULL)
		return NULL;
	exchange->may_overlap = may_overlap(exchange);
	if (exchange == TAILQ_FIRST(&connection->pipeline))
		return exchange;
	return exchange->may_overlap ? exchange : NULL;
}

bool
msp_start_requests(msp_connection_t *connection)
{
	const msp_http_server_t *server = connection->server;
	msp_exchange_t *exchange;
	bool started = false;

	for (;;) {
		exchange = find_startable(connection);
		/* A connection that ends answers what has been started. */
		if ((server->no_keep_alive || server->closing) &&
		    exchange != TAILQ_FIRST(&connection->pipeline)) {
			msp_drop_held_requests(connection);
			return started;
		}
		if (exchange == NULL)
			return started;
		start_exchange(exchange);
		started = true;
	}
}
