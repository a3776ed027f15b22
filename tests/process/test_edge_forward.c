#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "edge_fixture.h"
#include "monsoonspindle/base/hash.h"
#include "raw_socket.h"

/*
 * VMs that have lost all their targets. The first VM of a pair loses them when
 * their listeners close; the other one has targets of its own.
 */

#define REQUESTS 8
#define HOPS_MAX 16
#define LARGE_BODY (300 * 1024) /* bytes */
#define CHUNK (8 * 1024) /* bytes */
#define EMPTY_SPAN (50 * MSP_MS)
#define LOG_DELAY_MAX (2 * MSP_SECOND)

typedef struct pair_fixture {
	edge_fixture_t *pair[2]; /* the first is the one that loses targets */
	uint64_t body_hash; /* of the last request of a target */
	size_t body_len;
	unsigned int internal_fields; /* names with "msp-" that targets got */
	char path[256]; /* of the last request of a target */
} pair_fixture_t;

static int
set_up(void **state)
{
	pair_fixture_t *fixture = calloc(1, sizeof(*fixture));

	assert_non_null(fixture);
	new_edge_pair(fixture->pair);
	set_up_routes_and_targets(fixture->pair[0]);
	set_up_routes_and_targets(fixture->pair[1]);
	*state = fixture;
	return 0;
}

static int
tear_down(void **state)
{
	pair_fixture_t *fixture = *state;

	drop_edge_pair(fixture->pair);
	free(fixture);
	return 0;
}

/* Ends all connections to the targets and refuses new ones. */
static void
cut(edge_fixture_t *fixture)
{
	stop_targets(fixture);
}

/* What the caller must get from a target. */
static void
assert_served(const caller_response_t *response)
{
	assert_int_equal(response->status, MSP_OK);
	assert_int_equal(response->http_status, 200);
	assert_true(response->is_signed);
	assert_string_equal(response->body, "the whole answer");
}

/* Guards against 503 from a VM that has lost its targets (RECOVER). */
static void
cut_vm_serves_through_another(void **state)
{
	pair_fixture_t *fixture = *state;
	edge_fixture_t *first = fixture->pair[0];
	caller_response_t response;
	unsigned int i;

	cut(first);
	for (i = 0; i < REQUESTS; i++) {
		send_edge_request(first, i % 2 == 0 ? "GET" : "POST",
		    i % 2 == 0 ? "/read/1" : "/write/1", &response);
		assert_served(&response);
		assert_int_equal(
		    count_target_requests(fixture->pair[1]), i + 1);
	}
	assert_int_equal(read_edge_counter(first,
			     "msp_forwarded_total{outcome=\"answered\"}"),
	    REQUESTS);
	assert_int_equal(read_edge_counter(fixture->pair[1],
			     "msp_forwards_served_total{outcome=\"answered\"}"),
	    REQUESTS);
	assert_int_equal(count_target_requests(first), 0);
}

/* Guards against requests that go round between VMs that are all cut. */
static void
request_makes_one_hop_if_all_vms_are_cut(void **state)
{
	static const char refused[] =
	    "msp_forwarded_total{outcome=\"no-target\"}";
	pair_fixture_t *fixture = *state;
	edge_fixture_t *first = fixture->pair[0];
	caller_response_t response;

	cut(first);
	cut(fixture->pair[1]);
	send_edge_request(first, "POST", "/write/1", &response);
	assert_int_equal(response.http_status, 503);
	assert_true(response.retry_after[0] != '\0');
	assert_int_equal(read_edge_counter(first, refused), 1);
	assert_int_equal(read_edge_counter(fixture->pair[1], refused), 0);
	/* The other VM is passed over now. */
	send_edge_request(first, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 503);
	assert_int_equal(read_edge_counter(first, refused), 1);
	assert_int_equal(count_target_requests(first) +
		count_target_requests(fixture->pair[1]),
	    0);
}

/* Guards against a VM that forwards on although its targets are back. */
static void
targets_that_are_back_get_requests_again(void **state)
{
	static const char probes[] = "msp_probes_total";
	pair_fixture_t *fixture = *state;
	edge_fixture_t *first = fixture->pair[0];
	caller_response_t response;
	msp_time_t end;

	cut(first);
	send_edge_request(first, "GET", "/read/1", &response);
	assert_served(&response);
	restart_targets(first);
	end = msp_now(&first->env) + 10 * MSP_SECOND;
	while (
	    count_target_requests(first) == 0 && msp_now(&first->env) < end) {
		send_edge_request(first, "GET", "/read/1", &response);
		assert_served(&response);
	}
	assert_true(count_target_requests(first) > 0);
	/* Once a second and target at most. */
	assert_in_range(read_edge_counter(first, probes), 1, 33);
}

