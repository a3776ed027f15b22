#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "dispatch_sim.h"

typedef enum step_kind {
	END,
	STRIKE, /* an attempt from `a` to `b`, in seconds */
	CLEAR,
	PASS, /* `a` seconds pass */
	IMPORT /* a record with `a` seconds remaining */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	uint32_t a, b;
} step_t;

typedef struct quarantine_case {
	const char *name;
	step_t steps[5];
	msp_suspicion_t expected;
	size_t exported;
} quarantine_case_t;

static const quarantine_case_t cases[] = {
    {"clean", {{END, 0, 0}}, MSP_SUSPICION_NONE, 0},
    {"one strike", {{STRIKE, 0, 1}}, MSP_SUSPICION_SUSPECT, 0},
    {"two strikes", {{STRIKE, 0, 1}, {STRIKE, 2, 3}}, MSP_SUSPICION_QUARANTINED,
	1},
    {"two of the same event", {{STRIKE, 0, 3}, {STRIKE, 1, 3}},
	MSP_SUSPICION_SUSPECT, 0},
    {"cleared between", {{STRIKE, 0, 1}, {CLEAR, 0, 0}, {STRIKE, 2, 3}},
	MSP_SUSPICION_SUSPECT, 0},
    {"a strike expires", {{STRIKE, 0, 1}, {PASS, 61, 0}}, MSP_SUSPICION_NONE,
	0},
    {"quarantine expires", {{STRIKE, 0, 1}, {STRIKE, 2, 3}, {PASS, 301, 0}},
	MSP_SUSPICION_NONE, 0},
    {"quarantine holds", {{STRIKE, 0, 1}, {STRIKE, 2, 3}, {PASS, 299, 0}},
	MSP_SUSPICION_QUARANTINED, 1},
    {"imported, not exported", {{IMPORT, 20, 0}}, MSP_SUSPICION_QUARANTINED, 0},
    {"imported expires", {{IMPORT, 20, 0}, {PASS, 21, 0}}, MSP_SUSPICION_NONE,
	0},
    {"imported with a too long time", {{IMPORT, 100000, 0}, {PASS, 301, 0}},
	MSP_SUSPICION_NONE, 0},
};

static void
apply_step(msp_quarantine_list_t *list, msp_virtual_env_t *venv,
    msp_digest_t fingerprint, const step_t *step)
{
	msp_quarantine_record_t record = {
	    .fingerprint = fingerprint,
	    .remaining = step->a * MSP_SECOND,
	};

	switch (step->kind) {
	case STRIKE:
		msp_add_strike(list, fingerprint,
		    MSP_MINUTE + step->a * MSP_SECOND,
		    MSP_MINUTE + step->b * MSP_SECOND);
		break;
	case CLEAR:
		msp_clear_strikes(list, fingerprint);
		break;
	case PASS:
		venv->now += step->a * MSP_SECOND;
		break;
	case IMPORT:
		msp_import_quarantine(list, &record, 1);
		break;
	case END:
		break;
	}
}

static void
suspicion_follows_the_strikes(void **state)
{
	size_t i, j;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		msp_virtual_env_t venv = {.now = MSP_MINUTE};
		msp_env_t env = msp_virtual_env(&venv);
		msp_quarantine_list_t *list = msp_new_quarantine_list(&env);
		msp_digest_t fingerprint = {.high = 7, .low = 9};
		msp_quarantine_record_t out[2];

		for (j = 0; j < 5; j++)
			apply_step(
			    list, &venv, fingerprint, &cases[i].steps[j]);
		if (msp_check_suspicion(list, fingerprint, NULL) !=
		    cases[i].expected)
			fail_msg("%s", cases[i].name);
		assert_int_equal(
		    msp_export_quarantine(list, out, 2), cases[i].exported);
		msp_drop_quarantine_list(list);
	}
}

static void
list_stays_bounded(void **state)
{
	msp_virtual_env_t venv = {.now = MSP_MINUTE};
	msp_env_t env = msp_virtual_env(&venv);
	msp_quarantine_list_t *list = msp_new_quarantine_list(&env);
	msp_digest_t fingerprint = {.high = 1};
	uint64_t i;

	(void)state;
	for (i = 0; i < 3 * MSP_QUARANTINE_ENTRIES_MAX; i++) {
		venv.now += MSP_MS;
		fingerprint.low = i;
		msp_add_strike(list, fingerprint, venv.now, venv.now);
	}
	assert_int_equal(msp_check_suspicion(list, fingerprint, NULL),
	    MSP_SUSPICION_SUSPECT);
	msp_drop_quarantine_list(list);
}

/*
 * A read crashes each target that runs it, and its caller repeats it every
 * second: at most two targets may die, and no other request is quarantined.
 */
static void
crashing_request_is_quarantined(void **state)
{
	uint64_t seed, wrong = 0;

	(void)state;
	for (seed = 1; seed <= 1000; seed++) {
		dispatch_sim_config_t config = {
		    .seed = seed,
		    .regions = 1,
		    .data_centres = 1,
		    .targets = 4,
		    .slots = 3,
		    .load = 0.5,
		    .policy = msp_default_policy(MSP_PREFER_LATENCY),
		    .duration = 3 * MSP_SECOND,
		};
		dispatch_sim_t *sim = new_dispatch_sim(&config);
		msp_quarantine_record_t found[4];
		msp_quarantine_list_t *list =
		    msp_dispatcher_quarantine(sim->places[0].dispatcher);
		int i;

		for (i = 0; sim_faults[i].start != NULL; i++) {
			if (strcmp(sim_faults[i].name,
				"request-kills-targets") == 0)
				break;
		}
		schedule_fault(sim, &sim_faults[i], 101 * MSP_SECOND, 0);
		run_dispatch_sim(sim);
		wrong += sim->target_kills != 2;
		wrong += msp_export_quarantine(list, found, 4) != 1;
		wrong += found[0].fingerprint.high != 666;
		drop_dispatch_sim(sim);
	}
	assert_int_equal(wrong, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(suspicion_follows_the_strikes),
	    cmocka_unit_test(list_stays_bounded),
	    cmocka_unit_test(crashing_request_is_quarantined),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
