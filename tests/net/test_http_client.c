#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../source/net/client.h"
#include "raw_socket.h"

#define LANES 2
#define MAX_ANSWER 1000

typedef struct client_test {
	msp_loop_t *loop;
	msp_http_client_t *client;
	raw_socket_t listener; /* of a server that the test plays by hand */
	uint16_t port;
	msp_call_options_t options;
	test_outcome_t outcome;
} client_test_t;

static int
set_up(void **state)
{
	static client_test_t test;
	msp_http_client_options_t options = {
	    .lanes = LANES,
	    .max_answer = MAX_ANSWER,
	    .connect_timeout_ms = 300,
	};

	test = (client_test_t){0};
	test.loop = msp_new_loop(64);
	test.client = msp_new_http_client(test.loop, &options);
	test.listener = raw_listen(test.loop, &test.port);
	test.options = (msp_call_options_t){
	    .address = TEST_ADDRESS, .port = test.port, .timeout_ms = 2000};
	*state = &test;
	return test.client == NULL || test.listener.closed ? -1 : 0;
}

static int
tear_down(void **state)
{
	client_test_t *test = *state;

	drop_outcome(&test->outcome);
	msp_drop_http_client(test->client);
	raw_close(&test->listener);
	msp_drop_loop(test->loop);
	return 0;
}

static msp_call_t *
start_to(client_test_t *test, const char *method, const char *path,
    test_outcome_t *outcome)
{
	msp_request_t request = new_request(
	    method, path, strcmp(method, "POST") == 0 ? "body" : NULL);
	msp_call_t *call;

	drop_outcome(outcome);
	*outcome = (test_outcome_t){0};
	call = msp_start_call(
	    test->client, &test->options, &request, keep_outcome, outcome);
	assert_non_null(call);
	assert_int_equal(outcome->done, 0);
	return call;
}

static void
wait_outcome(client_test_t *test, const char *name)
{
	if (!run_until_count(test->loop, &test->outcome.done, 1))
		fail_msg("%s: never ended", name);
	assert_int_equal(test->outcome.done, 1);
}

/* No second request has come, on this connection or another. */
static void
assert_sent_once(client_test_t *test, raw_socket_t *raw, const char *name)
{
	int i;
	int fd;

	for (i = 0; i < 3; i++)
		msp_step_loop(test->loop, 5);
	fd = accept(test->listener.fd, NULL, NULL);
	if (fd >= 0)
		fail_msg("%s: a second connection", name);
	raw_read(raw);
	if (strstr(msp_buffer_text(&raw->in), "HTTP/1.1\r\n") != NULL) {
		const char *first =
		    strstr(msp_buffer_text(&raw->in), "HTTP/1.1\r\n");

		if (strstr(first + 1, "HTTP/1.1\r\n") != NULL)
			fail_msg("%s: sent twice", name);
	}
}

typedef struct server_case {
	const char *name;
	const char *method;
	const char *answer; /* what the server sends; NULL: nothing */
	bool closes; /* and then closes */
	bool resets; /* in place of closing */
	uint32_t first_byte_timeout_ms;
	uint32_t timeout_ms; /* 0: 2 s */
	msp_status_t status;
	int http_status;
	const char *body;
	bool silent;
} server_case_t;

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_LINE "Transfer-Encoding: chunked\r\n\r\n"

