#ifndef SPINDLED_FORWARD_CODEC_H
#define SPINDLED_FORWARD_CODEC_H

#include "monsoonspindle/config/organisation.h"
#include "monsoonspindle/net/http.h"
#include "proxy_request.h"

/*
 * A request that one VM forwards to another, as an HTTP message between their
 * peer listeners: the caller's request with internal headers, and without the
 * caller's API key if there are organisations. Its answer is that of
 * encode_proxy_result(). The second VM never forwards it again.
 */
typedef struct forward_terms {
	char id[PROXY_ID_SIZE]; /* of this hop; the answer has it too */
	char vm[PROXY_NAME_SIZE]; /* that forwards the request */
	bool is_idempotent; /* by the routes of the first VM */
	uint64_t routes_version; /* of these routes */
	uint32_t attempts_left; /* targets that may get the request */
	uint32_t time_left_ms; /* for the answer of the second VM */
	/* Of the caller, by the first VM; "": none. */
	char organisation[MSP_ORGANISATION_NAME_SIZE];
} forward_terms_t;

/* Whether a request that the peer listener received is a forwarded one. */
bool is_forwarded_request(const msp_request_t *request);

/* Fills `out`, owned by the caller, with a copy of `request` and the terms. */
msp_status_t encode_forwarded_request(const msp_request_t *request,
    const forward_terms_t *terms, msp_request_t *out);

/* MSP_E_BAD_REQUEST if a header is missing or malformed. */
msp_status_t decode_forward_terms(
    const msp_request_t *request, forward_terms_t *out);

/* Adds the number of attempts that the second VM has used. */
msp_status_t add_forward_attempts(msp_response_t *response, uint32_t attempts);

/* Returns `fallback` if the response does not say it. */
uint32_t get_forward_attempts(
    const msp_response_t *response, uint32_t fallback);

/* Whether the response has the id of the hop. */
bool is_forward_answer(const msp_response_t *response, const char *id);

#endif
