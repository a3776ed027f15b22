#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <arpa/inet.h>
#include <bsd/sys/queue.h>
#include <cmocka.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet_group.h"

/*
 * A target of a service sends a late response to an earlier request on a kept
 * connection: 503 with Retry-After, which says that a request has not run.
 */

#define STEP (MSP_MS / 2) /* between two looks at the sockets */
#define WORK (60 * MSP_MS) /* time that a commit takes */
#define READ_WORK (20 * MSP_MS)
#define TRIES 8 /* until the dispatcher was replaced unnoticed */
#define READS 4 /* at a time, to open several connections */
#define READ_SIZE 16384
#define RESPONSE_SIZE 256

#define SHED "503 Busy\r\nRetry-After: 0"
/* Responses of a VM to which a request was forwarded. */
#define VM_ANSWER "200 OK\r\nmsp-vm: v\r\nmsp-target: t"
#define VM_SHED                                              \
	"503 Busy\r\nmsp-vm: v\r\nmsp-refusal: overload\r\n" \
	"msp-run: no\r\nmsp-started: 0\r\nmsp-retry-after-ms: 0"

typedef struct connection {
	TAILQ_ENTRY(connection) link;
	int fd;
	msp_buffer_t input;
	unsigned int answered; /* requests */
	bool closed; /* by the VM */
	bool running;
	const char *result; /* body of its response */
	msp_time_t due; /* of its response */
} connection_t;

typedef struct raw_server {
	msp_env_t env;
	int listener;
	TAILQ_HEAD(, connection) connections;
	unsigned int runs; /* of commits */
	bool armed; /* the late response is still to be sent */
	unsigned int late_count; /* late responses that were sent */
	bool sheds; /* the next commit */
	bool is_vm; /* else a target */
	const char *head; /* of responses to commits; NULL: as usual */
} raw_server_t;

static const fleet_place_t places[] = {{"a", "north", 1, 1}, {0}};

static int
start_fleet(void **state)
{
	fleet_options_t options = {
	    .places = places, .service = "desk", .slots = 4};

	return start_fleet_group(state, &options);
}

static void
answer(connection_t *connection, const char *head, const char *body)
{
	char text[RESPONSE_SIZE];
	int len = snprintf(text, sizeof(text),
	    "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s", head, strlen(body),
	    body);

	send(connection->fd, text, (size_t)len, MSG_DONTWAIT | MSG_NOSIGNAL);
	connection->answered++;
}

/* Sends the late response on each connection that was used before. */
static void
send_late_response(raw_server_t *server)
{
	connection_t *connection;

	TAILQ_FOREACH(connection, &server->connections, link) {
		if (!server->armed || connection->answered == 0 ||
		    connection->closed)
			continue;
		answer(connection, server->is_vm ? VM_SHED : SHED, "");
		server->late_count++;
	}
	server->armed = false;
}

static void
run(raw_server_t *server, connection_t *connection, const char *result,
    msp_time_t span)
{
	connection->running = true;
	connection->result = result;
	connection->due = msp_now(&server->env) + span;
}

static void
handle_request(raw_server_t *server, connection_t *connection, const char *head)
{
	if (strncmp(head, "GET /load", 9) == 0) {
		answer(connection, "200 OK",
		    "{\"slots\":4,\"in_use\":0,\"state\":\"ready\"}");
		/* Polls have connections of their own. */
		connection->answered = 0;
	} else if (strncmp(head, "POST", 4) != 0) {
		run(server, connection, "read", READ_WORK);
	} else if (server->sheds) {
		answer(connection, SHED, "");
		server->sheds = false;
	} else {
		server->runs++;
		run(server, connection, "ran", WORK);
		send_late_response(server);
	}
}

/* The length of the body of a request whose head ends at `end`. */
static size_t
get_body_length(const char *head, const char *end)
{
	static const char name[] = "content-length:";
	const char *line = head;

	while ((line = strstr(line, "\r\n")) != NULL && line < end) {
		line += 2;
		if (strncasecmp(line, name, strlen(name)) == 0)
			return strtoul(line + strlen(name), NULL, 10);
	}
	return 0;
}

static const char *
get_head(const raw_server_t *server)
{
	if (server->head != NULL)
		return server->head;
	return server->is_vm ? VM_ANSWER : "200 OK";
}

static void
step_connection(raw_server_t *server, connection_t *connection)
{
	msp_buffer_t *input = &connection->input;
	char data[READ_SIZE];
	const char *end;
	size_t size;
	ssize_t len = recv(connection->fd, data, sizeof(data), MSG_DONTWAIT);

	if (len > 0)
		msp_append_data(input, data, (size_t)len);
	connection->closed = connection->closed || len == 0;
	if (connection->running && msp_now(&server->env) >= connection->due) {
		connection->running = false;
		answer(connection, get_head(server), connection->result);
	}
	end = strstr(msp_buffer_text(input), "\r\n\r\n");
	if (connection->running || end == NULL)
		return;
	size = (size_t)(end - msp_buffer_text(input)) + 4;
	size += get_body_length(msp_buffer_text(input), end);
	if (input->len < size)
		return;
	handle_request(server, connection, msp_buffer_text(input));
	memmove(input->data, input->data + size, input->len - size + 1);
	input->len -= size;
}

