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

/* Claims `key` at A and returns the try that was told to run. */
static pair_request_t *
run_at_a(pair_t *pair, const char *key)
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
 * A commit ran at one VM, its answer was lost, the store went down, the caller
 * resent to another VM: that one must not say "run: no".
 */
static void
resend_after_a_run_in_an_outage_is_unknown(void **state)
{
	static const unsigned int attempts[] = {0, 2, 3};
	unsigned int i;

	(void)state;
	for (i = 0; i < 3; i++) {
		pair_t *pair = new_pair();
		pair_request_t *first = run_at_a(pair, "order-1");
		msp_claim_request_params_t params;
		const pair_request_t *again;

		finish_pair_claim(pair, A, first->nonce, "printed");
		run_pair(pair, SOON);
		pair->faults->down = true;
		params = pair_params(pair, "order-1", "body");
		params.attempt_number = attempts[i];
		again = send_pair_request(pair, B, &params);
		run_pair(pair, SOON);
		assert_refused(again, MSP_E_STORE_DOWN, MSP_RUN_UNKNOWN);
		close_pair(pair);
	}
}

typedef struct unlooked_case {
	unsigned int attempt;
	msp_time_t waited; /* at this VM, before the refusal */
	bool shared; /* another try of the key waits here too */
	msp_run_status_t run;
} unlooked_case_t;

/* What may be said of a key that was never looked up. */
static void
mark_of_the_first_try_decides_in_an_outage(void **state)
{
	static const unlooked_case_t cases[] = {
	    {0, 0, false, MSP_RUN_UNKNOWN},
	    {1, 0, false, MSP_RUN_NO},
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

/* A mark is not believed once the store has shown another's claim. */
static void
mark_does_not_outweigh_a_claim_seen(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = run_at_a(pair, "order-1");
	msp_claim_request_params_t params =
	    pair_params(pair, "order-1", "body");
	const pair_request_t *marked;

	(void)state;
	params.attempt_number = 1;
	marked = send_pair_request(pair, B, &params);
	run_pair(pair, SOON);
	assert_int_equal(marked->finals, 0);
	release_pair_claim(pair, A, first->nonce);
	pair->faults->down = true;
	run_pair(pair, SOON);
	assert_refused(marked, MSP_E_STORE_DOWN, MSP_RUN_UNKNOWN);
	close_pair(pair);
}

/* The owner's "no" holds for what waits elsewhere, also when it is gone. */
static void
no_covers_a_try_that_waits_at_another_vm(void **state)
{
	static const bool dies[] = {false, true};
	unsigned int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		pair_t *pair = new_pair();
		pair_request_t *first = run_at_a(pair, "order-1");
		const pair_request_t *waiting =
		    send_pair_key(pair, B, "order-1");
		const pair_request_t *later;

		run_pair(pair, SOON);
		pair->unresponsive[A] = true;
		release_pair_claim(pair, A, first->nonce);
		run_pair(pair, SOON);
		assert_int_equal(first->refusal.run, MSP_RUN_NO);
		assert_int_equal(waiting->finals, 0);
		if (dies[i])
			kill_pair_vm(pair, A);
		pair->unresponsive[A] = false;
		run_pair(pair, SOON);
		assert_refused(waiting, MSP_E_OVERLOAD, MSP_RUN_NO);
		later = send_pair_key(pair, B, "order-1");
		run_pair(pair, SOON);
		assert_int_equal(later->runs, 1);
		close_pair(pair);
	}
}

static void
owner_that_never_dispatched_says_no_without_the_store(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = run_at_a(pair, "order-1");
	const pair_request_t *joined = send_pair_key(pair, A, "order-1");

	(void)state;
	pair->faults->down = true;
	release_pair_claim(pair, A, first->nonce);
	run_pair(pair, SOON);
	assert_int_equal(first->refusal.run, MSP_RUN_NO);
	assert_false(first->refusal.attempt_started);
	assert_refused(joined, MSP_E_OVERLOAD, MSP_RUN_NO);
	close_pair(pair);
}

/* As before, but the owner is gone when the other VM first sees the row. */
static void
no_covers_a_try_that_meets_a_released_row(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = run_at_a(pair, "order-1");
	const pair_request_t *waiting;
	const pair_request_t *later;

	(void)state;
	pair->faults->latency = 100 * MSP_MS;
	release_pair_claim(pair, A, first->nonce);
	waiting = send_pair_key(pair, B, "order-1");
	run_pair(pair, 80 * MSP_MS);
	assert_int_equal(first->refusal.run, MSP_RUN_NO);
	kill_pair_vm(pair, A);
	run_pair(pair, SOON);
	assert_refused(waiting, MSP_E_OVERLOAD, MSP_RUN_NO);
	later = send_pair_key(pair, B, "order-1");
	run_pair(pair, SOON);
	assert_int_equal(later->runs, 1);
	close_pair(pair);
}

/* A try that this VM can only date to before its own "no" does not run. */
static void
no_covers_a_try_that_is_read_late(void **state)
{
	static const bool marked[] = {
	    true, false}; /* as released, in the row */
	unsigned int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		pair_t *pair = new_pair();
		pair_request_t *first = run_at_a(pair, "order-1");
		msp_claim_request_params_t params =
		    pair_params(pair, "order-1", "body");
		const pair_request_t *late;

		pair->faults->down = !marked[i];
		release_pair_claim(pair, A, first->nonce);
		run_pair(pair, SOON);
		pair->faults->down = false;
		late = send_pair_request(pair, A, &params);
		run_pair(pair, SOON);
		assert_refused(late, MSP_E_OVERLOAD, MSP_RUN_NO);
		close_pair(pair);
	}
}

