#ifndef MONSOONSPINDLE_NET_PROBLEM_H
#define MONSOONSPINDLE_NET_PROBLEM_H

#include "monsoonspindle/net/http.h"

#define MSP_PROBLEM_RESPONSE_MAX 1024 /* bytes of a whole refusal on the wire \
				       */

/* Fills `response` with the problem document of `status` (RFC 9457). */
void msp_fill_problem(msp_response_t *response, msp_status_t status);

/*
 * Writes a whole answer with the problem document of `status`, for a
 * connection that is closed after it. Returns its length.
 */
size_t msp_print_problem(
    msp_status_t status, char out[MSP_PROBLEM_RESPONSE_MAX]);

#endif
