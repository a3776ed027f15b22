#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "../../source/coord/released_nonces.h"
#include "monsoonspindle/coord/issued_keys.h"
#include "monsoonspindle/coord/nonces.h"

#define LIFETIME (10 * MSP_SECOND)

typedef struct nonce_step {
	msp_time_t at; /* seconds after the set was created */
	uint64_t nonce; /* 0: the process resumes from a pause */
	msp_time_t age; /* seconds */
	msp_status_t expected;
} nonce_step_t;

static void
nonce_is_consumed_once(void **state)
{
	static const nonce_step_t steps[] = {
	    {1, 1, 5, MSP_E_NOT_READY},
	    {20, 1, 0, MSP_OK},
	    {20, 1, 0, MSP_E_EXISTS},
	    {21, 2, 10, MSP_OK},
	    {21, 3, 11, MSP_E_KEY_EXPIRED},
	    {29, 1, 9, MSP_E_EXISTS},
	    {35, 1, 15, MSP_E_KEY_EXPIRED},
	    {40, 0, 0, MSP_OK},
	    {41, 4, 2, MSP_E_NOT_READY},
	    {41, 5, 1, MSP_OK},
	    {55, 6, 10, MSP_OK},
	};
	msp_virtual_env_t venv = {.now = 100 * MSP_SECOND};
	msp_env_t env = msp_virtual_env(&venv);
	msp_nonce_set_t *nonces = msp_new_nonce_set(&env, LIFETIME);
	unsigned int i;

	(void)state;
	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		const nonce_step_t *step = &steps[i];
		msp_nonce_t nonce = {.low = step->nonce};

		venv.now = (100 + step->at) * MSP_SECOND;
		if (step->nonce == 0)
			msp_record_nonce_set_pause(nonces);
		else
			assert_int_equal(msp_consume_nonce(nonces, nonce,
					     step->age * MSP_SECOND),
			    step->expected);
	}
	msp_drop_nonce_set(nonces);
}

static void
issued_keys_are_parsed_and_expire(void **state)
{
	static const char *const not_issued[] = {"", "order-1", "msp1.",
	    "msp1.0000000000000007.0000000000000010.",
	    "msp1.0000000000000007.000000000000001.x",
	    "msp1.000000000000000G.0000000000000010.x",
	    "msp2.0000000000000007.0000000000000010.x",
	    "msp1.0000000000000007.ffffffffffffffff.x"};
	char key[MSP_ISSUED_PREFIX_SIZE + 8];
	char prefix[MSP_ISSUED_PREFIX_SIZE];
	msp_issued_key_t parsed;
	unsigned int i;

	(void)state;
	for (i = 0; i < sizeof(not_issued) / sizeof(not_issued[0]); i++)
		assert_false(msp_parse_issued_key(not_issued[i], &parsed));
	msp_issue_key_prefix(7, 1234 * MSP_MS, prefix);
	snprintf(key, sizeof(key), "%sorder", prefix);
	assert_true(msp_parse_issued_key(key, &parsed));
	assert_int_equal(parsed.incarnation, 7);
	assert_int_equal(parsed.issued_at, 1234 * MSP_MS);
	assert_int_equal(msp_check_issued_key(&parsed, 1233 * MSP_MS, MSP_MS),
	    MSP_E_BAD_REQUEST);
	assert_int_equal(
	    msp_check_issued_key(&parsed, 1235 * MSP_MS, MSP_MS), MSP_OK);
	assert_int_equal(msp_check_issued_key(&parsed, 1236 * MSP_MS, MSP_MS),
	    MSP_E_KEY_EXPIRED);
}

static bool
has_ended_if_odd(void *ctx, uint64_t incarnation)
{
	(void)ctx;
	return incarnation % 2 == 1;
}

static void
issued_keys_are_routed_by_incarnation(void **state)
{
	char prefix[MSP_ISSUED_PREFIX_SIZE];
	char key[MSP_ISSUED_PREFIX_SIZE + 8];
	static const msp_key_route_t routes[] = {
	    MSP_KEY_LOST, MSP_KEY_FORWARD, MSP_KEY_LOST, MSP_KEY_HERE};
	msp_issued_key_t parsed;
	unsigned int i;

	(void)state;
	for (i = 1; i <= 4; i++) {
		msp_issue_key_prefix(i, MSP_SECOND, prefix);
		snprintf(key, sizeof(key), "%sx", prefix);
		assert_int_equal(
		    msp_route_key(key, 4, has_ended_if_odd, NULL, &parsed),
		    routes[i - 1]);
	}
	assert_int_equal(
	    msp_route_key("order-1", 4, has_ended_if_odd, NULL, &parsed),
	    MSP_KEY_STORE);
}

static void
released_nonces_are_limited(void **state)
{
	msp_released_nonces_t *released = msp_new_released_nonces(LIFETIME, 3);
	msp_time_t not_run_reported_at;
	uint64_t i;

	(void)state;
	for (i = 1; i <= 5; i++)
		msp_add_released_nonce(
		    released, (msp_nonce_t){.low = i}, i % 2, i * MSP_SECOND);
	assert_int_equal(msp_count_released_nonces(released), 3);
	for (i = 1; i <= 5; i++)
		assert_int_equal(
		    msp_find_released_nonce(released, (msp_nonce_t){.low = i},
			&not_run_reported_at),
		    i >= 3);
	assert_int_equal(not_run_reported_at, 1);
	msp_expire_released_nonces(released, 14 * MSP_SECOND + 1);
	assert_int_equal(msp_count_released_nonces(released), 1);
	msp_drop_released_nonces(released);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(nonce_is_consumed_once),
	    cmocka_unit_test(issued_keys_are_parsed_and_expire),
	    cmocka_unit_test(issued_keys_are_routed_by_incarnation),
	    cmocka_unit_test(released_nonces_are_limited),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
