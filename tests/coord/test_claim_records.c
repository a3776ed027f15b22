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
#define DAY (24 * 60 * MSP_MINUTE)

static const char short_body[] = "printed";
static const char long_body[] =
    "printed, with a body that is longer than a row may hold here";

static pair_t *
new_pair(const msp_claims_options_t *options)
{
	pair_t *pair = calloc(1, sizeof(*pair));

	assert_non_null(pair);
	init_pair(pair, options);
	return pair;
}

static pair_request_t *
start_run_at_a(pair_t *pair, const char *key)
{
	pair_request_t *sent = send_pair_key(pair, A, key);

	run_pair(pair, SOON);
	assert_int_equal(sent->runs, 1);
	return sent;
}

static void
assert_replayed(const pair_request_t *sent, const char *body)
{
	assert_int_equal(sent->finals, 1);
	assert_int_equal(sent->kind, MSP_CLAIM_VERDICT_REPLAY);
	assert_int_equal(sent->http_status, 201);
	assert_string_equal(sent->body, body);
}

static void
assert_unknown(const pair_request_t *sent, msp_status_t status)
{
	assert_int_equal(sent->runs, 0);
	assert_int_equal(sent->finals, 1);
	assert_int_equal(sent->kind, MSP_CLAIM_VERDICT_REFUSE);
	assert_int_equal(sent->refusal.status, status);
	assert_int_equal(sent->refusal.run, MSP_RUN_UNKNOWN);
}

typedef struct replay_case {
	const char *body;
	bool down; /* the store, for a minute from the response on */
	bool owner_gone; /* after that */
} replay_case_t;

static void
retry_gets_recorded_outcome(void **state)
{
	static const replay_case_t cases[] = {
	    {short_body, false, false},
	    {short_body, false, true},
	    {short_body, true, true},
	    {long_body, false, false},
	    {long_body, true, true},
	    {"", false, true},
	};
	msp_claims_options_t options = {.max_inline_body = 16};
	unsigned int i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		pair_t *pair = new_pair(&options);
		pair_request_t *first = start_run_at_a(pair, "order-1");
		const pair_request_t *retry;

		pair->faults->down = cases[i].down;
		finish_pair_claim(pair, A, first->nonce, cases[i].body);
		run_pair(pair, MSP_MINUTE);
		assert_replayed(first, cases[i].body);
		pair->faults->down = false;
		run_pair(pair, MSP_MINUTE);
		if (cases[i].owner_gone)
			kill_pair_vm(pair, A);
		retry = send_pair_key(pair, B, "order-1");
		run_pair(pair, SOON);
		assert_replayed(retry, cases[i].body);
		close_pair(pair);
	}
}

/* A body that is incomplete or not the recorded one is not replayed. */
static void
damaged_body_is_not_replayed(void **state)
{
	static const char *const damaged[] = {
	    "", "printed, with", "printed on the bad, old press now"};
	msp_claims_options_t options = {.max_inline_body = 16};
	unsigned int i;

	(void)state;
	for (i = 0; i < 3; i++) {
		pair_t *pair = new_pair(&options);
		pair_request_t *first = start_run_at_a(pair, "order-1");
		char nonce[MSP_DIGEST_TEXT_SIZE];
		char name[64];
		const pair_request_t *retry;

		finish_pair_claim(
		    pair, A, first->nonce, "printed on the good old press now");
		run_pair(pair, MSP_MINUTE);
		msp_print_digest(first->nonce, nonce);
		snprintf(name, sizeof(name), "outcome-%s", nonce);
		put_pair_object(pair, name, damaged[i]);
		retry = send_pair_key(pair, B, "order-1");
		run_pair(pair, SOON);
		assert_unknown(retry, MSP_E_STORE_DOWN);
		close_pair(pair);
	}
}

static void
malformed_rows_are_refused(void **state)
{
	static const char *const rows[] = {"", "{}", "{}\n", "[1]\n",
	    "{\"state\":\"held\"}\n", "{\"state\":\"done\",\"digest\":\"x\"}\n",
	    "\n\n\n", "{\"state\":\"held\",\"digest\":5,\"nonce\":5}\n"};
	unsigned int i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		pair_t *pair = new_pair(NULL);
		const pair_request_t *sent;

		put_pair_row(pair, "claim/mergedesk/order-1", rows[i]);
		sent = send_pair_key(pair, A, "order-1");
		run_pair(pair, SOON);
		assert_unknown(sent, MSP_E_INTERNAL);
		close_pair(pair);
	}
}

