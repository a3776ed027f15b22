#ifndef MONSOONSPINDLE_TESTS_RAW_SOCKET_H
#define MONSOONSPINDLE_TESTS_RAW_SOCKET_H

#include "net_fixture.h"

/*
 * A plain TCP socket, for tests that send or receive arbitrary bytes as an HTTP
 * client or server. The functions run the loop while they wait.
 */
typedef struct raw_socket {
	msp_loop_t *loop;
	int fd;
	msp_buffer_t input; /* received data */
	bool closed; /* by the peer, or not connected */
	const char *expected_text; /* that raw_expect() waits for */
} raw_socket_t;

/* Connects to a port of the loopback address, without running the loop. */
raw_socket_t raw_connect(msp_loop_t *loop, uint16_t port);

/* Starts to connect a non-blocking socket. */
void raw_begin_connect(raw_socket_t *raw, uint16_t port);

/* Opens a listening socket on a free port. */
raw_socket_t raw_listen(msp_loop_t *loop, uint16_t *port);

/* Waits for a connection and accepts it. */
raw_socket_t raw_accept(raw_socket_t *listener);

/* Sends all of `data`; false on an error. */
bool raw_send(raw_socket_t *raw, const char *data, size_t len);
bool raw_send_text(raw_socket_t *raw, const char *text);

/* Waits until `text` was received; false on a timeout or if the peer closes. */
bool raw_expect(raw_socket_t *raw, const char *text);
/* Waits until the peer closes; false on a timeout. */
bool raw_expect_close(raw_socket_t *raw);

/* Reads the data that is available, without waiting. */
void raw_read(raw_socket_t *raw);
void raw_clear_input(raw_socket_t *raw);
void raw_close(raw_socket_t *raw);

/* Closes the connection with a reset (RST). */
void raw_reset(raw_socket_t *raw);

#endif
