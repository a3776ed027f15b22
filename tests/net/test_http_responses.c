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

#include "client_fixture.h"

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
		raw_send_text(raw, c->answer);
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
	start_test_call(test, c->method, "/a", &test->outcome);
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
	assert_int_equal(test->outcome.no_first_byte, c->silent);
	if (!c->resets)
		assert_sent_once(test, &raw, c->name);
	raw_close(&raw);
	msp_close_idle_connections(test->client, TEST_ADDRESS, test->port);
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

	start_test_call(test, "GET", "/a", &test->outcome);
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
	msp_close_idle_connections(test->client, TEST_ADDRESS, test->port);
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

int
main(void)
{
#define CASE(name) \
	cmocka_unit_test_setup_teardown(name, set_up_client, tear_down_client)
	const struct CMUnitTest tests[] = {
	    CASE(each_answer_has_its_end),
	    CASE(an_answer_cut_anywhere_is_not_whole),
	    CASE(an_answer_split_anywhere_is_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
