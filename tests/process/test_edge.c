#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "edge_fixture.h"

#define LOG_TIME (500 * MSP_MS) /* until lines are in the log's file */
#define LINE_TIME (2 * MSP_SECOND) /* the same, at most */
/* Within which news of the store are in force, as the users ask. */
#define DRAIN_TIME (2500 * MSP_MS)
#define ROUTES_TIME (2500 * MSP_MS)
#define EVACUATION_TIME (5 * MSP_SECOND)
#define RELOAD_TIME (3 * MSP_SECOND)
#define STORE_BACK_TIME (2500 * MSP_MS)

static int
set_up(void **state)
{
	*state = new_edge_fixture();
	return 0;
}

static int
tear_down(void **state)
{
	drop_edge_fixture(*state);
	return 0;
}

static void
set_manners(edge_fixture_t *world, target_behaviour_t manner)
{
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++)
		world->targets[i].behaviour = manner;
}

/* The target that got the last request; the only one. */
static edge_target_t *
find_busy(edge_fixture_t *world)
{
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++) {
		if (world->targets[i].request_count > 0)
			return &world->targets[i];
	}
	fail_msg("no target got the request");
	return NULL;
}

static int
ask_readiness(edge_fixture_t *world)
{
	caller_answer_t answer;

	start_edge_request(
	    world, world->readiness_port, "GET", "/api/readiness", &answer);
	run_edge_until(world, &answer.done, 1);
	return answer.http_status;
}

static void
without_routes_it_says_not_now_and_never_not_found(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;

	send_edge_request(world, "GET", "/read/1", &answer);
	assert_int_equal(answer.http_status, 503);
	assert_string_not_equal(answer.retry_after, "");
	assert_int_equal(ask_readiness(world), 503);
	run_edge_until_logged(world, "outcome=no-routes", LINE_TIME);
}

static void
it_serves_and_names_itself(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;
	char address[32];

	set_up_routes_and_targets(world);
	send_edge_request(world, "GET", "/read/1?q=2", &answer);
	assert_int_equal(answer.status, MSP_OK);
	assert_int_equal(answer.http_status, 200);
	assert_string_equal(answer.body, "the whole answer");
	assert_true(answer.is_signed);
	assert_string_equal(find_busy(world)->seen_host, "a.example");
	assert_in_range(find_busy(world)->seen_time_left_ms, 1500, 2000);
	send_edge_request(world, "GET", "/unknown/1", &answer);
	assert_int_equal(answer.http_status, 404);
	assert_int_equal(ask_readiness(world), 200);
	start_edge_request(world, world->directory_port, "GET",
	    "/api/resolve?name=a.example&region=north&zone=north-a", &answer);
	run_edge_until(world, &answer.done, 1);
	snprintf(address, sizeof(address), "127.0.0.1:%u", world->caller_port);
	assert_non_null(strstr(answer.body, address));
	start_edge_request(
	    world, world->metrics_port, "GET", "/metrics", &answer);
	run_edge_until(world, &answer.done, 1);
	assert_non_null(strstr(answer.body, "msp_"));
}

/* One request to targets that all have one manner. */
typedef struct manner_case {
	const char *name;
	target_behaviour_t manner;
	const char *method;
	const char *path;
	int http_status;
	unsigned int least_sent;
	unsigned int most_sent;
	bool retry_after;
} manner_case_t;

