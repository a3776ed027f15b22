#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "monsoonspindle/coord/feature_gate.h"

#define VERSION 2U
#define VMS_MAX 4
#define STEPS_MAX 8

#define OLD                              \
	{                                \
		.oldest = 1, .newest = 1 \
	}
#define BOTH                             \
	{                                \
		.oldest = 1, .newest = 2 \
	}
#define NEW                              \
	{                                \
		.oldest = 2, .newest = 3 \
	}
#define UNKNOWN                          \
	{                                \
		.oldest = 0, .newest = 0 \
	}

/* The live VMs from a time on, and whether the feature is used then. */
typedef struct gate_step {
	uint32_t at_ms;
	size_t count;
	msp_protocol_range_t ranges[VMS_MAX];
	bool used;
} gate_step_t;

typedef struct gate_case {
	const char *name;
	gate_step_t steps[STEPS_MAX]; /* until one without VMs */
} gate_case_t;

static const gate_case_t cases[] = {
    {"all new",
	{{1000, 2, {BOTH, NEW}, false}, {3999, 2, {BOTH, NEW}, false},
	    {4000, 2, {BOTH, NEW}, true}}},
    {"all old", {{1000, 2, {OLD, OLD}, false}, {9000, 2, {OLD, OLD}, false}}},
    {"upgrade, one after the other",
	{{1000, 3, {BOTH, OLD, OLD}, false},
	    {9000, 3, {BOTH, BOTH, OLD}, false},
	    {20000, 3, {BOTH, BOTH, BOTH}, false},
	    {23000, 3, {BOTH, BOTH, BOTH}, true}}},
    {"upgrade taken back",
	{{1000, 2, {BOTH, BOTH}, false}, {4000, 2, {BOTH, BOTH}, true},
	    {5000, 2, {OLD, BOTH}, false}, {5001, 2, {BOTH, BOTH}, false},
	    {8000, 2, {BOTH, BOTH}, false}, {8001, 2, {BOTH, BOTH}, true}}},
    {"a VM that joins",
	{{1000, 2, {BOTH, BOTH}, false}, {4000, 2, {BOTH, BOTH}, true},
	    {5000, 3, {BOTH, BOTH, UNKNOWN}, true},
	    {6000, 3, {BOTH, BOTH, BOTH}, true}}},
    {"an old VM that joins",
	{{1000, 2, {BOTH, BOTH}, false}, {4000, 2, {BOTH, BOTH}, true},
	    {5000, 3, {BOTH, BOTH, UNKNOWN}, true},
	    {6000, 3, {BOTH, BOTH, OLD}, false}}},
    {"a VM that is not known at the start",
	{{1000, 2, {BOTH, UNKNOWN}, false}, {9000, 2, {BOTH, UNKNOWN}, false},
	    {10000, 2, {BOTH, BOTH}, false}, {13000, 2, {BOTH, BOTH}, true}}},
    {"one VM", {{1000, 1, {BOTH}, false}, {4000, 1, {BOTH}, true}}},
};

static void
feature_is_used_only_if_all_are_able(void **state)
{
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_feature_gate_t gate = {0};

		print_message("%s\n", cases[i].name);
		for (j = 0; j < STEPS_MAX && cases[i].steps[j].count > 0; j++) {
			const gate_step_t *step = &cases[i].steps[j];

			assert_int_equal(
			    msp_update_feature_gate(&gate, step->at_ms * MSP_MS,
				VERSION, step->ranges, step->count),
			    step->used);
		}
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(feature_is_used_only_if_all_are_able),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
