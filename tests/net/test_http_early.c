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

/*
 * Guards against a body that begins with the request's own head: libwebsockets
 * reads the body of a request that it has kept since the previous one from the
 * beginning of what it has kept.
 */
static void
early_head_is_not_taken_for_the_body(void **state)
{
	server_test_t *test = *state;
	raw_socket_t raw = raw_connect(test->loop, test->port);

	raw_send_text(&raw,
	    "POST /hold HTTP/1.1\r\n" HOST "Content-Length: 3\r\n\r\nabc"
	    "POST /a HTTP/1.1\r\n" HOST "Content-Length: 70\r\n\r\n");
	run_turns(test);
	answer_held_request(test);
	assert_true(raw_expect(&raw, "<held>"));
	raw_send_text(&raw, LONG_BODY);
	assert_true(raw_expect_close(&raw));
	/* The second request is not read, so that the client may repeat it. */
	assert_null(strstr(msp_buffer_text(&raw.input), "<POST /a"));
	assert_int_equal(test->request_count, 1);
	raw_close(&raw);
	assert_serving(test, "after an early request");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		early_head_is_not_taken_for_the_body, set_up_server,
		tear_down_server),
	};

	return cmocka_run_group_tests_name("early requests", tests, NULL, NULL);
}
