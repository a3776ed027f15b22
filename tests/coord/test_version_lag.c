#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "monsoonspindle/coord.h"

#define TOLERANCE (1000 * MSP_MS)
#define UPDATES_MAX 5

typedef struct lag_update {
	uint64_t at_ms;
	uint64_t own;
	uint64_t newest;
	bool outdated; /* expected after the update */
} lag_update_t;

typedef struct lag_case {
	const char *name;
	/* The rest is zeroed, and is not played. */
	lag_update_t updates[UPDATES_MAX];
} lag_case_t;

static const lag_case_t cases[] = {
    {"up to date", {{100, 7, 7, false}, {5000, 7, 7, false}}},
    {"ahead of all others", {{100, 8, 7, false}, {5000, 8, 7, false}}},
    {"none yet", {{100, 0, 0, false}, {5000, 0, 0, false}}},
    {"older within the tolerance", {{100, 7, 9, false}, {1099, 7, 9, false}}},
    {"older for longer", {{100, 7, 9, false}, {1100, 7, 9, true}}},
    {"older than ever newer ones",
	{{100, 7, 9, false}, {600, 7, 11, false}, {1100, 7, 12, true}}},
    {"a step that does not reach it",
	{{100, 7, 9, false}, {1000, 8, 9, false}, {1900, 8, 9, true},
	    {2000, 9, 9, false}}},
    {"up to date again",
	{{100, 7, 9, false}, {1200, 7, 9, true}, {1300, 9, 9, false},
	    {1400, 9, 10, false}, {2300, 9, 10, false}}},
    /* Its VM is suspect or lost, but the version was acknowledged. */
    {"the newer one is no longer seen",
	{{100, 7, 9, false}, {900, 7, 0, false}, {1100, 7, 7, true},
	    {5000, 7, 7, true}, {5100, 9, 7, false}}},
    {"more newer ones than are kept apart",
	{{100, 7, 9, false}, {200, 7, 10, false}, {300, 7, 11, false},
	    {1200, 9, 12, true}, {1250, 12, 12, false}}},
    /* Each step restarted the time, although 11 is known since 1,000 ms. */
    {"advances, but never catches up",
	{{100, 7, 9, false}, {1000, 8, 11, false}, {1900, 9, 13, false},
	    {2800, 10, 15, true}}},
};

/*
 * A VM that knew of newer routes went on to use the home regions of its old
 * ones.
 */
static void
older_version_is_outdated_after_the_tolerance(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_version_lag_t lag = {0};
		size_t step;

		for (step = 0;
		     step < UPDATES_MAX && cases[i].updates[step].at_ms != 0;
		     step++) {
			const lag_update_t *update = &cases[i].updates[step];
			msp_time_t now = update->at_ms * MSP_MS;

			msp_update_version_lag(
			    &lag, now, update->own, update->newest);
			if (msp_version_is_outdated(&lag, now, TOLERANCE) !=
			    update->outdated)
				fail_msg("%s: update %zu", cases[i].name, step);
		}
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(older_version_is_outdated_after_the_tolerance),
	};

	return cmocka_run_group_tests_name("version lag", tests, NULL, NULL);
}