static const server_case_t cases[] = {
    {"by length", "GET", OK_LINE "Content-Length: 3\r\n\r\nabc", false, false,
	0, 0, MSP_OK, 200, "abc", false},
    {"by length, then closed", "GET",
	OK_LINE "Content-Length: 3\r\nConnection: close\r\n\r\nabc", true,
	false, 0, 0, MSP_OK, 200, "abc", false},
    {"empty", "GET", OK_LINE "Content-Length: 0\r\n\r\n", false, false, 0, 0,
	MSP_OK, 200, "", false},
    {"error status", "GET", "HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nabc",
	false, false, 0, 0, MSP_OK, 503, "abc", false},
    {"chunked", "GET", CHUNKED "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", false, false,
	0, 0, MSP_OK, 200, "abcde", false},
    {"chunked with a trailer", "GET",
	CHUNKED "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n", false, false, 0, 0,
	MSP_E_CUT_ANSWER, 200, "abc", false},
    {"redirect", "GET",
	"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
	false, false, 0, 0, MSP_OK, 302, "", false},
    {"HEAD", "HEAD", OK_LINE "Content-Length: 300\r\n\r\n", false, false, 0, 0,
	MSP_OK, 200, "", false},
    {"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", false, false, 0, 0,
	MSP_OK, 204, "", false},
    {"304", "GET", "HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n", false,
	false, 0, 0, MSP_OK, 304, "", false},
    {"POST", "POST", OK_LINE "Content-Length: 3\r\n\r\nabc", false, false, 0, 0,
	MSP_OK, 200, "abc", false},
    {"continue first", "GET",
	"HTTP/1.1 100 Continue\r\n\r\n" OK_LINE "Content-Length: 3\r\n\r\nabc",
	false, false, 0, 0, MSP_E_CUT_ANSWER, 100, NULL, false},
    {"early hints first", "GET",
	"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" OK_LINE
	"Content-Length: 3\r\n\r\nabc",
	false, false, 0, 0, MSP_E_CUT_ANSWER, 103, NULL, false},
    {"cut by length", "GET", OK_LINE "Content-Length: 5\r\n\r\nabc", true,
	false, 0, 0, MSP_E_CUT_ANSWER, 200, "abc", false},
    {"reset amid the body", "GET", OK_LINE "Content-Length: 5\r\n\r\nabc", true,
	true, 0, 0, MSP_E_CUT_ANSWER, 200, NULL, false},
    {"cut chunk", "GET", CHUNKED "5\r\nabc", true, false, 0, 0,
	MSP_E_CUT_ANSWER, 200, "abc", false},
    {"no last chunk", "GET", CHUNKED "3\r\nabc\r\n", true, false, 0, 0,
	MSP_E_CUT_ANSWER, 200, "abc", false},
    {"bad chunk size", "GET", CHUNKED "zz\r\nabc\r\n0\r\n\r\n", true, false, 0,
	0, MSP_E_CUT_ANSWER, 200, NULL, false},
    {"until closed", "GET", OK_LINE "\r\nabc", true, false, 0, 0,
	MSP_E_CUT_ANSWER, 200, "abc", false},
    {"cut head", "GET", "HTTP/1.1 200 OK\r\nContent-Le", true, false, 0, 0,
	MSP_E_CUT_ANSWER, 0, "", false},
    {"closed without an answer", "GET", NULL, true, false, 0, 0,
	MSP_E_CUT_ANSWER, 0, "", false},
    {"reset without an answer", "POST", NULL, true, true, 0, 0,
	MSP_E_CUT_ANSWER, 0, "", false},
    {"garbage", "GET", "\x01\x02 garbage\r\n\r\n", true, false, 0, 0,
	MSP_E_CUT_ANSWER, 0, NULL, false},
    {"two lengths", "GET",
	OK_LINE "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", true,
	false, 0, 0, MSP_E_CUT_ANSWER, 200, NULL, false},
    {"length not a number", "GET", OK_LINE "Content-Length: x\r\n\r\nabc", true,
	false, 0, 0, MSP_E_CUT_ANSWER, 200, NULL, false},
    {"negative length", "GET", OK_LINE "Content-Length: -3\r\n\r\nabc", true,
	false, 0, 0, MSP_E_CUT_ANSWER, 200, NULL, false},
    {"length and chunked", "GET",
	OK_LINE "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n0\r\n\r\n",
	true, false, 0, 0, MSP_E_CUT_ANSWER, 200, NULL, false},
    {"too large by length", "GET", OK_LINE "Content-Length: 1001\r\n\r\nabc",
	false, false, 0, 0, MSP_E_ANSWER_TOO_LARGE, 200, NULL, false},
    {"too large in chunks", "GET", CHUNKED "3e9\r\n%1001", false, false, 0, 0,
	MSP_E_ANSWER_TOO_LARGE, 200, NULL, false},
    {"silent", "GET", NULL, false, false, 0, 100, MSP_E_DEADLINE, 0, "", true},
    {"no first byte", "POST", NULL, false, false, 100, 0, MSP_E_DEADLINE, 0, "",
	true},
    {"stops amid the body", "GET", OK_LINE "Content-Length: 5\r\n\r\nabc",
	false, false, 50, 200, MSP_E_DEADLINE, 200, "abc", false},
};

