#ifndef MONSOONSPINDLE_NET_PROBLEM_H
#define MONSOONSPINDLE_NET_PROBLEM_H

#include "monsoonspindle/net/http.h"

/* Fills `response` with the problem document of `status` (RFC 9457). */
void msp_fill_problem(msp_response_t *response, msp_status_t status);

#endif
