#include "fleet_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#define REQUEST_TIMEOUT_MS 20000
#define LOOP_STEP_MS 20

bool
wait_fleet_until(fleet_t *fleet, bool (*holds)(void *ctx), void *ctx)
{
	msp_env_t env = msp_system_env();
	msp_time_t end = msp_now(&env) + FLEET_WAIT_TIMEOUT_MS * MSP_MS;

	while (!holds(ctx)) {
		if (msp_now(&env) > end)
			return false;
		msp_step_loop(fleet->loop, LOOP_STEP_MS);
	}
	return true;
}

static void
add_headers(msp_request_t *request, const char *headers)
{
	char line[512];
	char *colon;
	size_t len;

	while (headers != NULL && *headers != '\0') {
		len = strcspn(headers, "\n");
		snprintf(line, sizeof(line), "%.*s", (int)len, headers);
		colon = strstr(line, ": ");
		if (colon != NULL) {
			*colon = '\0';
			msp_add_header(&request->headers, line, colon + 2);
		}
		headers += len;
		headers += *headers == '\n';
	}
}

msp_call_t *
start_fleet_request(fleet_t *fleet, uint16_t port, const char *method,
    const char *path, const char *headers, const char *body,
    uint32_t timeout_ms, msp_call_done_t *done, void *ctx)
{
	msp_call_options_t options = {
	    .address = "127.0.0.1", .port = port, .timeout_ms = timeout_ms};
	msp_request_t request = {0};
	msp_call_t *call;

	snprintf(request.method, sizeof(request.method), "%s", method);
	snprintf(request.path, sizeof(request.path), "%s", path);
	add_headers(&request, headers);
	if (body != NULL)
		msp_append_data(&request.body, body, strlen(body));
	call = msp_start_call(fleet->client, &options, &request, done, ctx);
	msp_drop_request(&request);
	return call;
}

/* A request in progress. */
typedef struct pending_request {
	fleet_reply_t *reply;
	bool done;
} pending_request_t;

static void
handle_result(void *ctx, msp_call_result_t *result)
{
	pending_request_t *pending = ctx;

	pending->reply->status = result->status;
	pending->reply->maybe_sent = result->maybe_sent;
	if (result->status == MSP_OK) {
		pending->reply->http_status = result->response->status;
		pending->reply->response = *result->response;
		memset(result->response, 0, sizeof(*result->response));
	}
	pending->done = true;
}

static bool
is_done(void *ctx)
{
	return ((pending_request_t *)ctx)->done;
}

void
send_fleet_request(fleet_t *fleet, uint16_t port, const char *method,
    const char *path, const char *headers, const char *body,
    fleet_reply_t *reply)
{
	pending_request_t pending = {.reply = reply};

	memset(reply, 0, sizeof(*reply));
	reply->status = MSP_E_NO_MEMORY;
	if (start_fleet_request(fleet, port, method, path, headers, body,
		REQUEST_TIMEOUT_MS, handle_result, &pending) != NULL)
		wait_fleet_until(fleet, is_done, &pending);
}

void
send_operator_request(fleet_t *fleet, size_t vm, const char *method,
    const char *path, const char *body, fleet_reply_t *reply)
{
	send_fleet_request(fleet, fleet->vms[vm].operator_port, method, path,
	    "Authorization: Bearer " FLEET_TOKEN, body, reply);
}

int
post_fleet_note(fleet_t *fleet, size_t vm, const char *note)
{
	fleet_reply_t reply;

	send_operator_request(fleet, vm, "POST", "/v1/releases", note, &reply);
	if (reply.http_status != 201)
		fprintf(stderr, "release note was refused: HTTP %d %s\n",
		    reply.http_status, msp_buffer_text(&reply.response.body));
	msp_drop_response(&reply.response);
	return reply.http_status;
}

uint64_t
get_fleet_vm_version(fleet_t *fleet, size_t vm)
{
	fleet_reply_t reply;
	json_object *doc;
	json_object *value;
	uint64_t version = 0;

	send_operator_request(fleet, vm, "GET", "/v1/status", NULL, &reply);
	doc = json_tokener_parse(msp_buffer_text(&reply.response.body));
	if (doc != NULL && json_object_object_get_ex(doc, "version", &value))
		version = json_object_get_uint64(value);
	json_object_put(doc);
	msp_drop_response(&reply.response);
	return version;
}

bool
wait_fleet_version(fleet_t *fleet, uint64_t version)
{
	msp_env_t env = msp_system_env();
	msp_time_t end = msp_now(&env) + FLEET_WAIT_TIMEOUT_MS * MSP_MS;
	size_t i = 0;

	while (i < fleet->vm_count) {
		if (fleet->vms[i].pid == 0 ||
		    get_fleet_vm_version(fleet, i) >= version)
			i++;
		else if (msp_now(&env) > end)
			return false;
		else
			msp_step_loop(fleet->loop, LOOP_STEP_MS);
	}
	return true;
}

bool
apply_initial_note(fleet_t *fleet)
{
	msp_buffer_t note = {0};
	int status;

	print_initial_note(fleet, &note);
	status = post_fleet_note(fleet, 0, msp_buffer_text(&note));
	msp_drop_buffer(&note);
	return status == 201 && wait_fleet_version(fleet, 1) &&
	    wait_fleet_convergence(fleet);
}

