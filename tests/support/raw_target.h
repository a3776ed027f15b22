#ifndef SUPPORT_RAW_TARGET_H
#define SUPPORT_RAW_TARGET_H

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/map.h"
#include "monsoonspindle/net.h"

/*
 * Targets on plain TCP sockets, which execute each request that they read,
 * count executions by Request-Id, and may send one extra response.
 */

#define RAW_TARGETS 2
#define RAW_ID_SIZE 64 /* bytes of a request id, with the null byte */

/* When the extra response is sent on a connection. */
typedef enum extra_time {
	EXTRA_WITH_RESPONSE, /* in the same write as a complete response */
	EXTRA_BEFORE_REQUEST, /* on send_extra_response() */
	EXTRA_AFTER_REQUEST, /* when the next request was read */
	/* When the next request was read and has the id of the previous one. */
	EXTRA_AFTER_SAME_ID,
} extra_time_t;

/* Whose Request-Id the extra response bears. */
typedef enum extra_id {
	EXTRA_ID_PREVIOUS, /* that of the previous request on the connection */
	EXTRA_ID_NONE,
	EXTRA_ID_FOREIGN, /* that of no request */
} extra_id_t;

typedef struct extra_response {
	const char *name;
	const char *status_line; /* after the version */
	extra_id_t id;
	bool not_executed;
	bool is_signed;
	bool is_copy; /* the body is that of the previous response */
} extra_response_t;

typedef struct raw_targets raw_targets_t;

typedef struct raw_target_connection {
	TAILQ_ENTRY(raw_target_connection) link;
	raw_targets_t *targets;
	int fd;
	msp_buffer_t input;
	char id[RAW_ID_SIZE]; /* of the request that is being executed */
	char previous_id[RAW_ID_SIZE]; /* of the previous one */
	bool busy;
	bool sheds; /* the current request is not executed */
	bool misdirected; /* because it is for another target */
	msp_time_t due; /* of the response */
	unsigned int request_count;
	bool had_extra;
	bool reused; /* a request was read after the extra response */
	bool closed; /* by the daemon */
} raw_target_connection_t;

TAILQ_HEAD(raw_target_connections, raw_target_connection);

struct raw_targets {
	msp_env_t env;
	msp_timer_t *timer;
	int listeners[RAW_TARGETS];
	uint16_t ports[RAW_TARGETS];
	struct raw_target_connections connections;
	msp_map_t *executions; /* unsigned int by request id */
	msp_time_t work; /* time that a request takes */
	unsigned int
	    shed_one_in; /* of so many requests, one is shed; 0: none */
	bool sheds_without_id;
	/* If set, requests for another target get 421 and are not executed. */
	const char *instance;
	bool holds; /* sends no responses for now */
	unsigned int request_count;
	bool armed; /* the extra response is still to be sent */
	const char *extra_method; /* of the request that is to meet it */
	extra_time_t extra_time;
	const extra_response_t *extra;
	unsigned int extra_count; /* extra responses that were sent */
};

raw_targets_t *new_raw_targets(msp_loop_t *loop);
void drop_raw_targets(raw_targets_t *targets);

/*
 * Sends `extra` once, on the first connection that has had a response. If it is
 * sent after a request, that is one with this method.
 */
void arm_extra_response(raw_targets_t *targets, extra_time_t time,
    const extra_response_t *extra, const char *method);

/* Sends the extra response on the connection of the last response. */
void send_extra_response(raw_targets_t *targets);

/* Closes all connections; the targets go on listening. */
void close_target_connections(raw_targets_t *targets);

/* Connection that got the extra response; NULL before that. */
const raw_target_connection_t *find_extra_connection(
    const raw_targets_t *targets);

/* How often a request was executed, by all targets together. */
unsigned int count_executions(const raw_targets_t *targets, const char *id);

#endif
