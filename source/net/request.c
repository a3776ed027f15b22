#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "connection.h"
#include "socket_monitor.h"
#include "fields.h"
#include "request_line.h"
#include "socket.h"

/* The end of a stream counts as one byte read. */
#define END_OF_STREAM_BYTES 1

/*
 * Passes a complete request to the handler. Returns -1, which closes the
 * connection, if the client has already closed it.
 */
static int
deliver_request(msp_connection_t *connection)
{
	msp_http_server_t *server = connection->server;

	if (msp_is_socket_at_eof(connection->fd))
		return -1;
	server->open_exchanges++;
	connection->state = MSP_CONNECTION_WAITING;
	/* Reports a close again that came before the end of the request. */
	msp_monitor_socket(msp_loop_socket_monitor(connection->server->loop),
	    connection->fd, MSP_MONITOR_CLOSE, connection);
	connection->exchange->arrival = msp_loop_now();
	msp_set_deadline(&connection->deadline, MSP_NEVER);
	lws_set_timeout(connection->wsi, NO_PENDING_TIMEOUT, 0);
	server->handler.on_request(server->handler.ctx, connection->exchange);
	if (connection->state == MSP_CONNECTION_WAITING)
		lws_callback_on_writable(connection->wsi);
	return 0;
}

static msp_status_t
read_transfer_encoding(struct lws *wsi, bool *chunked)
{
	char text[32];

	*chunked = false;
	if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) <= 0)
		return MSP_OK;
	if (lws_hdr_copy(wsi, text, sizeof(text),
		WSI_TOKEN_HTTP_TRANSFER_ENCODING) < 0 ||
	    strcasecmp(text, "chunked") != 0)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "unsupported Transfer-Encoding");
	*chunked = true;
	return MSP_OK;
}

static void
send_continue(struct lws *wsi)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	unsigned char buffer[LWS_PRE + sizeof(text)];
	char expect[32];

	if (lws_hdr_copy(wsi, expect, sizeof(expect), WSI_TOKEN_HTTP_EXPECT) <
		0 ||
	    strcasecmp(expect, "100-continue") != 0)
		return;
	memcpy(buffer + LWS_PRE, text, sizeof(text) - 1);
	lws_write(
	    wsi, buffer + LWS_PRE, sizeof(text) - 1, LWS_WRITE_HTTP_HEADERS);
}

/* Whether libwebsockets will read a body, of the given or of any length. */
static bool
expects_body(struct lws *wsi)
{
	long long length;

	if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0 ||
	    !msp_parse_content_length(wsi, &length))
		return true;
	if (length >= 0)
		return length > 0;
	return lws_hdr_total_length(wsi, WSI_TOKEN_GET_URI) <= 0 &&
	    lws_hdr_total_length(wsi, WSI_TOKEN_HEAD_URI) <= 0;
}

/* Copies the head and checks it against the limits. */
static msp_status_t
read_head(msp_connection_t *connection, long long *length)
{
	struct lws *wsi = connection->wsi;
	msp_request_t *request = &connection->exchange->request;
	const msp_http_limits_t *limits = &connection->server->limits;
	msp_status_t status = msp_copy_request_line(wsi, request);
	size_t bytes;
	size_t i;

	if (status == MSP_OK)
		status = msp_copy_fields(wsi, &request->headers);
	if (status == MSP_OK && !msp_parse_content_length(wsi, length))
		status = msp_fail(MSP_E_BAD_REQUEST, "invalid Content-Length");
	if (status == MSP_OK)
		status = read_transfer_encoding(wsi, &connection->chunked);
	if (status != MSP_OK)
		return status;
	bytes = strlen(request->path);
	for (i = 0; i < request->headers.count; i++)
		bytes += strlen(request->headers.fields[i].name) +
		    strlen(request->headers.fields[i].value) + 4;
	if (bytes > limits->max_headers)
		return msp_fail(
		    MSP_E_HEADERS_TOO_LARGE, "path and headers are too long");
	if (connection->chunked && *length >= 0)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "request has both Content-Length and Transfer-Encoding");
	if (*length > (long long)limits->max_body)
		return msp_fail(MSP_E_TOO_LARGE, "body is too large");
	request->body.limit = limits->max_body;
	return MSP_OK;
}

/*
 * Whether the head was received before the end of the previous response.
 * libwebsockets then still holds the bytes that follow the previous request,
 * and would read the body from the beginning of the head.
 */
static bool
was_head_received_early(const msp_connection_t *connection)
{
	/* 0: the first request, or the system does not count the bytes. */
	if (connection->read_before == 0)
		return false;
	return msp_count_socket_bytes_read(connection->fd) -
	    connection->read_before <=
	    END_OF_STREAM_BYTES;
}

int
msp_receive_head(msp_connection_t *connection)
{
	long long length = -1;
	msp_status_t status;

	if (connection->state != MSP_CONNECTION_IDLE)
		return -1;
	if (expects_body(connection->wsi) &&
	    was_head_received_early(connection))
		return -1;
	connection->exchange = calloc(1, sizeof(*connection->exchange));
	if (connection->exchange == NULL)
		return -1;
	connection->exchange->connection = connection;
	connection->state = MSP_CONNECTION_BODY;
	connection->close_after_response = connection->server->closing;
	connection->chunk_decoder = (msp_chunk_decoder_t){0};
	lws_set_timeout(connection->wsi, NO_PENDING_TIMEOUT, 0);
	status = read_head(connection, &length);
	if (status != MSP_OK) {
		msp_refuse_request(connection, status);
		return 0;
	}
	if (!connection->chunked && length <= 0) {
		/* Without a length libwebsockets would wait for a body. */
		if (length < 0 &&
		    strcmp(connection->exchange->request.method, "GET") != 0 &&
		    strcmp(connection->exchange->request.method, "HEAD") != 0)
			connection->close_after_response = true;
		return deliver_request(connection);
	}
	if (connection->chunked)
		connection->close_after_response = true;
	send_continue(connection->wsi);
	msp_set_connection_timeout(
	    connection, connection->server->limits.body_timeout_ms);
	return 0;
}

int
msp_receive_body(msp_connection_t *connection, const char *data, size_t len)
{
	msp_buffer_t *body;
	msp_status_t status;
	bool done = false;

	if (connection->state != MSP_CONNECTION_BODY)
		return 0;
	body = &connection->exchange->request.body;
	if (connection->chunked)
		status = msp_decode_chunks(
		    &connection->chunk_decoder, data, len, body, &done);
	else
		status = msp_append_data(body, data, len);
	if (status != MSP_OK) {
		msp_refuse_request(connection, status);
		return 0;
	}
	return done ? deliver_request(connection) : 0;
}

int
msp_end_body(msp_connection_t *connection)
{
	if (connection->state != MSP_CONNECTION_BODY)
		return 0;
	return deliver_request(connection);
}
