#include "connection.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <sys/socket.h>

#include "fields.h"
#include "hangup.h"
#include "path.h"
#include "problem.h"
#include "socket.h"

#define LINGER (2 * MSP_SECOND) /* for a refused peer to read the answer */

static void on_deadline(msp_deadline_t *deadline);

static void
set_timeout(msp_connection_t *connection, uint32_t timeout_ms)
{
	msp_set_deadline(
	    &connection->deadline, msp_loop_now() + timeout_ms * MSP_MS);
}

msp_connection_t *
msp_new_connection(msp_http_server_t *server, struct lws *wsi)
{
	msp_connection_t *connection = calloc(1, sizeof(*connection));

	if (connection == NULL)
		return NULL;
	connection->server = server;
	connection->wsi = wsi;
	connection->opened = msp_loop_now();
	msp_init_deadline(&connection->deadline, server->loop, on_deadline);
	LIST_INSERT_HEAD(&server->connections, connection, link);
	server->connection_count++;
	lws_set_opaque_user_data(wsi, connection);
	lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
	msp_watch_hangup(
	    msp_loop_hangups(server->loop), lws_get_socket_fd(wsi), connection);
	if (server->connection_count > server->limits.max_connections)
		msp_refuse_connection(connection, MSP_E_OVERLOAD);
	else
		set_timeout(connection, server->limits.head_timeout_ms);
	return connection;
}

/* Ends the present exchange, whether answered or not. */
static void
drop_exchange(msp_connection_t *connection)
{
	msp_exchange_t *exchange = connection->exchange;

	if (exchange == NULL)
		return;
	connection->exchange = NULL;
	if (connection->state != MSP_CONNECTION_BODY)
		connection->server->busy--;
	msp_drop_request(&exchange->request);
	msp_drop_response(&exchange->response);
	free(exchange);
	free(connection->head);
	connection->head = NULL;
}

void
msp_drop_connection(msp_connection_t *connection)
{
	msp_http_server_t *server = connection->server;

	lws_set_opaque_user_data(connection->wsi, NULL);
	msp_forget_hangup(
	    msp_loop_hangups(server->loop), lws_get_socket_fd(connection->wsi));
	msp_clear_deadline(&connection->deadline);
	LIST_REMOVE(connection, link);
	server->connection_count--;
	if (connection->state == MSP_CONNECTION_WAITING &&
	    server->handler.on_gone != NULL)
		server->handler.on_gone(
		    server->handler.ctx, connection->exchange);
	drop_exchange(connection);
	free(connection);
}

void
msp_end_connection(msp_connection_t *connection)
{
	struct lws *wsi = connection->wsi;

	/* While sending, the next write tells whether the peer is gone. */
	if (connection->state != MSP_CONNECTION_WAITING) {
		lws_rx_flow_control(wsi, 1);
		return;
	}
	msp_drop_connection(connection);
	lws_set_timeout(wsi, 1, LWS_TO_KILL_ASYNC);
}

void
msp_resume_connection(msp_connection_t *connection)
{
	lws_rx_flow_control(connection->wsi, 1);
}

void
msp_refuse_connection(msp_connection_t *connection, msp_status_t status)
{
	char text[MSP_PROBLEM_TEXT_MAX];
	size_t len = msp_print_problem(status, text);
	int fd = lws_get_socket_fd(connection->wsi);

	if (send(fd, text, len, MSG_DONTWAIT | MSG_NOSIGNAL) > 0)
		shutdown(fd, SHUT_WR);
	connection->state = MSP_CONNECTION_CLOSING;
	msp_set_deadline(&connection->deadline, msp_loop_now() + LINGER);
}

/* Between requests: tells an idle connection from a slow head. */
static void
check_idle(msp_connection_t *connection)
{
	uint64_t received;
	uint64_t sent;

	msp_tcp_progress(lws_get_socket_fd(connection->wsi), &received, &sent);
	if (received == connection->received || connection->received == 0) {
		if (received != connection->received)
			msp_refuse_connection(
			    connection, MSP_E_REQUEST_TIMEOUT);
		else
			lws_set_timeout(connection->wsi, 1, LWS_TO_KILL_ASYNC);
		return;
	}
	msp_refuse_connection(connection, MSP_E_REQUEST_TIMEOUT);
}

static void
on_deadline(msp_deadline_t *deadline)
{
	msp_connection_t *connection =
	    lws_container_of(deadline, msp_connection_t, deadline);

	switch (connection->state) {
	case MSP_CONNECTION_IDLE:
		check_idle(connection);
		break;
	case MSP_CONNECTION_BODY:
		msp_refuse_request(connection, MSP_E_REQUEST_TIMEOUT);
		break;
	default:
		lws_set_timeout(connection->wsi, 1, LWS_TO_KILL_ASYNC);
		break;
	}
}

void
msp_refuse_request(msp_connection_t *connection, msp_status_t status)
{
	if (connection->state == MSP_CONNECTION_BODY)
		connection->server->busy++;
	connection->close_after = true;
	msp_fill_problem(&connection->exchange->response, status);
	connection->state = MSP_CONNECTION_WAITING;
	msp_begin_answer(connection->exchange);
}

