#ifndef SPINDLED_PROBLEM_H
#define SPINDLED_PROBLEM_H

#include "monsoonspindle/base/refusal.h"
#include "monsoonspindle/net/http_server.h"

/* A refusal as its caller sees it. Strings are borrowed; NULL if absent. */
typedef struct problem {
	msp_refusal_t refusal;
	const char *request_id;
	const char *key;
	uint32_t attempt; /* the caller's own number of the try; 0: none */
	bool include_run; /* tell `run` and `try` */
} problem_t;

/* Answers with a problem document (RFC 9457), and Retry-After if it applies. */
void answer_problem(msp_exchange_t *exchange, const problem_t *problem);

/* Answers with the last message as detail; for requests that run nothing. */
void answer_error(msp_exchange_t *exchange, msp_status_t status);

/* Answers with a JSON text. */
void answer_json(msp_exchange_t *exchange, int http_status, const char *text);

#endif
