#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "monsoonspindle/base/histogram.h"

/*
 * Cost of proxying on loopback. The same client keeps IN_FLIGHT requests in
 * flight directly to a target, through an entry VM that is the dispatcher, and
 * through an entry VM and a dispatcher on another VM. Each row is a single run;
 * ratios are to the direct requests with the same method.
 */

#define SERVICE "desk"
#define IN_FLIGHT 9
#define REQUESTS 20000
#define WARM_UP 1000
#define TIMEOUT_MS 5000

static const fleet_place_t places[] = {{"a", "north", 2, 1}, {0}};

typedef struct run {
	fleet_t *fleet;
	uint16_t port;
	const char *method;
	const char *path;
	size_t sent;
	size_t ended;
	size_t failed;
	size_t limit; /* number of requests to send */
	msp_histogram_t latency; /* microseconds */
	msp_time_t started;
	double per_second;
} run_t;

typedef struct pending_call {
	run_t *run;
	msp_time_t sent;
} pending_call_t;

static void send_next(pending_call_t *call);

static void
handle_response(void *ctx, msp_call_result_t *result)
{
	pending_call_t *call = ctx;
	msp_env_t env = msp_system_env();

	msp_record_value(&call->run->latency, msp_now(&env) - call->sent);
	call->run->ended++;
	if (result->status != MSP_OK || result->response->status != 200)
		call->run->failed++;
	send_next(call);
}

static void
send_next(pending_call_t *call)
{
	run_t *run = call->run;
	msp_env_t env = msp_system_env();
	char headers[96];
	bool commit = strcmp(run->method, "POST") == 0;

	if (run->sent == run->limit)
		return;
	snprintf(headers, sizeof(headers),
	    "Idempotency-Key: path-%u-%zu-%zu\nRequest-Attempt: 1", run->port,
	    run->limit, run->sent);
	run->sent++;
	call->sent = msp_now(&env);
	start_fleet_request(run->fleet, run->port, run->method, run->path,
	    commit ? headers : NULL, commit ? "x" : NULL, TIMEOUT_MS,
	    handle_response, call);
}

static bool
is_done(void *ctx)
{
	const run_t *run = ctx;

	return run->ended == run->limit;
}

static void
run_requests(run_t *run, size_t count)
{
	pending_call_t calls[IN_FLIGHT];
	msp_env_t env = msp_system_env();
	size_t i;

	run->sent = 0;
	run->ended = 0;
	run->failed = 0;
	run->limit = count;
	memset(&run->latency, 0, sizeof(run->latency));
	run->started = msp_now(&env);
	for (i = 0; i < IN_FLIGHT; i++) {
		calls[i].run = run;
		send_next(&calls[i]);
	}
	if (!wait_fleet_until(run->fleet, is_done, run))
		printf("timed out waiting for the responses\n");
	run->per_second =
	    (double)run->ended * 1e6 / (double)(msp_now(&env) - run->started);
}

static void
report(const char *name, const run_t *run, const run_t *direct)
{
	double p50 = (double)msp_quantile(&run->latency, 0.5);
	double p99 = (double)msp_quantile(&run->latency, 0.99);

	printf("%-5s %-28s %8.0f %6.2f %6.2f  %5.2f %5.2f %5.2f  %zu\n",
	    run->method, name, run->per_second, p50 / 1000, p99 / 1000,
	    run->per_second / direct->per_second,
	    p50 / (double)msp_quantile(&direct->latency, 0.5),
	    p99 / (double)msp_quantile(&direct->latency, 0.99), run->failed);
	fflush(stdout);
}

static void
measure_method(fleet_t *fleet, const char *method, size_t count)
{
	static run_t direct, local_dispatcher, remote_dispatcher;
	size_t dispatcher;

	direct = (run_t){.fleet = fleet,
	    .port = fleet->targets[0].port,
	    .method = method,
	    .path = "/work"};
	run_requests(&direct, WARM_UP);
	run_requests(&direct, count);
	report("directly to the target", &direct, &direct);
	local_dispatcher = direct;
	local_dispatcher.path = "/v1/services/" SERVICE "/work";
	local_dispatcher.port = fleet->vms[0].port;
	run_requests(&local_dispatcher, WARM_UP);
	dispatcher = find_fleet_dispatcher(fleet, fleet->vm_count);
	local_dispatcher.port = fleet->vms[dispatcher].port;
	run_requests(&local_dispatcher, count);
	report("entry VM dispatches", &local_dispatcher, &direct);
	remote_dispatcher = local_dispatcher;
	remote_dispatcher.port = fleet->vms[1 - dispatcher].port;
	run_requests(&remote_dispatcher, count);
	report("entry VM and dispatcher", &remote_dispatcher, &direct);
}

int
main(void)
{
	static const char *const target_args[] = {
	    "--service-time-ms", "0", NULL};
	fleet_options_t options = {.places = places,
	    .service = SERVICE,
	    .slots = IN_FLIGHT,
	    .target_args = target_args,
	    .extra_settings = "\"log\": {\"level\": \"warn\"}"};
	fleet_t *fleet = new_fleet(&options);

	if (fleet == NULL || !apply_initial_note(fleet)) {
		drop_fleet(fleet);
		printf("the processes did not start\n");
		return EXIT_FAILURE;
	}
	printf("%d requests in flight, %d requests per row, no service time\n",
	    IN_FLIGHT, REQUESTS);
	printf("%-5s %-28s %8s %6s %6s  %5s %5s %5s  failed\n", "", "path",
	    "req/s", "p50ms", "p99ms", "r/s x", "p50 x", "p99 x");
	measure_method(fleet, "GET", REQUESTS);
	measure_method(fleet, "POST", REQUESTS / 10);
	drop_fleet(fleet);
	return EXIT_SUCCESS;
}