typedef struct homes_case {
	const char *members;
	bool served;
} homes_case_t;

/* Guards against bodies sent to VMs outside the home regions (HOME). */
static void
home_regions_bind_forwarded_requests(void **state)
{
	static const homes_case_t cases[] = {
	    {",\"homeRegions\":[\"north\"]", false},
	    {",\"homeRegions\":[\"north\",\"south\"]", true},
	};
	pair_fixture_t *fixture = *state;
	edge_fixture_t *first = fixture->pair[0];
	caller_response_t response;
	char line[48];
	unsigned int i;

	cut(first);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		put_edge_routes_with(first, 10 + i, cases[i].members);
		snprintf(
		    line, sizeof(line), "state=in-force version=%u ", 10 + i);
		run_edge_until_logged(first, line, LOG_DELAY_MAX);
		send_edge_request(first, "POST", "/write/1", &response);
		assert_int_equal(
		    response.http_status, cases[i].served ? 200 : 503);
		assert_int_equal(count_target_requests(fixture->pair[1]),
		    cases[i].served ? 1 : 0);
	}
}

static void
record_target_request(
    void *ctx, edge_target_t *target, msp_exchange_t *exchange)
{
	pair_fixture_t *fixture = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	msp_response_t response = {.status = 200};
	size_t i;

	fixture->body_len = request->body.len;
	fixture->body_hash = msp_hash(request->body.data, request->body.len, 0);
	snprintf(fixture->path, sizeof(fixture->path), "%s", request->path);
	for (i = 0; i < request->headers.count; i++) {
		if (strncmp(request->headers.fields[i].name, "msp-", 4) == 0)
			fixture->internal_fields++;
	}
	msp_add_header(&response.headers, "Request-Id",
	    msp_find_header(&request->headers, "Request-Id"));
	msp_add_header(&response.headers, "Response-Signature", target->id);
	msp_append_data(&response.body, request->body.data, request->body.len);
	msp_send_exchange_response(exchange, &response);
}

static void
record_requests(pair_fixture_t *fixture)
{
	unsigned int i;

	for (i = 0; i < 2; i++) {
		fixture->pair[i]->handle_request = record_target_request;
		fixture->pair[i]->handler_ctx = fixture;
	}
}

/* Sends a raw request and waits until the whole response to it is there. */
static void
exchange_raw(edge_fixture_t *fixture, const char *head,
    const msp_buffer_t *body, size_t chunk, const char *expected,
    msp_buffer_t *response)
{
	raw_socket_t raw = raw_connect(fixture->loop, fixture->caller_port);
	msp_time_t end = msp_now(&fixture->env) + 10 * MSP_SECOND;
	char size[32];
	size_t at = 0;
	size_t len;

	assert_true(raw_send_text(&raw, head));
	while (at < body->len) {
		len = body->len - at < chunk ? body->len - at : chunk;
		snprintf(size, sizeof(size), "%zx\r\n", len);
		assert_true(raw_send_text(&raw, size));
		assert_true(raw_send(&raw, body->data + at, len));
		assert_true(raw_send_text(&raw, "\r\n"));
		at += len;
	}
	if (chunk > 0)
		assert_true(raw_send_text(&raw, "0\r\n\r\n"));
	while (strstr(msp_buffer_text(&raw.input), expected) == NULL &&
	    !raw.closed && msp_now(&fixture->env) < end) {
		step_edge_fixture(fixture);
		raw_read(&raw);
	}
	msp_append_data(response, raw.input.data, raw.input.len);
	raw_close(&raw);
	raw_clear_input(&raw);
	msp_drop_buffer(&raw.input);
}

static void
append_pattern(msp_buffer_t *body, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		char byte = (char)('a' + (i * 7 + i / 977) % 26);

		msp_append_data(body, &byte, 1);
	}
}

