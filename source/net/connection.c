#include "connection.h"

#include <stdlib.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include "socket_monitor.h"

#define LINGER_MS 2000 /* for the client to read the last response */
#define READS_MAX 8 /* per turn of the loop */
#define DISCARD_SIZE 16384 /* bytes read at once */
#define LINGER_BYTES_MAX (4 * 1024 * 1024) /* read and discarded */

static void handle_deadline(msp_deadline_t *deadline);

static msp_time_t
get_due_time(uint32_t timeout_ms)
{
	return msp_loop_now() + timeout_ms * MSP_MS;
}

static void
update_deadline(msp_connection_t *connection)
{
	msp_time_t due = connection->work_due;

	if (connection->read_due < due)
		due = connection->read_due;
	if (connection->send_due < due)
		due = connection->send_due;
	msp_set_deadline(&connection->deadline, due);
}

void
msp_new_connection(
    msp_http_server_t *server, int fd, const struct sockaddr_in *peer)
{
	msp_connection_t *connection = calloc(1, sizeof(*connection));

	if (connection != NULL)
		connection->parser =
		    msp_new_request_parser(server->limits.max_headers,
			server->limits.max_body, server->limits.body_budget);
	if (connection == NULL || connection->parser == NULL) {
		free(connection);
		close(fd);
		return;
	}
	connection->server = server;
	connection->fd = fd;
	connection->opened = msp_loop_now();
	TAILQ_INIT(&connection->pipeline);
	inet_ntop(AF_INET, &peer->sin_addr, connection->client_address,
	    sizeof(connection->client_address));
	connection->work_due = MSP_NEVER;
	connection->send_due = MSP_NEVER;
	connection->read_due = get_due_time(server->limits.head_timeout_ms);
	msp_init_deadline(&connection->deadline, server->loop, handle_deadline);
	LIST_INSERT_HEAD(&server->connections, connection, link);
	server->connection_count++;
	msp_monitor_socket(msp_loop_socket_monitor(server->loop), fd,
	    MSP_MONITOR_READ, connection);
	update_deadline(connection);
	if (server->connection_count > server->limits.max_connections) {
		msp_refuse_input(connection, MSP_E_OVERLOAD);
		msp_process_connection(connection);
	}
}

/*
 * Reads and discards what the client has sent: closing a socket with unread
 * data would reset the connection. Returns false at the end of the stream, and
 * if the client sends too much.
 */
static bool
discard_input(msp_connection_t *connection)
{
	char data[DISCARD_SIZE];
	ssize_t len;

	while (connection->discarded < LINGER_BYTES_MAX) {
		len = recv(connection->fd, data, sizeof(data), MSG_DONTWAIT);
		if (len <= 0)
			return len < 0;
		connection->discarded += (size_t)len;
	}
	return false;
}

void
msp_close_connection(msp_connection_t *connection)
{
	msp_http_server_t *server = connection->server;

	msp_unmonitor_socket(
	    msp_loop_socket_monitor(server->loop), connection->fd);
	msp_clear_deadline(&connection->deadline);
	LIST_REMOVE(connection, link);
	server->connection_count--;
	/* A handler that is called now must not process the connection. */
	connection->processing = true;
	while (!TAILQ_EMPTY(&connection->pipeline)) {
		msp_cancel_requests(connection);
		if (!TAILQ_EMPTY(&connection->pipeline))
			msp_drop_exchange(TAILQ_FIRST(&connection->pipeline));
	}
	discard_input(connection);
	msp_drop_request_parser(connection->parser);
	msp_drop_buffer(&connection->input);
	msp_drop_buffer(&connection->head);
	close(connection->fd);
	free(connection);
}

bool
msp_is_connection_ending(const msp_connection_t *connection)
{
	return connection->input_ended || connection->server->no_keep_alive ||
	    connection->server->closing;
}

/*
 * After the last response: lets the client read it before the close. Returns
 * false if the connection can be closed at once.
 */
static bool
begin_linger(msp_connection_t *connection)
{
	connection->lingering = true;
	connection->read_due = get_due_time(LINGER_MS);
	connection->send_due = MSP_NEVER;
	shutdown(connection->fd, SHUT_WR);
	return discard_input(connection);
}

