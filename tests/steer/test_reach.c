#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

#define TARGETS 4

/* Events, one character each. */
#define CONTACT 'c' /* any target answers */
#define SECOND 's' /* a second passes */

typedef struct reach_case {
	const char *name;
	const char *events; /* '0' to '3': a connect to this target fails */
	bool lost;
} reach_case_t;

/* Guards against taking one dead target for a cut, and a cut for dead ones. */
static void
lost_only_if_several_targets_fail_in_a_row(void **state)
{
	static const reach_case_t cases[] = {
	    {"nothing has happened", "", false},
	    {"two targets fail", "01", false},
	    {"three targets fail", "012", true},
	    {"one target fails often", "0000", false},
	    {"two targets fail by turns", "010101", false},
	    {"one answers before the third fails", "01c2", false},
	    {"one answers after the third", "012c", false},
	    {"three fail after an answer", "012c012", true},
	    {"a target counts again after an answer", "0c12", false},
	    {"no connect was tried for a while", "012sss", false},
	    {"checks go on failing", "012ss0s", true},
	    {"the others failed long ago", "01sss2", false},
	    {"they fail again", "01sss012", true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		uint64_t marks[TARGETS] = {0};
		msp_reach_t reach = {0};
		msp_time_t now = MSP_SECOND;
		const char *at;

		for (at = cases[i].events; *at != '\0'; at++) {
			if (*at == CONTACT)
				msp_record_contact(&reach, now);
			else if (*at == SECOND)
				now += MSP_SECOND;
			else
				msp_record_connect_failure(
				    &reach, &marks[*at - '0'], now);
		}
		if (msp_reach_is_lost(&reach, now) != cases[i].lost)
			fail_msg("%s", cases[i].name);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(lost_only_if_several_targets_fail_in_a_row),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
