#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/resource.h>

#include "client_fixture.h"
#include "counting_server.h"

/*
 * Hundreds of calls at once against counting servers, with faults at random
 * times. Whatever happens to a call: its request arrives at most once; if it is
 * reported as not sent, it doesn't arrive at all, then or later; and a complete
 * response is that of its own request.
 *
 * MSP_SEED and MSP_SEEDS select other seeds, MSP_LOAD is the number of threads
 * that compute beside the test.
 */

#define LOOP_FDS_MAX 4000
#define CLIENTS_MAX 8
#define CALLS_TIMEOUT_MS 60000 /* longest wait for the calls of a case */
#define WATCH_MS 2000 /* the server is watched after the last call */
#define STALL_MS_MAX 20 /* longest pause of the test between two turns */
#define CASES_MAX 32
#define PERCENT 100

#define ACTION(name) (1U << (SERVER_##name))
#define ANY_ACTION ((1U << SERVER_ACTION_COUNT) - 1)

typedef struct load_case {
	const char *name;
	uint32_t actions; /* set of those that are drawn */
	unsigned int other_percent; /* of the requests are just answered */
	unsigned int origins;
	unsigned int clients; /* 0: 1 */
	unsigned int pool; /* connections to each origin */
	unsigned int calls;
	unsigned int at_once; /* started at the beginning */
	size_t body_max; /* bytes of a request's body */
	size_t response_max; /* bytes of a response's body */
	uint32_t delay_ms_max; /* of a response */
	uint32_t idle_ms_max; /* until a connection is closed */
	uint32_t timeout_ms; /* 0: 20 s */
	uint32_t first_byte_timeout_ms;
	uint32_t connect_timeout_ms; /* 0: 1 s; of the first client */
	uint32_t connect_timeout_step_ms; /* added for each other client */
	unsigned int cancel_percent; /* calls that are cancelled */
	uint32_t accept_after_ms; /* until then, the backlog is 0 */
	bool slow; /* origins read slowly */
	unsigned int refused_percent; /* calls to a closed port */
	rlim_t spare_fds; /* descriptors that are left; 0: enough */
} load_case_t;

typedef struct load_run load_run_t;

typedef struct load_call {
	load_run_t *run;
	size_t id;
	size_t origin;
	unsigned int client;
	bool refused; /* the port is closed */
	char method[8];
	bool cancels; /* is cancelled once in the state `cancel_state` */
	msp_call_state_t cancel_state;
	msp_call_t *call; /* NULL once ended */
	bool cancelled;
	bool maybe_sent; /* when it was cancelled */
	test_outcome_t outcome;
} load_call_t;

struct load_run {
	const load_case_t *c;
	msp_rng_t rng;
	msp_loop_t *loop;
	msp_http_client_t *clients[CLIENTS_MAX];
	counting_server_t server;
	uint16_t closed_port;
	load_call_t *calls;
	size_t started;
	size_t ended;
	msp_time_t start;
	struct rlimit fd_limit; /* before spare_fds was applied */
};

static msp_time_t
get_now(void)
{
	msp_env_t env = msp_system_env();

	return msp_now(&env);
}

static uint64_t
draw(load_run_t *run, uint64_t bound)
{
	return bound == 0 ? 0 : msp_next_random(&run->rng) % bound;
}

static bool
draw_percent(load_run_t *run, unsigned int percent)
{
	return draw(run, PERCENT) < percent;
}

static server_action_t
draw_action(load_run_t *run)
{
	server_action_t action;

	if (draw_percent(run, run->c->other_percent))
		return SERVER_ANSWER;
	do {
		action = (server_action_t)draw(run, SERVER_ACTION_COUNT);
	} while ((run->c->actions & (1U << action)) == 0);
	return action;
}

/* A length that is as often short as long. */
static size_t
draw_length(load_run_t *run, size_t max)
{
	size_t len = draw(run, max + 1);

	return draw(run, 2) == 0 ? len % 200 : len;
}