/* Plays the server of one case; "%N" in an answer stands for N bytes. */
static void
play_answer(raw_socket_t *raw, const server_case_t *c)
{
	const char *mark = c->answer == NULL ? NULL : strchr(c->answer, '%');
	char fill[1100];

	if (mark != NULL) {
		memset(fill, 'x', sizeof(fill));
		raw_send(raw, c->answer, (size_t)(mark - c->answer));
		raw_send(raw, fill, sizeof(fill));
	} else if (c->answer != NULL) {
		raw_say(raw, c->answer);
	}
	if (c->closes && !c->resets)
		shutdown(raw->fd, SHUT_WR);
	if (c->resets)
		raw_reset(raw);
}

static void
run_server_case(client_test_t *test, const server_case_t *c)
{
	raw_socket_t raw;

	test->options.timeout_ms = c->timeout_ms == 0 ? 2000 : c->timeout_ms;
	test->options.first_byte_timeout_ms = c->first_byte_timeout_ms;
	start_to(test, c->method, "/a", &test->outcome);
	raw = raw_accept(&test->listener);
	assert_true(raw_expect(&raw,
	    strcmp(c->method, "POST") == 0 ? "\r\n\r\nbody" : "\r\n\r\n"));
	play_answer(&raw, c);
	wait_outcome(test, c->name);
	if (test->outcome.status != c->status)
		fail_msg(
		    "%s: %s", c->name, msp_status_name(test->outcome.status));
	if (test->outcome.http_status != c->http_status)
		fail_msg("%s: %d", c->name, test->outcome.http_status);
	if (c->body != NULL &&
	    strcmp(msp_buffer_text(&test->outcome.response.body), c->body) != 0)
		fail_msg("%s: \"%s\"", c->name,
		    msp_buffer_text(&test->outcome.response.body));
	assert_true(test->outcome.maybe_sent);
	assert_int_equal(test->outcome.silent, c->silent);
	if (!c->resets)
		assert_sent_once(test, &raw, c->name);
	raw_close(&raw);
	msp_forget_connections(test->client, TEST_ADDRESS, test->port);
}

static void
each_answer_has_its_end(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		run_server_case(*state, &cases[i]);
}

/* Sends one answer in two parts and closes; returns how the call ended. */
static msp_status_t
split_answer(client_test_t *test, const char *answer, size_t first,
    size_t whole, bool pause)
{
	raw_socket_t raw;

	start_to(test, "GET", "/a", &test->outcome);
	raw = raw_accept(&test->listener);
	assert_true(raw_expect(&raw, "\r\n\r\n"));
	raw_send(&raw, answer, first);
	if (pause) {
		msp_step_loop(test->loop, 1);
		msp_step_loop(test->loop, 1);
	}
	raw_send(&raw, answer + first, whole - first);
	if (pause)
		msp_step_loop(test->loop, 1);
	shutdown(raw.fd, SHUT_WR);
	wait_outcome(test, "split answer");
	raw_close(&raw);
	msp_forget_connections(test->client, TEST_ADDRESS, test->port);
	return test->outcome.status;
}

static const char *const split_answers[] = {
    CHUNKED "3\r\nabc\r\nb\r\n01234567890\r\n0\r\n\r\n",
    OK_LINE "Content-Length: 14\r\n\r\nabc01234567890",
};

