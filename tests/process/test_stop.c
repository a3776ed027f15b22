#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <sys/wait.h>

#include "fleet_group.h"

/*
 * A planned stop must lose no request. A VM under load gets SIGTERM, and its
 * clients go on sending for the whole TTL of the last look-up that listed it.
 * Repeated STOPS times.
 */

#define STOPS 20
#define IN_FLIGHT 8
#define TTL_MS 300 /* of look-ups, as in the settings */
#define REQUEST_TIMEOUT_MS 10000

static const fleet_place_t places[] = {
    {"a", "north", 3, 2}, {"b", "north", 1, 1}, {0}};

/* Clients that keep IN_FLIGHT requests open at one VM. */
typedef struct stop_load {
	fleet_t *fleet;
	size_t vm;
	unsigned int next_number;
	size_t pending;
	size_t sent;
	size_t completed;
	size_t lost; /* without a complete response with status 200 */
	msp_time_t unlisted_at; /* when look-ups no longer listed the VM */
	bool stopped; /* sends nothing more */
	char last_error[256]; /* error of the last request lost */
} stop_load_t;

static void send_request(stop_load_t *load);

static void
handle_response(void *ctx, msp_call_result_t *result)
{
	stop_load_t *load = ctx;

	load->pending--;
	if (result->status == MSP_OK && result->response->status == 200) {
		load->completed++;
	} else {
		load->lost++;
		snprintf(load->last_error, sizeof(load->last_error),
		    "status %d http %d %s", (int)result->status,
		    result->status == MSP_OK ? result->response->status : 0,
		    result->status == MSP_OK
			? msp_buffer_text(&result->response->body)
			: "");
	}
	if (!load->stopped)
		send_request(load);
}

static void
send_request(stop_load_t *load)
{
	char key[96];
	bool is_post = load->next_number++ % 2 == 0;

	snprintf(key, sizeof(key), "Idempotency-Key: stop-%p-%zu-%u",
	    (void *)load, load->vm, load->next_number);
	if (start_fleet_request(load->fleet, load->fleet->vms[load->vm].port,
		is_post ? "POST" : "GET", "/v1/services/desk/work",
		is_post ? key : NULL, is_post ? "x" : NULL, REQUEST_TIMEOUT_MS,
		handle_response, load) == NULL)
		return;
	load->pending++;
	load->sent++;
}

static bool
has_initial_responses(void *ctx)
{
	stop_load_t *load = ctx;

	return load->completed + load->lost >= (size_t)IN_FLIGHT * 2;
}

/* Asks another VM whether look-ups still list the VM that leaves. */
static bool
is_unlisted(void *ctx)
{
	stop_load_t *load = ctx;
	fleet_t *fleet = load->fleet;
	size_t other = (load->vm + 1) % 3;
	fleet_reply_t reply;
	char name[64];
	bool listed;

	send_fleet_request(fleet, fleet->vms[other].port, "GET",
	    "/v1/entries?service=desk", NULL, NULL, &reply);
	snprintf(
	    name, sizeof(name), "\"vm\":\"%s\"", fleet->vms[load->vm].name);
	listed = strstr(msp_buffer_text(&reply.response.body), name) != NULL;
	msp_drop_response(&reply.response);
	return reply.http_status == 200 && !listed;
}

static bool
has_ttl_passed(void *ctx)
{
	msp_env_t env = msp_system_env();

	return msp_now(&env) >=
	    ((stop_load_t *)ctx)->unlisted_at + TTL_MS * MSP_MS;
}

static bool
has_none_pending(void *ctx)
{
	return ((stop_load_t *)ctx)->pending == 0;
}

static void
stop_vm(fleet_t *fleet, size_t vm)
{
	stop_load_t load = {.fleet = fleet, .vm = vm};
	msp_env_t env = msp_system_env();
	int status;
	int i;

	for (i = 0; i < IN_FLIGHT; i++)
		send_request(&load);
	assert_true(wait_fleet_until(fleet, has_initial_responses, &load));
	signal_fleet_process(&fleet->vms[vm], SIGTERM);
	assert_true(wait_fleet_until(fleet, is_unlisted, &load));
	load.unlisted_at = msp_now(&env);
	assert_true(wait_fleet_until(fleet, has_ttl_passed, &load));
	load.stopped = true;
	assert_true(wait_fleet_until(fleet, has_none_pending, &load));
	if (load.lost > 0)
		fail_msg("VM %zu: %zu of %zu requests lost, the last: %s", vm,
		    load.lost, load.sent, load.last_error);
	status = wait_fleet_process_exit(fleet, &fleet->vms[vm]);
	if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
		fail_msg("VM %zu ended with %d", vm, status);
}

static void
planned_stop_loses_no_request(void **state)
{
	fleet_t *fleet = *state;
	int i;

	for (i = 0; i < STOPS; i++) {
		size_t vm = (size_t)i % 3;

		stop_vm(fleet, vm);
		assert_int_equal(spawn_fleet_vm(fleet, vm), 0);
		assert_true(wait_fleet_version(fleet, 1));
		assert_true(wait_fleet_convergence(fleet));
	}
}

static int
start_fleet(void **state)
{
	static const char *const target_args[] = {
	    "--service-time-ms", "20", NULL};
	fleet_options_t options = {.places = places,
	    .service = "desk",
	    .slots = 9,
	    .target_args = target_args,
	    .extra_settings = "\"lookup_ttl_ms\": 300, \"drain_min_ms\": 1000"};

	return start_fleet_group(state, &options);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(planned_stop_loses_no_request),
	};

	return cmocka_run_group_tests(tests, start_fleet, stop_fleet_group);
}
