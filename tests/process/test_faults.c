#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fault_run.h"

static void
orders_run_at_most_once_under_faults(void **state)
{
	run_fault_cases(*state, false);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(orders_run_at_most_once_under_faults),
	};

	return cmocka_run_group_tests(
	    tests, start_fault_fleet, stop_fault_fleet);
}
