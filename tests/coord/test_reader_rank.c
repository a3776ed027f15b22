#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/coord/reader_rank.h"
#include "monsoonspindle/coord/rendezvous.h"

#define KEY 77U
#define READERS_MAX 4
#define ROUNDS 200U
#define MANY 300U

typedef struct choice_case {
	const char *name;
	size_t count;
	msp_reader_t ranked[READERS_MAX];
	size_t urgent; /* index of the reader of urgent rows */
} choice_case_t;

static const choice_case_t choices[] = {
    {"alone", 1, {{.link_mbps = 10}}, 0},
    {"two fast", 3, {{.link_mbps = 200}, {.link_mbps = 200}, {.link_mbps = 10}},
	1},
    {"one fast", 3, {{.link_mbps = 200}, {.link_mbps = 10}, {.link_mbps = 10}},
	0},
    {"no link is known", 2, {{.link_mbps = 0}, {.link_mbps = 0}}, 1},
    {"the second is suspect", 2,
	{{.link_mbps = 10}, {.link_mbps = 10, .is_suspect = true}}, 0},
};

static void
tables_have_readers_of_their_own(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(choices) / sizeof(*choices); i++) {
		print_message("%s\n", choices[i].name);
		assert_int_equal(msp_choose_reader(choices[i].ranked,
				     choices[i].count, MSP_READER_LARGE_ROWS),
		    0);
		assert_int_equal(msp_choose_reader(choices[i].ranked,
				     choices[i].count, MSP_READER_URGENT_ROWS),
		    choices[i].urgent);
	}
}

static void
shuffle(msp_reader_t *readers, size_t count, msp_rng_t *rng)
{
	size_t i;

	for (i = count - 1; i > 0; i--) {
		size_t j = msp_next_random(rng) % (i + 1);
		msp_reader_t swapped = readers[i];

		readers[i] = readers[j];
		readers[j] = swapped;
	}
}

/* A VM with a slow link read large rows for all of its data centre. */
static void
fastest_links_come_first(void **state)
{
	static const uint32_t speeds[] = {10, 200, 0, 10, 40, 200};
	char names[MANY][16];
	msp_reader_t readers[MANY];
	msp_rng_t rng = {.state = 5};
	size_t i;

	(void)state;
	for (i = 0; i < MANY; i++) {
		snprintf(names[i], sizeof(names[i]), "vm-%zu", i);
		readers[i] = (msp_reader_t){.name = names[i],
		    .link_mbps = speeds[i % (sizeof(speeds) / sizeof(*speeds))],
		    .is_suspect = i % 7 == 0};
	}
	shuffle(readers, MANY, &rng);
	msp_rank_readers(readers, MANY, KEY);
	for (i = 1; i < MANY; i++) {
		const msp_reader_t *before = &readers[i - 1];
		const msp_reader_t *after = &readers[i];

		assert_true(before->is_suspect <= after->is_suspect);
		if (before->is_suspect != after->is_suspect)
			continue;
		assert_true(before->link_mbps >= after->link_mbps);
		if (before->link_mbps == after->link_mbps)
			assert_true(msp_rendezvous_score(before->name, KEY) >=
			    msp_rendezvous_score(after->name, KEY));
	}
}

/* Each VM ranks by itself, and all must find the same reader. */
static void
rank_does_not_depend_on_the_order(void **state)
{
	char names[READERS_MAX][16];
	msp_reader_t readers[READERS_MAX];
	msp_rng_t rng = {.state = 6};
	const char *first = NULL;
	unsigned int i;

	(void)state;
	for (i = 0; i < READERS_MAX; i++) {
		snprintf(names[i], sizeof(names[i]), "vm-%u", i);
		readers[i] = (msp_reader_t){.name = names[i], .link_mbps = 10};
	}
	for (i = 0; i < ROUNDS; i++) {
		shuffle(readers, READERS_MAX, &rng);
		msp_rank_readers(readers, READERS_MAX, KEY);
		if (first == NULL)
			first = readers[0].name;
		assert_string_equal(readers[0].name, first);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(tables_have_readers_of_their_own),
	    cmocka_unit_test(fastest_links_come_first),
	    cmocka_unit_test(rank_does_not_depend_on_the_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
