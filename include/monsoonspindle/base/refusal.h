#ifndef MONSOONSPINDLE_BASE_REFUSAL_H
#define MONSOONSPINDLE_BASE_REFUSAL_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

/* What a service's requests are to the system. */
typedef enum msp_request_class {
	MSP_CLASS_INTERACTIVE, /* a read that somebody waits for */
	MSP_CLASS_COMMIT, /* not idempotent: runs at most once */
	MSP_CLASS_BACKGROUND, /* a read that can wait */
	MSP_CLASS_COUNT
} msp_request_class_t;

/* "interactive", "commit" or "background". */
const char *msp_request_class_name(msp_request_class_t class);

/* MSP_E_RANGE if `name` is none of the three. */
msp_status_t msp_parse_request_class(
    const char *name, msp_request_class_t *class);

/* What is known about the request's effect, over all its tries. */
typedef enum msp_run_status {
	MSP_RUN_NO, /* it did not happen, and no earlier try will */
	MSP_RUN_UNKNOWN
} msp_run_status_t;

/* "no" or "unknown". */
const char *msp_run_status_name(msp_run_status_t run);

/* The final answer to a request that the system gives up. */
typedef struct msp_refusal {
	msp_status_t status;
	msp_run_status_t run;
	bool attempt_started; /* this try may have reached a target */
	uint32_t retry_after_ms; /* 0: no use in coming back */
	const char *reason; /* one line for people; static or borrowed */
} msp_refusal_t;

#endif
