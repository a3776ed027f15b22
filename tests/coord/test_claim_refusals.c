#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "claim_pair.h"

#define A 0
#define B 1
#define SOON MSP_SECOND

static pair_t *
new_pair(void)
{
	pair_t *pair = calloc(1, sizeof(*pair));

	assert_non_null(pair);
	init_pair(pair, NULL);
	return pair;
}

/* Sends a request to A and returns it once it got the verdict RUN. */
static pair_request_t *
start_run_at_a(pair_t *pair, const char *key)
{
	pair_request_t *sent = send_pair_key(pair, A, key);

	run_pair(pair, SOON);
	assert_int_equal(sent->runs, 1);
	assert_int_equal(sent->finals, 0);
	return sent;
}

static void
assert_refused(
    const pair_request_t *sent, msp_status_t status, msp_run_status_t run)
{
	assert_int_equal(sent->runs, 0);
	assert_int_equal(sent->finals, 1);
	assert_int_equal(sent->kind, MSP_CLAIM_VERDICT_REFUSE);
	assert_int_equal(sent->refusal.status, status);
	assert_int_equal(sent->refusal.run, run);
	assert_false(sent->refusal.attempt_started);
}

/*
 * A request ran at one VM, the response was lost, the store went down, and the
 * client retried at another VM, which must not report "run: no".
 */
static void
retry_after_run_during_store_outage_is_unknown(void **state)
{
	static const unsigned int attempts[] = {0, 2, 3};
	unsigned int i;

	(void)state;
	for (i = 0; i < 3; i++) {
		pair_t *pair = new_pair();
		pair_request_t *first = start_run_at_a(pair, "order-1");
		msp_claim_request_params_t params;
		const pair_request_t *retry;

		finish_pair_claim(pair, A, first->nonce, "printed");
		run_pair(pair, SOON);
		pair->faults->down = true;
		params = pair_params(pair, "order-1", "body");
		params.attempt_number = attempts[i];
		retry = send_pair_request(pair, B, &params);
		run_pair(pair, SOON);
		assert_refused(retry, MSP_E_STORE_DOWN, MSP_RUN_UNKNOWN);
		close_pair(pair);
	}
}

typedef struct lookup_case {
	unsigned int attempt;
	msp_time_t waited; /* at this VM, before the refusal */
	bool shared; /* another request with the key waits here too */
	msp_run_status_t run;
} lookup_case_t;

/* What `run` is reported for a key that was never looked up. */
static void
attempt_number_decides_during_store_outage(void **state)
{
	static const lookup_case_t cases[] = {
	    {0, 0, false, MSP_RUN_UNKNOWN},
	    {1, 0, false, MSP_RUN_NOT_EXECUTED},
	    {2, 0, false, MSP_RUN_UNKNOWN},
	    {1, 6 * MSP_SECOND, false, MSP_RUN_UNKNOWN},
	    {1, 0, true, MSP_RUN_UNKNOWN},
	};
	unsigned int i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		pair_t *pair = new_pair();
		msp_claim_request_params_t params =
		    pair_params(pair, "order-1", "body");
		const pair_request_t *sent;

		pair->faults->down = true;
		params.attempt_number = cases[i].attempt;
		params.arrival -= cases[i].waited;
		sent = send_pair_request(pair, A, &params);
		if (cases[i].shared)
			send_pair_key(pair, A, "order-1");
		run_pair(pair, SOON);
		assert_refused(sent, MSP_E_STORE_DOWN, cases[i].run);
		if (!cases[i].shared)
			assert_int_equal(msp_infer_unclaimed_run(pair->vms[A],
					     params.attempt_number,
					     pair->venv.now - cases[i].waited),
			    cases[i].run);
		close_pair(pair);
	}
}