/* Guards against bodies or paths that change on the second hop (UNASKED). */
static void
large_chunked_body_and_path_pass_unchanged(void **state)
{
	static const char head[] =
	    "POST /write/a%2525b%20c?x=%2526y HTTP/1.1\r\nHost: a.example\r\n"
	    "Request-Id: large-1\r\nDeadline-Ms: 8000\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n";
	pair_fixture_t *fixture = *state;
	msp_buffer_t body = {0};
	msp_buffer_t response = {0};
	char path[256];
	uint64_t hash;
	unsigned int i;

	record_requests(fixture);
	append_pattern(&body, LARGE_BODY);
	hash = msp_hash(body.data, body.len, 0);
	for (i = 0; i < 2; i++) {
		if (i == 1)
			cut(fixture->pair[0]);
		fixture->body_len = 0;
		msp_clear_buffer(&response);
		exchange_raw(fixture->pair[0], head, &body, CHUNK,
		    msp_buffer_text(&body), &response);
		assert_non_null(
		    strstr(msp_buffer_text(&response), msp_buffer_text(&body)));
		assert_int_equal(fixture->body_len, LARGE_BODY);
		assert_true(fixture->body_hash == hash);
		if (i == 0)
			strcpy(path, fixture->path);
		else
			assert_string_equal(fixture->path, path);
		assert_int_equal(count_target_requests(fixture->pair[i]), 1);
	}
	msp_drop_buffer(&body);
	msp_drop_buffer(&response);
}

/*
 * Guards against callers that pass their requests for forwarded ones, and
 * against fields of our own that reach targets or callers.
 */
static void
forwarding_fields_of_callers_are_ignored(void **state)
{
	static const char head[] =
	    "POST /write/1 HTTP/1.1\r\nHost: a.example\r\n"
	    "Request-Id: forged-1\r\nDeadline-Ms: 3000\r\n"
	    "msp-hops: 0\r\nmsp-id: x\r\nmsp-vm: vm-7\r\nmsp-retries: 0\r\n"
	    "msp-time-left-ms: 1\r\nContent-Length: 5\r\n\r\norder";
	pair_fixture_t *fixture = *state;
	msp_buffer_t none = {0};
	msp_buffer_t response = {0};
	unsigned int i;

	record_requests(fixture);
	for (i = 0; i < 2; i++) {
		if (i == 1)
			cut(fixture->pair[0]);
		msp_clear_buffer(&response);
		exchange_raw(
		    fixture->pair[0], head, &none, 0, "order", &response);
		assert_non_null(
		    strstr(msp_buffer_text(&response), "HTTP/1.1 200"));
		assert_null(strstr(msp_buffer_text(&response), "msp-"));
		assert_int_equal(count_target_requests(fixture->pair[i]), 1);
	}
	assert_int_equal(fixture->internal_fields, 0);
	msp_drop_buffer(&response);
}

/* Guards against targets that work on for callers that are gone (GONE). */
static void
target_of_the_second_vm_sees_that_the_caller_left(void **state)
{
	pair_fixture_t *fixture = *state;
	edge_fixture_t *first = fixture->pair[0];
	edge_fixture_t *second = fixture->pair[1];
	caller_response_t response;
	msp_call_t *call;
	unsigned int closed = 0;
	unsigned int pending = 0;
	msp_time_t end = msp_now(&first->env) + 10 * MSP_SECOND;
	unsigned int i;

	/* Without the caller's leaving nothing ends the request in time. */
	for (i = 0; i < 2; i++) {
		put_edge_routes_with(
		    fixture->pair[i], 3, ",\"timeoutMs\":60000");
		run_edge_until_logged(fixture->pair[i],
		    "state=in-force version=3 ", LOG_DELAY_MAX);
	}
	first->deadline_ms = 60000;
	for (i = 0; i < EDGE_TARGETS; i++)
		second->targets[i].behaviour = TARGET_DELAYS;
	cut(first);
	call = start_edge_request(
	    first, first->caller_port, "GET", "/read/1", &response);
	while (pending == 0 && msp_now(&first->env) < end) {
		step_edge_fixture(first);
		pending = count_target_requests(second);
	}
	assert_int_equal(pending, 1);
	msp_cancel_call(call);
	while (closed == 0 && msp_now(&first->env) < end) {
		step_edge_fixture(first);
		for (i = 0; i < EDGE_TARGETS; i++)
			closed += second->targets[i].closed_count;
	}
	assert_int_equal(closed, 1);
	assert_int_equal(count_target_requests(second), 1);
}

