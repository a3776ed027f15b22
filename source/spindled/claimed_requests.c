#include "claimed_requests.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "claimed_run.h"
#include "claimed_requests_private.h"
#include "forward_to_issuer.h"
#include "log.h"
#include "members.h"

#define RETRY_AFTER_MS 1000

static void
handle_claims_timer(void *ctx)
{
	claimed_requests_t *requests = ctx;

	msp_step_claims(requests->claims);
	schedule_claims_step(requests);
}

void
schedule_claims_step(claimed_requests_t *requests)
{
	msp_time_t now = msp_now(&requests->daemon->env);
	msp_time_t due = msp_claims_deadline(requests->claims);

	msp_drop_timer(requests->timer);
	requests->timer = NULL;
	if (due != MSP_NEVER)
		requests->timer = msp_new_timer(requests->daemon->loop,
		    due > now ? due - now : 0, 0, handle_claims_timer,
		    requests);
}

static void
handle_store_reply(void *ctx)
{
	schedule_claims_step(ctx);
}

/*
 * Whether an incarnation is a member of this data centre that was declared
 * dead. False if it is unknown here, because its VM has restarted or is in
 * another data centre: the VM is then queried.
 */
static bool
is_incarnation_dead(void *ctx, uint64_t incarnation)
{
	claimed_requests_t *requests = ctx;
	const msp_membership_t *list =
	    get_membership(requests->daemon->members);
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member->incarnation == incarnation)
			return member->state == MSP_MEMBER_DEAD;
	}
	return false;
}

msp_time_t
get_wall_time(void *ctx)
{
	struct timespec now;

	(void)ctx;
	clock_gettime(CLOCK_REALTIME, &now);
	return (msp_time_t)now.tv_sec * MSP_SECOND +
	    (msp_time_t)now.tv_nsec / 1000;
}

claimed_requests_t *
new_claimed_requests(struct daemon *daemon)
{
	const msp_settings_t *settings = daemon->settings;
	claimed_requests_t *requests = calloc(1, sizeof(*requests));
	msp_claims_options_t options = {
	    .env = daemon->env,
	    .hooks = {.ctx = requests,
		.query_owner = query_claim_owner,
		.has_ended = is_incarnation_dead,
		.wall_time = get_wall_time,
		.report_decision = log_decision},
	    .counters = daemon->counters,
	    .incarnation = daemon->incarnation,
	    .batch_window = settings->claim_batch_ms * MSP_MS,
	    .retention = settings->claim_retention_s * MSP_SECOND,
	};

	if (requests == NULL)
		return NULL;
	requests->daemon = daemon;
	snprintf(requests->address, sizeof(requests->address), "%s:%u",
	    settings->address, settings->peer_port);
	requests->store =
	    (notifying_store_t){&daemon->store, handle_store_reply, requests};
	options.store = make_notifying_store(&requests->store);
	options.address = requests->address;
	requests->claims = msp_new_claims(&options);
	if (requests->claims == NULL) {
		free(requests);
		return NULL;
	}
	return requests;
}

void
drop_claimed_requests(claimed_requests_t *requests)
{
	if (requests == NULL)
		return;
	msp_drop_timer(requests->timer);
	msp_drop_claims(requests->claims);
	free(requests);
}

static void
replay_outcome(caller_request_t *caller, const msp_claim_outcome_t *outcome)
{
	proxy_result_t result = {.answered = true};
	msp_refusal_t refusal = {.status = MSP_E_NO_MEMORY,
	    .run = MSP_RUN_UNKNOWN,
	    .attempt_started = true,
	    .retry_after_ms = RETRY_AFTER_MS,
	    .reason = "no memory for the recorded response"};

	if (copy_outcome_to_response(outcome, &result.response) != MSP_OK) {
		refuse_caller_request(caller, &refusal);
		return;
	}
	answer_caller_request(caller, &result);
	msp_drop_response(&result.response);
}

/* Tells the VM that forwarded the request that its key was released earlier. */
static void
answer_released(caller_request_t *caller, const msp_claim_verdict_t *verdict)
{
	proxy_result_t result = {.answered = true, .response = {.status = 200}};
	char nonce[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(verdict->nonce, nonce);
	msp_add_header(&result.response.headers, "msp-released", nonce);
	msp_print_header(&result.response.headers, "msp-age-us", "%llu",
	    (unsigned long long)verdict->release_age);
	answer_caller_request(caller, &result);
	msp_drop_response(&result.response);
}

static void
handle_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	caller_request_t *caller = ctx;
	claimed_requests_t *requests = caller->daemon->claimed_requests;
	msp_refusal_t refusal = {.status = MSP_E_NO_MEMORY,
	    .run = MSP_RUN_NOT_EXECUTED,
	    .retry_after_ms = RETRY_AFTER_MS,
	    .reason = "no memory to run the request"};

	switch (verdict->kind) {
	case MSP_CLAIM_VERDICT_RUN:
		if (start_claimed_run(
			requests, &caller->proxy, verdict->nonce) != MSP_OK)
			msp_release_claim(
			    requests->claims, verdict->nonce, &refusal);
		return;
	case MSP_CLAIM_VERDICT_REPLAY:
		caller->claim_request = NULL;
		replay_outcome(caller, verdict->outcome);
		return;
	case MSP_CLAIM_VERDICT_RELEASED:
		caller->claim_request = NULL;
		answer_released(caller, verdict);
		return;
	case MSP_CLAIM_VERDICT_REFUSE:
		caller->claim_request = NULL;
		refuse_caller_request(caller, &verdict->refusal);
		return;
	}
}

void
claim_request_here(claimed_requests_t *requests, caller_request_t *caller)
{
	const proxy_request_t *proxy = &caller->proxy;
	msp_claim_request_params_t params = {.service = proxy->service,
	    .key = proxy->key,
	    .digest = proxy->fingerprint,
	    .attempt_number = caller->attempt_number,
	    .arrival = proxy->arrival,
	    .deadline = proxy->deadline,
	    .forwarded = caller->forwarded,
	    .released_nonce = caller->released_nonce,
	    .arrived_after_release = caller->arrived_after_release};
	msp_refusal_t refusal = {
	    .status = MSP_E_BAD_REQUEST, .reason = msp_last_message()};

	caller->claim_request = msp_begin_claim_request(
	    requests->claims, &params, handle_verdict, caller);
	if (caller->claim_request == NULL) {
		refusal.run = msp_infer_unclaimed_run(
		    requests->claims, caller->attempt_number, proxy->arrival);
		refuse_caller_request(caller, &refusal);
	}
	schedule_claims_step(requests);
}

void
start_claimed_request(claimed_requests_t *requests, caller_request_t *caller)
{
	if (!forward_to_issuer(requests, caller))
		claim_request_here(requests, caller);
}

void
detach_claimed_request(claimed_requests_t *requests, caller_request_t *caller)
{
	msp_cancel_claim_request(caller->claim_request);
	caller->claim_request = NULL;
	schedule_claims_step(requests);
}

size_t
count_claimed_requests(const claimed_requests_t *requests)
{
	msp_claims_stats_t stats = msp_get_claims_stats(requests->claims);

	return stats.running + stats.unrecorded;
}