static void
an_answer_cut_anywhere_is_not_whole(void **state)
{
	client_test_t *test = *state;
	size_t cut;
	size_t i;

	for (i = 0; i < sizeof(split_answers) / sizeof(*split_answers); i++) {
		for (cut = 0; cut < strlen(split_answers[i]); cut++) {
			if (split_answer(test, split_answers[i], cut / 2, cut,
				cut % 2 == 0) != MSP_E_CUT_ANSWER ||
			    split_answer(test, split_answers[i], cut, cut,
				cut % 2 == 1) != MSP_E_CUT_ANSWER)
				fail_msg("cut at %zu: %s", cut,
				    msp_status_name(test->outcome.status));
		}
	}
}

static void
an_answer_split_anywhere_is_whole(void **state)
{
	client_test_t *test = *state;
	size_t whole;
	size_t at;
	size_t i;

	for (i = 0; i < sizeof(split_answers) / sizeof(*split_answers); i++) {
		whole = strlen(split_answers[i]);
		for (at = 0; at <= whole; at++) {
			if (split_answer(test, split_answers[i], at, whole,
				at % 2 == 0) != MSP_OK ||
			    split_answer(test, split_answers[i], at, whole,
				at % 2 == 1) != MSP_OK)
				fail_msg("split at %zu: %s", at,
				    msp_status_name(test->outcome.status));
			assert_string_equal(
			    msp_buffer_text(&test->outcome.response.body),
			    "abc01234567890");
		}
	}
}

static const char whole_answer[] = OK_LINE "Content-Length: 2\r\n\r\nok";

/* Starts a call and answers it; the connection is kept in `raw`. */
static void
answer_one(client_test_t *test, raw_socket_t *raw, bool connects)
{
	raw_forget(raw);
	start_to(test, "GET", "/a", &test->outcome);
	if (connects)
		*raw = raw_accept(&test->listener);
	assert_true(raw_expect(raw, "\r\n\r\n"));
	raw_say(raw, whole_answer);
	wait_outcome(test, "answer");
	assert_int_equal(test->outcome.status, MSP_OK);
}

static bool
has_newcomer(void *ctx)
{
	client_test_t *test = ctx;
	fd_set set;
	struct timeval none = {0};

	FD_ZERO(&set);
	FD_SET(test->listener.fd, &set);
	return select(test->listener.fd + 1, &set, NULL, NULL, &none) > 0;
}

static void
a_closed_port_refuses(void **state)
{
	client_test_t *test = *state;
	uint16_t port;
	raw_socket_t other = raw_listen(test->loop, &port);

	raw_close(&other);
	test->options.port = port;
	start_to(test, "POST", "/a", &test->outcome);
	wait_outcome(test, "closed port");
	assert_int_equal(test->outcome.status, MSP_E_PEER_DOWN);
	assert_false(test->outcome.maybe_sent);
}

/* A full backlog leaves new connections unanswered. */
static void
a_connection_may_not_come(void **state)
{
	client_test_t *test = *state;
	raw_socket_t fillers[8];
	struct pollfd poll_fd;
	size_t i;
	size_t n = 0;

	assert_int_equal(listen(test->listener.fd, 0), 0);
	for (i = 0; i < 8; i++) {
		fillers[i] = (raw_socket_t){.loop = test->loop};
		fillers[i].fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		raw_begin_connect(&fillers[i], test->port);
	}
	start_to(test, "POST", "/a", &test->outcome);
	wait_outcome(test, "no connection");
	assert_int_equal(test->outcome.status, MSP_E_PEER_DOWN);
	assert_false(test->outcome.maybe_sent);
	for (i = 0; i < 8; i++) {
		poll_fd =
		    (struct pollfd){.fd = fillers[i].fd, .events = POLLOUT};
		n += poll(&poll_fd, 1, 0) == 0 ? 1 : 0;
		raw_close(&fillers[i]);
	}
	assert_true(n > 0); /* the backlog was indeed full */
}

