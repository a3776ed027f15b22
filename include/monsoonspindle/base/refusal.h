#ifndef MONSOONSPINDLE_BASE_REFUSAL_H
#define MONSOONSPINDLE_BASE_REFUSAL_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

/* How a request is scheduled and whether it may be repeated. */
typedef enum msp_request_class {
	MSP_CLASS_INTERACTIVE, /* a read that a user waits for */
	MSP_CLASS_COMMIT, /* not idempotent: executed at most once */
	MSP_CLASS_BACKGROUND, /* a read that can wait */
	MSP_CLASS_COUNT
} msp_request_class_t;

/* "interactive", "commit" or "background". */
const char *msp_request_class_name(msp_request_class_t class);

/* MSP_E_RANGE if `name` is none of these. */
msp_status_t msp_parse_request_class(
    const char *name, msp_request_class_t *class);

/* Whether the request was executed, over all its attempts. */
typedef enum msp_run_status {
	MSP_RUN_NOT_EXECUTED, /* not executed, and no earlier attempt will be */
	MSP_RUN_UNKNOWN /* it may have been or may still be executed */
} msp_run_status_t;

/* "no" or "unknown". */
const char *msp_run_status_name(msp_run_status_t run);

/* The final response to a request that could not be served. */
typedef struct msp_refusal {
	msp_status_t status;
	msp_run_status_t run;
	bool attempt_started; /* this attempt may have reached a target */
	uint32_t retry_after_ms; /* 0: a retry is of no use */
	const char *reason; /* one line of text; not owned */
} msp_refusal_t;

#endif