/* Sets the time limit of the request that is awaited or being read. */
static void
update_read_due(msp_connection_t *connection, msp_parse_phase_t old_phase,
    uint64_t old_count, bool was_busy)
{
	const msp_http_limits_t *limits = &connection->server->limits;
	msp_parse_phase_t phase = msp_get_parse_phase(connection->parser);
	bool is_first = connection->request_count == 0;
	/* A part of a request whose time has not begun yet. */
	bool is_new = phase != old_phase ||
	    connection->request_count != old_count ||
	    connection->read_due == MSP_NEVER;

	if (connection->input_ended || !msp_has_pipeline_room(connection) ||
	    (phase == MSP_PARSE_NOTHING && !TAILQ_EMPTY(&connection->pipeline)))
		connection->read_due = MSP_NEVER;
	else if (phase == MSP_PARSE_BODY && is_new)
		connection->read_due = get_due_time(limits->body_timeout_ms);
	else if (phase == MSP_PARSE_HEAD && is_new && !is_first)
		connection->read_due = get_due_time(limits->head_timeout_ms);
	else if (phase == MSP_PARSE_NOTHING &&
	    (was_busy || connection->read_due == MSP_NEVER))
		connection->read_due = get_due_time(limits->idle_timeout_ms);
}

/* Whether nothing is left to be done for the client. */
static bool
is_finished(const msp_connection_t *connection)
{
	if (!TAILQ_EMPTY(&connection->pipeline))
		return false;
	if (connection->peer_closed || connection->input_ended)
		return true;
	return connection->server->closing &&
	    msp_get_parse_phase(connection->parser) != MSP_PARSE_BODY;
}

/* Reads, starts and answers requests until that brings nothing more. */
static void
run_pipeline(msp_connection_t *connection)
{
	int reads_left = READS_MAX;
	bool progress;

	connection->processing = true;
	do {
		if (connection->peer_closed)
			msp_cancel_requests(connection);
		msp_read_requests(connection, &reads_left);
		if (connection->peer_closed)
			msp_cancel_requests(connection);
		progress = msp_start_requests(connection);
		progress = msp_write_responses(connection) || progress;
	} while (progress && !connection->failed);
	connection->processing = false;
	if (reads_left == 0)
		connection->work_due = msp_loop_now();
}

void
msp_process_connection(msp_connection_t *connection)
{
	msp_parse_phase_t phase = msp_get_parse_phase(connection->parser);
	uint64_t count = connection->request_count;
	bool was_busy = !TAILQ_EMPTY(&connection->pipeline);

	if (connection->processing || connection->lingering)
		return;
	connection->work_due = MSP_NEVER;
	if (!connection->failed)
		run_pipeline(connection);
	if (connection->failed ||
	    (is_finished(connection) &&
		(connection->peer_closed || connection->request_count == 0))) {
		msp_close_connection(connection);
		return;
	}
	update_read_due(connection, phase, count,
	    was_busy || connection->request_count != count);
	if (is_finished(connection) && !begin_linger(connection)) {
		msp_close_connection(connection);
		return;
	}
	update_deadline(connection);
}

static void
process_connection_later(msp_connection_t *connection)
{
	connection->work_due = msp_loop_now();
	update_deadline(connection);
}

void
msp_continue_connection(msp_connection_t *connection)
{
	if (connection->processing)
		return;
	if (!connection->failed && !connection->readable &&
	    TAILQ_EMPTY(&connection->pipeline) && connection->input.len == 0 &&
	    !msp_is_connection_ending(connection) &&
	    msp_get_parse_phase(connection->parser) == MSP_PARSE_NOTHING) {
		connection->read_due =
		    get_due_time(connection->server->limits.idle_timeout_ms);
		update_deadline(connection);
		return;
	}
	process_connection_later(connection);
}

void
msp_handle_socket_event(msp_connection_t *connection, bool closed)
{
	connection->readable = true;
	if (closed)
		connection->peer_closed = true;
	if (!connection->lingering)
		msp_process_connection(connection);
	else if (closed || !discard_input(connection))
		msp_close_connection(connection);
}

/* Closes an idle connection; refuses a request that is incomplete. */
static void
handle_read_timeout(msp_connection_t *connection)
{
	connection->read_due = MSP_NEVER;
	if (connection->lingering ||
	    msp_get_parse_phase(connection->parser) == MSP_PARSE_NOTHING) {
		msp_close_connection(connection);
		return;
	}
	msp_refuse_input(connection, MSP_E_REQUEST_TIMEOUT);
	msp_process_connection(connection);
}

static void
handle_deadline(msp_deadline_t *deadline)
{
	msp_connection_t *connection =
	    lws_container_of(deadline, msp_connection_t, deadline);
	msp_time_t now = msp_loop_now();

	if (connection->send_due <= now)
		msp_close_connection(connection);
	else if (connection->work_due <= now)
		msp_process_connection(connection);
	else if (connection->read_due <= now)
		handle_read_timeout(connection);
	else
		update_deadline(connection);
}
