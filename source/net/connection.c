#include "connection.h"

#include <stdlib.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include "socket_monitor.h"
#include "problem.h"
#include "socket.h"

#define DISCARD_READS_MAX 64 /* of 16 KiB each */

static void handle_timeout(msp_deadline_t *deadline);

void
msp_set_connection_timeout(msp_connection_t *connection, uint32_t timeout_ms)
{
	msp_set_deadline(
	    &connection->deadline, msp_loop_now() + timeout_ms * MSP_MS);
}

void
msp_new_connection(
    msp_http_server_t *server, int fd, const struct sockaddr_in *peer)
{
	msp_connection_t *connection = calloc(1, sizeof(*connection));

	if (connection == NULL) {
		close(fd);
		return;
	}
	connection->server = server;
	connection->fd = fd;
	inet_ntop(AF_INET, &peer->sin_addr, connection->client_address,
	    sizeof(connection->client_address));
	connection->opened = msp_loop_now();
	msp_init_deadline(&connection->deadline, server->loop, handle_timeout);
	LIST_INSERT_HEAD(&server->connections, connection, link);
	server->connection_count++;
	msp_monitor_socket(msp_loop_socket_monitor(server->loop), fd,
	    MSP_MONITOR_CLOSE_OR_READABLE, connection);
	if (server->connection_count > server->limits.max_connections)
		msp_refuse_connection(connection, MSP_E_OVERLOAD);
	else
		msp_set_connection_timeout(
		    connection, server->limits.head_timeout_ms);
}

void
msp_drop_exchange(msp_connection_t *connection)
{
	msp_exchange_t *exchange = connection->exchange;

	if (exchange == NULL)
		return;
	connection->exchange = NULL;
	if (connection->state != MSP_CONNECTION_BODY)
		connection->server->open_exchanges--;
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

	if (connection->wsi != NULL)
		lws_set_opaque_user_data(connection->wsi, NULL);
	msp_unmonitor_socket(
	    msp_loop_socket_monitor(server->loop), connection->fd);
	msp_clear_deadline(&connection->deadline);
	LIST_REMOVE(connection, link);
	server->connection_count--;
	if (connection->state == MSP_CONNECTION_WAITING &&
	    server->handler.on_disconnect != NULL)
		server->handler.on_disconnect(
		    server->handler.ctx, connection->exchange);
	msp_drop_exchange(connection);
	free(connection);
}

/*
 * Reads and discards what the client has sent: closing a socket with unread
 * data would reset the connection.
 */
static void
discard_input(int fd)
{
	char data[16384];
	int i;

	for (i = 0; i < DISCARD_READS_MAX; i++) {
		if (recv(fd, data, sizeof(data), MSG_DONTWAIT) <= 0)
			return;
	}
}

void
msp_close_connection(msp_connection_t *connection)
{
	struct lws *wsi = connection->wsi;
	int fd = connection->fd;

	msp_drop_connection(connection);
	if (wsi != NULL) {
		lws_set_timeout(wsi, 1, LWS_TO_KILL_ASYNC);
		return;
	}
	discard_input(fd);
	close(fd);
}

void
msp_handle_socket_event(msp_connection_t *connection, bool closed)
{
	switch (connection->state) {
	case MSP_CONNECTION_ACCEPTED:
		msp_check_first_bytes(connection);
		break;
	case MSP_CONNECTION_WAITING:
		if (closed)
			msp_close_connection(connection);
		break;
	case MSP_CONNECTION_CLOSING:
		if (closed && connection->wsi == NULL)
			msp_close_connection(connection);
		break;
	default:
		/* While sending, the next write detects a closed peer. */
		lws_rx_flow_control(connection->wsi, 1);
		break;
	}
}

/* `request` is NULL if no head was read. */
static void
report_refusal(const msp_connection_t *connection, msp_status_t status,
    const msp_request_t *request)
{
	const msp_http_handler_t *handler = &connection->server->handler;
	msp_http_refusal_t refusal = {
	    .status = status,
	    .client_address = connection->client_address,
	    .request = request,
	};

	if (handler->on_refusal != NULL)
		handler->on_refusal(handler->ctx, &refusal);
}

void
msp_refuse_connection(msp_connection_t *connection, msp_status_t status)
{
	char text[MSP_PROBLEM_RESPONSE_MAX];
	size_t len = msp_print_problem(status, text);
	int fd = connection->fd;

	report_refusal(connection, status, NULL);
	if (send(fd, text, len, MSG_DONTWAIT | MSG_NOSIGNAL) > 0)
		shutdown(fd, SHUT_WR);
	connection->state = MSP_CONNECTION_CLOSING;
	msp_set_connection_timeout(connection, MSP_LINGER_MS);
}

/*
 * Closes a connection on which no request has begun; refuses one whose head is
 * incomplete.
 */
static void
handle_head_timeout(msp_connection_t *connection)
{
	uint64_t received;
	uint64_t sent;

	msp_get_tcp_byte_counts(connection->fd, &received, &sent);
	if (received != connection->received_before)
		msp_refuse_connection(connection, MSP_E_REQUEST_TIMEOUT);
	else
		msp_close_connection(connection);
}

static void
handle_timeout(msp_deadline_t *deadline)
{
	msp_connection_t *connection =
	    lws_container_of(deadline, msp_connection_t, deadline);

	switch (connection->state) {
	case MSP_CONNECTION_ACCEPTED:
	case MSP_CONNECTION_IDLE:
		handle_head_timeout(connection);
		break;
	case MSP_CONNECTION_BODY:
		msp_refuse_request(connection, MSP_E_REQUEST_TIMEOUT);
		break;
	default:
		msp_close_connection(connection);
		break;
	}
}

void
msp_refuse_request(msp_connection_t *connection, msp_status_t status)
{
	report_refusal(connection, status, &connection->exchange->request);
	if (connection->state == MSP_CONNECTION_BODY)
		connection->server->open_exchanges++;
	connection->close_after_response = true;
	msp_fill_problem(&connection->exchange->response, status);
	connection->state = MSP_CONNECTION_WAITING;
	msp_begin_response(connection->exchange);
}

int
msp_handle_http_event(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len)
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
		return msp_send_response(connection);
	case LWS_CALLBACK_CLOSED_HTTP:
	case LWS_CALLBACK_WSI_DESTROY:
		msp_drop_connection(connection);
		return 0;
	default:
		return 0;
	}
}
