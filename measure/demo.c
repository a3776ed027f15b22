#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <sys/wait.h>

#include "fleet.h"
#include "fleet_ctl.h"

/*
 * End-to-end demo with separate processes: two data centres with two VMs and
 * two targets each, and a platform stand-in. Exits 0 only if every step
 * succeeded.
 */

#define SERVICE "records-vault"
#define KEY "demo-order-1"

static const fleet_place_t places[] = {
    {"tallinn-a", "tallinn", 2, 2},
    {"tallinn-b", "tallinn", 2, 2},
    {0},
};

static int
report(const char *step, bool ok, const char *detail)
{
	printf("%-4s %-34s %s\n", ok ? "ok" : "FAIL", step, detail);
	fflush(stdout);
	return ok ? 0 : 1;
}

/* Looks up the entry VMs; returns the port of the first, or 0 on failure. */
static uint16_t
look_up_entry(fleet_t *fleet, char *detail, size_t size)
{
	fleet_reply_t reply;
	json_object *doc;
	json_object *list;
	json_object *value;
	uint16_t port = 0;

	send_fleet_request(fleet, fleet->vms[0].port, "GET",
	    "/v1/entries?service=" SERVICE, NULL, NULL, &reply);
	doc = json_tokener_parse(msp_buffer_text(&reply.response.body));
	if (doc != NULL && json_object_object_get_ex(doc, "entries", &list) &&
	    json_object_array_length(list) > 0) {
		json_object_object_get_ex(
		    json_object_array_get_idx(list, 0), "port", &value);
		port = (uint16_t)json_object_get_int(value);
		snprintf(detail, size, "%zu entry VMs, the first on port %u",
		    json_object_array_length(list), port);
	}
	json_object_put(doc);
	msp_drop_response(&reply.response);
	return port;
}

static bool
send_request(fleet_t *fleet, uint16_t port, const char *method,
    const char *path, const char *headers, const char *body, char *detail,
    size_t size)
{
	fleet_reply_t reply;
	bool ok;

	send_fleet_request(fleet, port, method, path, headers, body, &reply);
	ok = reply.status == MSP_OK && reply.http_status / 100 == 2;
	snprintf(detail, size, "%d %.100s", reply.http_status,
	    msp_buffer_text(&reply.response.body));
	detail[strcspn(detail, "\n")] = '\0';
	msp_drop_response(&reply.response);
	return ok;
}

static int
send_commit_twice(fleet_t *fleet, uint16_t port)
{
	char first[160] = "";
	char second[160] = "";
	char detail[160];
	int failed = 0;
	int runs;

	failed += report("commit through entry VM and target",
	    send_request(fleet, port, "POST",
		"/v1/services/" SERVICE "/decisions",
		"Idempotency-Key: " KEY "\nRequest-Attempt: 1", "grant", first,
		sizeof(first)),
	    first);
	failed += report("the same commit sent to another VM",
	    send_request(fleet, fleet->vms[3].port, "POST",
		"/v1/services/" SERVICE "/decisions",
		"Idempotency-Key: " KEY "\nRequest-Attempt: 2", "grant", second,
		sizeof(second)) &&
		strcmp(first, second) == 0,
	    second);
	runs = count_fleet_runs(fleet, KEY);
	snprintf(detail, sizeof(detail), "%d run on the targets", runs);
	return failed + report("the commit ran once", runs == 1, detail);
}

static int
apply_note(fleet_t *fleet)
{
	char note[256];
	char detail[160] = "";
	int code;

	snprintf(note, sizeof(note), "%s/drain.json", fleet->dir);
	if (write_text_file(note,
		"{\"comment\": \"drain one target\", \"change\": {\"places\": "
		"[{\"name\": \"tallinn-b\", \"region\": \"tallinn\", "
		"\"state\": \"draining\"}]}}\n") != 0)
		return report(
		    "release note applied", false, "cannot write the file");
	code = run_spindlectl(
	    fleet, 0, detail, sizeof(detail), "apply", "--wait", note, NULL);
	detail[strcspn(detail, "\n")] = '\0';
	return report(
	    "spindlectl apply --wait", WIFEXITED(code) && code == 0, detail);
}

static int
run_steps(fleet_t *fleet)
{
	char detail[160] = "";
	uint16_t port;
	size_t i;
	int failed = 0;

	failed += report("first release note in force on all VMs",
	    apply_initial_note(fleet), "version 1");
	port = look_up_entry(fleet, detail, sizeof(detail));
	failed += report("lookup", port != 0, detail);
	failed += report("read through entry VM and target",
	    send_request(fleet, port, "GET", "/v1/services/" SERVICE "/files/7",
		NULL, NULL, detail, sizeof(detail)),
	    detail);
	failed += send_commit_twice(fleet, port);
	failed += apply_note(fleet);
	for (i = 0; i < fleet->vm_count; i++) {
		snprintf(detail, sizeof(detail), "%s", fleet->vms[i].name);
		failed += report("version 2 in force",
		    get_fleet_vm_version(fleet, i) == 2, detail);
	}
	return failed;
}

int
main(void)
{
	fleet_options_t options = {
	    .places = places, .service = SERVICE, .slots = 4};
	fleet_t *fleet = new_fleet(&options);
	int failed;

	if (fleet == NULL) {
		printf("FAIL the processes did not start\n");
		return EXIT_FAILURE;
	}
	printf("%zu VMs, %zu targets and a platform stand-in are running\n",
	    fleet->vm_count, fleet->target_count);
	failed = run_steps(fleet);
	drop_fleet(fleet);
	printf("demo: %s\n", failed == 0 ? "every step succeeded" : "failed");
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