static int
deliver(msp_connection_t *connection)
{
	msp_http_server_t *server = connection->server;

	server->busy++;
	connection->state = MSP_CONNECTION_WAITING;
	connection->exchange->arrival = msp_loop_now();
	msp_set_deadline(&connection->deadline, MSP_NEVER);
	lws_set_timeout(connection->wsi, NO_PENDING_TIMEOUT, 0);
	server->handler.on_request(server->handler.ctx, connection->exchange);
	if (connection->state == MSP_CONNECTION_WAITING)
		lws_callback_on_writable(connection->wsi);
	return 0;
}

/* Reads the content length; -1 if there is none. */
static msp_status_t
read_length(struct lws *wsi, long long *length)
{
	char text[32];
	size_t digits;

	*length = -1;
	if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0)
		return MSP_OK;
	if (lws_hdr_copy(
		wsi, text, sizeof(text), WSI_TOKEN_HTTP_CONTENT_LENGTH) < 0)
		return msp_fail(MSP_E_BAD_REQUEST, "bad content length");
	digits = strspn(text, "0123456789");
	if (digits == 0 || digits > 15 || text[digits] != '\0')
		return msp_fail(MSP_E_BAD_REQUEST, "bad content length");
	*length = strtoll(text, NULL, 10);
	return MSP_OK;
}

static msp_status_t
read_coding(struct lws *wsi, bool *chunked)
{
	char text[32];

	*chunked = false;
	if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) <= 0)
		return MSP_OK;
	if (lws_hdr_copy(wsi, text, sizeof(text),
		WSI_TOKEN_HTTP_TRANSFER_ENCODING) < 0 ||
	    strcasecmp(text, "chunked") != 0)
		return msp_fail(MSP_E_BAD_REQUEST, "unknown transfer coding");
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
	if (status == MSP_OK)
		status = read_length(wsi, length);
	if (status == MSP_OK)
		status = read_coding(wsi, &connection->chunked);
	if (status != MSP_OK)
		return status;
	bytes = strlen(request->path);
	for (i = 0; i < request->headers.count; i++)
		bytes += strlen(request->headers.fields[i].name) +
		    strlen(request->headers.fields[i].value) + 4;
	if (bytes > limits->max_headers)
		return msp_fail(
		    MSP_E_HEADERS_TOO_LARGE, "the head is too long");
	if (connection->chunked && *length >= 0)
		return msp_fail(MSP_E_BAD_REQUEST, "two body lengths");
	if (*length > (long long)limits->max_body)
		return msp_fail(MSP_E_TOO_LARGE, "the body is too long");
	request->body.limit = limits->max_body;
	return MSP_OK;
}

int
msp_receive_head(msp_connection_t *connection)
{
	long long length = -1;
	msp_status_t status;

	if (connection->state != MSP_CONNECTION_IDLE)
		return -1;
	connection->exchange = calloc(1, sizeof(*connection->exchange));
	if (connection->exchange == NULL)
		return -1;
	connection->exchange->connection = connection;
	lws_get_peer_simple(connection->wsi, connection->exchange->peer,
	    sizeof(connection->exchange->peer));
	connection->state = MSP_CONNECTION_BODY;
	connection->close_after = connection->server->closing;
	connection->chunks = (msp_chunks_t){0};
	lws_set_timeout(connection->wsi, NO_PENDING_TIMEOUT, 0);
	status = read_head(connection, &length);
	if (status != MSP_OK) {
		msp_refuse_request(connection, status);
		return 0;
	}
	if (!connection->chunked && length <= 0) {
		/* Without a length the library would wait for a body. */
		if (length < 0 &&
		    strcmp(connection->exchange->request.method, "GET") != 0 &&
		    strcmp(connection->exchange->request.method, "HEAD") != 0)
			connection->close_after = true;
		return deliver(connection);
	}
	if (connection->chunked)
		connection->close_after = true;
	send_continue(connection->wsi);
	set_timeout(connection, connection->server->limits.body_timeout_ms);
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
		status = msp_feed_chunks(
		    &connection->chunks, data, len, body, &done);
	else
		status = msp_append_buffer(body, data, len);
	if (status != MSP_OK) {
		msp_refuse_request(connection, status);
		return 0;
	}
	return done ? deliver(connection) : 0;
}

int
msp_end_body(msp_connection_t *connection)
{
	if (connection->state != MSP_CONNECTION_BODY)
		return 0;
	return deliver(connection);
}

int
msp_on_http_event(struct lws *wsi, enum lws_callback_reasons reason, void *user,
    void *in, size_t len)
{
	msp_connection_t *connection = NULL;

	(void)user;
	if (wsi != NULL)
		connection = lws_get_opaque_user_data(wsi);
	if (connection == NULL)
		return reason == LWS_CALLBACK_HTTP ? -1 : 0;
	switch (reason) {
	case LWS_CALLBACK_HTTP:
		return msp_receive_head(connection);
	case LWS_CALLBACK_HTTP_BODY:
		return msp_receive_body(connection, in, len);
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
		return msp_end_body(connection);
	case LWS_CALLBACK_HTTP_WRITEABLE:
		return msp_send_answer(connection);
	case LWS_CALLBACK_CLOSED_HTTP:
	case LWS_CALLBACK_WSI_DESTROY:
		msp_drop_connection(connection);
		return 0;
	default:
		return 0;
	}
}
