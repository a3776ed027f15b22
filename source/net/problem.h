#ifndef MONSOONSPINDLE_NET_PROBLEM_H
#define MONSOONSPINDLE_NET_PROBLEM_H

#include "monsoonspindle/net/http.h"

/* Bytes of a complete HTTP response with a problem document. */
#define MSP_PROBLEM_RESPONSE_MAX 1024

/* Fills `response` with the problem document of `status` (RFC 9457). */
void msp_fill_problem(msp_response_t *response, msp_status_t status);

/*
 * Prints a complete HTTP response with the problem document of `status` and
 * "connection: close". Returns its length.
 */
size_t msp_print_problem(
    msp_status_t status, char out[MSP_PROBLEM_RESPONSE_MAX]);

#endif
