#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

/* Evacuations, by what the operator's table says and the store forgets. */

#define STEPS_MAX 6
#define PLACE "north-a"

typedef enum step_kind {
	END, /* of the case */
	BEGINS, /* by a row */
	ENDS, /* the row is removed */
	LISTS_NONE, /* a snapshot without the row */
	LISTS_IT, /* a snapshot with it */
	COMES_BACK, /* the store, from an older copy */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	uint32_t at_ms;
	bool in_force; /* afterwards */
} step_t;

typedef struct evacuation_case {
	const char *name;
	step_t steps[STEPS_MAX];
	uint32_t end_ms;
	bool in_force; /* at the end */
} evacuation_case_t;

static const evacuation_case_t cases[] = {
    {"begins and ends", {{BEGINS, 0, true}, {ENDS, 9000, false}}, 9001, false},
    {"read anew", {{BEGINS, 0, true}, {LISTS_IT, 100, true}}, 60000, true},
    {"ended before the table is read anew",
	{{BEGINS, 0, true}, {LISTS_NONE, 100, false}}, 101, false},
    /* The zone would have got requests again until it was written anew. */
    {"forgotten by the store, and written again",
	{{BEGINS, 0, true}, {COMES_BACK, 100, true}, {LISTS_NONE, 100, true},
	    {BEGINS, 900, true}},
	60000, true},
    {"forgotten by the store, and not written again",
	{{BEGINS, 0, true}, {COMES_BACK, 100, true}, {LISTS_NONE, 100, true}},
	5100, false},
    {"the same, until then",
	{{BEGINS, 0, true}, {COMES_BACK, 100, true}, {LISTS_NONE, 100, true}},
	5099, true},
    {"its end is forgotten",
	{{BEGINS, 0, true}, {ENDS, 50, false}, {COMES_BACK, 100, false},
	    {LISTS_IT, 100, true}, {ENDS, 700, false}},
	701, false},
    {"ends right after the store is back",
	{{BEGINS, 0, true}, {COMES_BACK, 100, true}, {LISTS_IT, 100, true},
	    {ENDS, 200, false}},
	201, false},
    {"the store comes back twice",
	{{BEGINS, 0, true}, {COMES_BACK, 100, true}, {LISTS_NONE, 100, true},
	    {COMES_BACK, 4000, true}, {LISTS_NONE, 4000, true}},
	8999, true},
};

static void
play_step(msp_evacuations_t *evacuations, step_kind_t kind)
{
	switch (kind) {
	case BEGINS:
	case ENDS:
		msp_set_evacuation(evacuations, PLACE, kind == BEGINS);
		break;
	case LISTS_IT:
	case LISTS_NONE:
		msp_list_evacuations_anew(evacuations);
		if (kind == LISTS_IT)
			msp_set_evacuation(evacuations, PLACE, true);
		break;
	case COMES_BACK:
		msp_hold_evacuations(evacuations);
		break;
	case END:
		break;
	}
}

static void
evacuations_outlast_an_older_copy(void **state)
{
	msp_virtual_env_t clock;
	msp_env_t env = msp_virtual_env(&clock);
	msp_evacuations_t *evacuations;
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const evacuation_case_t *c = &cases[i];

		clock = (msp_virtual_env_t){.now = 1000 * MSP_SECOND};
		evacuations = msp_new_evacuations(&env);
		assert_non_null(evacuations);
		for (k = 0; c->steps[k].kind != END; k++) {
			clock.now =
			    1000 * MSP_SECOND + c->steps[k].at_ms * MSP_MS;
			play_step(evacuations, c->steps[k].kind);
			if (msp_is_evacuated(evacuations, PLACE) !=
			    c->steps[k].in_force)
				fail_msg("%s: step %zu", c->name, k);
		}
		clock.now = 1000 * MSP_SECOND + c->end_ms * MSP_MS;
		if (msp_is_evacuated(evacuations, PLACE) != c->in_force)
			fail_msg("%s: at the end", c->name);
		assert_int_equal(
		    msp_count_evacuations(evacuations), c->in_force);
		assert_false(msp_is_evacuated(evacuations, "south-a"));
		msp_drop_evacuations(evacuations);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(evacuations_outlast_an_older_copy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