/* The attempt number is ignored once another VM's claim was read. */
static void
attempt_number_is_ignored_after_claim_was_read(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = start_run_at_a(pair, "order-1");
	msp_claim_request_params_t params =
	    pair_params(pair, "order-1", "body");
	const pair_request_t *numbered;

	(void)state;
	params.attempt_number = 1;
	numbered = send_pair_request(pair, B, &params);
	run_pair(pair, SOON);
	assert_int_equal(numbered->finals, 0);
	release_pair_claim(pair, A, first->nonce);
	pair->faults->down = true;
	run_pair(pair, SOON);
	assert_refused(numbered, MSP_E_STORE_DOWN, MSP_RUN_UNKNOWN);
	close_pair(pair);
}

/*
 * A release by the owner also refuses requests at other VMs, even if the owner
 * is gone when they query it.
 */
static void
release_refuses_request_waiting_at_other_vm(void **state)
{
	static const bool owner_gone[] = {false, true};
	unsigned int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		pair_t *pair = new_pair();
		pair_request_t *first = start_run_at_a(pair, "order-1");
		const pair_request_t *waiting =
		    send_pair_key(pair, B, "order-1");
		const pair_request_t *later;

		run_pair(pair, SOON);
		pair->unresponsive[A] = true;
		release_pair_claim(pair, A, first->nonce);
		run_pair(pair, SOON);
		assert_int_equal(first->refusal.run, MSP_RUN_NOT_EXECUTED);
		assert_int_equal(waiting->finals, 0);
		if (owner_gone[i])
			kill_pair_vm(pair, A);
		pair->unresponsive[A] = false;
		run_pair(pair, SOON);
		assert_refused(waiting, MSP_E_OVERLOAD, MSP_RUN_NOT_EXECUTED);
		later = send_pair_key(pair, B, "order-1");
		run_pair(pair, SOON);
		assert_int_equal(later->runs, 1);
		close_pair(pair);
	}
}

static void
release_reports_not_run_during_store_outage(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = start_run_at_a(pair, "order-1");
	const pair_request_t *joined = send_pair_key(pair, A, "order-1");

	(void)state;
	pair->faults->down = true;
	release_pair_claim(pair, A, first->nonce);
	run_pair(pair, SOON);
	assert_int_equal(first->refusal.run, MSP_RUN_NOT_EXECUTED);
	assert_false(first->refusal.attempt_started);
	assert_refused(joined, MSP_E_OVERLOAD, MSP_RUN_NOT_EXECUTED);
	close_pair(pair);
}

/* The owner is gone when the other VM first reads the row of the release. */
static void
release_refuses_request_that_reads_released_row(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = start_run_at_a(pair, "order-1");
	const pair_request_t *waiting;
	const pair_request_t *later;

	(void)state;
	pair->faults->latency = 100 * MSP_MS;
	release_pair_claim(pair, A, first->nonce);
	waiting = send_pair_key(pair, B, "order-1");
	run_pair(pair, 80 * MSP_MS);
	assert_int_equal(first->refusal.run, MSP_RUN_NOT_EXECUTED);
	kill_pair_vm(pair, A);
	run_pair(pair, SOON);
	assert_refused(waiting, MSP_E_OVERLOAD, MSP_RUN_NOT_EXECUTED);
	later = send_pair_key(pair, B, "order-1");
	run_pair(pair, SOON);
	assert_int_equal(later->runs, 1);
	close_pair(pair);
}

/* A request that may have arrived before the VM's "run: no" doesn't run. */
static void
release_refuses_request_that_arrived_before(void **state)
{
	/* Whether the row is marked as released. */
	static const bool marked[] = {true, false};
	unsigned int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		pair_t *pair = new_pair();
		pair_request_t *first = start_run_at_a(pair, "order-1");
		msp_claim_request_params_t params =
		    pair_params(pair, "order-1", "body");
		const pair_request_t *delayed;

		pair->faults->down = !marked[i];
		release_pair_claim(pair, A, first->nonce);
		run_pair(pair, SOON);
		pair->faults->down = false;
		delayed = send_pair_request(pair, A, &params);
		run_pair(pair, SOON);
		assert_refused(delayed, MSP_E_OVERLOAD, MSP_RUN_NOT_EXECUTED);
		close_pair(pair);
	}
}

