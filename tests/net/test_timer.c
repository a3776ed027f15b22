#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "net_fixture.h"

#define TIMERS 3

/* State shared with the callbacks of the timers. */
typedef struct timer_test {
	msp_loop_t *loop;
	msp_timer_t *timers[TIMERS];
	char order[32]; /* names of the fired timers, in order */
	unsigned int fired; /* how many fired */
	int drop; /* index of the timer that the next to fire drops; -1: none */
} timer_test_t;

static timer_test_t test;

static void
fire(const char *name)
{
	strncat(test.order, name, sizeof(test.order) - strlen(test.order) - 1);
	test.fired++;
	if (test.drop < 0)
		return;
	msp_drop_timer(test.timers[test.drop]);
	test.timers[test.drop] = NULL;
	test.drop = -1;
}

static void
fire_a(void *ctx)
{
	(void)ctx;
	fire("a");
}

static void
fire_b(void *ctx)
{
	(void)ctx;
	fire("b");
}

static void
fire_c(void *ctx)
{
	(void)ctx;
	fire("c");
}

static int
set_up(void **state)
{
	test = (timer_test_t){.drop = -1};
	test.loop = msp_new_loop(64);
	*state = &test;
	return test.loop == NULL ? -1 : 0;
}

static int
tear_down(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < TIMERS; i++)
		msp_drop_timer(test.timers[i]);
	msp_drop_loop(test.loop);
	return 0;
}

static void
timers_fire_in_order_of_due_time(void **state)
{
	(void)state;
	test.timers[2] = msp_new_timer(test.loop, 30 * MSP_MS, 0, fire_c, NULL);
	test.timers[0] = msp_new_timer(test.loop, 0, 0, fire_a, NULL);
	test.timers[1] = msp_new_timer(test.loop, 15 * MSP_MS, 0, fire_b, NULL);
	assert_true(run_until_count(test.loop, &test.fired, 3));
	assert_string_equal(test.order, "abc");
}

static void
periodic_timer_fires_again(void **state)
{
	(void)state;
	test.timers[0] =
	    msp_new_timer(test.loop, MSP_MS, 2 * MSP_MS, fire_a, NULL);
	assert_true(run_until_count(test.loop, &test.fired, 5));
}

/* A callback may drop its own timer, or another that is due as well. */
static void
timer_may_be_dropped_in_callback(void **state)
{
	(void)state;
	test.drop = 0;
	test.timers[0] = msp_new_timer(test.loop, MSP_MS, MSP_MS, fire_a, NULL);
	test.timers[1] = msp_new_timer(test.loop, 10 * MSP_MS, 0, fire_b, NULL);
	assert_true(run_until_count(test.loop, &test.fired, 2));
	assert_string_equal(test.order, "ab");
	test.drop = 2;
	test.order[0] = '\0';
	test.fired = 0;
	msp_drop_timer(test.timers[1]);
	test.timers[0] = msp_new_timer(test.loop, 0, 0, fire_a, NULL);
	test.timers[2] = msp_new_timer(test.loop, 0, 0, fire_c, NULL);
	test.timers[1] = msp_new_timer(test.loop, 9 * MSP_MS, 0, fire_b, NULL);
	assert_true(run_until_count(test.loop, &test.fired, 2));
	assert_string_equal(test.order, "ab");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		timers_fire_in_order_of_due_time, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		periodic_timer_fires_again, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		timer_may_be_dropped_in_callback, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
