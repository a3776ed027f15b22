#ifndef MONSOONSPINDLE_COORD_CLAIM_OUTCOME_H
#define MONSOONSPINDLE_COORD_CLAIM_OUTCOME_H

#include <stddef.h>

#include "monsoonspindle/base/status.h"

#define MSP_CLAIM_FIELDS_MAX 64

/* One header field of a response. */
typedef struct msp_claim_field {
	const char *name;
	const char *value;
} msp_claim_field_t;

/*
 * A target's complete response to a claimed request, as it is recorded and
 * replayed.
 */
typedef struct msp_claim_outcome {
	int http_status;
	const msp_claim_field_t *fields;
	size_t field_count;
	const char *body;
	size_t body_len; /* bytes */
} msp_claim_outcome_t;

/*
 * Returns a copy in a single allocation, to be released with free(), or NULL
 * when out of memory.
 */
msp_claim_outcome_t *msp_copy_claim_outcome(const msp_claim_outcome_t *outcome);

#endif
