#include <errno.h>
#include <string.h>

#include <sys/socket.h>
#include <sys/uio.h>

#include "connection.h"
#include "fields.h"
#include "reason.h"
#include "socket_monitor.h"

static bool
has_body(const msp_exchange_t *exchange)
{
	int status = exchange->response.status;

	return status != 204 && status != 304 && status >= 200 &&
	    strcmp(exchange->request.method, "HEAD") != 0;
}

static size_t
get_body_len(const msp_exchange_t *exchange)
{
	return has_body(exchange) ? exchange->response.body.len : 0;
}

static msp_status_t
print_head(const msp_exchange_t *exchange, bool closes, msp_buffer_t *out)
{
	const msp_response_t *response = &exchange->response;
	msp_status_t status;
	size_t i;

	status = msp_append_printf(out, "HTTP/1.1 %d %s\r\n", response->status,
	    msp_get_reason_phrase(response->status));
	for (i = 0; i < response->headers.count && status == MSP_OK; i++) {
		const msp_header_t *field = &response->headers.fields[i];

		if (!msp_is_connection_field(field->name) &&
		    msp_is_valid_field(field->name, field->value))
			status = msp_append_printf(
			    out, "%s: %s\r\n", field->name, field->value);
	}
	if (status == MSP_OK && response->status != 204 &&
	    response->status != 304)
		status = msp_append_printf(
		    out, "content-length: %zu\r\n", response->body.len);
	if (status == MSP_OK && closes)
		status = msp_append_printf(out, "connection: close\r\n");
	if (status == MSP_OK)
		status = msp_append_data(out, "\r\n", 2);
	return status;
}

/* Of an ending connection, the last response that it will send closes it. */
static bool
is_last_response(const msp_exchange_t *exchange)
{
	return msp_is_connection_ending(exchange->connection) &&
	    TAILQ_NEXT(exchange, link) == NULL;
}

static void
begin_response(msp_exchange_t *exchange)
{
	msp_connection_t *connection = exchange->connection;
	const msp_http_server_t *server = connection->server;
	const msp_http_handler_t *handler = &server->handler;
	bool closes;

	if (server->no_keep_alive || server->closing)
		msp_drop_held_requests(connection);
	closes = is_last_response(exchange);
	if (closes)
		connection->input_ended = true;
	connection->sending = true;
	connection->head_sent = 0;
	connection->body_sent = 0;
	msp_clear_buffer(&connection->head);
	if (print_head(exchange, closes, &connection->head) != MSP_OK) {
		connection->failed = true;
		return;
	}
	connection->send_due =
	    msp_loop_now() + server->limits.send_timeout_ms * MSP_MS;
	if (handler->on_response != NULL)
		handler->on_response(handler->ctx, exchange);
}

/* Returns false if the socket takes no more bytes now, or on an error. */
static bool
write_part(msp_exchange_t *exchange)
{
	msp_connection_t *connection = exchange->connection;
	size_t head_left = connection->head.len - connection->head_sent;
	size_t body_left = get_body_len(exchange) - connection->body_sent;
	struct iovec parts[] = {
	    {
		.iov_base = connection->head.data + connection->head_sent,
		.iov_len = head_left,
	    },
	    {
		.iov_base = body_left == 0
		    ? NULL
		    : exchange->response.body.data + connection->body_sent,
		.iov_len = body_left,
	    },
	};
	struct msghdr message = {.msg_iov = parts, .msg_iovlen = 2};
	ssize_t sent =
	    sendmsg(connection->fd, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
	size_t head_part;

	if (sent < 0) {
		if (errno != EAGAIN)
			connection->failed = true;
		return false;
	}
	connection->send_due = msp_loop_now() +
	    connection->server->limits.send_timeout_ms * MSP_MS;
	head_part = (size_t)sent < head_left ? (size_t)sent : head_left;
	connection->head_sent += head_part;
	connection->body_sent += (size_t)sent - head_part;
	return true;
}

static bool
is_sent(const msp_exchange_t *exchange)
{
	const msp_connection_t *connection = exchange->connection;

	return connection->head_sent == connection->head.len &&
	    connection->body_sent == get_body_len(exchange);
}

static void
end_response(msp_exchange_t *exchange)
{
	msp_connection_t *connection = exchange->connection;

	connection->sending = false;
	connection->send_due = MSP_NEVER;
	msp_drop_buffer(&connection->head);
	msp_drop_exchange(exchange);
}

bool
msp_write_responses(msp_connection_t *connection)
{
	msp_exchange_t *exchange;
	bool completed = false;

	while ((exchange = TAILQ_FIRST(&connection->pipeline)) != NULL &&
	    exchange->state == MSP_EXCHANGE_ANSWERED && !connection->failed) {
		if (!connection->sending)
			begin_response(exchange);
		while (!connection->failed && !is_sent(exchange)) {
			if (write_part(exchange))
				continue;
			if (!connection->failed)
				msp_monitor_socket(
				    msp_loop_socket_monitor(
					connection->server->loop),
				    connection->fd, MSP_MONITOR_READ_WRITE,
				    connection);
			return completed;
		}
		if (connection->failed)
			return completed;
		end_response(exchange);
		completed = true;
	}
	return completed;
}