bool
send_fleet_vm_list(fleet_t *fleet)
{
	msp_buffer_t text = {0};
	fleet_reply_t reply;
	size_t i;

	msp_append_printf(&text, "{\"vms\": [");
	for (i = 0; i < fleet->vm_count; i++)
		msp_append_printf(&text,
		    "%s{\"name\": \"%s\", \"place\": \"%s\", \"address\": "
		    "\"127.0.0.1\", \"caller_port\": %u, \"peer_port\": %u, "
		    "\"leaving\": false}",
		    i == 0 ? "" : ", ", fleet->vms[i].name, fleet->vms[i].place,
		    fleet->vms[i].port, fleet->vms[i].peer_port);
	msp_append_printf(&text, "]}");
	send_fleet_request(fleet, fleet->platform.port, "PUT", "/v1/vms", NULL,
	    msp_buffer_text(&text), &reply);
	msp_drop_buffer(&text);
	msp_drop_response(&reply.response);
	return reply.http_status == 200;
}

/* Returns whether a list has `count` entries, all alive and not stale. */
static bool
is_list_converged(json_object *doc, const char *name, size_t count)
{
	json_object *list;
	json_object *value;
	size_t i;

	if (!json_object_object_get_ex(doc, name, &list) ||
	    json_object_array_length(list) != count)
		return false;
	for (i = 0; i < count; i++) {
		json_object *one = json_object_array_get_idx(list, i);

		if (json_object_object_get_ex(one, "stale", &value) &&
		    json_object_get_boolean(value))
			return false;
		if (json_object_object_get_ex(one, "state", &value) &&
		    strcmp(json_object_get_string(value), "alive") != 0)
			return false;
	}
	return true;
}

static bool
is_vm_converged(fleet_t *fleet, size_t vm)
{
	const char *place = fleet->vms[vm].place;
	fleet_reply_t reply;
	json_object *doc;
	size_t members = 0;
	size_t places = 0;
	bool converged;
	size_t i;

	for (i = 0; i < fleet->vm_count; i++) {
		if (fleet->vms[i].pid == 0)
			continue;
		members += strcmp(fleet->vms[i].place, place) == 0;
	}
	for (i = 0; fleet->options.places[i].name != NULL; i++) {
		if (fleet->options.places[i].vms > 0 &&
		    strcmp(fleet->options.places[i].name, place) != 0)
			places++;
	}
	send_operator_request(fleet, vm, "GET", "/v1/status", NULL, &reply);
	doc = json_tokener_parse(msp_buffer_text(&reply.response.body));
	converged = doc != NULL && is_list_converged(doc, "vms", members) &&
	    is_list_converged(doc, "places", places);
	json_object_put(doc);
	msp_drop_response(&reply.response);
	return converged;
}

bool
wait_fleet_convergence(fleet_t *fleet)
{
	msp_env_t env = msp_system_env();
	msp_time_t end = msp_now(&env) + FLEET_WAIT_TIMEOUT_MS * MSP_MS;
	size_t i = 0;

	while (i < fleet->vm_count) {
		if (fleet->vms[i].pid == 0 || is_vm_converged(fleet, i))
			i++;
		else if (msp_now(&env) > end)
			return false;
		else
			msp_step_loop(fleet->loop, LOOP_STEP_MS);
	}
	return true;
}

size_t
find_fleet_dispatcher(fleet_t *fleet, size_t count)
{
	fleet_reply_t reply;
	size_t found = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		send_operator_request(
		    fleet, i, "GET", "/metrics", NULL, &reply);
		if (strstr(msp_buffer_text(&reply.response.body),
			"msp_target_attempts_total") != NULL)
			found = i;
		msp_drop_response(&reply.response);
	}
	return found;
}

bool
get_fleet_key_prefix(fleet_t *fleet, size_t vm, char *out, size_t size)
{
	fleet_reply_t reply;
	json_object *doc;
	json_object *value;

	out[0] = '\0';
	send_fleet_request(fleet, fleet->vms[vm].port, "GET",
	    "/v1/entries?service=desk", NULL, NULL, &reply);
	doc = json_tokener_parse(msp_buffer_text(&reply.response.body));
	if (doc != NULL && json_object_object_get_ex(doc, "key_prefix", &value))
		snprintf(out, size, "%s", json_object_get_string(value));
	json_object_put(doc);
	msp_drop_response(&reply.response);
	return out[0] != '\0';
}

int
count_fleet_runs(const fleet_t *fleet, const char *key)
{
	char line[512];
	FILE *file = fopen(fleet->journal_path, "r");
	int runs = 0;

	while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		runs += strcmp(line, key) == 0;
	}
	if (file != NULL)
		fclose(file);
	return runs;
}

/* Prints why a stand-in didn't accept a control document. */
static void
print_control_failure(
    const fleet_process_t *process, const fleet_reply_t *reply)
{
	fprintf(stderr,
	    "%s on port %u didn't accept faults: %s, maybe_sent=%d, "
	    "HTTP %d %s\n",
	    process->name, process->port, msp_status_name(reply->status),
	    reply->maybe_sent, reply->http_status,
	    msp_buffer_text(&reply->response.body));
}

bool
set_fleet_target_faults(fleet_t *fleet, const char *control)
{
	fleet_reply_t reply;
	bool done = true;
	size_t i;

	for (i = 0; i < fleet->target_count; i++) {
		if (fleet->targets[i].pid == 0)
			continue;
		send_fleet_request(fleet, fleet->targets[i].port, "POST",
		    "/control", NULL, control, &reply);
		if (reply.http_status != 200) {
			print_control_failure(&fleet->targets[i], &reply);
			done = false;
		}
		msp_drop_response(&reply.response);
	}
	return done;
}

bool
set_fleet_platform_faults(fleet_t *fleet, const char *control)
{
	fleet_reply_t reply;

	send_fleet_request(fleet, fleet->platform.port, "POST", "/v1/control",
	    NULL, control, &reply);
	msp_drop_response(&reply.response);
	return reply.http_status == 200;
}
