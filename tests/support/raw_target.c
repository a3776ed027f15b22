#include "raw_target.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include <cmocka.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "raw_socket.h"

#define STEP (MSP_MS / 2) /* between two looks at the sockets */
#define READ_SIZE 65536

static bool
find_field(const char *head, const char *name, char *value, size_t size)
{
	const char *line = head;

	while ((line = strstr(line, "\r\n")) != NULL) {
		line += 2;
		if (strncasecmp(line, name, strlen(name)) != 0)
			continue;
		line += strlen(name);
		line += strspn(line, " ");
		snprintf(value, size, "%.*s", (int)strcspn(line, "\r"), line);
		return true;
	}
	return false;
}

static void
write_connection(raw_target_connection_t *connection, const char *text)
{
	size_t len = strlen(text);

	if (send(connection->fd, text, len, MSG_DONTWAIT | MSG_NOSIGNAL) !=
	    (ssize_t)len)
		connection->closed = true;
}

static void
append_response(msp_buffer_t *out, const char *status_line, const char *id,
    const char *body_id, bool not_executed, bool is_signed)
{
	msp_append_printf(out, "HTTP/1.1 %s\r\n", status_line);
	if (id[0] != '\0')
		msp_append_printf(out, "Request-Id: %s\r\n", id);
	if (not_executed)
		msp_append_printf(out, "Not-Executed: 1\r\n");
	if (is_signed)
		msp_append_printf(out, "Response-Signature: s\r\n");
	msp_append_printf(
	    out, "Content-Length: %zu\r\n\r\n%s", strlen(body_id), body_id);
}

static void
append_extra(raw_target_connection_t *connection, msp_buffer_t *out)
{
	static const char *const foreign = "id-of-nobody";
	raw_targets_t *targets = connection->targets;
	const extra_response_t *extra = targets->extra;
	const char *ids[] = {
	    [EXTRA_ID_PREVIOUS] = connection->previous_id,
	    [EXTRA_ID_NONE] = "",
	    [EXTRA_ID_FOREIGN] = foreign,
	};

	append_response(out, extra->status_line, ids[extra->id],
	    extra->is_copy ? connection->previous_id : "", extra->not_executed,
	    extra->is_signed);
	targets->armed = false;
	targets->extra_count++;
	connection->had_extra = true;
}

static bool
is_extra_due(const raw_target_connection_t *connection, extra_time_t time)
{
	const raw_targets_t *targets = connection->targets;

	return targets->armed && targets->extra_time == time &&
	    connection->previous_id[0] != '\0';
}

static void
send_response(raw_target_connection_t *connection)
{
	bool anonymous =
	    connection->sheds && connection->targets->sheds_without_id;
	const char *shed_line =
	    connection->misdirected ? "421 Misdirected" : "503 Busy";
	msp_buffer_t out = {0};

	connection->busy = false;
	append_response(&out, connection->sheds ? shed_line : "200 OK",
	    anonymous ? "" : connection->id,
	    connection->sheds ? "" : connection->id, connection->sheds,
	    !connection->sheds);
	snprintf(connection->previous_id, sizeof(connection->previous_id), "%s",
	    connection->id);
	if (is_extra_due(connection, EXTRA_WITH_RESPONSE))
		append_extra(connection, &out);
	write_connection(connection, msp_buffer_text(&out));
	msp_drop_buffer(&out);
	/* The most recently used connection is the first. */
	TAILQ_REMOVE(&connection->targets->connections, connection, link);
	TAILQ_INSERT_HEAD(&connection->targets->connections, connection, link);
}

static void
count_execution(raw_targets_t *targets, const char *id)
{
	unsigned int *count =
	    msp_map_get_or_add(targets->executions, id, sizeof(*count));

	assert_non_null(count);
	(*count)++;
}

static bool
is_misdirected(const raw_targets_t *targets, const char *head)
{
	char instance[RAW_ID_SIZE];

	return targets->instance != NULL &&
	    find_field(head, "Target-Instance:", instance, sizeof(instance)) &&
	    strcmp(instance, targets->instance) != 0;
}

/* Whether the request that was just read is to meet the extra response. */
static bool
meets_extra(const raw_target_connection_t *connection, const char *head)
{
	const char *method = connection->targets->extra_method;

	if (is_extra_due(connection, EXTRA_AFTER_SAME_ID))
		return strcmp(connection->id, connection->previous_id) == 0;
	return is_extra_due(connection, EXTRA_AFTER_REQUEST) &&
	    strncmp(head, method, strlen(method)) == 0;
}