static void
bad_answers_are_told_truly(void **state)
{
	static const manner_case_t cases[] = {
	    {"shed, read", TARGET_SHEDS, "GET", "/read/1", 503, 2, 2, true},
	    {"shed, write", TARGET_SHEDS, "POST", "/write/1", 503, 2, 2, true},
	    {"cut, read", TARGET_CUTS, "GET", "/read/2", 502, 2, 2, false},
	    {"cut, write", TARGET_CUTS, "POST", "/write/2", 502, 1, 1, false},
	    {"another request's answer, read", TARGET_SENDS_WRONG_ID, "GET",
		"/read/3", 502, 2, 2, false},
	    {"another request's answer, write", TARGET_SENDS_WRONG_ID, "POST",
		"/write/3", 502, 1, 1, false},
	    {"not signed, read", TARGET_OMITS_SIGNATURE, "GET", "/read/4", 502,
		2, 2, false},
	    {"not signed, write", TARGET_OMITS_SIGNATURE, "POST", "/write/4",
		502, 1, 1, false},
	    {"fails, read", TARGET_FAILS, "GET", "/read/5", 500, 2, 2, false},
	    {"fails, write", TARGET_FAILS, "POST", "/write/5", 500, 1, 1,
		false},
	    {"503 that may have run, read", TARGET_SENDS_BARE_503, "GET",
		"/read/7", 502, 2, 2, false},
	    {"503 that may have run, write", TARGET_SENDS_BARE_503, "POST",
		"/write/7", 502, 1, 1, false},
	    {"429 that may have run, write", TARGET_SENDS_BARE_429, "POST",
		"/write/8", 502, 1, 1, false},
	    {"another target, write", TARGET_IS_REPLACED, "POST", "/write/6",
		503, 2, 2, true},
	};
	edge_fixture_t *world = *state;
	caller_answer_t answer;
	unsigned int sent;
	unsigned int k;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		set_up_routes_and_targets(world);
		/* Retries are earned by requests that go well. */
		for (k = 0; k < 20; k++)
			send_edge_request(world, "GET", "/read/well", &answer);
		for (k = 0; k < EDGE_TARGETS; k++)
			world->targets[k].request_count = 0;
		set_manners(world, cases[i].manner);
		send_edge_request(
		    world, cases[i].method, cases[i].path, &answer);
		sent = count_target_requests(world);
		set_manners(world, TARGET_ANSWERS);
		if (answer.http_status != cases[i].http_status ||
		    sent < cases[i].least_sent || sent > cases[i].most_sent ||
		    (answer.retry_after[0] != '\0') != cases[i].retry_after)
			fail_msg("%s: %d, sent %u, Retry-After \"%s\"",
			    cases[i].name, answer.http_status, sent,
			    answer.retry_after);
		/* Suspects are asked for their health and trusted again. */
		run_edge_for(world, 1500 * MSP_MS);
	}
}

static void
a_silent_target_ends_in_a_timeout_in_time(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;
	msp_time_t start;

	set_up_routes_and_targets(world);
	set_manners(world, TARGET_HOLDS);
	start = msp_now(&world->env);
	send_edge_request(world, "POST", "/write/1", &answer);
	assert_int_equal(answer.http_status, 504);
	/* The route's timeout is 2 s. */
	assert_in_range(
	    msp_now(&world->env) - start, 1900 * MSP_MS, 2500 * MSP_MS);
	assert_int_equal(count_target_requests(world), 1);
}

/* A caller with little time says nothing about the target. */
static void
a_short_deadline_makes_no_target_suspect(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;

	set_up_routes_and_targets(world);
	set_manners(world, TARGET_HOLDS);
	world->deadline_ms = 100;
	send_edge_request(world, "GET", "/read/1", &answer);
	assert_int_equal(answer.http_status, 504);
	run_edge_for(world, LOG_TIME);
	assert_false(edge_log_has(world, "state=suspect"));
	world->deadline_ms = 3000;
	send_edge_request(world, "POST", "/write/1", &answer);
	assert_int_equal(answer.http_status, 504);
	run_edge_until_logged(world, "state=suspect", LINE_TIME);
}

static void
a_draining_target_gets_nothing_new(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;
	edge_target_t *busy;
	unsigned int got;
	unsigned int i;

	set_up_routes_and_targets(world);
	send_edge_request(world, "GET", "/read/1", &answer);
	busy = find_busy(world);
	put_edge_target(world, (unsigned int)(busy - world->targets), true);
	run_edge_until_logged(world, "state=draining", DRAIN_TIME);
	got = busy->request_count;
	for (i = 0; i < 20; i++) {
		send_edge_request(world, "GET", "/read/1", &answer);
		assert_int_equal(answer.http_status, 200);
	}
	assert_int_equal(busy->request_count, got);
}

