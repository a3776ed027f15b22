#ifndef MONSOONSPINDLE_NET_RETRY_AFTER_H
#define MONSOONSPINDLE_NET_RETRY_AFTER_H

#include <stdint.h>

#include "monsoonspindle/net/http.h"

/* The header field Retry-After of a response, in seconds. */

typedef enum msp_retry_after_form {
	MSP_RETRY_AFTER_MISSING,
	MSP_RETRY_AFTER_VALID,
	MSP_RETRY_AFTER_CUT, /* more than MSP_RETRY_AFTER_MAX_MS */
	MSP_RETRY_AFTER_MALFORMED, /* no decimal number; dates are none */
} msp_retry_after_form_t;

#define MSP_RETRY_AFTER_MAX_MS 3600000

typedef struct msp_retry_after {
	msp_retry_after_form_t form;
	uint32_t ms; /* 0 unless it is valid or cut */
} msp_retry_after_t;

/* "missing", "valid", "cut" or "malformed". */
const char *msp_retry_after_form_name(msp_retry_after_form_t form);

/* If there are several, the longest time that one of them names counts. */
msp_retry_after_t msp_read_retry_after(const msp_headers_t *headers);

#endif
