#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/steer/balancer.h"

/* One VM that balances over targets of one service, some with limits or pauses.
 */

#define START (100 * MSP_SECOND)
#define SERVICE "desk"
#define REQUESTS_IN_USE 30 /* more than two targets have slots */
#define SENT_MAX 300 /* more than two targets take */
#define ROUTES 2 /* their priorities are 0 and 1 */

typedef struct fixture {
	msp_virtual_env_t clock;
	msp_env_t env;
	msp_target_view_t *view;
	msp_latency_model_t *model;
	msp_balancer_t *balancer;
	msp_route_table_t *table;
} fixture_t;

static const char *
find_region(void *ctx, const char *place)
{
	(void)ctx;
	(void)place;
	return "a"; /* all targets are there */
}

static bool
is_evacuated(void *ctx, const char *place)
{
	(void)ctx;
	(void)place;
	return false;
}

static void
rank_only_vm(
    void *ctx, const msp_view_target_t *target, msp_sender_rank_t *rank)
{
	(void)ctx;
	(void)target;
	*rank = (msp_sender_rank_t){.place_count = 1, .vm_count = 1};
}

static void
add_routes(fixture_t *fixture)
{
	static const char *const names[ROUTES] = {"urgent", "ordinary"};
	msp_weighted_service_t *weighted;
	msp_path_route_t *route;
	uint32_t i;

	fixture->table = msp_new_route_table(1);
	strcpy(msp_add_service_config(fixture->table)->name, SERVICE);
	for (i = 0; i < ROUTES; i++) {
		route = msp_add_path_route(fixture->table);
		strcpy(route->name, names[i]);
		snprintf(
		    route->prefix, sizeof(route->prefix), "/%s/", names[i]);
		route->priority = i;
		route->goal_ms = 500;
		route->timeout_ms = 2000;
		weighted = msp_add_weighted_service(route);
		strcpy(weighted->service, SERVICE);
		weighted->weight = 1;
	}
	assert_int_equal(msp_finish_route_table(fixture->table), MSP_OK);
}

static void
add_target(fixture_t *fixture, unsigned int index)
{
	msp_registration_t registration = {.service = SERVICE,
	    .place = "a",
	    .address = "10.0.0.1",
	    .port = 80,
	    .slots = 9,
	    .incarnation = 1};

	snprintf(registration.id, sizeof(registration.id), "t%u", index);
	msp_apply_registration(
	    fixture->view, registration.id, 1, &registration);
}

static void
set_up(fixture_t *fixture, unsigned int targets)
{
	const msp_target_view_callbacks_t view_callbacks = {
	    .find_region = find_region};
	const msp_balancer_options_t options = {.region = "a", .place = "a"};
	const msp_balancer_callbacks_t callbacks = {
	    .is_evacuated = is_evacuated, .rank_sender = rank_only_vm};
	unsigned int i;

	*fixture = (fixture_t){.clock = {.now = START, .rng = {.state = 1}}};
	fixture->env = msp_virtual_env(&fixture->clock);
	fixture->view = msp_new_target_view(&fixture->env, &view_callbacks);
	fixture->model = msp_new_latency_model(0);
	fixture->balancer = msp_new_balancer(
	    &fixture->env, &options, &callbacks, fixture->view, fixture->model);
	assert_non_null(fixture->balancer);
	add_routes(fixture);
	for (i = 0; i < targets; i++)
		add_target(fixture, i);
}

static void
tear_down(fixture_t *fixture)
{
	msp_drop_balancer(fixture->balancer);
	msp_drop_latency_model(fixture->model);
	msp_drop_target_view(fixture->view);
	msp_drop_route_table(fixture->table);
}

/* Targets 0 to `count` - 1 name a limit. */
static void
name_limits(fixture_t *fixture, unsigned int count, double per_second)
{
	const msp_limit_statement_t statement = {.named = true,
	    .per_second = per_second,
	    .sent_at = fixture->clock.now - 1,
	    .heard_at = fixture->clock.now};
	msp_view_target_t *target;

	TAILQ_FOREACH(target, msp_view_targets(fixture->view), link) {
		if (count-- == 0)
			return;
		msp_apply_limit_statement(&target->limit, &statement);
	}
}

static const msp_path_route_t *
find_route(const fixture_t *fixture, uint32_t priority)
{
	size_t i = 0;

	while (fixture->table->routes[i].priority != priority)
		i++;
	return &fixture->table->routes[i];
}

