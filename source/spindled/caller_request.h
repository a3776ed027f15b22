#ifndef SPINDLED_CALLER_REQUEST_H
#define SPINDLED_CALLER_REQUEST_H

#include <bsd/sys/queue.h>

#include "monsoonspindle/net/http_server.h"
#include "proxy_request.h"

struct daemon;

/* One caller's request at its entry VM. */
typedef struct caller_request {
	TAILQ_ENTRY(caller_request) link;
	struct daemon *daemon;
	msp_exchange_t *exchange; /* NULL once the caller went away */
	uint32_t
	    attempt_number; /* the caller's own number of the try; 0: none */
	struct msp_claim_request
	    *claim_request; /* of a commit, until its final verdict */
	bool forwarded; /* by another VM; answered in the form for VMs */
	bool arrived_after_release; /* as in msp_claim_request_params_t, if
				       forwarded */
	msp_digest_t released_nonce;
	proxy_request_t proxy;
} caller_request_t;

/* The callers' requests that this VM has in hand. */
typedef struct caller_requests caller_requests_t;

caller_requests_t *new_caller_requests(struct daemon *daemon);
void drop_caller_requests(caller_requests_t *entries);
size_t count_caller_requests(const caller_requests_t *entries);

/* Opens the callers' listener. Returns NULL with a last message. */
msp_http_server_t *open_caller_listener(struct daemon *daemon);

/* Takes a request in. Returns NULL without memory. */
caller_request_t *new_caller_request(
    struct daemon *daemon, msp_exchange_t *exchange);

/* The client went away: a read is cancelled, a commit goes on without it. */
void abandon_caller_request(caller_request_t *entry);

/* Answers the caller, if it is still there, and frees the entry. */
void answer_caller_request(caller_request_t *entry, proxy_result_t *result);

/* Refuses the request and frees the entry. `reason` is borrowed. */
void refuse_caller_request(
    caller_request_t *entry, const msp_refusal_t *refusal);

#endif
