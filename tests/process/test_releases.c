#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <json-c/json.h>

#include "fleet_group.h"

/*
 * Release notes with real processes: a note must be applied once, or not at
 * all, and by all VMs, despite a store outage, lost replies, concurrent
 * submissions, a frozen VM, a platform that restarts with an empty store, and
 * restarted VMs.
 */

#define NOTE_SIZE 512

static const fleet_place_t places[] = {
    {"a", "north", 2, 1}, {"b", "south", 2, 1}, {0}};

static int
start_fleet(void **state)
{
	fleet_options_t options = {
	    .places = places, .service = "desk", .slots = 4};

	return start_fleet_group(state, &options);
}

/* Prints a note that adds a place, based on the VM's current version. */
static void
print_note(fleet_t *fleet, size_t vm, const char *id, const char *place,
    char out[NOTE_SIZE])
{
	fleet_reply_t reply;
	json_object *doc;
	json_object *version;
	json_object *digest;

	send_operator_request(fleet, vm, "GET", "/v1/status", NULL, &reply);
	doc = json_tokener_parse(msp_buffer_text(&reply.response.body));
	assert_true(json_object_object_get_ex(doc, "version", &version));
	assert_true(json_object_object_get_ex(doc, "digest", &digest));
	snprintf(out, NOTE_SIZE,
	    "{\"id\":\"%s\",\"base_version\":%llu,\"base_digest\":\"%s\","
	    "\"add\":{\"places\":[{\"name\":\"%s\",\"region\":\"north\"}]}}",
	    id, (unsigned long long)json_object_get_uint64(version),
	    json_object_get_string(digest), place);
	json_object_put(doc);
	msp_drop_response(&reply.response);
}

static int
submit_note(fleet_t *fleet, size_t vm, const char *note)
{
	fleet_reply_t reply;
	int status;

	send_operator_request(fleet, vm, "POST", "/v1/releases", note, &reply);
	status = reply.http_status;
	msp_drop_response(&reply.response);
	return status;
}

static void
note_survives_a_store_outage(void **state)
{
	fleet_t *fleet = *state;
	char note[NOTE_SIZE];
	uint64_t version = get_fleet_vm_version(fleet, 0);
	int status;
	size_t vm;

	print_note(fleet, 0, "outage", "p-outage", note);
	assert_true(set_fleet_platform_faults(fleet, "{\"down\":true}"));
	status = submit_note(fleet, 0, note);
	assert_true(status == 503 || status == 502);
	for (vm = 0; vm < fleet->vm_count; vm++)
		assert_int_equal(get_fleet_vm_version(fleet, vm), version);
	assert_true(set_fleet_platform_faults(fleet, "{\"down\":false}"));
	assert_int_equal(submit_note(fleet, 1, note), 201);
	assert_int_equal(submit_note(fleet, 2, note), 201);
	assert_true(wait_fleet_version(fleet, version + 1));
	assert_int_equal(get_fleet_vm_version(fleet, 3), version + 1);
}

static void
note_survives_lost_replies(void **state)
{
	fleet_t *fleet = *state;
	char note[NOTE_SIZE];
	uint64_t version = get_fleet_vm_version(fleet, 0);
	int status;

	print_note(fleet, 0, "lost", "p-lost", note);
	assert_true(
	    set_fleet_platform_faults(fleet, "{\"lose_answer_pct\":100}"));
	status = submit_note(fleet, 0, note);
	assert_int_not_equal(status, 409);
	assert_int_not_equal(status, 422);
	assert_true(
	    set_fleet_platform_faults(fleet, "{\"lose_answer_pct\":0}"));
	assert_int_equal(submit_note(fleet, 3, note), 201);
	assert_true(wait_fleet_version(fleet, version + 1));
	assert_int_equal(get_fleet_vm_version(fleet, 0), version + 1);
}

/* Responses to two concurrent submissions. */
typedef struct race {
	int status[2]; /* of HTTP; 0: no response */
	int ended;
} race_t;

static race_t race;

static void
handle_first_response(void *ctx, msp_call_result_t *result)
{
	(void)ctx;
	race.status[0] =
	    result->status == MSP_OK ? result->response->status : 0;
	race.ended++;
}

