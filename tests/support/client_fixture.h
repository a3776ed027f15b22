#ifndef SUPPORT_CLIENT_FIXTURE_H
#define SUPPORT_CLIENT_FIXTURE_H

#include "../../source/net/client.h"
#include "raw_socket.h"

/* An HTTP client, and a listener for tests that act as its server. */

#define CLIENT_CONNECTIONS_MAX 2
#define MAX_RESPONSE_BODY 1000

#define OK_LINE "HTTP/1.1 200 OK\r\n"

typedef struct client_test {
	msp_loop_t *loop;
	msp_http_client_t *client;
	raw_socket_t listener;
	uint16_t port;
	msp_call_options_t options;
	test_outcome_t outcome; /* of the call that the test waits for */
} client_test_t;

/* Set-up and clean-up for cmocka; *state is a client_test_t. */
int set_up_client(void **state);
int tear_down_client(void **state);

/* Starts a call; a POST has the body "body". */
msp_call_t *start_test_call(client_test_t *test, const char *method,
    const char *path, test_outcome_t *outcome);

/* Waits for the end of the call of test->outcome; `name` is the test case. */
void wait_outcome(client_test_t *test, const char *name);
void assert_sent_once(client_test_t *test, raw_socket_t *raw, const char *name);

extern const char complete_response[]; /* with the body "ok" */

/*
 * Starts a call and responds to it on `raw`, which is first set to a newly
 * accepted connection if `connects`. The connection stays open.
 */
void complete_one_call(client_test_t *test, raw_socket_t *raw, bool connects);

/* Whether there is a connection to accept; `ctx` is the client_test_t. */
bool has_pending_connection(void *ctx);

#endif