static void
a_connection_is_kept_and_reused(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	int i;

	answer_one(test, &raw, true);
	for (i = 0; i < 5; i++)
		answer_one(test, &raw, false);
	assert_false(has_newcomer(test));
	raw_close(&raw);
}

/* Closed before the request, not yet seen by the loop. */
static void
a_closed_connection_is_not_used(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	raw_socket_t next;
	int i;

	for (i = 0; i < 2; i++) {
		answer_one(test, &raw, true);
		if (i == 0)
			raw_reset(&raw);
		else
			raw_close(&raw);
		start_to(test, "POST", "/b", &test->outcome);
		next = raw_accept(&test->listener);
		assert_true(raw_expect(&next, "\r\n\r\nbody"));
		raw_say(&next, whole_answer);
		wait_outcome(test, "closed while kept");
		assert_int_equal(test->outcome.status, MSP_OK);
		raw_close(&next);
		msp_step_loop(test->loop, 20);
	}
}

/* Closed when the request has come: it is not sent again. */
static void
a_request_is_never_sent_twice(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	int i;

	for (i = 0; i < 2; i++) {
		answer_one(test, &raw, true);
		raw_forget(&raw);
		start_to(test, "POST", "/b", &test->outcome);
		assert_true(raw_expect(&raw, "\r\n\r\nbody"));
		if (i == 0)
			raw_reset(&raw);
		else
			raw_close(&raw);
		wait_outcome(test, "closed on a request");
		assert_int_equal(test->outcome.status, MSP_E_CUT_ANSWER);
		assert_true(test->outcome.maybe_sent);
		msp_step_loop(test->loop, 20);
		assert_false(has_newcomer(test));
		raw = (raw_socket_t){0};
	}
}

static void
forgotten_connections_are_closed(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	raw_socket_t next = {0};

	answer_one(test, &raw, true);
	msp_forget_connections(test->client, TEST_ADDRESS, test->port);
	answer_one(test, &next, true);
	assert_true(raw_expect_end(&raw));
	raw_close(&raw);
	raw_close(&next);
}

static void
make_lanes_old(client_test_t *test)
{
	msp_origin_t *origin =
	    msp_find_origin(test->client, TEST_ADDRESS, test->port);
	msp_lane_t *lane;

	for (lane = LIST_FIRST(&origin->lanes); lane != NULL;
	     lane = LIST_NEXT(lane, all))
		lane->last_active -= 2 * MSP_SECOND;
}

static void
a_fresh_call_trusts_no_old_connection(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	raw_socket_t next = {0};
	int i;

	answer_one(test, &raw, true);
	test->options.fresh = true;
	answer_one(test, &raw, false); /* active in the last second */
	for (i = 0; i < 3; i++) {
		make_lanes_old(test);
		answer_one(test, &next, true);
		answer_one(test, &next, false);
		raw_close(&next);
	}
	raw_close(&raw);
}

static void
calls_wait_for_a_lane(void **state)
{
	client_test_t *test = *state;
	test_outcome_t outcomes[LANES + 3] = {{0}};
	raw_socket_t raws[LANES];
	raw_socket_t *raw;
	unsigned int done = 0;
	char path[16];
	size_t i;

	for (i = 0; i < LANES + 3; i++) {
		snprintf(path, sizeof(path), "/n%zu", i);
		/* The last one does not wait long enough. */
		test->options.timeout_ms = i == LANES + 2 ? 50 : 2000;
		start_to(test, "GET", path, &outcomes[i]);
	}
	for (i = 0; i < LANES; i++) {
		raws[i] = raw_accept(&test->listener);
		assert_true(raw_expect(&raws[i], "\r\n\r\n"));
	}
	assert_true(run_until_count(test->loop, &outcomes[LANES + 2].done, 1));
	assert_int_equal(outcomes[LANES + 2].status, MSP_E_DEADLINE);
	assert_false(outcomes[LANES + 2].maybe_sent);
	assert_false(outcomes[LANES + 2].silent);
	for (i = 0; i < LANES + 2; i++) {
		raw = &raws[i % LANES];
		snprintf(path, sizeof(path), "/n%zu ", i);
		assert_true(raw_expect(raw, path));
		assert_true(raw_expect(raw, "\r\n\r\n"));
		raw_forget(raw);
		raw_say(raw, whole_answer);
		assert_true(run_until_count(test->loop, &outcomes[i].done, 1));
		assert_int_equal(outcomes[i].status, MSP_OK);
		done += outcomes[i].done;
	}
	assert_int_equal(done, LANES + 2);
	assert_false(has_newcomer(test));
	for (i = 0; i < LANES + 3; i++)
		drop_outcome(&outcomes[i]);
	for (i = 0; i < LANES; i++)
		raw_close(&raws[i]);
}

