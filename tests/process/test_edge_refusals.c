#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

#include <cmocka.h>

#include "edge_callers.h"

/*
 * A caller that gets 408, 421, 429 or 503 concludes that its request has not
 * run and will not run. Here callers misbehave in the ways that the daemon's
 * HTTP server has to deal with, while targets count what they run.
 */

#define SHORT_TIMEOUTS \
	",\"limits\":{\"head_timeout_ms\":300,\"body_timeout_ms\":300}"
#define LIMITED_CALLERS 1400 /* for a daemon that takes 1200 */
#define RUN_TIME (4 * MSP_SECOND)
#define ALL_MANNERS ((1U << CALLER_MANNER_COUNT) - 1)

/* Everything that a test needs besides the fixture. */
typedef struct refusal_test {
	busy_targets_t targets;
	edge_callers_t callers;
} refusal_test_t;

static void
begin_test(edge_fixture_t *fixture, refusal_test_t *test)
{
	set_up_routes_and_targets(fixture);
	test->targets.fixture = fixture;
	test->targets.ledger = new_run_ledger();
	attach_busy_targets(&test->targets);
	test->callers.targets = &test->targets;
	open_edge_callers(&test->callers);
}

static void
end_test(refusal_test_t *test, const char *name)
{
	caller_response_t response;

	finish_edge_callers(&test->callers);
	print_edge_callers(&test->callers, name);
	check_run_ledger(test->targets.ledger, name);
	assert_int_equal(test->targets.changed_count, 0);
	close_edge_callers(&test->callers);
	detach_busy_targets(&test->targets);
	drop_run_ledger(test->targets.ledger);
	send_edge_request(test->targets.fixture, "GET", "/read/1", &response);
	assert_int_equal(response.http_status, 200);
}

/* A mixture of callers and targets. */
typedef struct mixture {
	const char *name;
	uint32_t manners;
	unsigned int callers;
	unsigned int queue_max;
	uint32_t deadline_min_ms;
	uint32_t deadline_max_ms;
	uint32_t patience_ms;
	msp_time_t service_max;
	bool daemon_pauses;
	bool test_pauses;
} mixture_t;

static void
run_with_pauses(
    edge_fixture_t *fixture, const mixture_t *mixture, edge_callers_t *callers)
{
	msp_time_t end = msp_now(&fixture->env) + RUN_TIME;
	struct timespec time = {0};

	while (msp_now(&fixture->env) < end) {
		run_edge_callers(
		    callers, msp_next_random(&callers->rng) % (120 * MSP_MS));
		if (mixture->daemon_pauses) {
			kill(fixture->pid, SIGSTOP);
			run_edge_callers(callers,
			    msp_next_random(&callers->rng) % (150 * MSP_MS));
			kill(fixture->pid, SIGCONT);
		}
		time.tv_nsec =
		    (long)(msp_next_random(&callers->rng) % 150) * 1000000;
		if (mixture->test_pauses)
			nanosleep(&time, NULL);
	}
}

static void
play_mixture(edge_fixture_t *fixture, const mixture_t *mixture, uint64_t seed)
{
	refusal_test_t test = {.targets = {.slots = 5,
				   .queue_max = mixture->queue_max,
				   .service_min = 2 * MSP_MS,
				   .service_max = mixture->service_max},
	    .callers = {.rng = {seed},
		.count = mixture->callers,
		.manners = mixture->manners,
		.deadline_min_ms = mixture->deadline_min_ms,
		.deadline_max_ms = mixture->deadline_max_ms,
		.patience_ms = mixture->patience_ms,
		.stall = 300 * MSP_MS,
		.pause_max = 30 * MSP_MS}};

	begin_test(fixture, &test);
	run_with_pauses(fixture, mixture, &test.callers);
	end_test(&test, mixture->name);
}

/*
 * Guards against a request that runs although its caller was refused, whatever
 * the way and the time in which callers send.
 */
static void
refused_requests_do_not_run(void **state)
{
	static const mixture_t mixtures[] = {
	    {"all manners", ALL_MANNERS, 60, 4, 1000, 2000, 100, 30 * MSP_MS,
		false, false},
	    {"more callers than room", ALL_MANNERS, 150, 2, 300, 2000, 100,
		60 * MSP_MS, false, false},
	    {"deadlines near the service time", ALL_MANNERS, 60, 8, 2, 120, 0,
		80 * MSP_MS, false, false},
	    {"the same, daemon held up", ALL_MANNERS, 60, 8, 2, 300, 0,
		80 * MSP_MS, true, false},
	    {"the same, targets and callers held up", ALL_MANNERS, 60, 8, 2,
		300, 0, 80 * MSP_MS, false, true},
	    {"the same, all held up", ALL_MANNERS, 60, 8, 2, 300, 0,
		80 * MSP_MS, true, true},
	};
	edge_fixture_t *fixture = *state;
	size_t i;

	for (i = 0; i < sizeof(mixtures) / sizeof(*mixtures); i++)
		play_mixture(fixture, &mixtures[i], i + 1);
}