static void
an_evacuated_place_gets_nothing_until_it_is_taken_back(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;

	set_up_routes_and_targets(world);
	put_edge_row(world, "op", "evacuate/north-a", "{}");
	run_edge_until_logged(world,
	    "event=evacuation place=north-a state=begun", EVACUATION_TIME);
	send_edge_request(world, "GET", "/read/1", &answer);
	assert_int_equal(answer.http_status, 503);
	assert_int_equal(count_target_requests(world), 0);
	put_edge_row(world, "op", "evacuate/north-a", NULL);
	run_edge_until_logged(world,
	    "event=evacuation place=north-a state=ended", EVACUATION_TIME);
	send_edge_request(world, "GET", "/read/1", &answer);
	assert_int_equal(answer.http_status, 200);
}

static void
routes_come_into_force_and_do_not_go_back(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;

	set_up_routes_and_targets(world);
	send_edge_request(world, "GET", "/more/1", &answer);
	assert_int_equal(answer.http_status, 404);
	put_edge_routes(world, 17);
	run_edge_until_logged(world, "state=in-force version=17", ROUTES_TIME);
	send_edge_request(world, "GET", "/more/1", &answer);
	assert_int_equal(answer.http_status, 200);
	put_edge_routes(world, 3);
	run_edge_until_logged(
	    world, "event=routes state=older version=3", ROUTES_TIME);
	send_edge_request(world, "GET", "/more/1", &answer);
	assert_int_equal(answer.http_status, 200);
	put_edge_row(world, "op", "config", "{\"version\":\"r99\"");
	run_edge_until_logged(
	    world, "event=routes state=unusable", ROUTES_TIME);
	send_edge_request(world, "GET", "/more/1", &answer);
	assert_int_equal(answer.http_status, 200);
}

static void
a_caller_who_leaves_frees_the_target(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;
	edge_target_t *busy;
	msp_call_t *call;
	unsigned int i;

	set_up_routes_and_targets(world);
	set_manners(world, TARGET_HOLDS);
	call = start_edge_request(
	    world, world->caller_port, "GET", "/read/1", &answer);
	for (i = 0; i < 1000 && count_target_requests(world) == 0; i++)
		run_edge_for(world, MSP_MS);
	busy = find_busy(world);
	msp_cancel_call(call);
	run_edge_until(world, &busy->closed_count, 1);
	assert_int_equal(count_target_requests(world), 1);
}

static void
an_outage_of_the_store_hurts_no_request(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;
	unsigned int i;

	set_up_routes_and_targets(world);
	msp_memory_store_faults(world->memory_store)->down = true;
	for (i = 0; i < 20; i++) {
		run_edge_for(world, 150 * MSP_MS);
		send_edge_request(world, "POST", "/write/1", &answer);
		assert_int_equal(answer.http_status, 200);
	}
	assert_int_equal(ask_readiness(world), 200);
	run_edge_until_logged(world, "event=store state=lost", LINE_TIME);
	msp_memory_store_faults(world->memory_store)->down = false;
	run_edge_until_logged(world, "event=store state=back", STORE_BACK_TIME);
}

/* The target that runs it ends; the targets come back as other processes. */
static void
ask_deadly(edge_fixture_t *world)
{
	caller_answer_t answer;
	unsigned int k;

	set_manners(world, TARGET_EXITS);
	send_edge_request(world, "POST", "/write/deadly", &answer);
	for (k = 0; k < EDGE_TARGETS; k++)
		put_edge_row(world, "servers", world->targets[k].id, NULL);
	run_edge_for(world, 300 * MSP_MS);
	set_manners(world, TARGET_ANSWERS);
	restart_targets(world);
	set_up_routes_and_targets(world);
}

/* A request that ends each target that runs it is stopped. */
static void
a_request_that_ends_targets_is_stopped(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;
	unsigned int i;

	set_up_routes_and_targets(world);
	for (i = 0; i < 4; i++)
		ask_deadly(world);
	send_edge_request(world, "POST", "/write/deadly", &answer);
	assert_int_equal(answer.http_status, 503);
	run_edge_until_logged(world, "outcome=quarantined", LINE_TIME);
	send_edge_request(world, "POST", "/write/harmless", &answer);
	assert_int_equal(answer.http_status, 200);
}