static void
request_with_same_key_waits_for_run(void **state)
{
	pair_t *pair = new_pair(NULL);
	pair_request_t *first = start_run_at_a(pair, "order-1");
	const pair_request_t *joined = send_pair_key(pair, A, "order-1");
	msp_claim_request_params_t params =
	    pair_params(pair, "order-1", "other body");
	const pair_request_t *other = send_pair_request(pair, A, &params);
	const pair_request_t *elsewhere = send_pair_request(pair, B, &params);

	(void)state;
	run_pair(pair, SOON);
	assert_int_equal(joined->finals, 0);
	assert_unknown(other, MSP_E_KEY_MISMATCH);
	assert_unknown(elsewhere, MSP_E_KEY_MISMATCH);
	finish_pair_claim(pair, A, first->nonce, short_body);
	run_pair(pair, SOON);
	assert_replayed(joined, short_body);
	assert_int_equal(joined->runs, 0);
	close_pair(pair);
}

static void
keys_past_retention_are_refused(void **state)
{
	msp_claims_options_t options = {.retention = DAY};
	pair_t *pair = new_pair(&options);
	pair_request_t *first = start_run_at_a(pair, "order-1");
	const pair_request_t *retry;

	(void)state;
	finish_pair_claim(pair, A, first->nonce, short_body);
	run_pair(pair, DAY - MSP_MINUTE);
	retry = send_pair_key(pair, B, "order-1");
	run_pair(pair, 2 * MSP_MINUTE);
	assert_replayed(retry, short_body);
	retry = send_pair_key(pair, B, "order-1");
	run_pair(pair, SOON);
	assert_unknown(retry, MSP_E_KEY_EXPIRED);
	close_pair(pair);
}

static void
malformed_names_are_refused(void **state)
{
	static const char *const names[][2] = {
	    {"mergedesk", ""},
	    {"mergedesk", "a b"},
	    {"mergedesk", "a\n"},
	    {"mergedesk", "\xc3\xa6"},
	    {"", "order-1"},
	    {"merge/desk", "order-1"},
	    {NULL, "order-1"},
	    {"mergedesk", NULL},
	};
	pair_t *pair = new_pair(NULL);
	char long_key[202];
	msp_claim_request_params_t params =
	    pair_params(pair, "order-1", "body");
	unsigned int i;

	(void)state;
	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		params.service = names[i][0];
		params.key = names[i][1];
		assert_null(send_pair_request(pair, A, &params)->claim_request);
	}
	memset(long_key, 'x', sizeof(long_key));
	long_key[201] = '\0';
	params.service = "mergedesk";
	params.key = long_key;
	assert_null(send_pair_request(pair, A, &params)->claim_request);
	close_pair(pair);
}

typedef struct batch_case {
	msp_time_t window;
	size_t rows;
	uint64_t transactions; /* for 100 simultaneous requests */
} batch_case_t;

static void
simultaneous_claims_share_transactions(void **state)
{
	/* A transaction holds at most MSP_TXN_ITEMS_MAX (50) rows. */
	static const batch_case_t cases[] = {
	    {4 * MSP_MS, 256, 2}, {4 * MSP_MS, 25, 4}, {4 * MSP_MS, 1, 100}};
	unsigned int i;
	unsigned int k;

	(void)state;
	for (i = 0; i < 3; i++) {
		msp_claims_options_t options = {.batch_window = cases[i].window,
		    .max_batch_rows = cases[i].rows};
		pair_t *pair = new_pair(&options);
		char key[32];

		for (k = 0; k < 100; k++) {
			snprintf(key, sizeof(key), "order-%u", k);
			send_pair_key(pair, A, key);
		}
		run_pair(pair, SOON);
		for (k = 0; k < 100; k++)
			assert_int_equal(pair->sent[k].runs, 1);
		assert_int_equal(
		    msp_memory_store_stats(pair->store)->transactions,
		    cases[i].transactions);
		close_pair(pair);
	}
}

/* A key that another VM has claimed doesn't delay the rest of the batch. */
static void
conflict_does_not_fail_rest_of_batch(void **state)
{
	pair_t *pair = new_pair(NULL);
	pair_request_t *first = start_run_at_a(pair, "order-5");
	const pair_request_t *sent[10];
	char key[32];
	unsigned int k;

	(void)state;
	for (k = 0; k < 10; k++) {
		snprintf(key, sizeof(key), "order-%u", k);
		sent[k] = send_pair_key(pair, B, key);
	}
	run_pair(pair, SOON);
	for (k = 0; k < 10; k++)
		assert_int_equal(sent[k]->runs, k == 5 ? 0 : 1);
	finish_pair_claim(pair, A, first->nonce, short_body);
	run_pair(pair, SOON);
	assert_replayed(sent[5], short_body);
	close_pair(pair);
}

