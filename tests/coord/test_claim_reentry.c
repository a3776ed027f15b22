#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord/claims.h"
#include "monsoonspindle/platform/memory_store.h"

/* What a verdict's callback does at once, and the verdict that must follow. */
typedef struct reentry_case {
	const char *name;
	void (*end)(msp_claims_t *claims, msp_nonce_t nonce);
	msp_claim_verdict_kind_t kind;
	msp_run_status_t run;
} reentry_case_t;

typedef struct reentry {
	const reentry_case_t *one;
	msp_claims_t *claims;
	int runs;
	int finals;
} reentry_t;

static void
end_released(msp_claims_t *claims, msp_nonce_t nonce)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_LEAVING, .run = MSP_RUN_NO, .reason = "paused"};

	msp_release_claim(claims, nonce, &refusal);
}

static void
end_finished(msp_claims_t *claims, msp_nonce_t nonce)
{
	msp_claim_outcome_t outcome = {.http_status = 200, .body = ""};

	msp_finish_claim(claims, nonce, &outcome);
}

static void
end_doubtful(msp_claims_t *claims, msp_nonce_t nonce)
{
	msp_refusal_t refusal = {
	    .status = MSP_E_IN_DOUBT, .run = MSP_RUN_UNKNOWN, .reason = "lost"};

	msp_mark_claim_in_doubt(claims, nonce, &refusal);
}

static const reentry_case_t cases[] = {
    {"released", end_released, MSP_CLAIM_VERDICT_REFUSE, MSP_RUN_NO},
    {"finished", end_finished, MSP_CLAIM_VERDICT_REPLAY, MSP_RUN_NO},
    {"doubtful", end_doubtful, MSP_CLAIM_VERDICT_REFUSE, MSP_RUN_UNKNOWN},
};

static void
on_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	reentry_t *reentry = ctx;

	if (verdict->kind == MSP_CLAIM_VERDICT_RUN) {
		reentry->runs++;
		reentry->one->end(reentry->claims, verdict->nonce);
		return;
	}
	reentry->finals++;
	assert_int_equal(verdict->kind, reentry->one->kind);
	if (verdict->kind == MSP_CLAIM_VERDICT_REFUSE)
		assert_int_equal(verdict->refusal.run, reentry->one->run);
}

static msp_time_t
wall(void *ctx)
{
	return ((msp_virtual_env_t *)ctx)->now;
}

static void
ask(void *ctx, const msp_owner_query_t *question, msp_owner_query_done_t *done,
    void *done_ctx)
{
	(void)ctx;
	(void)question;
	(void)done;
	(void)done_ctx;
}

static bool
is_gone(void *ctx, uint64_t incarnation)
{
	(void)ctx;
	(void)incarnation;
	return false;
}

static void
run_case(const reentry_case_t *one)
{
	msp_virtual_env_t clock = {.now = MSP_MINUTE, .rng = {1}};
	msp_env_t env = msp_virtual_env(&clock);
	msp_memory_store_t *store = msp_new_memory_store(&env);
	msp_claims_options_t options = {.env = env,
	    .store = msp_memory_store(store),
	    .hooks = {.ctx = &clock,
		.query_owner = ask,
		.is_gone = is_gone,
		.wall_time = wall},
	    .incarnation = 7,
	    .address = "127.0.0.1:1"};
	reentry_t reentry = {.one = one};
	msp_claim_request_params_t params = {.service = "desk",
	    .key = "k",
	    .arrival = clock.now,
	    .deadline = clock.now + 10 * MSP_SECOND};
	int i;

	reentry.claims = msp_new_claims(&options);
	assert_non_null(reentry.claims);
	assert_non_null(msp_begin_claim_request(
	    reentry.claims, &params, on_verdict, &reentry));
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

/* A callback may end its claim at once: a dispatcher here may refuse so. */
static void
a_claim_may_end_inside_its_verdict(void **state)
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
	    cmocka_unit_test(a_claim_may_end_inside_its_verdict),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