/* Guards against a planned stop that loses forwarded requests (LOST). */
static void
stopping_vm_finishes_forwarded_requests_and_takes_no_more(void **state)
{
	pair_fixture_t *fixture = *state;
	edge_fixture_t *first = fixture->pair[0];
	edge_fixture_t *second = fixture->pair[1];
	caller_response_t begun;
	caller_response_t late;
	edge_target_t *busy = NULL;
	msp_time_t end = msp_now(&first->env) + 10 * MSP_SECOND;
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++)
		second->targets[i].behaviour = TARGET_DELAYS;
	cut(first);
	start_edge_request(
	    first, first->caller_port, "POST", "/write/1", &begun);
	while (busy == NULL && msp_now(&first->env) < end) {
		step_edge_fixture(first);
		for (i = 0; i < EDGE_TARGETS; i++)
			if (second->targets[i].pending != NULL)
				busy = &second->targets[i];
	}
	assert_non_null(busy);
	kill(second->pid, SIGTERM);
	run_edge_until_logged(second, "event=leaving", LOG_DELAY_MAX);
	send_edge_request(first, "POST", "/write/2", &late);
	assert_int_equal(late.http_status, 503);
	answer_pending_request(busy);
	run_edge_until(first, &begun.done, 1);
	assert_served(&begun);
	assert_int_equal(wait_edge_exit(second), 0);
	assert_int_equal(count_target_requests(second), 1);
}

/*
 * Guards against strikes for harmless requests whose connections broke when a
 * VM lost all its targets, which would be told to all VMs (BUDGET).
 */
static void
requests_cut_with_all_targets_get_no_strikes(void **state)
{
	pair_fixture_t *fixture = *state;
	edge_fixture_t *first = fixture->pair[0];
	caller_response_t responses[REQUESTS];
	caller_response_t response;
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++)
		first->targets[i].behaviour = TARGET_DELAYS;
	for (i = 0; i < REQUESTS; i++) {
		first->object = i;
		start_edge_request(first, first->caller_port, "POST",
		    "/write/harmless", &responses[i]);
	}
	while (count_target_requests(first) < REQUESTS)
		step_edge_fixture(first);
	cut(first);
	for (i = 0; i < REQUESTS; i++) {
		run_edge_until(first, &responses[i].done, 1);
		assert_int_equal(responses[i].http_status, 502);
	}
	/* Several checks of each target fail. */
	run_edge_for(first, 3 * MSP_SECOND);
	assert_int_equal(read_edge_counter(first, "msp_strikes_total"), 0);
	send_edge_request(first, "POST", "/write/harmless", &response);
	assert_served(&response);
}

/* Guards against a crash that goes unnoticed while other targets answer. */
static void
request_that_ends_one_target_gets_a_strike(void **state)
{
	pair_fixture_t *fixture = *state;
	edge_fixture_t *first = fixture->pair[0];
	msp_time_t end = msp_now(&first->env) + 10 * MSP_SECOND;
	caller_response_t response;
	uint64_t strikes = 0;
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++)
		first->targets[i].behaviour = TARGET_EXITS;
	send_edge_request(first, "POST", "/write/deadly", &response);
	assert_int_equal(response.http_status, 502);
	while (strikes == 0 && msp_now(&first->env) < end)
		strikes = read_edge_counter(first, "msp_strikes_total");
	assert_int_equal(strikes, 1);
}

#define SILENT_REQUESTS 12

/*
 * Guards against requests that are sent on connections that died silently,
 * each until its deadline, since no connect fails (RECOVER).
 */
