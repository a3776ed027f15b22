#include "counting_server.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include "net_fixture.h"

#define HEAD_MAX 4096 /* bytes of a request's head */
#define READ_MAX (64 * 1024) /* bytes of a read */
#define SLOW_READ_MAX 2048 /* bytes of a read of a slow origin */
#define SLOW_RECEIVE_BUFFER 4096 /* bytes */
#define BACKLOG 1024
#define LETTERS 26
#define ID_HEADER "X-Request-Id"

struct server_connection {
	LIST_ENTRY(server_connection) link;
	counting_server_t *server;
	int fd;
	bool slow;
	char head[HEAD_MAX];
	size_t head_len;
	size_t id; /* of the request, if there is one */
	counted_request_t *request; /* NULL between requests */
	size_t body_read;
	msp_time_t due; /* when to respond */
	bool answered; /* the response is in `output` */
	msp_buffer_t output;
	size_t output_sent;
	size_t output_ready; /* bytes that may be sent now */
	bool closes; /* once the output is sent, at close_at */
	bool resets;
	msp_time_t close_at;
};

static msp_time_t
get_now(void)
{
	msp_env_t env = msp_system_env();

	return msp_now(&env);
}

static int
listen_on_loopback(uint16_t *port, int backlog)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, TEST_ADDRESS, &sa.sin_addr);
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, len) != 0 ||
	    listen(fd, backlog) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sa, &len) != 0) {
		if (fd >= 0)
			close(fd);
		return -1;
	}
	*port = ntohs(sa.sin_port);
	return fd;
}

bool
open_counting_server(
    counting_server_t *server, size_t origin_count, size_t request_count)
{
	size_t i;

	*server = (counting_server_t){
	    .origins = calloc(origin_count, sizeof(server_origin_t)),
	    .requests = calloc(request_count, sizeof(counted_request_t)),
	    .request_count = request_count,
	};
	LIST_INIT(&server->connections);
	if (server->origins == NULL || server->requests == NULL)
		return false;
	for (i = 0; i < origin_count; i++) {
		server_origin_t *origin = &server->origins[i];

		origin->fd = listen_on_loopback(&origin->port, BACKLOG);
		if (origin->fd < 0)
			return false;
		server->origin_count++;
	}
	return true;
}

/*
 * Finds the id in a request line, as "POST /12 HTTP/1.1"; false if the line is
 * incomplete or is none.
 */
static bool
find_id(const counting_server_t *server, const char *head, size_t *id)
{
	const char *path = strchr(head, ' ');
	char *end;

	if (path == NULL || path[1] != '/')
		return false;
	*id = strtoul(path + 2, &end, 10);
	return end != path + 2 && strncmp(end, " HTTP/1.1\r\n", 11) == 0 &&
	    *id < server->request_count;
}

/* Finds the id of a request that was received and not read yet. */
static bool
peek_id(const server_connection_t *connection, size_t *id)
{
	char head[HEAD_MAX];
	ssize_t len;

	if (connection->request != NULL || connection->head_len > 0)
		return false;
	len = recv(
	    connection->fd, head, sizeof(head) - 1, MSG_PEEK | MSG_DONTWAIT);
	if (len <= 0)
		return false;
	head[len] = '\0';
	return find_id(connection->server, head, id);
}

static void
drop_connection(server_connection_t *connection)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	counted_request_t *request;
	size_t id;

	if (peek_id(connection, &id)) {
		request = &connection->server->requests[id];
		request->seen++;
		if (request->action == SERVER_DROP_UNREAD)
			request->acted = true;
	}
	if (connection->resets)
		setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &linger,
		    sizeof(linger));
	close(connection->fd);
	LIST_REMOVE(connection, link);
	msp_drop_buffer(&connection->output);
	free(connection);
}

void
close_counting_server(counting_server_t *server)
{
	server_connection_t *connection;
	size_t i;

	while ((connection = LIST_FIRST(&server->connections)) != NULL)
		drop_connection(connection);
	for (i = 0; i < server->origin_count; i++) {
		if (server->origins[i].fd >= 0)
			close(server->origins[i].fd);
	}
	free(server->origins);
	free(server->requests);
	*server = (counting_server_t){0};
}

