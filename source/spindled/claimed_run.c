#include "claimed_run.h"

#include <stdlib.h>
#include <string.h>

#include "claimed_requests.h"
#include "claimed_requests_private.h"
#include "daemon.h"
#include "log.h"
#include "route.h"

/* A claimed request in progress, independent of its caller. */
typedef struct claimed_run {
	claimed_requests_t *requests;
	msp_nonce_t nonce;
	proxy_request_t request;
} claimed_run_t;

msp_claim_outcome_t
convert_response_to_outcome(
    const msp_response_t *response, msp_claim_field_t *fields)
{
	size_t i;

	for (i = 0; i < response->headers.count; i++) {
		fields[i].name = response->headers.fields[i].name;
		fields[i].value = response->headers.fields[i].value;
	}
	return (msp_claim_outcome_t){.http_status = response->status,
	    .fields = fields,
	    .field_count = response->headers.count,
	    .body = msp_buffer_text(&response->body),
	    .body_len = response->body.len};
}

msp_status_t
copy_outcome_to_response(
    const msp_claim_outcome_t *outcome, msp_response_t *out)
{
	msp_status_t status = MSP_OK;
	size_t i;

	memset(out, 0, sizeof(*out));
	out->status = outcome->http_status;
	for (i = 0; i < outcome->field_count && status == MSP_OK; i++)
		status = msp_add_header(&out->headers, outcome->fields[i].name,
		    outcome->fields[i].value);
	if (status == MSP_OK && outcome->body_len > 0)
		status = msp_append_data(
		    &out->body, outcome->body, outcome->body_len);
	if (status != MSP_OK)
		msp_drop_response(out);
	return status;
}

static void
handle_run_done(void *ctx, proxy_request_t *request, proxy_result_t *result)
{
	claimed_run_t *run = ctx;
	claimed_requests_t *requests = run->requests;
	const msp_refusal_t *refusal = &result->refusal;
	msp_claim_field_t fields[MSP_CLAIM_FIELDS_MAX];
	msp_claim_outcome_t outcome;
	msp_status_t status;

	if (result->answered) {
		outcome =
		    convert_response_to_outcome(&result->response, fields);
		status =
		    msp_finish_claim(requests->claims, run->nonce, &outcome);
	} else if (refusal->run == MSP_RUN_NOT_EXECUTED &&
	    !refusal->attempt_started) {
		status =
		    msp_release_claim(requests->claims, run->nonce, refusal);
	} else {
		status = msp_mark_claim_in_doubt(
		    requests->claims, run->nonce, refusal);
	}
	if (status != MSP_OK)
		log_error("event=claim-end-lost request=%s error=%s",
		    request->id, msp_last_message());
	drop_proxy_request(request);
	free(run);
	schedule_claims_step(requests);
}

msp_status_t
start_claimed_run(struct claimed_requests *requests,
    const proxy_request_t *request, msp_nonce_t nonce)
{
	daemon_t *daemon = requests->daemon;
	claimed_run_t *run = calloc(1, sizeof(*run));

	if (run == NULL)
		return msp_fail(
		    MSP_E_NO_MEMORY, "no memory to run a claimed request");
	run->request = *request;
	if (copy_proxy_request(request, &run->request.request) != MSP_OK) {
		free(run);
		return MSP_E_NO_MEMORY;
	}
	run->requests = requests;
	run->nonce = nonce;
	msp_print_digest(nonce, run->request.nonce);
	run->request.nonce_issued =
	    msp_now(&daemon->env) - msp_get_claim_age(requests->claims, nonce);
	run->request.done = handle_run_done;
	run->request.ctx = run;
	route_proxy_request(daemon, &run->request);
	return MSP_OK;
}