static void
handle_second_response(void *ctx, msp_call_result_t *result)
{
	(void)ctx;
	race.status[1] =
	    result->status == MSP_OK ? result->response->status : 0;
	race.ended++;
}

static bool
have_both_ended(void *ctx)
{
	(void)ctx;
	return race.ended == 2;
}

static void
submit_concurrently(fleet_t *fleet, const char *first, const char *second)
{
	race = (race_t){0};
	start_fleet_request(fleet, fleet->vms[0].operator_port, "POST",
	    "/v1/releases", "Authorization: Bearer " FLEET_TOKEN, first, 15000,
	    handle_first_response, NULL);
	start_fleet_request(fleet, fleet->vms[2].operator_port, "POST",
	    "/v1/releases", "Authorization: Bearer " FLEET_TOKEN, second, 15000,
	    handle_second_response, NULL);
	assert_true(wait_fleet_until(fleet, have_both_ended, NULL));
}

static void
concurrent_notes_conflict_or_are_rebased(void **state)
{
	fleet_t *fleet = *state;
	char first[NOTE_SIZE];
	char second[NOTE_SIZE];
	uint64_t version;

	assert_true(wait_fleet_version(fleet, get_fleet_vm_version(fleet, 0)));
	version = get_fleet_vm_version(fleet, 0);
	print_note(fleet, 0, "race-1", "p-race", first);
	print_note(fleet, 0, "race-2", "p-race", second);
	submit_concurrently(fleet, first, second);
	assert_int_equal(race.status[0] + race.status[1], 201 + 409);
	assert_true(wait_fleet_version(fleet, version + 1));
	print_note(fleet, 0, "race-3", "p-race-3", first);
	print_note(fleet, 0, "race-4", "p-race-4", second);
	submit_concurrently(fleet, first, second);
	assert_int_equal(race.status[0], 201);
	assert_int_equal(race.status[1], 201);
	assert_true(wait_fleet_version(fleet, version + 3));
}

static void
frozen_vm_catches_up(void **state)
{
	fleet_t *fleet = *state;
	char note[NOTE_SIZE];
	uint64_t version = get_fleet_vm_version(fleet, 0);

	print_note(fleet, 0, "frozen", "p-frozen", note);
	signal_fleet_process(&fleet->vms[1], SIGSTOP);
	assert_int_equal(submit_note(fleet, 0, note), 201);
	signal_fleet_process(&fleet->vms[1], SIGCONT);
	assert_true(wait_fleet_version(fleet, version + 1));
}

/*
 * Restarted VMs get the release from peers, also while the platform is down,
 * and no VM goes back to an earlier version.
 */
static void
empty_store_does_not_revert_the_release(void **state)
{
	fleet_t *fleet = *state;
	uint64_t version = get_fleet_vm_version(fleet, 0);
	fleet_reply_t reply;
	size_t vm;

	signal_fleet_process(&fleet->platform, SIGKILL);
	wait_fleet_process_exit(fleet, &fleet->platform);
	signal_fleet_process(&fleet->vms[1], SIGKILL);
	wait_fleet_process_exit(fleet, &fleet->vms[1]);
	assert_int_equal(spawn_fleet_vm(fleet, 1), 0);
	assert_true(wait_fleet_version(fleet, version));
	assert_int_equal(spawn_fleet_platform(fleet), 0);
	signal_fleet_process(&fleet->vms[0], SIGKILL);
	wait_fleet_process_exit(fleet, &fleet->vms[0]);
	assert_int_equal(spawn_fleet_vm(fleet, 0), 0);
	assert_true(wait_fleet_version(fleet, version));
	for (vm = 0; vm < fleet->vm_count; vm++) {
		assert_int_equal(get_fleet_vm_version(fleet, vm), version);
		send_fleet_request(fleet, fleet->vms[vm].port, "GET",
		    "/v1/services/desk/x", NULL, NULL, &reply);
		assert_int_equal(reply.http_status, 200);
		msp_drop_response(&reply.response);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(note_survives_a_store_outage),
	    cmocka_unit_test(note_survives_lost_replies),
	    cmocka_unit_test(concurrent_notes_conflict_or_are_rebased),
	    cmocka_unit_test(frozen_vm_catches_up),
	    cmocka_unit_test(empty_store_does_not_revert_the_release),
	};

	return cmocka_run_group_tests(tests, start_fleet, stop_fleet_group);
}
