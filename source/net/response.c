#include <stdlib.h>
#include <string.h>

#include "connection.h"
#include "fields.h"
#include "socket_monitor.h"
#include "socket.h"

#define FIRST_WRITE_MAX (16 * 1024) /* bytes of the body sent with the head */
#define WRITE_MAX (64 * 1024) /* bytes written per turn of the loop */
#define FIELD_OVERHEAD 8 /* bytes of a field besides its name and value */
/* Bytes of the status line and the fields that the server adds. */
#define HEAD_OVERHEAD 512

static bool
has_body(const msp_exchange_t *exchange)
{
	int status = exchange->response.status;

	return status != 204 && status != 304 && status >= 200 &&
	    strcmp(exchange->request.method, "HEAD") != 0;
}

static bool
write_head(msp_connection_t *connection, unsigned char **at, unsigned char *end)
{
	msp_exchange_t *exchange = connection->exchange;
	msp_response_t *response = &exchange->response;
	struct lws *wsi = connection->wsi;

	if (lws_add_http_header_status(wsi,
		(unsigned int)response->status | LWSAHH_FLAG_NO_SERVER_NAME, at,
		end) != 0 ||
	    !msp_write_fields(wsi, &response->headers, at, end))
		return false;
	if (response->status != 204 && response->status != 304 &&
	    lws_add_http_header_content_length(
		wsi, response->body.len, at, end) != 0)
		return false;
	if (connection->close_after_response &&
	    lws_add_http_header_by_name(wsi,
		(const unsigned char *)"connection:",
		(const unsigned char *)"close", 5, at, end) != 0)
		return false;
	return lws_finalize_http_header(wsi, at, end) == 0;
}

/* Puts the head and the first bytes of the body into one buffer. */
static bool
build_head(msp_connection_t *connection)
{
	msp_response_t *response = &connection->exchange->response;
	size_t size = HEAD_OVERHEAD;
	size_t body = 0;
	unsigned char *start;
	unsigned char *at;
	size_t i;

	for (i = 0; i < response->headers.count; i++)
		size += strlen(response->headers.fields[i].name) +
		    strlen(response->headers.fields[i].value) + FIELD_OVERHEAD;
	if (has_body(connection->exchange))
		body = response->body.len < FIRST_WRITE_MAX ? response->body.len
							    : FIRST_WRITE_MAX;
	connection->head = malloc(LWS_PRE + size + body);
	if (connection->head == NULL)
		return false;
	start = (unsigned char *)connection->head + LWS_PRE;
	at = start;
	if (!write_head(connection, &at, start + size))
		return false;
	if (body > 0)
		memcpy(at, response->body.data, body);
	connection->head_len = (size_t)(at - start) + body;
	connection->body_sent = body;
	return true;
}

void
msp_begin_response(msp_exchange_t *exchange)
{
	msp_connection_t *connection = exchange->connection;
	msp_http_server_t *server = connection->server;

	if (server->no_keep_alive || server->closing)
		connection->close_after_response = true;
	connection->state = MSP_CONNECTION_SENDING;
	connection->head_sent = false;
	lws_rx_flow_control(connection->wsi, 1);
	msp_set_connection_timeout(connection, server->limits.send_timeout_ms);
	lws_callback_on_writable(connection->wsi);
}

/* Closes the connection or makes it ready for the next request. */
static int
end_response(msp_connection_t *connection)
{
	msp_http_server_t *server = connection->server;
	uint64_t sent;

	msp_drop_exchange(connection);
	if (connection->close_after_response || server->closing) {
		connection->state = MSP_CONNECTION_CLOSING;
		msp_set_connection_timeout(connection, MSP_LINGER_MS);
		return -1;
	}
	connection->state = MSP_CONNECTION_IDLE;
	msp_get_tcp_byte_counts(
	    connection->fd, &connection->received_before, &sent);
	connection->read_before = msp_count_socket_bytes_read(connection->fd);
	msp_set_connection_timeout(connection, server->limits.idle_timeout_ms);
	return lws_http_transaction_completed(connection->wsi) != 0 ? -1 : 0;
}

/* Waits until the socket is writable; received data stays unread until then. */
static void
wait_writable(msp_connection_t *connection)
{
	lws_callback_on_writable(connection->wsi);
	if (!lws_send_pipe_choked(connection->wsi))
		return;
	lws_rx_flow_control(connection->wsi, 0);
	msp_monitor_socket(msp_loop_socket_monitor(connection->server->loop),
	    connection->fd, MSP_MONITOR_CLOSE_OR_WRITABLE, connection);
}

int
msp_send_response(msp_connection_t *connection)
{
	msp_http_server_t *server = connection->server;
	msp_buffer_t *body;
	size_t len;
	int written;

	if (connection->state == MSP_CONNECTION_WAITING) {
		/* Otherwise unread data would keep the loop busy. */
		lws_rx_flow_control(connection->wsi, 0);
		return 0;
	}
	if (connection->state != MSP_CONNECTION_SENDING)
		return connection->state == MSP_CONNECTION_CLOSING ? -1 : 0;
	if (lws_partial_buffered(connection->wsi)) {
		wait_writable(connection);
		return 0;
	}
	body = &connection->exchange->response.body;
	if (!connection->head_sent) {
		if (!build_head(connection))
			return -1;
		connection->head_sent = true;
		written = lws_write(connection->wsi,
		    (unsigned char *)connection->head + LWS_PRE,
		    connection->head_len, LWS_WRITE_HTTP_HEADERS);
	} else if (has_body(connection->exchange) &&
	    connection->body_sent < body->len) {
		len = body->len - connection->body_sent;
		len = len < WRITE_MAX ? len : WRITE_MAX;
		written = lws_write(connection->wsi,
		    (unsigned char *)body->data + connection->body_sent, len,
		    LWS_WRITE_HTTP);
		connection->body_sent += len;
	} else {
		return end_response(connection);
	}
	if (written < 0)
		return -1;
	msp_set_connection_timeout(connection, server->limits.send_timeout_ms);
	if (!lws_partial_buffered(connection->wsi) &&
	    (!has_body(connection->exchange) ||
		connection->body_sent == body->len))
		return end_response(connection);
	wait_writable(connection);
	return 0;
}
