#ifndef SPINDLED_CALLER_REQUEST_H
#define SPINDLED_CALLER_REQUEST_H

#include <bsd/sys/queue.h>

#include "monsoonspindle/net/http_server.h"
#include "proxy_request.h"

struct daemon;

/*
 * A caller's request at its entry VM: the VM that received it from the caller,
 * or the one that decides about its idempotency key.
 */
typedef struct caller_request {
	TAILQ_ENTRY(caller_request) link;
	struct daemon *daemon;
	msp_exchange_t *exchange; /* NULL once the caller has disconnected */
	uint32_t attempt_number; /* counted by the caller; 0: not given */
	/*
	 * The claim of a non-idempotent request; NULL before it is claimed and
	 * after the final verdict.
	 */
	struct msp_claim_request *claim_request;
	bool forwarded; /* by another VM, which gets an encoded result */
	/* If `forwarded`: for msp_claim_request_params_t. */
	bool arrived_after_release;
	msp_digest_t released_nonce;
	proxy_request_t proxy;
} caller_request_t;

/* The callers' requests that this VM has not answered. */
typedef struct caller_requests caller_requests_t;

caller_requests_t *new_caller_requests(struct daemon *daemon);
void drop_caller_requests(caller_requests_t *requests);
size_t count_caller_requests(const caller_requests_t *requests);

/* Opens the listener for callers. Returns NULL with a last message. */
msp_http_server_t *open_caller_listener(struct daemon *daemon);

/* Adds a request to the list. Returns NULL without memory. */
caller_request_t *new_caller_request(
    struct daemon *daemon, msp_exchange_t *exchange);

/*
 * Frees the request of a caller that has disconnected. An idempotent request is
 * cancelled down to its target; a non-idempotent one continues, and its outcome
 * is stored for the caller's next attempt.
 */
void abandon_caller_request(caller_request_t *request);

/* Responds to the caller, if it is still connected, and frees the request. */
void answer_caller_request(caller_request_t *request, proxy_result_t *result);

/* Refuses and frees the request. The reason of `refusal` is borrowed. */
void refuse_caller_request(
    caller_request_t *request, const msp_refusal_t *refusal);

#endif