void
slow_server_origin(server_origin_t *origin)
{
	int size = SLOW_RECEIVE_BUFFER;

	origin->slow = true;
	setsockopt(origin->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

void
pause_server_origin(server_origin_t *origin)
{
	origin->paused = true;
	listen(origin->fd, 0);
}

void
resume_server_origin(server_origin_t *origin)
{
	origin->paused = false;
	listen(origin->fd, BACKLOG);
}

void
append_request_body(msp_buffer_t *buffer, size_t id, size_t len)
{
	char letter;
	size_t i;

	for (i = 0; i < len; i++) {
		letter = (char)('a' + (id + i) % LETTERS);
		msp_append_data(buffer, &letter, 1);
	}
}

void
append_response_body(msp_buffer_t *buffer, size_t id, size_t len)
{
	char letter;
	size_t i;

	for (i = 0; i < len; i++) {
		letter = (char)('A' + (id + i) % LETTERS);
		msp_append_data(buffer, &letter, 1);
	}
}

static void
accept_connections(counting_server_t *server, const server_origin_t *origin)
{
	server_connection_t *connection;
	int fd;

	while (!origin->paused && origin->fd >= 0) {
		fd = accept(origin->fd, NULL, NULL);
		if (fd < 0)
			return;
		connection = calloc(1, sizeof(*connection));
		if (connection == NULL) {
			close(fd);
			return;
		}
		connection->server = server;
		connection->fd = fd;
		connection->slow = origin->slow;
		LIST_INSERT_HEAD(&server->connections, connection, link);
		server->accepted++;
	}
}

static void
note_strange_data(server_connection_t *connection, const char *data, size_t len)
{
	counting_server_t *server = connection->server;

	if (server->strange_count++ == 0)
		snprintf(server->strange, sizeof(server->strange), "%.*s",
		    (int)len, data);
	connection->resets = true;
	connection->closes = true;
}

static void
begin_request(server_connection_t *connection, size_t id)
{
	counted_request_t *request = &connection->server->requests[id];

	request->seen++;
	connection->id = id;
	connection->request = request;
	connection->body_read = 0;
	connection->answered = false;
	connection->due = get_now() + request->delay_ms * MSP_MS;
}

/* Whether the action comes before the body is read. */
static bool
is_early(const counted_request_t *request)
{
	return request->action == SERVER_ANSWER_EARLY ||
	    request->action == SERVER_ANSWER_EARLY_FIN ||
	    request->action == SERVER_DROP_HEAD_FIN ||
	    request->action == SERVER_DROP_HEAD_RST;
}

/* Checks bytes of the current request's body. */
static void
receive_body(server_connection_t *connection, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (data[i] !=
		    (char)('a' +
			(connection->id + connection->body_read + i) %
			    LETTERS)) {
			note_strange_data(connection, data + i, len - i);
			return;
		}
	}
	connection->body_read += len;
}

/* Returns the bytes that it used of `data`. */
static size_t
receive_head(server_connection_t *connection, const char *data, size_t len)
{
	size_t used = len;
	size_t id;
	char *end;

	if (used > HEAD_MAX - 1 - connection->head_len)
		used = HEAD_MAX - 1 - connection->head_len;
	memcpy(connection->head + connection->head_len, data, used);
	connection->head[connection->head_len + used] = '\0';
	end = strstr(connection->head, "\r\n\r\n");
	if (end == NULL) {
		connection->head_len += used;
		if (connection->head_len == HEAD_MAX - 1)
			note_strange_data(connection, connection->head, 40);
		return used;
	}
	used = (size_t)(end + 4 - connection->head) - connection->head_len;
	connection->head_len = 0;
	if (find_id(connection->server, connection->head, &id))
		begin_request(connection, id);
	else
		note_strange_data(connection, connection->head, 40);
	return used;
}

/* Whether nothing of the response is left to send. */
static bool
is_drained(const server_connection_t *connection)
{
	return connection->output_sent == connection->output.len;
}

static void
end_request(server_connection_t *connection)
{
	const counted_request_t *request = connection->request;

	if (request == NULL || !connection->answered ||
	    !is_drained(connection) ||
	    connection->body_read < request->body_len ||
	    request->action == SERVER_NO_ANSWER)
		return;
	connection->request = NULL;
	msp_clear_buffer(&connection->output);
	connection->output_sent = 0;
	connection->output_ready = 0;
}

static void
receive_data(server_connection_t *connection, const char *data, size_t len)
{
	size_t used;
	size_t left;

	while (len > 0 && !connection->closes) {
		end_request(connection);
		left = connection->request == NULL
		    ? 0
		    : connection->request->body_len - connection->body_read;
		if (connection->request == NULL) {
			used = receive_head(connection, data, len);
		} else if (left == 0) {
			note_strange_data(connection, data, len);
			return;
		} else {
			used = len < left ? len : left;
			receive_body(connection, data, used);
		}
		data += used;
		len -= used;
	}
}

/* Whether the request that is about to be read is to be left unread. */
static bool
leaves_unread(const server_connection_t *connection)
{
	size_t id;

	return peek_id(connection, &id) &&
	    connection->server->requests[id].action == SERVER_DROP_UNREAD;
}

static bool
stops_reading(const server_connection_t *connection)
{
	return connection->request != NULL && is_early(connection->request) &&
	    !connection->answered;
}

/* False if the connection has ended. */
static bool
read_connection(server_connection_t *connection)
{
	static char data[READ_MAX];
	size_t max = connection->slow ? SLOW_READ_MAX : READ_MAX;
	ssize_t len;

	if (leaves_unread(connection))
		return false;
	/* A head alone, so that a body may be left unread. */
	if (connection->request == NULL && max > HEAD_MAX)
		max = HEAD_MAX;
	if (connection->closes || stops_reading(connection))
		return true;
	len = recv(connection->fd, data, max, MSG_DONTWAIT);
	if (len < 0)
		return errno == EAGAIN;
	if (len == 0) {
		if (connection->head_len > 0)
			note_strange_data(
			    connection, connection->head, connection->head_len);
		return false;
	}
	receive_data(connection, data, (size_t)len);
	return true;
}

static void
append_chunks(msp_buffer_t *output, const msp_buffer_t *body)
{
	size_t half = body->len / 2;

	if (half > 0) {
		msp_append_printf(output, "%zx\r\n", half);
		msp_append_data(output, body->data, half);
		msp_append_printf(output, "\r\n");
	}
	msp_append_printf(output, "%zx\r\n", body->len - half);
	msp_append_data(output, body->data + half, body->len - half);
	msp_append_printf(output, "\r\n0\r\n\r\n");
}

static void
append_response(server_connection_t *connection)
{
	const counted_request_t *request = connection->request;
	msp_buffer_t *output = &connection->output;
	msp_buffer_t body = {0};
	int status = request->action == SERVER_ANSWER_204 ? 204
	    : request->action == SERVER_ANSWER_304	  ? 304
							  : 200;
	bool chunked = request->action == SERVER_ANSWER_CHUNKED ||
	    request->action == SERVER_ANSWER_CHUNKED_SPLIT;

	append_response_body(&body, connection->id, request->response_len);
	msp_append_printf(output, "HTTP/1.1 %d X\r\n" ID_HEADER ": %zu\r\n",
	    status, connection->id);
	if (request->action == SERVER_ANSWER_CLOSE)
		msp_append_printf(output, "Connection: close\r\n");
	if (chunked)
		msp_append_printf(output, "Transfer-Encoding: chunked\r\n");
	else if (request->action != SERVER_ANSWER_UNFRAMED && status == 200)
		msp_append_printf(output, "Content-Length: %zu\r\n", body.len);
	msp_append_printf(output, "\r\n");
	if (status == 200 && !request->head_only && chunked && body.len > 0)
		append_chunks(output, &body);
	else if (status == 200 && !request->head_only && chunked)
		msp_append_printf(output, "0\r\n\r\n");
	else if (status == 200 && !request->head_only && body.len > 0)
		msp_append_data(output, body.data, body.len);
	msp_drop_buffer(&body);
}

static void
plan_close(server_connection_t *connection, bool resets)
{
	connection->closes = true;
	connection->resets = resets;
	connection->close_at =
	    get_now() + connection->request->idle_ms * MSP_MS;
}

/* Fills `output` with the response, and plans what follows it. */
static void
answer_request(server_connection_t *connection)
{
	const counted_request_t *request = connection->request;

	append_response(connection);
	connection->output_ready = connection->output.len;
	switch (request->action) {
	case SERVER_ANSWER_SPLIT:
	case SERVER_ANSWER_CHUNKED_SPLIT:
		connection->output_ready =
		    request->split % connection->output.len;
		break;
	case SERVER_ANSWER_TWICE:
		append_response(connection);
		connection->output_ready = connection->output.len;
		break;
	case SERVER_DROP_HALF_RESPONSE:
		connection->output.len /= 2;
		connection->output_ready = connection->output.len;
		plan_close(connection, false);
		break;
	case SERVER_ANSWER_RST:
		plan_close(connection, true);
		break;
	case SERVER_ANSWER_FIN:
	case SERVER_ANSWER_CLOSE:
	case SERVER_ANSWER_UNFRAMED:
	case SERVER_ANSWER_EARLY_FIN:
		plan_close(connection, false);
		break;
	default:
		break;
	}
}

static bool
is_due(const server_connection_t *connection)
{
	const counted_request_t *request = connection->request;
	size_t wanted = request->body_len;

	if (is_early(request))
		wanted = 0;
	if (request->action == SERVER_DROP_HALF_BODY)
		wanted /= 2;
	return !connection->answered && connection->body_read >= wanted &&
	    get_now() >= connection->due;
}

/* False if the connection is to be closed at once. */
static bool
act(server_connection_t *connection)
{
	counted_request_t *request = connection->request;

	if (request == NULL || !is_due(connection))
		return true;
	connection->answered = true;
	request->acted = true;
	switch (request->action) {
	case SERVER_DROP_HEAD_RST:
	case SERVER_DROP_HALF_BODY:
		connection->resets = true;
		return false;
	case SERVER_DROP_HEAD_FIN:
		return false;
	case SERVER_NO_ANSWER:
		return true;
	default:
		answer_request(connection);
		return true;
	}
}

/* False if the connection has failed. */
static bool
write_output(server_connection_t *connection)
{
	msp_buffer_t *output = &connection->output;
	ssize_t len;

	if (connection->output_sent == connection->output_ready &&
	    connection->output_ready < output->len) {
		/* The second part goes out in a later step. */
		connection->output_ready = output->len;
		return true;
	}
	if (connection->output_sent == connection->output_ready)
		return true;
	len = send(connection->fd, output->data + connection->output_sent,
	    connection->output_ready - connection->output_sent,
	    MSG_DONTWAIT | MSG_NOSIGNAL);
	if (len < 0)
		return errno == EAGAIN;
	connection->output_sent += (size_t)len;
	return true;
}

/* False if the connection is to be closed. */
static bool
step_connection(server_connection_t *connection)
{
	if (!read_connection(connection) || !act(connection) ||
	    !write_output(connection))
		return false;
	end_request(connection);
	return !(connection->closes && is_drained(connection) &&
	    get_now() >= connection->close_at);
}

void
step_counting_server(counting_server_t *server)
{
	server_connection_t *connection;
	server_connection_t *next;
	size_t i;

	for (i = 0; i < server->origin_count; i++)
		accept_connections(server, &server->origins[i]);
	LIST_FOREACH_SAFE(connection, &server->connections, link, next) {
		if (!step_connection(connection))
			drop_connection(connection);
	}
}