/* Sends one request; its target answers at once. */
static msp_status_t
send(fixture_t *fixture, uint32_t priority, msp_balance_choice_t *choice)
{
	msp_balance_request_t request = {.route = find_route(fixture, priority),
	    .service = &fixture->table->services[0],
	    .object_hash = msp_random_below(&fixture->env, 20),
	    .has_object = true,
	    .time_left = 2 * MSP_SECOND};
	msp_status_t status = msp_balance(fixture->balancer, &request, choice);

	if (status != MSP_OK)
		return status;
	msp_begin_balanced_request(fixture->balancer, choice);
	msp_end_balanced_request(
	    fixture->balancer, &request, choice, 50 * MSP_MS, true);
	return MSP_OK;
}

/* Ten targets of which nine are at their limits: the last one takes the rest,
   though many targets with the object rank higher. */
static void
other_targets_take_what_does_not_fit(void **state)
{
	msp_balance_choice_t choice;
	fixture_t fixture;
	unsigned int limited = 0;
	unsigned int i;

	(void)state;
	set_up(&fixture, 10);
	name_limits(&fixture, 9, 1);
	for (i = 0; i < 1000; i++) {
		fixture.clock.now += 10 * MSP_MS;
		assert_int_equal(send(&fixture, 0, &choice), MSP_OK);
		limited += msp_limit_in_force(&choice.target->limit);
	}
	/* 9 per second for 10 s, and what may be saved up. */
	assert_in_range(limited, 30, 90 + 27);
	tear_down(&fixture);
}

static void
requests_beyond_all_limits_are_refused_with_a_time(void **state)
{
	msp_balance_choice_t choice;
	fixture_t fixture;
	unsigned int served = 0;
	unsigned int i;

	(void)state;
	set_up(&fixture, 2);
	name_limits(&fixture, 2, 0.5);
	for (i = 0; i < 1000; i++) {
		fixture.clock.now += 10 * MSP_MS;
		if (send(&fixture, 0, &choice) == MSP_OK) {
			served++;
			continue;
		}
		assert_true(choice.is_limited);
		assert_null(choice.target);
		assert_int_equal(choice.limited_count, 2);
		assert_in_range(choice.wait, 1, 2 * MSP_SECOND + 1);
	}
	assert_in_range(served, 8, 10 + 6);
	tear_down(&fixture);
}

/* Guards against limits whose use is left to chance: urgent requests come
   first, but the others are not starved. */
static void
urgent_requests_come_first_at_limits(void **state)
{
	msp_balance_choice_t choice;
	fixture_t fixture;
	unsigned int sent[ROUTES] = {0};
	unsigned int served[ROUTES] = {0};
	uint32_t priority;
	unsigned int i;

	(void)state;
	set_up(&fixture, 4);
	name_limits(&fixture, 4, 3);
	/* 10 urgent and 40 ordinary ones a second, where 12 may be sent. */
	for (i = 0; i < 3000; i++) {
		fixture.clock.now += 20 * MSP_MS;
		priority = msp_random_below(&fixture.env, 5) == 0 ? 0 : 1;
		sent[priority]++;
		served[priority] += send(&fixture, priority, &choice) == MSP_OK;
	}
	print_message("urgent %u of %u, ordinary %u of %u\n", served[0],
	    sent[0], served[1], sent[1]);
	assert_true(served[0] >= sent[0] * 0.75);
	assert_true(served[1] >= sent[1] * 0.04);
	assert_in_range(served[0] + served[1], 600, 740);
	tear_down(&fixture);
}

/*
 * Two targets that fill up: a VM that stops begins no request that would have
 * to wait, and none that takes longer than it has left. Another VM still does.
 */
static void
stopping_vm_begins_nothing_that_waits(void **state)
{
	msp_view_target_t *in_use[REQUESTS_IN_USE];
	msp_balance_choice_t choice;
	fixture_t fixture;
	bool waited = false;
	size_t i;

	(void)state;
	set_up(&fixture, 2);
	for (i = 0; i < REQUESTS_IN_USE; i++) {
		msp_balance_request_t request = {
		    .route = find_route(&fixture, 0),
		    .service = &fixture.table->services[0],
		    .object_hash = i,
		    .has_object = true,
		    .time_left = 60 * MSP_SECOND,
		    .is_stopping = true,
		    .stops_in = 3600 * MSP_SECOND,
		};
		msp_status_t status =
		    msp_balance(fixture.balancer, &request, &choice);

		if (status == MSP_OK)
			assert_int_equal(choice.wait, 0);
		else
			assert_int_equal(status, MSP_E_OVERLOAD);
		request.stops_in = 0;
		assert_int_equal(
		    msp_balance(fixture.balancer, &request, &choice),
		    MSP_E_OVERLOAD);
		request.is_stopping = false;
		assert_int_equal(
		    msp_balance(fixture.balancer, &request, &choice), MSP_OK);
		waited = waited || choice.wait > 0;
		msp_begin_balanced_request(fixture.balancer, &choice);
		in_use[i] = choice.target;
	}
	assert_true(waited);
	for (i = 0; i < REQUESTS_IN_USE; i++)
		msp_release_view_target(in_use[i]);
	tear_down(&fixture);
}

