#ifndef MONSOONSPINDLE_TESTS_NET_FIXTURE_H
#define MONSOONSPINDLE_TESTS_NET_FIXTURE_H

#include "monsoonspindle/net.h"

#define TEST_ADDRESS "127.0.0.1"
#define TEST_TIMEOUT_MS 10000 /* longest wait for a condition */

/* Runs the loop until the condition holds; false after TEST_TIMEOUT_MS. */
bool run_until(msp_loop_t *loop, bool (*holds)(void *ctx), void *ctx);

/* The same until *count is at least `wanted`. */
bool run_until_count(
    msp_loop_t *loop, const unsigned int *count, unsigned int wanted);

/* Result of an HTTP call. */
typedef struct test_outcome {
	unsigned int done_count; /* how often `done` was called */
	msp_status_t status;
	bool maybe_sent;
	bool no_first_byte;
	uint64_t connection;
	uint32_t responses_before;
	int http_status;
	msp_response_t response;
} test_outcome_t;

/* Callback of a call; moves the response to `ctx`, a test_outcome_t. */
void store_outcome(void *ctx, msp_call_result_t *result);
void drop_outcome(test_outcome_t *outcome);

msp_request_t new_request(
    const char *method, const char *path, const char *body);

/* Procedure 1 of an RPC program: returns its argument, a uint32_t, plus 1. */
extern const msp_rpc_procedure_t successor_procedure;

#endif