static void
plan_call(load_run_t *run, size_t id)
{
	static const char *const methods[] = {
	    "GET", "POST", "POST", "PUT", "HEAD", "DELETE"};
	const load_case_t *c = run->c;
	counted_request_t *request = &run->server.requests[id];
	load_call_t *call = &run->calls[id];

	call->run = run;
	call->id = id;
	call->origin = draw(run, c->origins);
	call->client =
	    (unsigned int)draw(run, c->clients == 0 ? 1 : c->clients);
	call->refused = draw_percent(run, c->refused_percent);
	strcpy(call->method,
	    methods[draw(run, sizeof(methods) / sizeof(*methods))]);
	call->cancels = draw_percent(run, c->cancel_percent);
	call->cancel_state = (msp_call_state_t)draw(run, MSP_CALL_ENDED + 1);
	request->action = draw_action(run);
	request->head_only = strcmp(call->method, "HEAD") == 0;
	if (call->method[0] == 'P')
		request->body_len = draw_length(run, c->body_max);
	request->response_len = draw_length(run, c->response_max);
	request->split =
	    draw(run, 2) == 0 ? draw(run, 120) : draw(run, c->response_max + 1);
	request->delay_ms = (uint32_t)draw(run, c->delay_ms_max + 1);
	request->idle_ms = (uint32_t)draw(run, c->idle_ms_max + 1);
}

static void start_next_call(load_run_t *run);

static void
handle_call_done(void *ctx, msp_call_result_t *result)
{
	load_call_t *call = ctx;

	store_outcome(&call->outcome, result);
	call->call = NULL;
	call->run->ended++;
	start_next_call(call->run);
}

static void
start_next_call(load_run_t *run)
{
	const load_case_t *c = run->c;
	load_call_t *call;
	msp_request_t request = {0};
	msp_call_options_t options = {
	    .address = TEST_ADDRESS,
	    .timeout_ms = c->timeout_ms == 0 ? 20000 : c->timeout_ms,
	    .first_byte_timeout_ms = c->first_byte_timeout_ms,
	};

	if (run->started == c->calls)
		return;
	call = &run->calls[run->started++];
	options.port = call->refused ? run->closed_port
				     : run->server.origins[call->origin].port;
	options.fresh_connection = draw(run, 8) == 0;
	request = new_request(call->method, "", NULL);
	snprintf(request.path, sizeof(request.path), "/%zu", call->id);
	snprintf(request.host, sizeof(request.host), "host%zu.example",
	    call->id % 3);
	append_request_body(
	    &request.body, call->id, run->server.requests[call->id].body_len);
	call->call = msp_start_call(run->clients[call->client], &options,
	    &request, handle_call_done, call);
	msp_drop_request(&request);
	assert_non_null(call->call);
}

static void
cancel_planned_calls(load_run_t *run)
{
	load_call_t *call;
	size_t i;

	for (i = 0; i < run->started; i++) {
		call = &run->calls[i];
		if (!call->cancels || call->call == NULL ||
		    call->call->state != call->cancel_state)
			continue;
		/* Not always as soon as it is in that state. */
		if (draw(run, 3) == 0)
			continue;
		call->maybe_sent = msp_call_maybe_sent(call->call);
		call->cancelled = true;
		msp_cancel_call(call->call);
		call->call = NULL;
		run->ended++;
		start_next_call(run);
	}
}