typedef struct in_flight_case {
	uint32_t slots;
	uint32_t max; /* requests in flight at one target */
} in_flight_case_t;

/*
 * Guards against requests that wait in this VM for a connection to a target,
 * though another target has room or the caller could have been told at once.
 */
static void
targets_with_enough_requests_are_left_out(void **state)
{
	static const in_flight_case_t cases[] = {{1, 24}, {9, 24}, {12, 24},
	    {13, 26}, {40, 80}, {64, 128}, {65, 128}, {1000, 128}};
	msp_balance_choice_t choice;
	fixture_t fixture;
	msp_view_target_t *in_use[SENT_MAX];
	msp_view_target_t *target;
	uint32_t sent;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		set_up(&fixture, 2);
		TAILQ_FOREACH(target, msp_view_targets(fixture.view), link)
			target->registration.slots = cases[i].slots;
		for (sent = 0; sent < SENT_MAX; sent++) {
			msp_balance_request_t request = {
			    .route = find_route(&fixture, 0),
			    .service = &fixture.table->services[0],
			    .object_hash = sent,
			    .has_object = true,
			    .time_left = 3600 * MSP_SECOND,
			};

			if (msp_balance(fixture.balancer, &request, &choice) !=
			    MSP_OK)
				break;
			msp_begin_balanced_request(fixture.balancer, &choice);
			in_use[sent] = choice.target;
		}
		assert_int_equal(sent, 2 * cases[i].max);
		assert_int_equal(choice.busy_count, 2);
		assert_non_null(choice.target);
		TAILQ_FOREACH(target, msp_view_targets(fixture.view), link)
			assert_int_equal(
			    target->traffic.in_flight, cases[i].max);
		while (sent > 0)
			msp_release_view_target(in_use[--sent]);
		tear_down(&fixture);
	}
}

typedef struct pause_case {
	const char *name;
	unsigned int paused; /* of three targets, the first ones */
	unsigned int suspect; /* the next ones */
	msp_status_t status;
	bool is_paused;
	bool all_suspect; /* so that another VM may serve the request */
} pause_case_t;

static void
set_states(fixture_t *fixture, const pause_case_t *item, msp_time_t span)
{
	const msp_pause_request_t request = {
	    .span = span, .slots = 9, .vms = 1};
	msp_view_target_t *target;
	unsigned int i = 0;

	TAILQ_FOREACH(target, msp_view_targets(fixture->view), link) {
		if (i < item->paused)
			msp_apply_target_pause(
			    &target->pause, &fixture->env, &request);
		else if (i < item->paused + item->suspect)
			target->traffic.suspect_since = fixture->clock.now;
		i++;
	}
}

/*
 * Guards against a request that is refused for the pauses of some targets,
 * though another VM may reach the others, and against one that is forwarded to
 * get around them.
 */
static void
paused_targets_are_no_reason_to_forward(void **state)
{
	static const pause_case_t cases[] = {
	    {"none paused", 0, 2, MSP_OK, false, false},
	    {"some paused", 2, 0, MSP_OK, false, false},
	    {"all paused", 3, 0, MSP_E_OVERLOAD, true, false},
	    {"all others suspect", 1, 2, MSP_E_OVERLOAD, true, true},
	    {"all suspect", 0, 3, MSP_E_NO_TARGET, false, true},
	};
	const msp_time_t span = 3 * MSP_SECOND;
	msp_balance_choice_t choice;
	fixture_t fixture;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		print_message("%s\n", cases[i].name);
		set_up(&fixture, 3);
		set_states(&fixture, &cases[i], span);
		assert_int_equal(send(&fixture, 0, &choice), cases[i].status);
		assert_int_equal(choice.is_paused, cases[i].is_paused);
		assert_int_equal(choice.all_suspect, cases[i].all_suspect);
		if (cases[i].is_paused)
			assert_int_equal(choice.wait, span);
		fixture.clock.now += span;
		if (cases[i].paused > 0)
			assert_int_equal(send(&fixture, 0, &choice), MSP_OK);
		tear_down(&fixture);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(targets_with_enough_requests_are_left_out),
	    cmocka_unit_test(stopping_vm_begins_nothing_that_waits),
	    cmocka_unit_test(other_targets_take_what_does_not_fit),
	    cmocka_unit_test(
		requests_beyond_all_limits_are_refused_with_a_time),
	    cmocka_unit_test(urgent_requests_come_first_at_limits),
	    cmocka_unit_test(paused_targets_are_no_reason_to_forward),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