static void
begin_request(raw_target_connection_t *connection, const char *head)
{
	raw_targets_t *targets = connection->targets;
	msp_buffer_t extra = {0};

	connection->request_count++;
	targets->request_count++;
	connection->busy = true;
	connection->due = msp_now(&targets->env) + targets->work;
	connection->misdirected = is_misdirected(targets, head);
	connection->sheds = connection->misdirected ||
	    (targets->shed_one_in > 0 &&
		targets->request_count % targets->shed_one_in == 0);
	if (!find_field(
		head, "Request-Id:", connection->id, sizeof(connection->id)))
		connection->id[0] = '\0';
	if (!connection->sheds)
		count_execution(targets, connection->id);
	if (connection->had_extra)
		connection->reused = true;
	if (!meets_extra(connection, head))
		return;
	append_extra(connection, &extra);
	write_connection(connection, msp_buffer_text(&extra));
	msp_drop_buffer(&extra);
}

static void
parse_input(raw_target_connection_t *connection)
{
	msp_buffer_t *input = &connection->input;
	const char *text = msp_buffer_text(input);
	const char *end = strstr(text, "\r\n\r\n");
	char length[16];
	size_t size;

	if (connection->busy || end == NULL)
		return;
	size = (size_t)(end - text) + 4;
	if (find_field(text, "Content-Length:", length, sizeof(length)))
		size += strtoul(length, NULL, 10);
	if (input->len < size)
		return;
	begin_request(connection, text);
	memmove(input->data, input->data + size, input->len - size + 1);
	input->len -= size;
}

static void
read_connection(raw_target_connection_t *connection)
{
	char data[READ_SIZE];
	ssize_t len = recv(connection->fd, data, sizeof(data), MSG_DONTWAIT);

	if (len > 0)
		msp_append_data(&connection->input, data, (size_t)len);
	else if (len == 0 || errno != EAGAIN)
		connection->closed = true;
}

static void
accept_connections(raw_targets_t *targets, int listener)
{
	raw_target_connection_t *connection;
	int one = 1;
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		connection = calloc(1, sizeof(*connection));
		assert_non_null(connection);
		connection->targets = targets;
		connection->fd = fd;
		TAILQ_INSERT_TAIL(&targets->connections, connection, link);
	}
}

static void
step_targets(void *ctx)
{
	raw_targets_t *targets = ctx;
	raw_target_connection_t *connection;
	raw_target_connection_t *next;
	msp_time_t now = msp_now(&targets->env);
	unsigned int i;

	for (i = 0; i < RAW_TARGETS; i++)
		accept_connections(targets, targets->listeners[i]);
	TAILQ_FOREACH_SAFE(connection, &targets->connections, link, next) {
		if (connection->closed)
			continue;
		read_connection(connection);
		parse_input(connection);
		if (connection->busy && !targets->holds &&
		    now >= connection->due)
			send_response(connection);
	}
}

raw_targets_t *
new_raw_targets(msp_loop_t *loop)
{
	raw_targets_t *targets = calloc(1, sizeof(*targets));
	raw_socket_t raw;
	unsigned int i;

	assert_non_null(targets);
	targets->env = msp_system_env();
	targets->executions = msp_new_map();
	TAILQ_INIT(&targets->connections);
	for (i = 0; i < RAW_TARGETS; i++) {
		raw = raw_listen(loop, &targets->ports[i]);
		assert_false(raw.closed);
		targets->listeners[i] = raw.fd;
	}
	targets->timer = msp_new_timer(loop, STEP, STEP, step_targets, targets);
	assert_non_null(targets->timer);
	return targets;
}

void
close_target_connections(raw_targets_t *targets)
{
	raw_target_connection_t *connection;

	while ((connection = TAILQ_FIRST(&targets->connections)) != NULL) {
		TAILQ_REMOVE(&targets->connections, connection, link);
		close(connection->fd);
		msp_drop_buffer(&connection->input);
		free(connection);
	}
}

void
drop_raw_targets(raw_targets_t *targets)
{
	unsigned int i;

	msp_drop_timer(targets->timer);
	close_target_connections(targets);
	for (i = 0; i < RAW_TARGETS; i++)
		close(targets->listeners[i]);
	msp_drop_map_and_values(targets->executions);
	free(targets);
}

void
arm_extra_response(raw_targets_t *targets, extra_time_t time,
    const extra_response_t *extra, const char *method)
{
	targets->extra_method = method;
	targets->extra_time = time;
	targets->extra = extra;
	targets->armed = true;
}

void
send_extra_response(raw_targets_t *targets)
{
	raw_target_connection_t *connection =
	    TAILQ_FIRST(&targets->connections);
	msp_buffer_t extra = {0};

	assert_non_null(connection);
	append_extra(connection, &extra);
	write_connection(connection, msp_buffer_text(&extra));
	msp_drop_buffer(&extra);
}

const raw_target_connection_t *
find_extra_connection(const raw_targets_t *targets)
{
	const raw_target_connection_t *connection;

	TAILQ_FOREACH(connection, &targets->connections, link) {
		if (connection->had_extra)
			return connection;
	}
	return NULL;
}

unsigned int
count_executions(const raw_targets_t *targets, const char *id)
{
	const unsigned int *count = msp_map_get(targets->executions, id);

	return count == NULL ? 0 : *count;
}