/* Leaves `spare_fds` descriptors that can be opened. */
static void
apply_spare_fds(load_run_t *run)
{
	struct rlimit limit;
	rlim_t spare = 0;

	if (run->c->spare_fds == 0)
		return;
	getrlimit(RLIMIT_NOFILE, &run->fd_limit);
	limit = run->fd_limit;
	for (limit.rlim_cur = 0; spare < run->c->spare_fds; limit.rlim_cur++)
		spare += fcntl((int)limit.rlim_cur, F_GETFD) < 0 ? 1 : 0;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static void
restore_fds(load_run_t *run)
{
	if (run->c->spare_fds != 0 && run->fd_limit.rlim_cur != 0)
		setrlimit(RLIMIT_NOFILE, &run->fd_limit);
	run->fd_limit = (struct rlimit){0};
}

static void
prepare_origins(load_run_t *run)
{
	size_t i;

	for (i = 0; i < run->c->origins; i++) {
		if (run->c->slow)
			slow_server_origin(&run->server.origins[i]);
		if (run->c->accept_after_ms > 0)
			pause_server_origin(&run->server.origins[i]);
	}
}

static void
open_run(load_run_t *run, const load_case_t *c, uint64_t seed)
{
	msp_http_client_options_t options = {
	    .max_connections_per_server = c->pool,
	    .connect_timeout_ms = c->connect_timeout_ms,
	};
	raw_socket_t closed;
	size_t i;

	*run = (load_run_t){.c = c, .rng = {.state = seed}};
	run->loop = msp_new_loop(LOOP_FDS_MAX);
	assert_non_null(run->loop);
	for (i = 0; i < (c->clients == 0 ? 1 : c->clients); i++) {
		run->clients[i] = msp_new_http_client(run->loop, &options);
		assert_non_null(run->clients[i]);
		options.connect_timeout_ms += c->connect_timeout_step_ms;
	}
	closed = raw_listen(run->loop, &run->closed_port);
	raw_close(&closed);
	assert_true(open_counting_server(&run->server, c->origins, c->calls));
	run->calls = calloc(c->calls, sizeof(*run->calls));
	assert_non_null(run->calls);
	for (i = 0; i < c->calls; i++)
		plan_call(run, i);
	prepare_origins(run);
	apply_spare_fds(run);
	run->start = get_now();
	for (i = 0; i < c->at_once; i++)
		start_next_call(run);
}

static void
close_run(load_run_t *run)
{
	size_t i;

	for (i = 0; i < CLIENTS_MAX; i++)
		msp_drop_http_client(run->clients[i]);
	close_counting_server(&run->server);
	for (i = 0; i < run->c->calls; i++)
		drop_outcome(&run->calls[i].outcome);
	free(run->calls);
	msp_drop_loop(run->loop);
}

static void
resume_origins(load_run_t *run)
{
	size_t i;

	if (run->c->accept_after_ms == 0 ||
	    get_now() < run->start + run->c->accept_after_ms * MSP_MS)
		return;
	for (i = 0; i < run->c->origins; i++) {
		if (run->server.origins[i].paused)
			resume_server_origin(&run->server.origins[i]);
	}
}

static void
stall(load_run_t *run)
{
	struct timespec pause = {
	    .tv_nsec = (long)draw(run, STALL_MS_MAX) * 1000000};

	if (draw(run, 200) == 0)
		nanosleep(&pause, NULL);
}

/* One turn of client and server, at times of only one of them. */
static void
step_run(load_run_t *run)
{
	uint64_t turn = draw(run, 8);

	resume_origins(run);
	if (turn != 0)
		msp_step_loop(run->loop, (int)draw(run, 2));
	if (turn != 1)
		step_counting_server(&run->server);
	cancel_planned_calls(run);
	stall(run);
}

static void
run_calls(load_run_t *run)
{
	msp_time_t end = get_now() + CALLS_TIMEOUT_MS * MSP_MS;

	while (run->ended < run->c->calls) {
		if (get_now() > end) {
			restore_fds(run);
			fail_msg("%s: %zu of %u calls ended", run->c->name,
			    run->ended, run->c->calls);
		}
		step_run(run);
	}
	restore_fds(run);
}

/* Whether the outcome is the complete response to the call's own request. */
static bool
has_own_response(const load_call_t *call)
{
	const counted_request_t *request =
	    &call->run->server.requests[call->id];
	const msp_response_t *response = &call->outcome.response;
	const char *header =
	    msp_find_header(&response->headers, "x-request-id");
	msp_buffer_t body = {0};
	char id[24];
	bool same;

	snprintf(id, sizeof(id), "%zu", call->id);
	if (!request->head_only && response->status == 200)
		append_response_body(&body, call->id, request->response_len);
	same = header != NULL && strcmp(header, id) == 0 &&
	    body.len == response->body.len &&
	    (body.len == 0 ||
		memcmp(body.data, response->body.data, body.len) == 0);
	msp_drop_buffer(&body);
	return same;
}

/* Returns what is wrong with an ended call, or NULL. */
static const char *
find_fault(const load_call_t *call)
{
	unsigned int seen = call->run->server.requests[call->id].seen;
	bool maybe_sent =
	    call->cancelled ? call->maybe_sent : call->outcome.maybe_sent;

	if (call->outcome.done_count != (call->cancelled ? 0 : 1))
		return "`done` was not called once";
	if (seen > 1)
		return "arrived more than once";
	if (!maybe_sent && seen > 0)
		return "arrived although reported as not sent";
	if (call->cancelled || call->outcome.status != MSP_OK)
		return NULL;
	if (seen == 0)
		return "has a response but did not arrive";
	return has_own_response(call) ? NULL : "has the response of another";
}

static void
report_call(const load_call_t *call, const char *fault)
{
	const counted_request_t *request =
	    &call->run->server.requests[call->id];
	const char *header =
	    msp_find_header(&call->outcome.response.headers, "x-request-id");

	print_message("%s: call %zu %s: %s, action %d, body %zu, seen %u, "
		      "status %s, response of %s\n",
	    call->run->c->name, call->id, call->method, fault, request->action,
	    request->body_len, request->seen,
	    msp_status_name(call->outcome.status),
	    header == NULL ? "none" : header);
}

/* Returns the number of faults. */
static unsigned int
check_run(const load_run_t *run)
{
	unsigned int faults = run->server.strange_count;
	size_t complete = 0;
	size_t unsent = 0;
	size_t arrived = 0;
	const char *fault;
	size_t i;

	for (i = 0; i < run->c->calls; i++) {
		const load_call_t *call = &run->calls[i];

		fault = find_fault(call);
		if (fault != NULL && faults++ < 5)
			report_call(call, fault);
		complete += !call->cancelled && call->outcome.status == MSP_OK;
		unsent += !call->cancelled && !call->outcome.maybe_sent;
		arrived += run->server.requests[i].seen;
	}
	if (run->server.strange_count > 0)
		print_message(
		    "%s: no request: %s\n", run->c->name, run->server.strange);
	print_message("%s: %u calls, %zu complete, %zu not sent, %zu arrived "
		      "on %zu connections, %u faults\n",
	    run->c->name, run->c->calls, complete, unsent, arrived,
	    run->server.accepted, faults);
	return faults;
}

/* Fails if an action of the case was never carried out. */
static void
check_actions(const load_run_t *run)
{
	uint32_t acted = 0;
	size_t i;

	for (i = 0; i < run->c->calls; i++) {
		if (run->server.requests[i].acted)
			acted |= 1U << run->server.requests[i].action;
	}
	if ((run->c->actions & ~acted) != 0)
		fail_msg("%s: actions 0x%x were not carried out", run->c->name,
		    run->c->actions & ~acted);
}

static void
watch_runs(load_run_t *runs, size_t count)
{
	msp_time_t end = get_now() + WATCH_MS * MSP_MS;
	size_t i;

	while (get_now() < end) {
		for (i = 0; i < count; i++)
			step_run(&runs[i]);
	}
}

static void
run_cases(const load_case_t *cases, size_t count, uint64_t seed)
{
	static load_run_t runs[CASES_MAX];
	unsigned int faults = 0;
	size_t i;

	assert_true(count <= CASES_MAX);
	for (i = 0; i < count; i++) {
		open_run(&runs[i], &cases[i], seed * CASES_MAX + i);
		run_calls(&runs[i]);
	}
	watch_runs(runs, count);
	for (i = 0; i < count; i++) {
		faults += check_run(&runs[i]);
		check_actions(&runs[i]);
	}
	for (i = 0; i < count; i++)
		close_run(&runs[i]);
	if (faults > 0)
		fail_msg(
		    "seed %llu: %u faults", (unsigned long long)seed, faults);
}

static unsigned long
read_setting(const char *name, unsigned long otherwise)
{
	const char *text = getenv(name);

	return text == NULL ? otherwise : strtoul(text, NULL, 10);
}

static void
run_seeds(const load_case_t *cases, size_t count)
{
	unsigned long seed = read_setting("MSP_SEED", 1);
	unsigned long end = seed + read_setting("MSP_SEEDS", 1);

	for (; seed < end; seed++)
		run_cases(cases, count, seed);
}

#define RUN(cases) run_seeds(cases, sizeof(cases) / sizeof(*(cases)))

#define PLAIN                                                      \
	.origins = 10, .pool = 8, .calls = 300, .at_once = 60,     \
	.body_max = 3000, .response_max = 3000, .delay_ms_max = 5, \
	.idle_ms_max = 3

static const load_case_t connection_cases[] = {
    {.name = "closes after responses",
	.actions =
	    ACTION(ANSWER_FIN) | ACTION(ANSWER_RST) | ACTION(ANSWER_CLOSE),
	.other_percent = 50,
	PLAIN},
    {.name = "closes without a response",
	.actions = ACTION(DROP_UNREAD) | ACTION(DROP_HEAD_FIN) |
	    ACTION(DROP_HEAD_RST) | ACTION(DROP_HALF_BODY) |
	    ACTION(DROP_HALF_RESPONSE),
	.other_percent = 50,
	PLAIN},
    {.name = "refuses connections",
	.actions = ACTION(ANSWER_FIN),
	.other_percent = 50,
	PLAIN,
	.refused_percent = 40},
    {.name = "accepts after the connect timeout",
	.actions = ACTION(ANSWER),
	.origins = 10,
	.pool = 16,
	.calls = 200,
	.at_once = 200,
	.connect_timeout_ms = 200,
	.accept_after_ms = 500},
    {.name = "accepts at the connect timeout",
	.actions = ACTION(ANSWER),
	.origins = 10,
	.clients = CLIENTS_MAX,
	.pool = 8,
	.calls = 400,
	.at_once = 400,
	.connect_timeout_ms = 1000,
	.connect_timeout_step_ms = 6,
	.accept_after_ms = 900},
    {.name = "cancelled calls",
	.actions = ACTION(ANSWER) | ACTION(ANSWER_SPLIT) |
	    ACTION(ANSWER_CHUNKED_SPLIT),
	PLAIN,
	.cancel_percent = 50},
    {.name = "timeouts",
	.actions = ACTION(ANSWER) | ACTION(ANSWER_SPLIT) | ACTION(NO_ANSWER),
	.origins = 5,
	.pool = 8,
	.calls = 300,
	.at_once = 100,
	.response_max = 3000,
	.delay_ms_max = 60,
	.timeout_ms = 60,
	.first_byte_timeout_ms = 30},
    {.name = "slow reader and timeouts",
	.actions = ACTION(ANSWER) | ACTION(ANSWER_EARLY),
	.origins = 5,
	.pool = 2,
	.calls = 100,
	.at_once = 20,
	.body_max = 600000,
	.timeout_ms = 300,
	.cancel_percent = 30,
	.slow = true},
    {.name = "no free descriptors",
	.actions = ACTION(ANSWER) | ACTION(ANSWER_FIN),
	.origins = 10,
	.pool = 16,
	.calls = 400,
	.at_once = 25,
	.delay_ms_max = 10,
	.timeout_ms = 300,
	.spare_fds = 60},
};

static void
connection_faults_send_nothing_twice(void **state)
{
	(void)state;
	RUN(connection_cases);
}

static const load_case_t response_cases[] = {
    {.name = "split and chunked",
	.actions = ACTION(ANSWER_SPLIT) | ACTION(ANSWER_CHUNKED) |
	    ACTION(ANSWER_CHUNKED_SPLIT),
	PLAIN},
    {.name = "without a body or a length",
	.actions = ACTION(ANSWER_204) | ACTION(ANSWER_304) |
	    ACTION(ANSWER_UNFRAMED) | ACTION(ANSWER_CLOSE),
	.other_percent = 30,
	PLAIN},
    {.name = "long",
	.actions =
	    ACTION(ANSWER) | ACTION(ANSWER_SPLIT) | ACTION(ANSWER_CHUNKED),
	.origins = 5,
	.pool = 4,
	.calls = 60,
	.at_once = 30,
	.body_max = 1000000,
	.response_max = 1000000},
    {.name = "one connection",
	.actions = ACTION(ANSWER) | ACTION(ANSWER_SPLIT) |
	    ACTION(ANSWER_CHUNKED) | ACTION(ANSWER_CLOSE) | ACTION(ANSWER_FIN),
	.origins = 20,
	.pool = 1,
	.calls = 400,
	.at_once = 200,
	.body_max = 3000,
	.response_max = 3000},
    {.name = "slow reader",
	.actions = ACTION(ANSWER) | ACTION(ANSWER_SPLIT),
	.origins = 5,
	.pool = 4,
	.calls = 40,
	.at_once = 20,
	.body_max = 300000,
	.slow = true},
};

static void
responses_reach_their_own_calls(void **state)
{
	(void)state;
	RUN(response_cases);
}

static const load_case_t early_cases[] = {
    {.name = "before the body is read",
	.actions = ACTION(ANSWER_EARLY) | ACTION(ANSWER_EARLY_FIN),
	.other_percent = 40,
	.origins = 10,
	.pool = 4,
	.calls = 300,
	.at_once = 80,
	.body_max = 60000,
	.response_max = 300},
    {.name = "before a long body is read slowly",
	.actions = ACTION(ANSWER_EARLY),
	.other_percent = 40,
	.origins = 5,
	.pool = 2,
	.calls = 60,
	.at_once = 20,
	.body_max = 600000,
	.response_max = 300,
	.timeout_ms = 5000,
	.slow = true},
};

/* Guards against a request that is taken for the rest of the one before. */
static void
early_response_leaves_no_half_request(void **state)
{
	(void)state;
	RUN(early_cases);
}

static const load_case_t second_response_cases[] = {
    {.name = "second response in the same segment",
	.actions = ACTION(ANSWER_TWICE),
	.other_percent = 60,
	PLAIN},
};

/* Guards against a connection that stays one response behind. */
static void
second_response_is_not_used(void **state)
{
	(void)state;
	RUN(second_response_cases);
}

static const load_case_t load_cases[] = {
    {.name = "many calls, large pools",
	.actions = ANY_ACTION & ~ACTION(NO_ANSWER),
	.other_percent = 50,
	.origins = 30,
	.pool = 64,
	.calls = 1500,
	.at_once = 900,
	.body_max = 3000,
	.response_max = 3000,
	.delay_ms_max = 20,
	.idle_ms_max = 10,
	.timeout_ms = 10000,
	.cancel_percent = 5,
	.refused_percent = 5},
    {.name = "many calls, small pools, two clients",
	.actions = ANY_ACTION & ~ACTION(NO_ANSWER),
	.other_percent = 50,
	.origins = 30,
	.clients = 2,
	.pool = 2,
	.calls = 1000,
	.at_once = 600,
	.body_max = 3000,
	.response_max = 3000,
	.delay_ms_max = 5,
	.idle_ms_max = 5,
	.timeout_ms = 10000,
	.cancel_percent = 5,
	.refused_percent = 5},
};

static void
many_calls_send_nothing_twice(void **state)
{
	(void)state;
	RUN(load_cases);
}

#define LOAD_THREADS_MAX 16

static atomic_bool load_stopped;

static void *
compute(void *ctx)
{
	(void)ctx;
	while (!atomic_load(&load_stopped))
		;
	return NULL;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(connection_faults_send_nothing_twice),
	    cmocka_unit_test(responses_reach_their_own_calls),
	    cmocka_unit_test(early_response_leaves_no_half_request),
	    cmocka_unit_test(second_response_is_not_used),
	    cmocka_unit_test(many_calls_send_nothing_twice),
	};
	pthread_t threads[LOAD_THREADS_MAX];
	unsigned long count = read_setting("MSP_LOAD", 0);
	unsigned long i;
	int result;

	if (count > LOAD_THREADS_MAX)
		count = LOAD_THREADS_MAX;
	for (i = 0; i < count; i++)
		pthread_create(&threads[i], NULL, compute, NULL);
	result = cmocka_run_group_tests(tests, NULL, NULL);
	atomic_store(&load_stopped, true);
	for (i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	return result;
}
