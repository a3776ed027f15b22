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
step(void *ctx)
{
	claimed_requests_t *commits = ctx;

	msp_step_claims(commits->claims);
	schedule_claims_step(commits);
}

void
schedule_claims_step(claimed_requests_t *commits)
{
	msp_time_t now = msp_now(&commits->daemon->env);
	msp_time_t due = msp_claims_deadline(commits->claims);

	msp_drop_timer(commits->timer);
	commits->timer = NULL;
	if (due != MSP_NEVER)
		commits->timer = msp_new_timer(commits->daemon->loop,
		    due > now ? due - now : 0, 0, step, commits);
}

static void
notice_answer(void *ctx)
{
	schedule_claims_step(ctx);
}

/*
 * An incarnation of this data centre is gone if it was declared dead, or its
 * VM runs again. Of others nothing is known here: their VMs are asked.
 */
static bool
is_gone(void *ctx, uint64_t incarnation)
{
	claimed_requests_t *commits = ctx;
	const msp_membership_t *list = get_membership(commits->daemon->members);
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member->incarnation == incarnation)
			return member->state == MSP_MEMBER_DEAD;
	}
	return false;
}

msp_time_t
wall_clock(void *ctx)
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
	claimed_requests_t *commits = calloc(1, sizeof(*commits));
	msp_claims_options_t options = {
	    .env = daemon->env,
	    .hooks = {.ctx = commits,
		.query_owner = query_claim_owner,
		.is_gone = is_gone,
		.wall_time = wall_clock,
		.report_decision = log_decision},
	    .counters = daemon->counters,
	    .incarnation = daemon->incarnation,
	    .batch_window = settings->claim_batch_ms * MSP_MS,
	    .retention = settings->claim_retention_s * MSP_SECOND,
	};

	if (commits == NULL)
		return NULL;
	commits->daemon = daemon;
	snprintf(commits->address, sizeof(commits->address), "%s:%u",
	    settings->address, settings->peer_port);
	commits->store =
	    (notifying_store_t){&daemon->store, notice_answer, commits};
	options.store = make_notifying_store(&commits->store);
	options.address = commits->address;
	commits->claims = msp_new_claims(&options);
	if (commits->claims == NULL) {
		free(commits);
		return NULL;
	}
	return commits;
}

void
drop_claimed_requests(claimed_requests_t *commits)
{
	if (commits == NULL)
		return;
	msp_drop_timer(commits->timer);
	msp_drop_claims(commits->claims);
	free(commits);
}

static void
replay(caller_request_t *entry, const msp_claim_outcome_t *outcome)
{
	proxy_result_t result = {.answered = true};
	msp_refusal_t refusal = {.status = MSP_E_NO_MEMORY,
	    .run = MSP_RUN_UNKNOWN,
	    .try_started = true,
	    .retry_after_ms = RETRY_AFTER_MS,
	    .reason = "no memory for the recorded answer"};

	if (copy_outcome_to_response(outcome, &result.response) != MSP_OK) {
		refuse_caller_request(entry, &refusal);
		return;
	}
	answer_caller_request(entry, &result);
	msp_drop_response(&result.response);
}

/* Tells the VM that forwarded a try that its key was released before. */
static void
answer_released(caller_request_t *entry, const msp_claim_verdict_t *verdict)
{
	proxy_result_t result = {.answered = true, .response = {.status = 200}};
	char nonce[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(verdict->nonce, nonce);
	msp_add_header(&result.response.headers, "msp-released", nonce);
	msp_print_header(&result.response.headers, "msp-age-us", "%llu",
	    (unsigned long long)verdict->age);
	answer_caller_request(entry, &result);
	msp_drop_response(&result.response);
}

static void
on_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	caller_request_t *entry = ctx;
	claimed_requests_t *commits = entry->daemon->claimed_requests;
	msp_refusal_t refusal = {.status = MSP_E_NO_MEMORY,
	    .run = MSP_RUN_NO,
	    .retry_after_ms = RETRY_AFTER_MS,
	    .reason = "no memory to run the request"};

	switch (verdict->kind) {
	case MSP_CLAIM_VERDICT_RUN:
		if (start_claimed_run(commits, &entry->work, verdict->nonce) !=
		    MSP_OK)
			msp_release_claim(
			    commits->claims, verdict->nonce, &refusal);
		return;
	case MSP_CLAIM_VERDICT_REPLAY:
		entry->claim_request = NULL;
		replay(entry, verdict->outcome);
		return;
	case MSP_CLAIM_VERDICT_RELEASED:
		entry->claim_request = NULL;
		answer_released(entry, verdict);
		return;
	case MSP_CLAIM_VERDICT_REFUSE:
		entry->claim_request = NULL;
		refuse_caller_request(entry, &verdict->refusal);
		return;
	}
}

void
claim_request_here(claimed_requests_t *commits, caller_request_t *entry)
{
	const proxy_request_t *work = &entry->work;
	msp_claim_request_params_t params = {.service = work->service,
	    .key = work->key,
	    .digest = work->fingerprint,
	    .attempt_number = entry->attempt,
	    .arrival = work->arrival,
	    .deadline = work->deadline,
	    .forwarded = entry->forwarded,
	    .release_seen = entry->released_nonce,
	    .after_release = entry->arrived_after_release};
	msp_refusal_t refusal = {
	    .status = MSP_E_BAD_REQUEST, .reason = msp_last_message()};

	entry->claim_request = msp_begin_claim_request(
	    commits->claims, &params, on_verdict, entry);
	if (entry->claim_request == NULL) {
		refusal.run = msp_infer_unclaimed_run(
		    commits->claims, entry->attempt, work->arrival);
		refuse_caller_request(entry, &refusal);
	}
	schedule_claims_step(commits);
}

void
start_claimed_request(claimed_requests_t *commits, caller_request_t *entry)
{
	if (!forward_to_issuer(commits, entry))
		claim_request_here(commits, entry);
}

void
detach_claimed_request(claimed_requests_t *commits, caller_request_t *entry)
{
	msp_cancel_claim_request(entry->claim_request);
	entry->claim_request = NULL;
	schedule_claims_step(commits);
}

size_t
count_claimed_requests(const claimed_requests_t *commits)
{
	msp_claims_stats_t load = msp_get_claims_stats(commits->claims);

	return load.running + load.unrecorded;
}
