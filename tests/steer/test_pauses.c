#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "target_sim.h"

/*
 * Hundreds of VMs, each with its own view and balancer, on a virtual clock.
 * Targets refuse all requests for some seconds and ask for a pause of that
 * time.
 */

#define REGIONS 3
#define VMS 100 /* of each region */
#define TARGETS 16 /* of each region */
#define SLOTS 9
#define SERVICE_TIME (100 * MSP_MS)
#define PER_SECOND 400.0 /* from each region */
#define WARM_UP (3 * MSP_SECOND)
#define BEFORE (2 * MSP_SECOND) /* a span to compare with */
#define PAUSE (3 * MSP_SECOND)
#define AFTER (4 * MSP_SECOND) /* after the end of the pause */
#define SERVED_PART_MIN 0.95 /* afterwards, of what was served before */

typedef struct pause_case {
	const char *name;
	unsigned int paused; /* targets, those of the first regions first */
} pause_case_t;

static const pause_case_t cases[] = {
    {"no target", 0},
    {"one target", 1},
    {"half of a region", TARGETS / 2},
    {"a region", TARGETS},
    {"all but one", REGIONS *TARGETS - 1},
    {"all targets", REGIONS *TARGETS},
};

static unsigned int
count_served(const target_sim_result_t *result)
{
	return result->in_time + result->late;
}

static void
play(const pause_case_t *item, uint64_t seed)
{
	const target_sim_config_t config = {.regions = REGIONS,
	    .targets = {TARGETS, TARGETS, TARGETS},
	    .vms = VMS,
	    .slots = SLOTS,
	    .queue_max = 2 * SLOTS,
	    .cache_size = 40,
	    .objects = 100,
	    .service_time = SERVICE_TIME,
	    .rtt = 110 * MSP_MS,
	    .goal_ms = 500,
	    .timeout_ms = 3000};
	const target_sim_load_t load = {
	    .end = MSP_MINUTE, .per_second = PER_SECOND, .region = -1};
	target_sim_t *sim = new_target_sim(&config, seed);
	target_sim_result_t before;
	target_sim_result_t during;
	target_sim_result_t after;
	msp_time_t now = WARM_UP;

	run_target_sim(sim, &load, 1, now);
	take_target_sim_result(sim);
	run_target_sim(sim, &load, 1, now += BEFORE);
	before = take_target_sim_result(sim);
	pause_sim_targets(sim, item->paused, PAUSE);
	run_target_sim(sim, &load, 1, now += PAUSE);
	during = take_target_sim_result(sim);
	run_target_sim(sim, &load, 1, now + AFTER);
	after = take_target_sim_result(sim);
	drop_target_sim(sim);
	print_message("%s, seed %u: served %u of %u, %u of %u, %u of %u, too "
		      "many %u, shed afterwards %u\n",
	    item->name, (unsigned int)seed, count_served(&before), before.sent,
	    count_served(&during), during.sent, count_served(&after),
	    after.sent, during.in_pauses, after.shed);
	assert_int_equal(during.in_pauses + after.in_pauses, 0);
	assert_int_equal(after.shed, 0);
	assert_true((double)count_served(&after) / after.sent >=
	    SERVED_PART_MIN * count_served(&before) / before.sent);
	/* A VM learns of a pause by one refusal, and refuses nothing itself. */
	assert_true(during.paused <= item->paused * REGIONS * VMS);
	if (item->paused <= TARGETS)
		assert_true(during.refused - during.paused <=
		    (1 - SERVED_PART_MIN) * during.sent);
}

/*
 * Guards against VMs that go on sending to targets that want nothing from them,
 * and against all of them coming back at once.
 */
static void
hundreds_of_vms_keep_the_pauses_of_targets(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		play(&cases[i], i + 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(hundreds_of_vms_keep_the_pauses_of_targets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
