#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "claim_model.h"

/*
 * Walks every interleaving, up to a depth, of one key's steps. A path is a
 * sequence of choices; it is run again from the start for each.
 */
#define DEPTH_DEFAULT 6

static void
print_path(const unsigned int *choices, unsigned int depth, const char *what)
{
	unsigned int i;

	printf("%s, by the choices", what);
	for (i = 0; i < depth; i++)
		printf(" %u", choices[i]);
	printf("\n");
}

static void
every_interleaving_keeps_the_promises(void **state)
{
	const char *setting = getenv("WALK_DEPTH");
	unsigned int depth =
	    setting == NULL ? DEPTH_DEFAULT : (unsigned int)atoi(setting);
	unsigned int choices[32] = {0};
	unsigned int options[32] = {0};
	uint64_t paths = 0;
	uint64_t states = 1;
	unsigned int broken = 0;
	unsigned int at = 0;

	(void)state;
	assert_in_range(depth, 1, 32);
	do {
		const char *what = run_model_path(choices, options, depth);

		paths++;
		states += depth - at;
		if (what != NULL && broken++ < 5)
			print_path(choices, depth, what);
		at = depth;
		while (at > 0 && choices[at - 1] + 1 >= options[at - 1])
			choices[--at] = 0;
		if (at > 0)
			choices[--at]++;
		else
			break;
	} while (true);
	printf("depth %u: %llu paths, %llu states, %u broken\n", depth,
	    (unsigned long long)paths, (unsigned long long)states, broken);
	assert_int_equal(broken, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(every_interleaving_keeps_the_promises),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
