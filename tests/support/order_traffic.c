#include "order_traffic.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/stdlib.h>

static void send_attempt(traffic_caller_t *caller);

static bool
may_resend(const order_traffic_t *traffic, const traffic_order_t *order)
{
	return !traffic->stopped && !order->answered &&
	    order->attempts < TRAFFIC_ATTEMPTS_MAX;
}

static void
start_order(traffic_caller_t *caller)
{
	order_traffic_t *traffic = caller->traffic;

	caller->order = NULL;
	if (traffic->stopped || traffic->order_count == TRAFFIC_ORDERS_MAX)
		return;
	caller->order = &traffic->orders[traffic->order_count];
	snprintf(caller->order->key, sizeof(caller->order->key), "%s-%zu",
	    traffic->key_prefix, traffic->order_count++);
	send_attempt(caller);
}

static void
record_response(
    order_traffic_t *traffic, traffic_order_t *order, const char *body)
{
	if (order->response[0] == '\0') {
		snprintf(order->response, sizeof(order->response), "%s", body);
		traffic->answered++;
	} else if (strncmp(order->response, body,
		       sizeof(order->response) - 1) != 0) {
		order->responses_differ = true;
	}
	order->answered = true;
	order->not_run_reported = false;
}

static void
handle_response(void *ctx, msp_call_result_t *result)
{
	traffic_caller_t *caller = ctx;
	order_traffic_t *traffic = caller->traffic;
	traffic_order_t *order = caller->order;
	const char *body = "";

	traffic->pending--;
	if (result->status == MSP_OK)
		body = msp_buffer_text(&result->response->body);
	order->not_run_reported = false;
	if (result->status == MSP_OK && result->response->status == 200) {
		record_response(traffic, order, body);
	} else if (strstr(body, "\"run\":\"no\"") != NULL) {
		order->not_run_reported = true;
		traffic->not_run_count++;
	} else {
		order->unknown_reported = true;
		traffic->unknown_count++;
	}
	if (may_resend(traffic, order))
		send_attempt(caller);
	else
		start_order(caller);
}

/* Picks a random VM that runs. */
static size_t
pick_vm(const fleet_t *fleet)
{
	size_t vm;

	do {
		vm = arc4random_uniform((uint32_t)fleet->vm_count);
	} while (fleet->vms[vm].pid == 0);
	return vm;
}

static void
send_attempt(traffic_caller_t *caller)
{
	order_traffic_t *traffic = caller->traffic;
	traffic_order_t *order = caller->order;
	size_t vm = pick_vm(traffic->fleet);
	char headers[256];

	snprintf(headers, sizeof(headers),
	    "Idempotency-Key: %s\nRequest-Attempt: %u\nRequest-Timeout: %d",
	    order->key, ++order->attempts, TRAFFIC_TIMEOUT_MS - 500);
	if (start_fleet_request(traffic->fleet, traffic->fleet->vms[vm].port,
		"POST", "/v1/services/desk/orders", headers, order->key,
		TRAFFIC_TIMEOUT_MS, handle_response, caller) != NULL)
		traffic->pending++;
}

void
start_order_traffic(
    order_traffic_t *traffic, fleet_t *fleet, const char *key_prefix)
{
	size_t i;

	memset(traffic, 0, sizeof(*traffic));
	traffic->fleet = fleet;
	traffic->key_prefix = key_prefix;
	for (i = 0; i < TRAFFIC_CALLERS; i++) {
		traffic->callers[i].traffic = traffic;
		start_order(&traffic->callers[i]);
	}
}

/* A number of responses or a time to wait for. */
typedef struct traffic_goal {
	const order_traffic_t *traffic;
	size_t answered;
	msp_time_t end;
} traffic_goal_t;

static bool
has_enough_responses(void *ctx)
{
	const traffic_goal_t *goal = ctx;

	return goal->traffic->answered >= goal->answered;
}

bool
wait_for_responses(order_traffic_t *traffic, size_t count)
{
	traffic_goal_t goal = {traffic, traffic->answered + count, 0};

	return wait_fleet_until(traffic->fleet, has_enough_responses, &goal);
}

static bool
has_time_passed(void *ctx)
{
	const traffic_goal_t *goal = ctx;
	msp_env_t env = msp_system_env();

	return msp_now(&env) >= goal->end;
}

void
run_order_traffic(order_traffic_t *traffic, uint32_t ms)
{
	msp_env_t env = msp_system_env();
	traffic_goal_t goal = {traffic, 0, msp_now(&env) + ms * MSP_MS};

	wait_fleet_until(traffic->fleet, has_time_passed, &goal);
}

static bool
has_none_pending(void *ctx)
{
	return ((order_traffic_t *)ctx)->pending == 0;
}

bool
stop_order_traffic(order_traffic_t *traffic)
{
	traffic->stopped = true;
	return wait_fleet_until(traffic->fleet, has_none_pending, traffic);
}

/* Describes the first violation. Returns 1, to be added to the count. */
static int
record_violation(char *violation, size_t size, const traffic_order_t *order,
    int runs, const char *text)
{
	if (violation[0] == '\0')
		snprintf(violation, size, "%s: %s after %u attempts, %d runs",
		    order->key, text, order->attempts, runs);
	return 1;
}

int
check_order_traffic(
    const order_traffic_t *traffic, char *violation, size_t size)
{
	int violations = 0;
	size_t i;

	violation[0] = '\0';
	for (i = 0; i < traffic->order_count; i++) {
		const traffic_order_t *order = &traffic->orders[i];
		int runs = count_fleet_runs(traffic->fleet, order->key);

		if (runs > 1)
			violations += record_violation(
			    violation, size, order, runs, "ran more than once");
		if (order->not_run_reported && runs > 0)
			violations += record_violation(violation, size, order,
			    runs, "reported as not run");
		if (order->answered && runs != 1)
			violations += record_violation(violation, size, order,
			    runs, "answered, but not run once");
		if (order->responses_differ)
			violations += record_violation(violation, size, order,
			    runs, "two different responses");
		if (order->answered &&
		    strstr(order->response, "\"runs\":1") == NULL)
			violations += record_violation(violation, size, order,
			    runs, "not the response of its first run");
	}
	return violations;
}
