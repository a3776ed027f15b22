#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

/*
 * Guards against work of several seconds that a stopping VM begins and cuts off
 * in the end: long requests and long queues beside stops in turn.
 */
typedef struct stop_case {
	const char *name;
	msp_time_t time_left;
	msp_time_t latency; /* as expected */
	msp_time_t took; /* in fact, with the wait behind others */
	bool begun;
} stop_case_t;

static const stop_case_t cases[] = {
    {"not stopping", MSP_NEVER, 3600 * MSP_SECOND, 3600 * MSP_SECOND, true},
    {"short work", 5300 * MSP_MS, 960 * MSP_MS, 1900 * MSP_MS, true},
    {"long work early", 9300 * MSP_MS, 3400 * MSP_MS, 6700 * MSP_MS, true},
    {"long work late", 5440 * MSP_MS, 3400 * MSP_MS, 5470 * MSP_MS, false},
    {"longer work", 9300 * MSP_MS, 5200 * MSP_MS, 9400 * MSP_MS, false},
    {"short work at the end", 900 * MSP_MS, 500 * MSP_MS, 950 * MSP_MS, false},
    {"no time left", 0, 1 * MSP_MS, 2 * MSP_MS, false},
};

static void
stopping_vm_begins_what_it_can_finish(void **state)
{
	msp_time_t limit;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const stop_case_t *c = &cases[i];

		limit = msp_max_latency_before_stop(c->time_left);
		if ((c->latency <= limit) != c->begun)
			fail_msg("%s: limit %llu ms", c->name,
			    (unsigned long long)(limit / MSP_MS));
		/* What is begun ends in time. */
		if (c->begun && c->took > c->time_left)
			fail_msg("%s: cut off", c->name);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(stopping_vm_begins_what_it_can_finish),
	};

	return cmocka_run_group_tests_name("planned stop", tests, NULL, NULL);
}