static void
silent_connections_are_noticed_without_a_new_request(void **state)
{
	pair_fixture_t *fixture = *state;
	edge_fixture_t *first = fixture->pair[0];
	caller_response_t responses[SILENT_REQUESTS];
	caller_response_t response;
	unsigned int answered = 0;
	unsigned int i;

	put_edge_routes_with(first, 3, ",\"timeoutMs\":8000");
	run_edge_until_logged(
	    first, "state=in-force version=3 ", LOG_DELAY_MAX);
	first->deadline_ms = 7000;
	for (i = 0; i < EDGE_TARGETS; i++)
		first->targets[i].behaviour = TARGET_DELAYS;
	for (i = 0; i < SILENT_REQUESTS; i++) {
		first->object = i;
		start_edge_request(first, first->caller_port, "POST",
		    "/write/1", &responses[i]);
	}
	while (count_target_requests(first) < SILENT_REQUESTS)
		step_edge_fixture(first);
	/* Open connections live on, new ones are refused. */
	for (i = 0; i < EDGE_TARGETS; i++)
		msp_close_http_listener(first->targets[i].server);
	run_edge_until_logged(
	    first, "event=reach service=desk state=lost", 4 * MSP_SECOND);
	send_edge_request(first, "GET", "/read/1", &response);
	assert_served(&response);
	assert_int_equal(count_target_requests(fixture->pair[1]), 1);
	/* What was in flight goes on, and its response ends the state. */
	for (i = 0; i < EDGE_TARGETS; i++)
		if (first->targets[i].pending != NULL)
			answer_pending_request(&first->targets[i]);
	run_edge_until_logged(
	    first, "event=reach service=desk state=regained", LOG_DELAY_MAX);
	run_edge_for(first, EMPTY_SPAN);
	for (i = 0; i < SILENT_REQUESTS; i++)
		answered +=
		    responses[i].done == 1 && responses[i].http_status == 200;
	assert_in_range(answered, 2, EDGE_TARGETS);
}

/* How a second VM that the test plays answers. */
typedef enum vm_answer {
	VM_CLOSES, /* the connection, without an answer */
	VM_REFUSES, /* 503, not executed, with the id of the hop */
	VM_REFUSES_ANOTHER, /* the same with the id of another hop */
	VM_REFUSES_WITHOUT_ID, /* the same without an id */
	VM_FAILS, /* 502: may have been executed */
	VM_ANSWERS_WITHOUT_ID, /* a target's 200, without the hop's id */
	VM_HAS_NO_ROUTE, /* 404, not executed */
} vm_answer_t;

typedef struct fake_vm {
	edge_fixture_t *fixture;
	vm_answer_t answer;
	unsigned int count; /* forwarded requests */
	unsigned int hops_left; /* of the last one */
	unsigned int attempts_left;
	unsigned int time_left_ms;
} fake_vm_t;

static unsigned int
read_number(const msp_request_t *request, const char *name)
{
	const char *value = msp_find_header(&request->headers, name);

	return value == NULL ? 9999 : (unsigned int)strtoul(value, NULL, 10);
}

static void
send_vm_answer(const fake_vm_t *vm, msp_exchange_t *exchange, const char *id)
{
	msp_response_t response = {.status = 503};
	const char *refusal = "no-target";

	if (vm->answer == VM_REFUSES_ANOTHER)
		id = "another";
	if (vm->answer == VM_REFUSES_WITHOUT_ID ||
	    vm->answer == VM_ANSWERS_WITHOUT_ID)
		id = NULL;
	if (id != NULL)
		msp_add_header(&response.headers, "msp-id", id);
	msp_add_header(&response.headers, "msp-vm", "vm-9");
	if (vm->answer == VM_ANSWERS_WITHOUT_ID) {
		response.status = 200;
		msp_add_header(&response.headers, "Response-Signature", "s");
		msp_send_exchange_response(exchange, &response);
		return;
	}
	if (vm->answer == VM_FAILS) {
		response.status = 502;
		refusal = "in-doubt";
	} else if (vm->answer == VM_HAS_NO_ROUTE) {
		response.status = 404;
		refusal = "unknown-route";
	}
	msp_add_header(&response.headers, "msp-refusal", refusal);
	msp_add_header(&response.headers, "msp-run",
	    vm->answer == VM_FAILS ? "unknown" : "no");
	msp_add_header(&response.headers, "msp-started", "0");
	msp_add_header(&response.headers, "msp-attempt", "0");
	msp_add_header(&response.headers, "msp-retry-after-ms", "500");
	msp_send_exchange_response(exchange, &response);
}

static void
handle_vm_request(void *ctx, msp_exchange_t *exchange)
{
	fake_vm_t *vm = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	msp_response_t response = {.status = 404};
	const char *id = msp_find_header(&request->headers, "msp-id");

	if (msp_find_header(&request->headers, "msp-hops") == NULL) {
		msp_send_exchange_response(exchange, &response);
		return;
	}
	vm->count++;
	vm->hops_left = read_number(request, "msp-hops");
	vm->attempts_left = read_number(request, "msp-retries");
	vm->time_left_ms = read_number(request, "msp-time-left-ms");
	if (vm->answer != VM_CLOSES)
		send_vm_answer(vm, exchange, id);
}

