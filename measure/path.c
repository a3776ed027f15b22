#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "monsoonspindle/base/histogram.h"

/*
 * What the path costs on loopback: the same client, with IN_FLIGHT requests
 * open, straight to a target, through an entry VM that dispatches itself, and
 * through an entry VM and another VM that dispatches. One run, ratios to the
 * first row of the same method.
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
	size_t limit;
	msp_histogram_t latency; /* microseconds */
	msp_time_t started;
	double per_second;
} run_t;

typedef struct one_call {
	run_t *run;
	msp_time_t sent;
} one_call_t;

static void send_next(one_call_t *call);

static void
on_answer(void *ctx, msp_call_result_t *result)
{
	one_call_t *call = ctx;
	msp_env_t env = msp_system_env();

	msp_record_value(&call->run->latency, msp_now(&env) - call->sent);
	call->run->ended++;
	if (result->status != MSP_OK || result->response->status != 200)
		call->run->failed++;
	send_next(call);
}

static void
send_next(one_call_t *call)
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
	    commit ? headers : NULL, commit ? "x" : NULL, TIMEOUT_MS, on_answer,
	    call);
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
	one_call_t calls[IN_FLIGHT];
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
		printf("not all answers came\n");
	run->per_second =
	    (double)run->ended * 1e6 / (double)(msp_now(&env) - run->started);
}

static void
report(const char *way, const run_t *run, const run_t *straight)
{
	double p50 = (double)msp_quantile(&run->latency, 0.5);
	double p99 = (double)msp_quantile(&run->latency, 0.99);

	printf("%-5s %-28s %8.0f %6.2f %6.2f  %5.2f %5.2f %5.2f  %zu\n",
	    run->method, way, run->per_second, p50 / 1000, p99 / 1000,
	    run->per_second / straight->per_second,
	    p50 / (double)msp_quantile(&straight->latency, 0.5),
	    p99 / (double)msp_quantile(&straight->latency, 0.99), run->failed);
	fflush(stdout);
}

static void
measure_method(fleet_t *fleet, const char *method, size_t count)
{
	static run_t straight, own, other;
	size_t dispatcher;

	straight = (run_t){.fleet = fleet,
	    .port = fleet->targets[0].port,
	    .method = method,
	    .path = "/work"};
	run_requests(&straight, WARM_UP);
	run_requests(&straight, count);
	report("straight to the target", &straight, &straight);
	own = straight;
	own.path = "/v1/services/" SERVICE "/work";
	own.port = fleet->vms[0].port;
	run_requests(&own, WARM_UP);
	dispatcher = find_fleet_dispatcher(fleet, fleet->vm_count);
	own.port = fleet->vms[dispatcher].port;
	run_requests(&own, count);
	report("entry VM dispatches", &own, &straight);
	other = own;
	other.port = fleet->vms[1 - dispatcher].port;
	run_requests(&other, count);
	report("entry VM and dispatcher", &other, &straight);
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
	printf("%d requests in flight, %d requests a row, no service time\n",
	    IN_FLIGHT, REQUESTS);
	printf("%-5s %-28s %8s %6s %6s  %5s %5s %5s  failed\n", "", "way",
	    "req/s", "p50ms", "p99ms", "r/s x", "p50 x", "p99 x");
	measure_method(fleet, "GET", REQUESTS);
	measure_method(fleet, "POST", REQUESTS / 10);
	drop_fleet(fleet);
	return EXIT_SUCCESS;
}
