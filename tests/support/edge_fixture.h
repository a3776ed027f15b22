#ifndef SUPPORT_EDGE_FIXTURE_H
#define SUPPORT_EDGE_FIXTURE_H

#include <sys/types.h>

#include "monsoonspindle/net.h"
#include "monsoonspindle/platform.h"

/*
 * One real spindled process that sends to targets by itself, and around it, in
 * the test's own process, the stand-in of the store, targets and a caller.
 */

#define EDGE_TARGETS 3

/* What a target does with the requests that it gets. */
typedef enum target_behaviour {
	TARGET_ANSWERS,
	TARGET_SHEDS, /* says that it did not run it */
	TARGET_IS_REPLACED, /* says that another target stands here */
	TARGET_CUTS, /* closes the connection without an answer */
	TARGET_EXITS, /* as a process that crashes: refuses connections then */
	TARGET_TRUNCATES_BODY, /* the body breaks off */
	TARGET_SENDS_WRONG_ID, /* its answer bears another id */
	TARGET_OMITS_SIGNATURE,
	TARGET_FAILS, /* its own 500 */
	TARGET_SENDS_BARE_503, /* 503, signed, without saying that it did not
				* run
				*/
	TARGET_SENDS_BARE_429, /* the same with 429 */
	TARGET_HOLDS, /* answers when told to */
} target_behaviour_t;

typedef struct edge_fixture edge_fixture_t;

typedef struct edge_target {
	edge_fixture_t *fixture;
	msp_http_server_t *server; /* NULL: it has ended */
	uint16_t port;
	target_behaviour_t behaviour;
	unsigned int request_count; /* requests, without health requests */
	unsigned int probe_count;
	unsigned int closed_count; /* held requests whose connection closed */
	msp_exchange_t *pending;
	char id[16];
	char seen_host[64]; /* of the last request */
	uint32_t seen_time_left_ms; /* of the last request, ms */
} edge_target_t;

struct edge_fixture {
	msp_env_t env;
	msp_loop_t *loop;
	msp_memory_store_t *memory_store;
	msp_store_service_t *service;
	msp_http_server_t *store_server;
	msp_http_client_t *client;
	edge_target_t targets[EDGE_TARGETS];
	msp_http_server_t *remote_vm; /* a VM of another data centre */
	unsigned int
	    strike_message_count; /* messages about strikes that it got */
	msp_buffer_t strike_text; /* of the last one */
	uint16_t caller_port;
	uint16_t readiness_port;
	uint16_t directory_port;
	uint16_t metrics_port;
	uint16_t peer_port;
	uint32_t deadline_ms; /* that callers tell */
	char settings_path[128];
	char log_path[128];
	pid_t pid;
};

/* The answer that a caller got. */
typedef struct caller_answer {
	unsigned int done;
	msp_status_t status; /* MSP_OK: the answer is whole */
	int http_status;
	char body[256];
	bool is_signed;
	char retry_after[16]; /* "": none */
} caller_answer_t;

/* Starts the world, without rows in the store; waits for the listeners. */
edge_fixture_t *new_edge_fixture(void);

/* The same beside a VM of another data centre, which hears of strikes. */
edge_fixture_t *new_edge_fixture_with_remote_vm(void);
void drop_edge_fixture(edge_fixture_t *world);

/* Sets or, with `value` NULL, removes a row of the store. */
void put_edge_row(edge_fixture_t *world, const char *table, const char *key,
    const char *value);

/* The routes /read/ (idempotent) and /write/ (not), as version `version`. */
void put_edge_routes(edge_fixture_t *world, unsigned int version);
void put_edge_target(edge_fixture_t *world, unsigned int index, bool draining);

/* Routes and all targets, and waits until requests are served. */
void set_up_routes_and_targets(edge_fixture_t *world);

/* Starts a request; `answer` is filled while the world runs. */
msp_call_t *start_edge_request(edge_fixture_t *world, uint16_t port,
    const char *method, const char *path, caller_answer_t *answer);

/* The same, to the callers' port, and waits for its end. */
void send_edge_request(edge_fixture_t *world, const char *method,
    const char *path, caller_answer_t *answer);

/* Tells the daemon what another VM told of strikes; returns the HTTP status. */
int post_strikes(edge_fixture_t *world, const char *text);

/* Runs everything until *count is at least `least`; fails if it never is. */
void run_edge_until(
    edge_fixture_t *world, const unsigned int *count, unsigned int least);
void run_edge_for(edge_fixture_t *world, msp_time_t span);

/* Starts the targets that have ended, at the same ports. */
void restart_targets(edge_fixture_t *world);

/* Answers the held request of a target. */
void answer_pending_request(edge_target_t *target);

/* Requests that all targets got. */
unsigned int count_target_requests(const edge_fixture_t *world);

/* Waits for the end of the process; returns its exit code. */
int wait_edge_exit(edge_fixture_t *world);

/* Runs everything until the log holds the text; fails if not within `span`. */
void run_edge_until_logged(
    edge_fixture_t *world, const char *text, msp_time_t span);

/* Whether the log holds the text. */
bool edge_log_has(const edge_fixture_t *world, const char *text);

#endif
