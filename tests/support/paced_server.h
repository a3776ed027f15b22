#ifndef SUPPORT_PACED_SERVER_H
#define SUPPORT_PACED_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base.h"

/*
 * A server on plain sockets that sends the same HTTP response to each request,
 * at a limited rate, like a server behind a slow link. It runs only while
 * step_paced_server() is called.
 */

#define PACED_CONNECTIONS 16

typedef struct paced_connection {
	int fd; /* -1: not open */
	char head[2048]; /* of the request that is being received */
	size_t head_len;
	bool responding;
	size_t sent; /* bytes of the response */
	size_t stop_at; /* bytes after which it stops for good */
	msp_time_t started; /* when the response began */
} paced_connection_t;

typedef struct paced_server {
	int listener;
	uint16_t port;
	msp_buffer_t response; /* with its head */
	double bytes_per_second; /* of each connection */
	/* The first responses, this many, stop in the middle for good. */
	unsigned int stopped_responses;
	unsigned int request_count;
	char last_request[2048];
	paced_connection_t connections[PACED_CONNECTIONS];
} paced_server_t;

void open_paced_server(paced_server_t *server);
void close_paced_server(paced_server_t *server);

/* Sets the body of the responses from now on. */
void set_paced_body(paced_server_t *server, const char *body, size_t len);

/* Accepts, reads and sends what is due, without waiting. */
void step_paced_server(paced_server_t *server, msp_time_t now);

#endif