typedef enum cancel_point {
	CANCEL_AT_ONCE,
	CANCEL_SENT,
	CANCEL_RECEIVING,
	CANCEL_ENDED, /* the answer is whole, `done` has not been called */
	CANCEL_WAITING, /* for a lane */
	CANCEL_COUNT
} cancel_point_t;

static void
cancel_at(client_test_t *test, cancel_point_t point)
{
	test_outcome_t others[LANES] = {{0}};
	raw_socket_t raw = {.fd = -1};
	msp_call_t *call;
	int i;

	for (i = 0; point == CANCEL_WAITING && i < LANES; i++)
		start_to(test, "GET", "/other", &others[i]);
	call = start_to(test, "POST", "/a", &test->outcome);
	if (point != CANCEL_AT_ONCE && point != CANCEL_WAITING) {
		raw = raw_accept(&test->listener);
		assert_true(raw_expect(&raw, "\r\n\r\nbody"));
		assert_true(msp_call_maybe_sent(call));
	}
	if (point == CANCEL_RECEIVING)
		raw_say(&raw, OK_LINE "Content-Length: 5\r\n\r\nabc");
	if (point == CANCEL_ENDED)
		raw_say(&raw, whole_answer);
	for (i = 0; i < 100 && point == CANCEL_RECEIVING &&
	     call->state != MSP_CALL_RECEIVING;
	     i++)
		msp_step_loop(test->loop, 10);
	for (i = 0;
	     i < 100 && point == CANCEL_ENDED && call->state != MSP_CALL_ENDED;
	     i++)
		msp_step_loop(test->loop, 0);
	msp_cancel_call(call);
	if (point == CANCEL_SENT || point == CANCEL_RECEIVING)
		assert_true(raw_expect_end(&raw));
	for (i = 0; i < 3; i++)
		msp_step_loop(test->loop, 5);
	assert_int_equal(test->outcome.done, 0);
	raw_close(&raw);
	for (i = 0; i < LANES; i++)
		drop_outcome(&others[i]);
}

static void
a_cancelled_call_is_not_heard_of(void **state)
{
	cancel_point_t point;

	for (point = 0; point < CANCEL_COUNT; point++) {
		cancel_at(*state, point);
		tear_down(state);
		assert_int_equal(set_up(state), 0);
	}
}

/* Bytes after an answer must not become another call's answer. */
static void
late_bytes_are_no_answer(void **state)
{
	client_test_t *test = *state;
	raw_socket_t raw = {0};
	raw_socket_t next;
	int i;

	for (i = 0; i < 4; i++) {
		answer_one(test, &raw, true);
		raw_say(&raw,
		    i < 2 ? OK_LINE "Content-Length: 5\r\n\r\nwrong" : "x");
		/* Whether the loop has seen them or not. */
		if (i % 2 == 0)
			msp_step_loop(test->loop, 20);
		start_to(test, "POST", "/b", &test->outcome);
		next = raw_accept(&test->listener);
		assert_true(raw_expect(&next, "\r\n\r\nbody"));
		raw_say(&next, whole_answer);
		wait_outcome(test, "late bytes");
		assert_int_equal(test->outcome.status, MSP_OK);
		assert_string_equal(
		    msp_buffer_text(&test->outcome.response.body), "ok");
		raw_close(&next);
		raw_close(&raw);
		msp_step_loop(test->loop, 20);
	}
}

