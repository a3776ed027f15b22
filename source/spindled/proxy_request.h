#ifndef SPINDLED_PROXY_REQUEST_H
#define SPINDLED_PROXY_REQUEST_H

#include "monsoonspindle/base.h"
#include "monsoonspindle/net/http.h"

#define PROXY_ID_SIZE 64 /* bytes of a request id, with the final 0 */
#define PROXY_KEY_SIZE 129 /* bytes of an idempotency key */
#define PROXY_NAME_SIZE 64 /* bytes of a service or place name */
#define PROXY_PLACES_MAX 4 /* data centres that one request is sent to */
#define PROXY_HOPS_MAX 2 /* VMs that may pass one request on */

/* How a piece of work ended. */
typedef struct proxy_result {
	bool answered; /* `response` is a target's whole answer */
	msp_response_t response; /* owned; may be taken by emptying it */
	msp_refusal_t refusal; /* unless answered */
	char target[PROXY_NAME_SIZE]; /* that answered; "" if none */
	char vm[PROXY_NAME_SIZE]; /* the dispatcher */
} proxy_result_t;

typedef struct proxy_request proxy_request_t;
typedef void proxy_done_t(
    void *ctx, proxy_request_t *work, proxy_result_t *result);

/*
 * One request on its way from the entry VM to a dispatcher and a target.
 * Whoever runs it calls `done` exactly once, perhaps from inside the call that
 * started it, unless the work was cancelled before. `done` may free the work.
 */
struct proxy_request {
	char id[PROXY_ID_SIZE];
	char service[PROXY_NAME_SIZE];
	char place[PROXY_NAME_SIZE]; /* data centre that is to dispatch it */
	char client_region[PROXY_NAME_SIZE]; /* where the caller came in */
	char key[PROXY_KEY_SIZE]; /* idempotency key, or "" */
	char nonce[MSP_DIGEST_TEXT_SIZE]; /* of the claim, or "" */
	msp_class_t class;
	bool is_idempotent;
	msp_time_t arrival;
	msp_time_t deadline;
	msp_time_t nonce_issued; /* for its lifetime */
	msp_digest_t fingerprint;
	uint32_t retries_left;
	uint32_t hops_left;
	msp_request_t request; /* owned; path as the target is to see it */

	proxy_done_t *done;
	void *ctx;
	/* Set by what runs the work at present. */
	void (*cancel)(proxy_request_t *work);
	void *runner;
	/* Of route_proxy_request(). */
	int route_hops;
	proxy_done_t *route_done;
	void *route_ctx;
	char route_vm[PROXY_NAME_SIZE]; /* tried last */
	uint32_t route_tried[PROXY_PLACES_MAX]; /* hashes of places */
	int route_tried_count;
	msp_refusal_t route_refusal; /* of the first hop */
};

/* Copies the request for one sending. */
msp_status_t copy_proxy_request(
    const proxy_request_t *work, msp_request_t *out);

/* Ends the work with a refusal. `reason` must be static. */
void refuse_proxy_request(proxy_request_t *work, msp_status_t status,
    msp_run_t run, bool try_started, uint32_t retry_after_ms,
    const char *reason);

/* Ends the work by calling `done`, and drops what `result` still owns. */
void finish_proxy_request(proxy_request_t *work, proxy_result_t *result);

/* Stops whatever runs the work; `done` is not called. */
void cancel_proxy_request(proxy_request_t *work);

/* Milliseconds until the deadline, at least 1. */
uint32_t get_time_left_ms(const proxy_request_t *work, msp_time_t now);

/* Frees what the work owns, not the work. */
void drop_proxy_request(proxy_request_t *work);

#endif