/* The mark of the release and the next claim are queued for one batch. */
static void
claim_after_release_is_not_overwritten(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = start_run_at_a(pair, "order-1");
	const pair_request_t *second;
	const pair_request_t *other;

	(void)state;
	release_pair_claim(pair, A, first->nonce);
	pair->venv.now++;
	second = send_pair_key(pair, A, "order-1");
	run_pair(pair, SOON);
	assert_int_equal(second->runs, 1);
	other = send_pair_key(pair, B, "order-1");
	run_pair(pair, SOON);
	assert_int_equal(other->runs, 0);
	close_pair(pair);
}

/* The write of the claim takes effect after its owner abandoned the claim. */
static void
abandoned_claim_written_late_is_replaced(void **state)
{
	pair_t *pair = new_pair();
	const pair_request_t *abandoned;
	const pair_request_t *later;

	(void)state;
	pair->faults->late_effect_pct = 100;
	pair->faults->late_effect = 20 * MSP_SECOND;
	abandoned = send_pair_key(pair, A, "order-1");
	run_pair(pair, 10 * MSP_SECOND);
	assert_refused(abandoned, MSP_E_STORE_DOWN, MSP_RUN_UNKNOWN);
	pair->faults->late_effect_pct = 0;
	run_pair(pair, MSP_MINUTE);
	assert_true(msp_memory_store_stats(pair->store)->rows_written > 0);
	later = send_pair_key(pair, B, "order-1");
	run_pair(pair, SOON);
	assert_int_equal(later->runs, 1);
	assert_int_equal(abandoned->runs, 0);
	close_pair(pair);
}

/* A claim in the name of this process that it has no record of is in doubt. */
static void
claim_without_record_is_in_doubt(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = start_run_at_a(pair, "order-1");
	const pair_request_t *sent;
	msp_digest_t digest = msp_digest("body", 4);
	char text[MSP_DIGEST_TEXT_SIZE];
	char row[512];

	(void)state;
	finish_pair_claim(pair, A, first->nonce, "printed");
	run_pair(pair, MSP_MINUTE);
	msp_print_digest(digest, text);
	snprintf(row, sizeof(row),
	    "{\"state\":\"held\",\"digest\":\"%s\",\"nonce\":\"%s\","
	    "\"owner\":\"0000000000000001\",\"address\":\"a\",\"at\":1700"
	    "000060000000}\n",
	    text, text);
	put_pair_row(pair, "claim/mergedesk/order-2", row);
	sent = send_pair_key(pair, A, "order-2");
	run_pair(pair, SOON);
	assert_refused(sent, MSP_E_IN_DOUBT, MSP_RUN_UNKNOWN);
	sent = send_pair_key(pair, B, "order-2");
	run_pair(pair, SOON);
	assert_refused(sent, MSP_E_IN_DOUBT, MSP_RUN_UNKNOWN);
	close_pair(pair);
}

/* The client disconnects before the verdict RUN was delivered. */
static void
request_cancelled_before_run_never_runs(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *sent = send_pair_key(pair, A, "order-1");
	const pair_request_t *later;

	(void)state;
	msp_cancel_claim_request(sent->claim_request);
	run_pair(pair, SOON);
	assert_int_equal(sent->runs + sent->finals, 0);
	later = send_pair_key(pair, B, "order-1");
	run_pair(pair, SOON);
	assert_int_equal(later->runs, 1);
	close_pair(pair);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(retry_after_run_during_store_outage_is_unknown),
	    cmocka_unit_test(attempt_number_decides_during_store_outage),
	    cmocka_unit_test(attempt_number_is_ignored_after_claim_was_read),
	    cmocka_unit_test(release_refuses_request_waiting_at_other_vm),
	    cmocka_unit_test(release_refuses_request_that_reads_released_row),
	    cmocka_unit_test(release_reports_not_run_during_store_outage),
	    cmocka_unit_test(release_refuses_request_that_arrived_before),
	    cmocka_unit_test(claim_after_release_is_not_overwritten),
	    cmocka_unit_test(abandoned_claim_written_late_is_replaced),
	    cmocka_unit_test(claim_without_record_is_in_doubt),
	    cmocka_unit_test(request_cancelled_before_run_never_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
