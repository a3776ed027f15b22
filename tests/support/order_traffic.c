#include "order_traffic.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/stdlib.h>

static void send_try(traffic_caller_t *caller);

static bool
may_try_again(const order_traffic_t *storm, const traffic_order_t *order)
{
	return !storm->stopped && !order->answered &&
	    order->attempts < TRAFFIC_ATTEMPTS_MAX;
}

static void
start_order(traffic_caller_t *caller)
{
	order_traffic_t *storm = caller->traffic;

	caller->order = NULL;
	if (storm->stopped || storm->order_count == TRAFFIC_ORDERS_MAX)
		return;
	caller->order = &storm->orders[storm->order_count];
	snprintf(caller->order->key, sizeof(caller->order->key), "%s-%zu",
	    storm->key_prefix, storm->order_count++);
	send_try(caller);
}

static void
note_answer(order_traffic_t *storm, traffic_order_t *order, const char *body)
{
	if (order->response[0] == '\0') {
		snprintf(order->response, sizeof(order->response), "%s", body);
		storm->answered++;
	} else if (strncmp(order->response, body,
		       sizeof(order->response) - 1) != 0) {
		order->responses_differ = true;
	}
	order->answered = true;
	order->not_run_reported = false;
}

static void
on_answer(void *ctx, msp_call_result_t *result)
{
	traffic_caller_t *caller = ctx;
	order_traffic_t *storm = caller->traffic;
	traffic_order_t *order = caller->order;
	const char *body = "";

	storm->pending--;
	if (result->status == MSP_OK)
		body = msp_buffer_text(&result->response->body);
	order->not_run_reported = false;
	if (result->status == MSP_OK && result->response->status == 200) {
		note_answer(storm, order, body);
	} else if (strstr(body, "\"run\":\"no\"") != NULL) {
		order->not_run_reported = true;
		storm->not_run_count++;
	} else {
		order->unknown_reported = true;
		storm->unknown_count++;
	}
	if (may_try_again(storm, order))
		send_try(caller);
	else
		start_order(caller);
}

/* A running VM, drawn at random. */
static size_t
draw_vm(const fleet_t *fleet)
{
	size_t vm;

	do {
		vm = arc4random_uniform((uint32_t)fleet->vm_count);
	} while (fleet->vms[vm].pid == 0);
	return vm;
}

static void
send_try(traffic_caller_t *caller)
{
	order_traffic_t *storm = caller->traffic;
	traffic_order_t *order = caller->order;
	size_t vm = draw_vm(storm->fleet);
	char headers[256];

	snprintf(headers, sizeof(headers),
	    "Idempotency-Key: %s\nRequest-Attempt: %u\nRequest-Timeout: %d",
	    order->key, ++order->attempts, TRAFFIC_TIMEOUT_MS - 500);
	if (start_fleet_request(storm->fleet, storm->fleet->vms[vm].port,
		"POST", "/v1/services/desk/orders", headers, order->key,
		TRAFFIC_TIMEOUT_MS, on_answer, caller) != NULL)
		storm->pending++;
}

void
start_order_traffic(order_traffic_t *storm, fleet_t *fleet, const char *name)
{
	size_t i;

	memset(storm, 0, sizeof(*storm));
	storm->fleet = fleet;
	storm->key_prefix = name;
	for (i = 0; i < TRAFFIC_CALLERS; i++) {
		storm->callers[i].traffic = storm;
		start_order(&storm->callers[i]);
	}
}

/* A number of answers, or a point in time, that is waited for. */
typedef struct storm_goal {
	const order_traffic_t *storm;
	size_t answered;
	msp_time_t end;
} storm_goal_t;

static bool
is_answered(void *ctx)
{
	const storm_goal_t *goal = ctx;

	return goal->storm->answered >= goal->answered;
}

bool
wait_for_responses(order_traffic_t *storm, size_t count)
{
	storm_goal_t goal = {storm, storm->answered + count, 0};

	return wait_fleet_until(storm->fleet, is_answered, &goal);
}

static bool
is_time(void *ctx)
{
	const storm_goal_t *goal = ctx;
	msp_env_t env = msp_system_env();

	return msp_now(&env) >= goal->end;
}

void
run_order_traffic(order_traffic_t *storm, uint32_t ms)
{
	msp_env_t env = msp_system_env();
	storm_goal_t goal = {storm, 0, msp_now(&env) + ms * MSP_MS};

	wait_fleet_until(storm->fleet, is_time, &goal);
}

static bool
has_no_open(void *ctx)
{
	return ((order_traffic_t *)ctx)->pending == 0;
}

bool
stop_order_traffic(order_traffic_t *storm)
{
	storm->stopped = true;
	return wait_fleet_until(storm->fleet, has_no_open, storm);
}

static int
report(char *what, size_t size, const traffic_order_t *order, int runs,
    const char *promise)
{
	if (what[0] == '\0')
		snprintf(what, size, "%s: %s after %u tries, %d runs",
		    order->key, promise, order->attempts, runs);
	return 1;
}

int
check_order_traffic(const order_traffic_t *storm, char *what, size_t size)
{
	int broken = 0;
	size_t i;

	what[0] = '\0';
	for (i = 0; i < storm->order_count; i++) {
		const traffic_order_t *order = &storm->orders[i];
		int runs = count_fleet_runs(storm->fleet, order->key);

		if (runs > 1)
			broken += report(
			    what, size, order, runs, "ran more than once");
		if (order->not_run_reported && runs > 0)
			broken += report(
			    what, size, order, runs, "a false \"not run\"");
		if (order->answered && runs != 1)
			broken += report(
			    what, size, order, runs, "answered, not run once");
		if (order->responses_differ)
			broken += report(
			    what, size, order, runs, "two different answers");
		if (order->answered &&
		    strstr(order->response, "\"runs\":1") == NULL)
			broken += report(
			    what, size, order, runs, "not its own answer");
	}
	return broken;
}
