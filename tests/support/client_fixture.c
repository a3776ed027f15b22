#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <sys/select.h>
#include <sys/socket.h>

#include "client_fixture.h"

int
set_up_client(void **state)
{
	static client_test_t test;
	msp_http_client_options_t options = {
	    .max_connections_per_server = CLIENT_CONNECTIONS_MAX,
	    .max_response_body = MAX_RESPONSE_BODY,
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

int
tear_down_client(void **state)
{
	client_test_t *test = *state;

	drop_outcome(&test->outcome);
	msp_drop_http_client(test->client);
	raw_close(&test->listener);
	msp_drop_loop(test->loop);
	return 0;
}

msp_call_t *
start_test_call(client_test_t *test, const char *method, const char *path,
    test_outcome_t *outcome)
{
	msp_request_t request = new_request(
	    method, path, strcmp(method, "POST") == 0 ? "body" : NULL);
	msp_call_t *call;

	drop_outcome(outcome);
	*outcome = (test_outcome_t){0};
	call = msp_start_call(
	    test->client, &test->options, &request, store_outcome, outcome);
	assert_non_null(call);
	assert_int_equal(outcome->done_count, 0);
	return call;
}

void
wait_outcome(client_test_t *test, const char *name)
{
	if (!run_until_count(test->loop, &test->outcome.done_count, 1))
		fail_msg("%s: the call did not end", name);
	assert_int_equal(test->outcome.done_count, 1);
}

/* Fails if a second request was sent, on this connection or another. */
void
assert_sent_once(client_test_t *test, raw_socket_t *raw, const char *name)
{
	int i;
	int fd;

	for (i = 0; i < 3; i++)
		msp_step_loop(test->loop, 5);
	fd = accept(test->listener.fd, NULL, NULL);
	if (fd >= 0)
		fail_msg("%s: opened a second connection", name);
	raw_read(raw);
	if (strstr(msp_buffer_text(&raw->input), "HTTP/1.1\r\n") != NULL) {
		const char *first =
		    strstr(msp_buffer_text(&raw->input), "HTTP/1.1\r\n");

		if (strstr(first + 1, "HTTP/1.1\r\n") != NULL)
			fail_msg("%s: sent twice", name);
	}
}

const char complete_response[] = OK_LINE "Content-Length: 2\r\n\r\nok";

void
complete_one_call(client_test_t *test, raw_socket_t *raw, bool connects)
{
	raw_clear_input(raw);
	start_test_call(test, "GET", "/a", &test->outcome);
	if (connects)
		*raw = raw_accept(&test->listener);
	assert_true(raw_expect(raw, "\r\n\r\n"));
	raw_send_text(raw, complete_response);
	wait_outcome(test, "response");
	assert_int_equal(test->outcome.status, MSP_OK);
}

bool
has_pending_connection(void *ctx)
{
	client_test_t *test = ctx;
	fd_set set;
	struct timeval none = {0};

	FD_ZERO(&set);
	FD_SET(test->listener.fd, &set);
	return select(test->listener.fd + 1, &set, NULL, NULL, &none) > 0;
}
