#ifndef SPINDLED_PROXY_REQUEST_H
#define SPINDLED_PROXY_REQUEST_H

#include "monsoonspindle/base.h"
#include "monsoonspindle/net/http.h"

/* Sizes in bytes, with the terminating NUL. */
#define PROXY_ID_SIZE 64 /* of a request id */
#define PROXY_KEY_SIZE 129 /* of an idempotency key */
#define PROXY_NAME_SIZE 64 /* of a service or place name */
#define PROXY_PLACES_MAX 4 /* data centres to which one request is sent */
#define PROXY_HOPS_MAX 2 /* VMs that may forward one request */

/* How a request ended. */
typedef struct proxy_result {
	bool answered; /* `response` is a target's complete response */
	msp_response_t response; /* owned; zero it to take it over */
	msp_refusal_t refusal; /* if not answered */
	char target[PROXY_NAME_SIZE]; /* that responded; "" if none */
	char vm[PROXY_NAME_SIZE]; /* the VM that dispatched the request */
} proxy_result_t;

typedef struct proxy_request proxy_request_t;
typedef void proxy_done_t(
    void *ctx, proxy_request_t *request, proxy_result_t *result);

/*
 * A request on its way from the entry VM to a dispatcher and a target. The
 * function that processes it calls `done` exactly once, possibly before it
 * returns, unless the request was cancelled. `done` may free the request.
 */
struct proxy_request {
	char id[PROXY_ID_SIZE];
	char service[PROXY_NAME_SIZE];
	char place[PROXY_NAME_SIZE]; /* data centre that dispatches it */
	char client_region[PROXY_NAME_SIZE]; /* from the client's address */
	char key[PROXY_KEY_SIZE]; /* idempotency key, or "" */
	char nonce[MSP_DIGEST_TEXT_SIZE]; /* of the claim, or "" */
	msp_request_class_t class;
	bool is_idempotent;
	msp_time_t arrival;
	msp_time_t deadline;
	msp_time_t nonce_issued; /* start of the nonce's lifetime */
	msp_digest_t fingerprint;
	uint32_t retries_left;
	uint32_t hops_left;
	msp_request_t request; /* owned; with the path for the target */

	proxy_done_t *done;
	void *ctx;
	/* Set by the module that processes the request at present. */
	void (*cancel)(proxy_request_t *request);
	void *cancel_ctx;
	/* State of route_proxy_request(). */
	int route_hops;
	proxy_done_t *route_done;
	void *route_ctx;
	char route_vm[PROXY_NAME_SIZE]; /* the last one tried */
	uint32_t route_tried[PROXY_PLACES_MAX]; /* hashes of places */
	int route_tried_count;
	msp_refusal_t route_refusal; /* of the first hop */
};

/* Copies the HTTP request, for one attempt to send it. */
msp_status_t copy_proxy_request(
    const proxy_request_t *request, msp_request_t *out);

/* Ends the request with a refusal. `reason` must be static. */
void refuse_proxy_request(proxy_request_t *request, msp_status_t status,
    msp_run_status_t run, bool attempt_started, uint32_t retry_after_ms,
    const char *reason);

/* Ends the request by calling `done`, and drops what `result` still owns. */
void finish_proxy_request(proxy_request_t *request, proxy_result_t *result);

/* Cancels the request; `done` is not called. */
void cancel_proxy_request(proxy_request_t *request);

/* Returns the milliseconds until the deadline, at least 1. */
uint32_t get_time_left_ms(const proxy_request_t *request, msp_time_t now);

/* Frees what the request owns, not the struct itself. */
void drop_proxy_request(proxy_request_t *request);

#endif
