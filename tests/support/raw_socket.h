#ifndef MONSOONSPINDLE_TESTS_RAW_SOCKET_H
#define MONSOONSPINDLE_TESTS_RAW_SOCKET_H

#include "net_fixture.h"

/* A plain TCP peer, to send and to see bytes that the package would not. */
typedef struct raw_socket {
	msp_loop_t *loop; /* run while waiting */
	int fd;
	msp_buffer_t input; /* what has come */
	bool closed; /* by the other side */
	size_t wanted;
	const char *expected_text;
} raw_socket_t;

/* Connects to a port of the loopback; the loop need not run. */
raw_socket_t raw_connect(msp_loop_t *loop, uint16_t port);

/* Starts to connect a socket that does not block. */
void raw_begin_connect(raw_socket_t *raw, uint16_t port);

/* Opens a listener; fd of the listener in `fd`. */
raw_socket_t raw_listen(msp_loop_t *loop, uint16_t *port);

/* Waits for a connection at a listener. */
raw_socket_t raw_accept(raw_socket_t *listener);

/* Sends all, running the loop while the socket is full; false on an error. */
bool raw_send(raw_socket_t *raw, const char *data, size_t len);
bool raw_send_text(raw_socket_t *raw, const char *text);

/* Waits until `text` has come, or the end; false if it never does. */
bool raw_expect(raw_socket_t *raw, const char *text);
bool raw_expect_close(raw_socket_t *raw);

/* Reads what is there, without waiting. */
void raw_read(raw_socket_t *raw);
void raw_clear_input(raw_socket_t *raw);
void raw_close(raw_socket_t *raw);

/* Closes with a reset. */
void raw_reset(raw_socket_t *raw);

#endif