/* The mark of the release and the next claim wait for one batch. */
static void
claim_after_a_release_is_not_overwritten(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = run_at_a(pair, "order-1");
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

/* The claim takes effect after its owner gave it up. */
static void
dropped_claim_that_lands_late_is_replaced(void **state)
{
	pair_t *pair = new_pair();
	const pair_request_t *given_up;
	const pair_request_t *later;

	(void)state;
	pair->faults->late_effect_pct = 100;
	pair->faults->late_effect = 20 * MSP_SECOND;
	given_up = send_pair_key(pair, A, "order-1");
	run_pair(pair, 10 * MSP_SECOND);
	assert_refused(given_up, MSP_E_STORE_DOWN, MSP_RUN_UNKNOWN);
	pair->faults->late_effect_pct = 0;
	run_pair(pair, MSP_MINUTE);
	assert_true(msp_memory_store_stats(pair->store)->rows_written > 0);
	later = send_pair_key(pair, B, "order-1");
	run_pair(pair, SOON);
	assert_int_equal(later->runs, 1);
	assert_int_equal(given_up->runs, 0);
	close_pair(pair);
}

/* A claim of this process that it knows nothing of stays in doubt. */
static void
forgotten_claim_is_in_doubt(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *first = run_at_a(pair, "order-1");
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

/* A client that goes away before its commit was handed out: it never runs. */
static void
cancelled_before_it_was_told_to_run(void **state)
{
	pair_t *pair = new_pair();
	pair_request_t *sent = send_pair_key(pair, A, "order-1");
	const pair_request_t *later;

	(void)state;
	msp_cancel_claim_request(sent->request);
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
	    cmocka_unit_test(resend_after_a_run_in_an_outage_is_unknown),
	    cmocka_unit_test(mark_of_the_first_try_decides_in_an_outage),
	    cmocka_unit_test(mark_does_not_outweigh_a_claim_seen),
	    cmocka_unit_test(no_covers_a_try_that_waits_at_another_vm),
	    cmocka_unit_test(no_covers_a_try_that_meets_a_released_row),
	    cmocka_unit_test(
		owner_that_never_dispatched_says_no_without_the_store),
	    cmocka_unit_test(no_covers_a_try_that_is_read_late),
	    cmocka_unit_test(claim_after_a_release_is_not_overwritten),
	    cmocka_unit_test(dropped_claim_that_lands_late_is_replaced),
	    cmocka_unit_test(forgotten_claim_is_in_doubt),
	    cmocka_unit_test(cancelled_before_it_was_told_to_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
