#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/steer.h"

typedef struct split_case {
	uint32_t weights[3];
	unsigned int requests;
} split_case_t;

static void
each_service_is_within_one_request_of_its_share(void **state)
{
	static const split_case_t cases[] = {{{90, 10, 0}, 100},
	    {{1, 1, 1}, 10}, {{97, 2, 1}, 333}, {{0, 5, 0}, 20}};
	size_t i;
	unsigned int k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_route_table_t *table = msp_new_route_table(1);
		msp_path_route_t *route = msp_add_path_route(table);
		msp_traffic_split_t *split = msp_new_traffic_split();
		unsigned int counts[3] = {0};
		double sum = 0;

		strcpy(route->name, "r");
		for (k = 0; k < 3; k++) {
			msp_weighted_service_t *weighted =
			    msp_add_weighted_service(route);

			snprintf(weighted->service, sizeof(weighted->service),
			    "%u", k);
			weighted->weight = cases[i].weights[k];
			sum += weighted->weight;
		}
		for (k = 0; k < cases[i].requests; k++)
			counts[msp_pick_service(split, route)[0] - '0']++;
		for (k = 0; k < 3; k++)
			assert_true(fabs(counts[k] -
					cases[i].requests *
					    cases[i].weights[k] / sum) <= 1);
		msp_drop_traffic_split(split);
		msp_drop_route_table(table);
	}
}

typedef struct share_case {
	const char *name;
	double local;
	double remote;
	double initial; /* share */
	double min; /* after five seconds */
	double max;
} share_case_t;

static void
share_follows_the_utilisation(void **state)
{
	static const share_case_t cases[] = {
	    {"local capacity", 0.1, 0.5, 0, 0.05, 0.21},
	    {"local overload", 1.5, 0.3, 1, 0.79, 0.95},
	    {"overload everywhere", 1.5, 1.6, 1, 1, 1},
	    {"between the thresholds", 0.6, 0.6, 0.5, 0.5, 0.5},
	    {"no local target", -1, 0.5, 1, 0, 0},
	};
	size_t i;
	unsigned int k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_region_share_t share = {.local = cases[i].initial};
		msp_time_t now = MSP_SECOND;

		for (k = 0; k < 100; k++) {
			now += 50 * MSP_MS;
			msp_update_region_share(
			    &share, now, cases[i].local, cases[i].remote);
		}
		if (share.local < cases[i].min || share.local > cases[i].max)
			fail_msg("%s: %f", cases[i].name, share.local);
	}
}

static void
idle_time_does_not_change_the_share(void **state)
{
	msp_region_share_t share = {0};

	(void)state;
	msp_update_region_share(&share, MSP_SECOND, 0, 0);
	msp_update_region_share(&share, MSP_MINUTE, 0, 0);
	assert_true(share.local <= MSP_SHARE_SLEW_RATE);
}

static void
requests_are_assigned_evenly(void **state)
{
	msp_region_share_t share = {.local = 0.3};
	unsigned int local = 0;
	unsigned int i;

	(void)state;
	for (i = 1; i <= 1000; i++) {
		local += msp_assign_to_region(&share) ? 1 : 0;
		assert_true(fabs(local - 0.3 * i) <= 1.0001);
	}
}

static void
reports_lose_weight_with_age(void **state)
{
	msp_target_traffic_t traffic = {.in_flight = 1};
	msp_server_load_t report = {.running = 5, .waiting = 2, .slots = 5};

	(void)state;
	/* Without a report, the usual load is assumed. */
	assert_true(fabs(msp_estimate_target_load(&traffic, 1, 2) - 3) < 0.01);
	/* Of the 7, one has just ended and one is in `in_flight`. */
	msp_record_server_load(&traffic, MSP_SECOND, &report);
	assert_true(
	    fabs(msp_estimate_target_load(&traffic, MSP_SECOND, 0) - 6) < 0.01);
	assert_true(
	    fabs(msp_estimate_target_load(&traffic, 60 * MSP_SECOND, 0.5) -
		1.5) < 0.01);
}

static void
failure_rate_and_latency_ratio_decay(void **state)
{
	msp_target_traffic_t traffic = {0};
	msp_time_t now = MSP_SECOND;
	unsigned int i;

	(void)state;
	for (i = 0; i < 20; i++) {
		msp_record_target_outcome(&traffic, now, false);
		msp_record_target_latency(
		    &traffic, now, 1000 * MSP_MS, 100 * MSP_MS);
	}
	assert_true(msp_target_failure_rate(&traffic, now) > 0.9);
	assert_true(msp_target_latency_ratio(&traffic, now) > 9);
	now += MSP_MINUTE;
	assert_true(msp_target_failure_rate(&traffic, now) < 0.01);
	assert_true(msp_target_latency_ratio(&traffic, now) < 1.01);
}

static void
latencies_are_modelled_by_warmth_and_region(void **state)
{
	msp_route_table_t *table = msp_new_route_table(1);
	msp_path_route_t *route = msp_add_path_route(table);
	msp_latency_model_t *model = msp_new_latency_model(100 * MSP_MS);
	unsigned int i;

	(void)state;
	strcpy(route->name, "r");
	route->goal_ms = 500;
	assert_int_equal(
	    msp_predict_latency(model, route, MSP_WARM, NULL), 200 * MSP_MS);
	assert_int_equal(
	    msp_predict_latency(model, route, MSP_WARM, "far"), 300 * MSP_MS);
	for (i = 0; i < 100; i++) {
		msp_record_latency(
		    model, route, "desk", MSP_WARM, NULL, 80 * MSP_MS);
		msp_record_latency(
		    model, route, "desk", MSP_WARM, "far", 130 * MSP_MS);
		msp_record_latency(model, route, "desk", MSP_UNLIKELY_WARM,
		    NULL, 300 * MSP_MS);
	}
	assert_in_range(msp_predict_latency(model, route, MSP_WARM, NULL),
	    79 * MSP_MS, 81 * MSP_MS);
	assert_in_range(msp_predict_latency(model, route, MSP_WARM, "far"),
	    125 * MSP_MS, 135 * MSP_MS);
	assert_in_range(
	    msp_predict_latency(model, route, MSP_UNLIKELY_WARM, NULL),
	    299 * MSP_MS, 301 * MSP_MS);
	msp_drop_latency_model(model);
	msp_drop_route_table(table);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(each_service_is_within_one_request_of_its_share),
	    cmocka_unit_test(share_follows_the_utilisation),
	    cmocka_unit_test(idle_time_does_not_change_the_share),
	    cmocka_unit_test(requests_are_assigned_evenly),
	    cmocka_unit_test(reports_lose_weight_with_age),
	    cmocka_unit_test(failure_rate_and_latency_ratio_decay),
	    cmocka_unit_test(latencies_are_modelled_by_warmth_and_region),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
