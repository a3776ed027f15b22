#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "claim_model.h"

/*
 * Runs one key through every interleaving of its events, up to this depth. A
 * path is a sequence of choices; each path is run from the start.
 */
#define DEPTH_DEFAULT 6

static void
print_path(
    const unsigned int *choices, unsigned int depth, const char *violation)
{
	unsigned int i;

	printf("%s, with the choices", violation);
	for (i = 0; i < depth; i++)
		printf(" %u", choices[i]);
	printf("\n");
}

static void
guarantees_hold_in_every_interleaving(void **state)
{
	const char *setting = getenv("WALK_DEPTH");
	unsigned int depth =
	    setting == NULL ? DEPTH_DEFAULT : (unsigned int)atoi(setting);
	unsigned int choices[32] = {0};
	unsigned int options[32] = {0};
	uint64_t paths = 0;
	uint64_t states = 1;
	unsigned int violations = 0;
	unsigned int at = 0;

	(void)state;
	assert_in_range(depth, 1, 32);
	do {
		const char *violation = run_model_path(choices, options, depth);

		paths++;
		states += depth - at;
		if (violation != NULL && violations++ < 5)
			print_path(choices, depth, violation);
		at = depth;
		while (at > 0 && choices[at - 1] + 1 >= options[at - 1])
			choices[--at] = 0;
		if (at > 0)
			choices[--at]++;
		else
			break;
	} while (true);
	printf("depth %u: %llu paths, %llu states, %u violations\n", depth,
	    (unsigned long long)paths, (unsigned long long)states, violations);
	assert_int_equal(violations, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(guarantees_hold_in_every_interleaving),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
