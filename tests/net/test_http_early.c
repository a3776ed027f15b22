#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "server_fixture.h"

#define TURNS 30 /* of the loop, for the server to read what was sent */
#define LONG_BODY                                                              \
	"01234567890123456789012345678901234567890123456789012345678901234567" \
	"89"

static void
run_turns(server_test_t *test)
{
	int i;

	for (i = 0; i < TURNS; i++)
		msp_step_loop(test->loop, 1);
}

static void
answer_held_request(server_test_t *test)
{
	msp_response_t response = {.status = 200};
	msp_exchange_t *exchange = test->pending_exchange;

	assert_non_null(exchange);
	test->pending_exchange = NULL;
	msp_append_printf(&response.body, "<held>");
	msp_send_exchange_response(exchange, &response);
}

/* Guards against a body that is taken from the request's own head. */
static void
early_head_is_not_taken_for_the_body(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_send_text(&raw,
	    "POST /hold HTTP/1.1\r\n" HOST "Content-Length: 3\r\n\r\nabc"
	    "POST /a HTTP/1.1\r\n" HOST "Content-Length: 70\r\n\r\n");
	run_turns(test);
	assert_int_equal(test->request_count, 1);
	answer_held_request(test);
	assert_true(raw_expect(&raw, "<held>"));
	raw_send_text(&raw, LONG_BODY);
	assert_true(raw_expect(&raw, "<POST /a 70>"));
	assert_int_equal(test->request_count, 2);
	raw_close(&raw);
	assert_serving(test, "after an early request");
}

#define POST(path) \
	"POST " path " HTTP/1.1\r\n" HOST "Content-Length: 3\r\n\r\nabc"
#define GET(path) "GET " path " HTTP/1.1\r\n" HOST "\r\n"

/* Requests of which the later ones come before the first response. */
typedef struct early_case {
	const char *name;
	const char *parts[2]; /* sent one after the other */
	unsigned int handled_early; /* before the first response */
	unsigned int handled;
	const char *last_response;
} early_case_t;

/*
 * Guards against requests that are lost, or run before they may, since they
 * came before the response to an earlier one. Only GET may overlap.
 */
static void
early_requests_are_handled_in_order(void **state)
{
	static const early_case_t cases[] = {
	    {"GET, GET", {GET("/hold") GET("/b")}, 2, 2, "<GET /b 0>"},
	    {"POST, GET", {POST("/hold") GET("/b")}, 1, 2, "<GET /b 0>"},
	    {"GET, POST", {GET("/hold") POST("/b")}, 1, 2, "<POST /b 3>"},
	    {"POST, POST", {POST("/hold") POST("/b")}, 1, 2, "<POST /b 3>"},
	    {"POST, POST at once", {POST("/a") POST("/b")}, 2, 2,
		"<POST /b 3>"},
	    {"POST, GET at once", {POST("/a") GET("/b")}, 2, 2, "<GET /b 0>"},
	    {"GET, then GET", {GET("/hold"), GET("/b")}, 2, 2, "<GET /b 0>"},
	    {"POST, then GET", {POST("/hold"), GET("/b")}, 1, 2, "<GET /b 0>"},
	    {"POST, then POST", {POST("/hold"), POST("/b")}, 1, 2,
		"<POST /b 3>"},
	    {"GET, GET, POST", {GET("/hold") GET("/b") POST("/c")}, 2, 3,
		"<POST /c 3>"},
	    {"GET, POST, GET", {GET("/hold") POST("/b") GET("/c")}, 1, 3,
		"<GET /c 0>"},
	    {"part of the body, then the rest and POST",
		{"POST /hold HTTP/1.1\r\n" HOST "Content-Length: 3\r\n\r\nab",
		    "c" POST("/b")},
		1, 2, "<POST /b 3>"},
	    {"POST, PUT without length",
		{POST("/hold") "PUT /b HTTP/1.1\r\n" HOST "\r\n"}, 1, 2,
		"<PUT /b 0>"},
	    {"POST, chunks",
		{POST("/hold") "POST /b HTTP/1.1\r\n" HOST
			       "Transfer-Encoding: chunked\r\n\r\n"
			       "1\r\na\r\n0\r\n\r\n"},
		1, 2, "<POST /b 1>"},
	    {"POST, half a head, then the rest",
		{POST("/hold") "GET /b HTTP/1.1\r\nHo", "st: a\r\n\r\n"}, 1, 2,
		"<GET /b 0>"},
	};
	server_test_t *test = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		raw_socket_t raw = raw_connect(test->loop, test->port);
		unsigned int before = test->request_count;

		raw_send_text(&raw, cases[i].parts[0]);
		run_turns(test);
		if (cases[i].parts[1] != NULL)
			raw_send_text(&raw, cases[i].parts[1]);
		run_turns(test);
		if (test->request_count - before != cases[i].handled_early)
			fail_msg("%s: %u handled early", cases[i].name,
			    test->request_count - before);
		if (test->pending_exchange != NULL)
			answer_held_request(test);
		if (!raw_expect(&raw, cases[i].last_response))
			fail_msg("%s: %s", cases[i].name,
			    msp_buffer_text(&raw.input));
		run_turns(test);
		raw_read(&raw);
		if (test->request_count - before != cases[i].handled ||
		    raw.closed)
			fail_msg("%s: %u handled, closed %d", cases[i].name,
			    test->request_count - before, raw.closed);
		raw_close(&raw);
	}
	assert_serving(test, "after early requests");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		early_head_is_not_taken_for_the_body, set_up_server,
		tear_down_server),
	    cmocka_unit_test_setup_teardown(early_requests_are_handled_in_order,
		set_up_server, tear_down_server),
	};

	return cmocka_run_group_tests_name("early requests", tests, NULL, NULL);
}
