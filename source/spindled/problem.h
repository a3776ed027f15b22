#ifndef SPINDLED_PROBLEM_H
#define SPINDLED_PROBLEM_H

#include "monsoonspindle/base/refusal.h"
#include "monsoonspindle/net/http_server.h"

/* The contents of a problem document. Strings are borrowed; NULL: left out. */
typedef struct problem {
	msp_refusal_t refusal;
	const char *request_id;
	const char *key;
	uint32_t attempt_number; /* counted by the caller; 0: not given */
	bool include_run; /* add the members `run` and `try` */
} problem_t;

/* Answers with a problem document (RFC 9457), and Retry-After if it applies. */
void answer_problem(msp_exchange_t *exchange, const problem_t *problem);

/*
 * Answers with the last message as detail, without `run` and `try`: for
 * requests that are not sent to targets.
 */
void answer_error(msp_exchange_t *exchange, msp_status_t status);

void answer_json(msp_exchange_t *exchange, int http_status, const char *text);

#endif