static void
a_bad_request_is_not_sent(void **state)
{
	static const char *const paths[] = {
	    "a", "", "/a b", "/a\r\nX: y", "/\x7f"};
	static const char *const values[] = {"a\r\nX: y", "a\nb", "\x01"};
	client_test_t *test = *state;
	msp_request_t request;
	size_t i;

	for (i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		start_to(test, "GET", paths[i], &test->outcome);
		wait_outcome(test, paths[i]);
		assert_int_equal(test->outcome.status, MSP_E_BAD_REQUEST);
		assert_false(test->outcome.maybe_sent);
	}
	for (i = 0; i < sizeof(values) / sizeof(*values); i++) {
		request = new_request("GET", "/", NULL);
		msp_add_header(&request.headers, "X-Request-ID", values[i]);
		drop_outcome(&test->outcome);
		test->outcome = (test_outcome_t){0};
		msp_start_call(test->client, &test->options, &request,
		    keep_outcome, &test->outcome);
		wait_outcome(test, values[i]);
		assert_int_equal(test->outcome.status, MSP_E_BAD_REQUEST);
	}
	assert_false(has_newcomer(test));
}

static void
drop_client(void *ctx, msp_call_result_t *result)
{
	client_test_t *test = ctx;

	(void)result;
	test->outcome.done++;
	msp_drop_http_client(test->client);
	test->client = NULL;
}

static void
a_client_may_be_dropped_in_a_callback(void **state)
{
	client_test_t *test = *state;
	msp_request_t request;
	raw_socket_t raw;
	int i;

	for (i = 0; i < LANES + 2; i++) {
		request = new_request("GET", "/a", NULL);
		msp_start_call(
		    test->client, &test->options, &request, drop_client, test);
	}
	raw = raw_accept(&test->listener);
	assert_true(raw_expect(&raw, "\r\n\r\n"));
	raw_say(&raw, whole_answer);
	wait_outcome(test, "dropped client");
	msp_step_loop(test->loop, 20);
	assert_int_equal(test->outcome.done, 1);
	raw_close(&raw);
}

static void
a_dead_server_is_found_out(void **state)
{
	client_test_t *test = *state;
	msp_call_t *call = start_to(test, "GET", "/a", &test->outcome);
	raw_socket_t raw = raw_accept(&test->listener);
	socklen_t len = sizeof(int);
	int value = 0;
	int fd;

	assert_true(raw_expect(&raw, "\r\n\r\n"));
	fd = lws_get_socket_fd(call->lane->wsi);
	getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &value, &len);
	assert_int_equal(value, 1);
	getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, &len);
	assert_in_range(value, 1, 20000);
	raw_close(&raw);
}

int
main(void)
{
#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    CASE(each_answer_has_its_end),
	    CASE(an_answer_cut_anywhere_is_not_whole),
	    CASE(an_answer_split_anywhere_is_whole),
	    CASE(a_closed_port_refuses),
	    CASE(a_connection_may_not_come),
	    CASE(a_connection_is_kept_and_reused),
	    CASE(a_closed_connection_is_not_used),
	    CASE(a_request_is_never_sent_twice),
	    CASE(forgotten_connections_are_closed),
	    CASE(a_fresh_call_trusts_no_old_connection),
	    CASE(calls_wait_for_a_lane),
	    CASE(a_cancelled_call_is_not_heard_of),
	    CASE(late_bytes_are_no_answer),
	    CASE(a_bad_request_is_not_sent),
	    CASE(a_client_may_be_dropped_in_a_callback),
	    CASE(a_dead_server_is_found_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