/*
 * Guards against a daemon that hangs, or changes a body, after a caller has
 * sent a request with a body before it has the response to the last one.
 */
static void
requests_sent_early_do_no_harm(void **state)
{
	static const mixture_t mixture = {"sent early",
	    1U << CALLER_PIPELINES | 1U << CALLER_SENDS_EARLY, 20, 4, 1000,
	    2000, 100, 30 * MSP_MS, false, false};

	play_mixture(*state, &mixture, 1);
}

/*
 * Guards against a request that runs although its connection was one too many.
 */
static void
refused_requests_do_not_run_over_the_limit(void **state)
{
	static const mixture_t mixture = {"over the limit of connections",
	    ALL_MANNERS, LIMITED_CALLERS, 4, 1000, 2000, 1000, 30 * MSP_MS,
	    false, false};
	edge_fixture_t *fixture = new_edge_fixture_with_settings(
	    ",\"limits\":{\"max_connections\":1200,"
	    "\"head_timeout_ms\":300,\"body_timeout_ms\":300}");

	(void)state;
	play_mixture(fixture, &mixture, 1);
	drop_edge_fixture(fixture);
}

/* What happens to the daemon while callers are busy. */
typedef struct signal_case {
	const char *name;
	unsigned int count; /* of callers */
	unsigned int reloads; /* SIGHUP, and writes of the settings file */
	unsigned int stops; /* SIGTERM */
	msp_time_t between; /* two signals */
} signal_case_t;

static void
play_signals(const signal_case_t *item, uint64_t seed)
{
	edge_fixture_t *fixture =
	    new_edge_fixture_with_settings(SHORT_TIMEOUTS);
	refusal_test_t test = {.targets = {.slots = 5,
				   .queue_max = 4,
				   .service_min = 2 * MSP_MS,
				   .service_max = 100 * MSP_MS},
	    .callers = {.rng = {seed},
		.count = item->count,
		.manners = ALL_MANNERS,
		.deadline_min_ms = 200,
		.deadline_max_ms = 2000,
		.patience_ms = 100,
		.stall = 300 * MSP_MS,
		.pause_max = 30 * MSP_MS}};
	unsigned int i;

	begin_test(fixture, &test);
	run_edge_callers(&test.callers, 500 * MSP_MS);
	for (i = 0; i < item->reloads; i++) {
		if (i % 2 == 0)
			rewrite_edge_settings(fixture);
		kill(fixture->pid, SIGHUP);
		run_edge_callers(&test.callers, item->between);
	}
	for (i = 0; i < item->stops; i++) {
		kill(fixture->pid, SIGTERM);
		run_edge_callers(&test.callers, item->between);
	}
	if (item->stops > 0)
		run_edge_callers(&test.callers, 3 * MSP_SECOND);
	finish_edge_callers(&test.callers);
	print_edge_callers(&test.callers, item->name);
	check_run_ledger(test.targets.ledger, item->name);
	assert_int_equal(test.targets.changed_count, 0);
	if (item->stops > 0)
		assert_int_equal(wait_edge_exit(fixture), 0);
	close_edge_callers(&test.callers);
	detach_busy_targets(&test.targets);
	drop_run_ledger(test.targets.ledger);
	drop_edge_fixture(fixture);
}

/*
 * Guards against a request that runs although its caller was refused because
 * the daemon stops or reads its settings again.
 */
