#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord/claims.h"
#include "monsoonspindle/platform/memory_store.h"

/* How the callback of the verdict RUN ends it, and the verdict that follows. */
typedef struct reentry_case {
	const char *name;
	void (*end)(msp_claims_t *claims, msp_nonce_t nonce);
	msp_claim_verdict_kind_t kind;
	msp_run_status_t run;
} reentry_case_t;

typedef struct reentry {
	const reentry_case_t *test_case;
	msp_claims_t *claims;
	int runs;
	int finals;
} reentry_t;

static void
release(msp_claims_t *claims, msp_nonce_t nonce)
{
	msp_refusal_t refusal = {.status = MSP_E_LEAVING,
	    .run = MSP_RUN_NOT_EXECUTED,
	    .reason = "paused"};

	msp_release_claim(claims, nonce, &refusal);
}

static void
finish(msp_claims_t *claims, msp_nonce_t nonce)
{
	msp_claim_outcome_t outcome = {.http_status = 200, .body = ""};

	msp_finish_claim(claims, nonce, &outcome);
}

static void
mark_in_doubt(msp_claims_t *claims, msp_nonce_t nonce)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_IN_DOUBT, .run = MSP_RUN_UNKNOWN, .reason = "lost"};

	msp_mark_claim_in_doubt(claims, nonce, &refusal);
}

static const reentry_case_t cases[] = {
    {"released", release, MSP_CLAIM_VERDICT_REFUSE, MSP_RUN_NOT_EXECUTED},
    {"finished", finish, MSP_CLAIM_VERDICT_REPLAY, MSP_RUN_NOT_EXECUTED},
    {"in doubt", mark_in_doubt, MSP_CLAIM_VERDICT_REFUSE, MSP_RUN_UNKNOWN},
};

static void
handle_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	reentry_t *reentry = ctx;

	if (verdict->kind == MSP_CLAIM_VERDICT_RUN) {
		reentry->runs++;
		reentry->test_case->end(reentry->claims, verdict->nonce);
		return;
	}
	reentry->finals++;
	assert_int_equal(verdict->kind, reentry->test_case->kind);
	if (verdict->kind == MSP_CLAIM_VERDICT_REFUSE)
		assert_int_equal(verdict->refusal.run, reentry->test_case->run);
}

static msp_time_t
wall_time(void *ctx)
{
	return ((msp_virtual_env_t *)ctx)->now;
}

static void
query_owner(void *ctx, const msp_owner_query_t *query,
    msp_owner_query_done_t *done, void *done_ctx)
{
	(void)ctx;
	(void)query;
	(void)done;
	(void)done_ctx;
}

static bool
has_ended(void *ctx, uint64_t incarnation)
{
	(void)ctx;
	(void)incarnation;
	return false;
}

static void
run_case(const reentry_case_t *test_case)
{
	msp_virtual_env_t clock = {.now = MSP_MINUTE, .rng = {1}};
	msp_env_t env = msp_virtual_env(&clock);
	msp_memory_store_t *store = msp_new_memory_store(&env);
	msp_claims_options_t options = {.env = env,
	    .store = msp_memory_store(store),
	    .hooks = {.ctx = &clock,
		.query_owner = query_owner,
		.has_ended = has_ended,
		.wall_time = wall_time},
	    .incarnation = 7,
	    .address = "127.0.0.1:1"};
	reentry_t reentry = {.test_case = test_case};
	msp_claim_request_params_t params = {.service = "desk",
	    .key = "k",
	    .arrival = clock.now,
	    .deadline = clock.now + 10 * MSP_SECOND};
	int i;

	reentry.claims = msp_new_claims(&options);
	assert_non_null(reentry.claims);
	assert_non_null(msp_begin_claim_request(
	    reentry.claims, &params, handle_verdict, &reentry));
	for (i = 0; i < 1000; i++) {
		clock.now += MSP_MS;
		msp_step_memory_store(store);
		msp_step_claims(reentry.claims);
	}
	assert_int_equal(reentry.runs, 1);
	assert_int_equal(reentry.finals, 1);
	msp_drop_claims(reentry.claims);
	msp_drop_memory_store(store);
}

/*
 * The callback of the verdict RUN may end the run at once, as a dispatcher on
 * this VM does when it refuses the request.
 */
static void
run_may_end_inside_verdict_callback(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(run_may_end_inside_verdict_callback),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
