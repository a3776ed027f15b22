#ifndef SUPPORT_EDGE_CALLERS_H
#define SUPPORT_EDGE_CALLERS_H

#include "busy_targets.h"

/*
 * Many callers of an edge fixture on plain sockets. Each sends one request
 * after the other, or several at once, and reads the responses in their order.
 */

#define CALLER_IDS_MAX 4 /* requests in flight on one connection */

/* How a caller sends a request, or what it does while it waits. */
typedef enum caller_manner {
	CALLER_PLAIN,
	CALLER_SENDS_PIECES, /* of few bytes each */
	CALLER_SENDS_CHUNKS, /* a chunked body in pieces, with trailers */
	CALLER_EXPECTS_CONTINUE, /* but doesn't wait for it */
	CALLER_PIPELINES, /* further requests right behind the first */
	CALLER_SENDS_EARLY, /* the next request while it awaits a response */
	CALLER_HALF_CLOSES, /* ends its side of the connection */
	CALLER_RESETS, /* resets the connection while it waits */
	CALLER_STALLS_IN_HEAD, /* for about `stall` */
	CALLER_STALLS_IN_BODY,
	CALLER_MANNER_COUNT
} caller_manner_t;

typedef struct edge_caller {
	int fd; /* -1: not connected */
	caller_manner_t manner;
	char ids[CALLER_IDS_MAX][32]; /* of the requests without a response */
	unsigned int id_count;
	msp_buffer_t output;
	size_t sent;
	size_t stall_at; /* bytes of `output` before the pause; 0: none */
	msp_time_t next_send;
	msp_time_t next_act; /* of HALF_CLOSES, RESETS, SENDS_EARLY; 0: done */
	msp_time_t give_up; /* closes the connection */
	msp_time_t next_request;
	msp_buffer_t input;
	unsigned int served; /* responses on this connection */
} edge_caller_t;

typedef struct edge_callers {
	busy_targets_t *targets;
	msp_rng_t rng;
	unsigned int count;
	uint32_t manners; /* bits of the manners in use */
	uint32_t deadline_min_ms; /* of Deadline-Ms */
	uint32_t deadline_max_ms;
	uint32_t patience_ms; /* after Deadline-Ms, until the caller gives up */
	msp_time_t stall; /* of the manners that stall, +-10% */
	msp_time_t pause_max; /* between two requests */
	bool stopping; /* callers send no more requests */
	unsigned int request_count; /* begun */
	unsigned int connection_count;
	unsigned int cut_count; /* requests whose connection ended */
	unsigned int statuses[600]; /* answers by status */
	edge_caller_t *callers;
} edge_callers_t;

/* The members up to `pause_max` are set already. */
void open_edge_callers(edge_callers_t *callers);
void close_edge_callers(edge_callers_t *callers);

/* Runs the callers, the targets and the fixture for one turn of up to 1 ms. */
void step_edge_callers(edge_callers_t *callers);

/* The same for a time. */
void run_edge_callers(edge_callers_t *callers, msp_time_t duration);

/* Waits until no caller awaits a response and no target has a job. */
void finish_edge_callers(edge_callers_t *callers);

/* Prints the number of answers of each status. */
void print_edge_callers(const edge_callers_t *callers, const char *name);

#endif