static void
refused_requests_do_not_run_around_signals(void **state)
{
	static const signal_case_t cases[] = {
	    {"reloads", 200, 20, 0, 50 * MSP_MS},
	    {"stop", 200, 0, 1, 50 * MSP_MS},
	    {"two stops at once", 200, 0, 2, 0},
	    {"two stops", 200, 0, 2, 700 * MSP_MS},
	    {"stops all the time", 200, 0, 40, 50 * MSP_MS},
	    {"reloads, then stops", 200, 4, 2, 1200 * MSP_MS},
	    {"stop, few callers", 20, 0, 1, 50 * MSP_MS},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		play_signals(&cases[i], i + 1);
}

/*
 * Guards against 502 for a request with Expect, whose target then sends an
 * interim response although the edge has answered the field already.
 */
static void
requests_with_expect_are_served(void **state)
{
	refusal_test_t test = {
	    .targets = {.slots = 5, .queue_max = 4, .service_max = 10 * MSP_MS},
	    .callers = {.rng = {1},
		.count = 5,
		.manners = 1U << CALLER_EXPECTS_CONTINUE,
		.deadline_min_ms = 1000,
		.deadline_max_ms = 2000,
		.patience_ms = 100,
		.pause_max = 10 * MSP_MS}};

	begin_test(*state, &test);
	run_edge_callers(&test.callers, MSP_SECOND);
	end_test(&test, "expect");
	assert_int_equal(
	    test.callers.statuses[200], test.callers.request_count);
}

static void
set_behaviours(edge_fixture_t *fixture, target_behaviour_t behaviour)
{
	unsigned int i;

	for (i = 0; i < EDGE_TARGETS; i++)
		fixture->targets[i].behaviour = behaviour;
}

/* Appends the strikes of a VM whose target the request has crashed. */
static void
collect_strikes(msp_buffer_t *text)
{
	edge_fixture_t *fixture = new_edge_fixture_with_remote_vm();
	caller_response_t response;
	unsigned int i;

	set_up_routes_and_targets(fixture);
	set_behaviours(fixture, TARGET_EXITS);
	send_edge_request(fixture, "POST", "/write/deadly", &response);
	for (i = 0; i < EDGE_TARGETS; i++)
		put_edge_row(fixture, "servers", fixture->targets[i].id, NULL);
	run_edge_until(fixture, &fixture->strike_message_count, 1);
	msp_append_data(
	    text, fixture->strike_text.data, fixture->strike_text.len);
	drop_edge_fixture(fixture);
}

/* How long before the message the attempt of its first strike started. */
static msp_time_t
get_started_ago(const msp_buffer_t *strikes)
{
	unsigned long long us = 0;

	assert_int_equal(
	    sscanf(msp_buffer_text(strikes), "%*s %*s %llu", &us), 1);
	return (msp_time_t)us;
}

/*
 * Guards against a refusal for a request that runs while another with the same
 * path and body is put in quarantine.
 */
static void
quarantine_refuses_only_what_has_not_run(void **state)
{
	edge_fixture_t *fixture = *state;
	msp_buffer_t strikes[2] = {{0}, {0}};
	caller_response_t running;
	caller_response_t refused;
	unsigned int i;

	for (i = 0; i < 2; i++)
		collect_strikes(&strikes[i]);
	set_up_routes_and_targets(fixture);
	assert_int_equal(
	    post_strikes(fixture, msp_buffer_text(&strikes[0])), 204);
	/* A strike counts only if its attempt started after the last strike. */
	run_edge_for(fixture, get_started_ago(&strikes[1]));
	set_behaviours(fixture, TARGET_DELAYS);
	start_edge_request(
	    fixture, fixture->caller_port, "POST", "/write/deadly", &running);
	while (count_target_requests(fixture) == 0)
		step_edge_fixture(fixture);
	assert_int_equal(
	    post_strikes(fixture, msp_buffer_text(&strikes[1])), 204);
	send_edge_request(fixture, "POST", "/write/deadly", &refused);
	assert_int_equal(refused.http_status, 503);
	assert_int_equal(count_target_requests(fixture), 1);
	for (i = 0; i < EDGE_TARGETS; i++) {
		if (fixture->targets[i].pending != NULL)
			answer_pending_request(&fixture->targets[i]);
	}
	run_edge_until(fixture, &running.done, 1);
	assert_int_equal(running.http_status, 200);
	assert_int_equal(count_target_requests(fixture), 1);
	for (i = 0; i < 2; i++)
		msp_drop_buffer(&strikes[i]);
}

static int
set_up(void **state)
{
	*state = new_edge_fixture_with_settings(SHORT_TIMEOUTS);
	return 0;
}

static int
tear_down(void **state)
{
	drop_edge_fixture(*state);
	return 0;
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		requests_sent_early_do_no_harm, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		refused_requests_do_not_run, set_up, tear_down),
	    cmocka_unit_test(refused_requests_do_not_run_over_the_limit),
	    cmocka_unit_test(refused_requests_do_not_run_around_signals),
	    cmocka_unit_test_setup_teardown(
		quarantine_refuses_only_what_has_not_run, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		requests_with_expect_are_served, set_up, tear_down),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests_name("edge refusals", tests, NULL, NULL);
}