typedef struct listing {
	msp_status_t status;
	unsigned int count;
	char first_key[256];
} listing_t;

static void
record_listing(void *ctx, msp_status_t status,
    const msp_in_doubt_claim_t *claims, size_t count, const char *next)
{
	listing_t *listing = ctx;

	assert_null(next);
	listing->status = status;
	listing->count = (unsigned int)count;
	if (count > 0)
		snprintf(listing->first_key, sizeof(listing->first_key), "%s",
		    claims[0].key);
}

static void
record_ruling(void *ctx, msp_status_t status)
{
	*(msp_status_t *)ctx = status;
}

static msp_status_t
rule_claim(pair_t *pair, const char *key, bool ran)
{
	msp_ruling_t ruling = {.service = "mergedesk",
	    .key = key,
	    .ran = ran,
	    .operator_name = "gudrun"};
	msp_status_t status = MSP_STATUS_COUNT;

	msp_rule_claim(pair->vms[B], &ruling, record_ruling, &status);
	run_pair(pair, 3 * MSP_SECOND);
	return status;
}

static unsigned int
count_in_doubt(pair_t *pair, listing_t *listing)
{
	*listing = (listing_t){0};
	msp_list_in_doubt_claims(pair->vms[B], "", record_listing, listing);
	run_pair(pair, SOON);
	assert_int_equal(listing->status, MSP_OK);
	return listing->count;
}

static void
in_doubt_claims_are_listed_and_ruled(void **state)
{
	pair_t *pair = new_pair(NULL);
	pair_request_t *held = start_run_at_a(pair, "order-1");
	pair_request_t *in_doubt = start_run_at_a(pair, "order-2");
	pair_request_t *done = start_run_at_a(pair, "order-3");
	const pair_request_t *retry;
	listing_t listing;

	(void)state;
	mark_pair_claim_in_doubt(pair, A, in_doubt->nonce);
	finish_pair_claim(pair, A, done->nonce, short_body);
	run_pair(pair, SOON);
	assert_int_equal(held->finals, 0);
	assert_int_equal(in_doubt->refusal.run, MSP_RUN_UNKNOWN);
	assert_true(in_doubt->refusal.attempt_started);
	assert_int_equal(count_in_doubt(pair, &listing), 1);
	assert_string_equal(listing.first_key, "order-2");
	assert_int_equal(rule_claim(pair, "order-1", true), MSP_E_CONFLICT);
	assert_int_equal(rule_claim(pair, "order-3", true), MSP_E_CONFLICT);
	assert_int_equal(rule_claim(pair, "order-4", true), MSP_E_NOT_FOUND);
	kill_pair_vm(pair, A);
	assert_int_equal(count_in_doubt(pair, &listing), 2);
	retry = send_pair_key(pair, B, "order-1");
	run_pair(pair, SOON);
	assert_unknown(retry, MSP_E_IN_DOUBT);
	assert_int_equal(rule_claim(pair, "order-1", false), MSP_OK);
	assert_int_equal(rule_claim(pair, "order-1", false), MSP_OK);
	assert_int_equal(rule_claim(pair, "order-1", true), MSP_E_CONFLICT);
	assert_int_equal(rule_claim(pair, "order-2", true), MSP_OK);
	assert_int_equal(count_in_doubt(pair, &listing), 0);
	retry = send_pair_key(pair, B, "order-1");
	run_pair(pair, SOON);
	assert_int_equal(retry->runs, 0);
	assert_int_equal(retry->refusal.run, MSP_RUN_NOT_EXECUTED);
	retry = send_pair_key(pair, B, "order-2");
	run_pair(pair, SOON);
	assert_unknown(retry, MSP_E_IN_DOUBT);
	close_pair(pair);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(retry_gets_recorded_outcome),
	    cmocka_unit_test(damaged_body_is_not_replayed),
	    cmocka_unit_test(malformed_rows_are_refused),
	    cmocka_unit_test(request_with_same_key_waits_for_run),
	    cmocka_unit_test(keys_past_retention_are_refused),
	    cmocka_unit_test(malformed_names_are_refused),
	    cmocka_unit_test(simultaneous_claims_share_transactions),
	    cmocka_unit_test(conflict_does_not_fail_rest_of_batch),
	    cmocka_unit_test(in_doubt_claims_are_listed_and_ruled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
