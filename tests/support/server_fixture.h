#ifndef SUPPORT_SERVER_FIXTURE_H
#define SUPPORT_SERVER_FIXTURE_H

#include "../../source/net/connection.h"
#include "raw_socket.h"

/* An HTTP server with small limits, for tests that act as its clients. */

#define MAX_BODY 1000
#define MAX_HEADERS 4000
#define MAX_CONNECTIONS 8
#define LARGE_RESPONSE (8 * 1024 * 1024) /* more than socket buffers hold */

typedef struct server_test {
	msp_loop_t *loop;
	msp_http_server_t *server;
	uint16_t port;
	unsigned int request_count;
	unsigned int disconnect_count;
	/* Last unanswered request for a path that starts with /hold. */
	msp_exchange_t *pending_exchange;
	unsigned int refusal_count; /* calls of on_refusal */
	msp_status_t refusal_status; /* of the last one, as the next members */
	char refused_path[64]; /* "": no head was read */
	size_t refused_body_len;
} server_test_t;

#define HOST "Host: a\r\n"

/* Set-up and clean-up for cmocka; *state is a server_test_t. */
int set_up_server(void **state);
int tear_down_server(void **state);
void assert_serving(server_test_t *test, const char *name);

#endif