/* It ended one target at each of two VMs: a third does not send it at all. */
static void
it_is_stopped_at_vms_that_were_told(void **state)
{
	edge_fixture_t *third = *state;
	edge_fixture_t *world;
	caller_answer_t answer;
	unsigned int i;

	assert_int_equal(post_strikes(third, "malformed\n"), 400);
	for (i = 0; i < 2; i++) {
		world = new_edge_fixture_with_remote_vm();
		set_up_routes_and_targets(world);
		ask_deadly(world);
		run_edge_until(world, &world->strike_message_count, 1);
		assert_int_equal(
		    post_strikes(third, msp_buffer_text(&world->strike_text)),
		    204);
		drop_edge_fixture(world);
	}
	set_up_routes_and_targets(third);
	send_edge_request(third, "POST", "/write/deadly", &answer);
	assert_int_equal(answer.http_status, 503);
	assert_int_equal(count_target_requests(third), 0);
	send_edge_request(third, "POST", "/write/harmless", &answer);
	assert_int_equal(answer.http_status, 200);
}

static void
a_stop_answers_what_it_has(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;
	caller_answer_t late;
	unsigned int i;

	set_up_routes_and_targets(world);
	set_manners(world, TARGET_HOLDS);
	start_edge_request(
	    world, world->caller_port, "POST", "/write/1", &answer);
	for (i = 0; i < 1000 && count_target_requests(world) == 0; i++)
		run_edge_for(world, MSP_MS);
	kill(world->pid, SIGTERM);
	run_edge_for(world, 300 * MSP_MS);
	assert_int_equal(ask_readiness(world), 503);
	/* Clients may still come for a while. */
	answer_pending_request(find_busy(world));
	set_manners(world, TARGET_ANSWERS);
	send_edge_request(world, "POST", "/write/2", &late);
	assert_int_equal(late.http_status, 200);
	run_edge_until(world, &answer.done, 1);
	assert_int_equal(answer.http_status, 200);
	assert_int_equal(wait_edge_exit(world), 0);
	run_edge_until_logged(world, "event=stopped", LINE_TIME);
}

static void
settings_are_read_anew(void **state)
{
	edge_fixture_t *world = *state;
	caller_answer_t answer;
	FILE *file;

	set_up_routes_and_targets(world);
	kill(world->pid, SIGHUP);
	run_edge_until_logged(
	    world, "event=settings state=reloaded", RELOAD_TIME);
	file = fopen(world->settings_path, "w");
	assert_non_null(file);
	fputs("{\"vm\":1}", file);
	fclose(file);
	/* Without a signal the file is looked at each 2 s. */
	run_edge_until_logged(
	    world, "event=settings state=not-valid", RELOAD_TIME);
	send_edge_request(world, "GET", "/read/1", &answer);
	assert_int_equal(answer.http_status, 200);
}

#define EDGE_TEST(name_) \
	cmocka_unit_test_setup_teardown(name_, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    EDGE_TEST(without_routes_it_says_not_now_and_never_not_found),
	    EDGE_TEST(it_serves_and_names_itself),
	    EDGE_TEST(bad_answers_are_told_truly),
	    EDGE_TEST(a_silent_target_ends_in_a_timeout_in_time),
	    EDGE_TEST(a_short_deadline_makes_no_target_suspect),
	    EDGE_TEST(a_draining_target_gets_nothing_new),
	    EDGE_TEST(an_evacuated_place_gets_nothing_until_it_is_taken_back),
	    EDGE_TEST(routes_come_into_force_and_do_not_go_back),
	    EDGE_TEST(a_caller_who_leaves_frees_the_target),
	    EDGE_TEST(an_outage_of_the_store_hurts_no_request),
	    EDGE_TEST(a_request_that_ends_targets_is_stopped),
	    EDGE_TEST(it_is_stopped_at_vms_that_were_told),
	    EDGE_TEST(a_stop_answers_what_it_has),
	    EDGE_TEST(settings_are_read_anew),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