/* Closes the connections of the VM that the test plays. */
static void
close_vm_connections(edge_fixture_t *fixture)
{
	msp_drop_http_server(fixture->remote_vm);
	fixture->remote_vm = NULL;
}

typedef struct lost_answer_case {
	const char *name;
	vm_answer_t answer;
	const char *method;
	const char *path;
	int http_status;
	unsigned int attempts_left; /* that the second VM is given */
} lost_answer_case_t;

/* Guards against "not run" for requests that may have run (REFUSED, TWICE). */
static void
only_the_answer_to_this_hop_says_that_nothing_ran(void **state)
{
	static const lost_answer_case_t cases[] = {
	    {"refused", VM_REFUSES, "POST", "/write/1", 503, 2},
	    {"refused, may be repeated", VM_REFUSES, "GET", "/read/1", 503, 1},
	    {"refusal of another hop", VM_REFUSES_ANOTHER, "POST", "/write/1",
		502, 2},
	    {"refusal without an id", VM_REFUSES_WITHOUT_ID, "POST", "/write/1",
		502, 2},
	    {"may have run", VM_FAILS, "POST", "/write/1", 502, 2},
	    {"answer without an id", VM_ANSWERS_WITHOUT_ID, "POST", "/write/1",
		502, 2},
	    {"no route there", VM_HAS_NO_ROUTE, "POST", "/write/1", 503, 2},
	    {"closed", VM_CLOSES, "POST", "/write/1", 502, 2},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		fake_vm_t vm = {.answer = cases[i].answer};
		edge_fixture_t *fixture =
		    new_edge_fixture_with_handler(handle_vm_request, &vm);
		caller_response_t response;

		set_up_routes_and_targets(fixture);
		cut(fixture);
		start_edge_request(fixture, fixture->caller_port,
		    cases[i].method, cases[i].path, &response);
		run_edge_until(fixture, &vm.count, 1);
		if (cases[i].answer == VM_CLOSES)
			close_vm_connections(fixture);
		run_edge_until(fixture, &response.done, 1);
		run_edge_for(fixture, EMPTY_SPAN);
		if (response.http_status != cases[i].http_status)
			fail_msg("%s: %d", cases[i].name, response.http_status);
		assert_false(response.is_signed);
		assert_int_equal(vm.count, 1);
		assert_int_equal(vm.hops_left, 0);
		assert_int_equal(vm.attempts_left, cases[i].attempts_left);
		/* The route allows 2 s. */
		assert_in_range(vm.time_left_ms, 1, 1999);
		drop_edge_fixture(fixture);
	}
}

#define PAIR_TEST(name_) \
	cmocka_unit_test_setup_teardown(name_, set_up, tear_down)

/* Makes the HTTP library of the test see the fields between VMs. */
static int
register_fields(void **state)
{
	static const char *const names[] = {"msp-hops", "msp-id", "msp-vm",
	    "msp-retries", "msp-time-left-ms", "msp-target", "msp-attempt"};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(names) / sizeof(*names); i++)
		assert_int_equal(msp_register_header(names[i]), MSP_OK);
	return 0;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    PAIR_TEST(cut_vm_serves_through_another),
	    PAIR_TEST(request_makes_one_hop_if_all_vms_are_cut),
	    PAIR_TEST(targets_that_are_back_get_requests_again),
	    PAIR_TEST(home_regions_bind_forwarded_requests),
	    PAIR_TEST(large_chunked_body_and_path_pass_unchanged),
	    PAIR_TEST(forwarding_fields_of_callers_are_ignored),
	    PAIR_TEST(target_of_the_second_vm_sees_that_the_caller_left),
	    PAIR_TEST(
		stopping_vm_finishes_forwarded_requests_and_takes_no_more),
	    PAIR_TEST(requests_cut_with_all_targets_get_no_strikes),
	    PAIR_TEST(request_that_ends_one_target_gets_a_strike),
	    PAIR_TEST(silent_connections_are_noticed_without_a_new_request),
	    cmocka_unit_test(only_the_answer_to_this_hop_says_that_nothing_ran),
	};

	return cmocka_run_group_tests(tests, register_fields, NULL);
}