static void
step_server(void *ctx)
{
	raw_server_t *server = ctx;
	connection_t *connection;
	int fd;

	while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
		connection = calloc(1, sizeof(*connection));
		assert_non_null(connection);
		connection->fd = fd;
		TAILQ_INSERT_TAIL(&server->connections, connection, link);
	}
	TAILQ_FOREACH(connection, &server->connections, link)
		step_connection(server, connection);
}

/* Takes the place of a process of the fleet at `port`. */
static void
open_server(raw_server_t *server, fleet_t *fleet, fleet_process_t *process,
    uint16_t port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
	int one = 1;

	signal_fleet_process(process, SIGKILL);
	wait_fleet_process_exit(fleet, process);
	*server = (raw_server_t){.env = msp_system_env()};
	TAILQ_INIT(&server->connections);
	server->listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(
	    server->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	assert_int_equal(
	    bind(server->listener, (struct sockaddr *)&to, sizeof(to)), 0);
	assert_int_equal(listen(server->listener, 64), 0);
}

static void
close_server(raw_server_t *server)
{
	connection_t *connection;

	while ((connection = TAILQ_FIRST(&server->connections)) != NULL) {
		TAILQ_REMOVE(&server->connections, connection, link);
		close(connection->fd);
		msp_drop_buffer(&connection->input);
		free(connection);
	}
	close(server->listener);
}

/* The port of the VM that gets all requests: the last one. */
static uint16_t
get_entry_port(const fleet_t *fleet)
{
	return fleet->vms[fleet->vm_count - 1].port;
}

static bool
can_read(void *ctx)
{
	fleet_t *fleet = ctx;
	fleet_reply_t reply;

	send_fleet_request(fleet, get_entry_port(fleet), "GET",
	    "/v1/services/desk/x", NULL, NULL, &reply);
	msp_drop_response(&reply.response);
	return reply.http_status == 200;
}

static void
count_read(void *ctx, msp_call_result_t *result)
{
	(void)result;
	(*(unsigned int *)ctx)++;
}

static bool
are_reads_done(void *ctx)
{
	return *(unsigned int *)ctx == READS;
}

/* Leaves several open connections to the target. */
static void
send_reads(fleet_t *fleet)
{
	unsigned int done = 0;
	int i;

	for (i = 0; i < READS; i++)
		assert_non_null(start_fleet_request(fleet,
		    get_entry_port(fleet), "GET", "/v1/services/desk/x", NULL,
		    NULL, FLEET_WAIT_TIMEOUT_MS, count_read, &done));
	assert_true(wait_fleet_until(fleet, are_reads_done, &done));
}

static int
send_commit(fleet_t *fleet, const char *key)
{
	char headers[64];
	fleet_reply_t reply;

	snprintf(headers, sizeof(headers), "Idempotency-Key: %s", key);
	send_fleet_request(fleet, get_entry_port(fleet), "POST",
	    "/v1/services/desk/orders", headers, "x", &reply);
	msp_drop_response(&reply.response);
	return reply.http_status;
}

/*
 * Guards against a shed that belongs to an earlier request on a connection:
 * a commit was called "not executed", and ran again when it was resent.
 */
static void
late_shed_is_not_taken_for_that_of_a_commit(void **state)
{
	fleet_t *fleet = *state;
	raw_server_t server;
	msp_timer_t *timer;
	unsigned int believed = 0;
	unsigned int twice = 0;
	unsigned int early = 0; /* answered before they ran */
	char key[16];
	int i;

	open_server(&server, fleet, &fleet->targets[0], fleet->targets[0].port);
	timer = msp_new_timer(fleet->loop, STEP, STEP, step_server, &server);
	assert_non_null(timer);
	for (i = 0; i < 10; i++) {
		assert_true(wait_fleet_until(fleet, can_read, fleet));
		send_reads(fleet);
		snprintf(key, sizeof(key), "late-%d", i);
		server.runs = 0;
		server.armed = true;
		believed += send_commit(fleet, key) == 200 ? 0 : 1;
		assert_true(wait_fleet_until(fleet, can_read, fleet));
		send_commit(fleet, key);
		twice += server.runs > 1 ? 1 : 0;
		early += server.runs == 0 ? 1 : 0;
	}
	assert_true(server.late_count >= 10);
	print_message("late shed believed for %u of 10 commits, %u ran twice, "
		      "%u answered before they ran\n",
	    believed, twice, early);
	/* A commit's own shed is believed, also after other requests. */
	assert_true(can_read(fleet));
	server.runs = 0;
	server.sheds = true;
	assert_int_equal(send_commit(fleet, "shed"), 503);
	assert_int_equal(server.runs, 0);
	assert_true(wait_fleet_until(fleet, can_read, fleet));
	assert_int_equal(send_commit(fleet, "shed"), 200);
	assert_int_equal(server.runs, 1);
	msp_drop_timer(timer);
	close_server(&server);
	assert_int_equal(believed, 0);
	assert_int_equal(twice, 0);
	assert_int_equal(early, 0);
}

static const fleet_place_t two_vms[] = {{"a", "north", 2, 1}, {0}};

static int
start_two_vms(void **state)
{
	fleet_options_t options = {
	    .places = two_vms, .service = "desk", .slots = 4};

	return start_fleet_group(state, &options);
}

/*
 * Takes the place of the dispatching VM and sends one commit, which meets a
 * late refusal if the other VM has not yet noticed. Returns the commit's
 * status.
 */
static int
replace_dispatcher(fleet_t *fleet, raw_server_t *server, const char *key)
{
	msp_timer_t *timer;
	int http_status;

	open_server(server, fleet, &fleet->vms[0], fleet->vms[0].peer_port);
	server->is_vm = true;
	timer = msp_new_timer(fleet->loop, STEP, STEP, step_server, server);
	assert_non_null(timer);
	send_reads(fleet);
	server->armed = true;
	http_status = send_commit(fleet, key);
	print_message("%u late refusals, %u runs, status %d\n",
	    server->late_count, server->runs, http_status);
	msp_drop_timer(timer);
	close_server(server);
	return http_status;
}

/*
 * Guards against "not executed" of another VM being believed for a request that
 * it is not about. A dispatcher's responses here bear no id, as those of older
 * versions.
 */
static void
late_refusal_of_a_vm_is_not_taken_for_that_of_a_commit(void **state)
{
	fleet_t *fleet = *state;
	raw_server_t server = {0};
	int http_status = 0;
	char key[16];
	int i;

	for (i = 0; i < TRIES && server.late_count == 0; i++) {
		if (i > 0)
			assert_int_equal(spawn_fleet_vm(fleet, 0), 0);
		assert_true(wait_fleet_convergence(fleet));
		assert_true(wait_fleet_until(fleet, can_read, fleet));
		snprintf(key, sizeof(key), "late-%d", i);
		http_status = replace_dispatcher(fleet, &server, key);
	}
	assert_true(server.late_count > 0);
	assert_int_equal(server.runs, 1);
	/* Whether it ran is not known. */
	assert_int_equal(http_status, 502);
}

/*
 * Guards against fields that VMs send each other being believed from a target:
 * its complete response was taken for a VM's "not executed".
 */
static void
fields_between_vms_are_not_believed_from_a_target(void **state)
{
	static const char *const heads[] = {
	    "200 OK\r\nmsp-refusal: overload\r\nmsp-run: no\r\n"
	    "msp-started: 0\r\nmsp-retry-after-ms: 0",
	    "200 OK\r\nmsp-id: other",
	    "200 OK\r\nmsp-vm: \r\nmsp-released: 0",
	};
	fleet_t *fleet = *state;
	raw_server_t server;
	msp_timer_t *timer;
	unsigned int wrong = 0;
	char key[16];
	int http_status;
	size_t i;

	assert_true(wait_fleet_until(fleet, can_read, fleet));
	assert_int_equal(find_fleet_dispatcher(fleet, 2), 0);
	open_server(&server, fleet, &fleet->targets[0], fleet->targets[0].port);
	timer = msp_new_timer(fleet->loop, STEP, STEP, step_server, &server);
	assert_non_null(timer);
	for (i = 0; i < sizeof(heads) / sizeof(*heads); i++) {
		server.head = NULL;
		assert_true(wait_fleet_until(fleet, can_read, fleet));
		server.runs = 0;
		server.head = heads[i];
		snprintf(key, sizeof(key), "fields-%zu", i);
		http_status = send_commit(fleet, key);
		print_message("case %zu: %u runs, status %d\n", i, server.runs,
		    http_status);
		wrong += server.runs == 1 && http_status == 200 ? 0 : 1;
	}
	msp_drop_timer(timer);
	close_server(&server);
	assert_int_equal(spawn_fleet_target(fleet, 0), 0);
	assert_int_equal(wrong, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(late_shed_is_not_taken_for_that_of_a_commit),
	};
	const struct CMUnitTest vm_tests[] = {
	    cmocka_unit_test(fields_between_vms_are_not_believed_from_a_target),
	    cmocka_unit_test(
		late_refusal_of_a_vm_is_not_taken_for_that_of_a_commit),
	};

	return cmocka_run_group_tests(tests, start_fleet, stop_fleet_group) +
	    cmocka_run_group_tests(vm_tests, start_two_vms, stop_fleet_group);
}
