#include <string.h>

#include "ctl.h"

#define LOOP_FDS 64
#define RESPONSE_BODY_MAX (256 << 20) /* bytes; a complete release */
#define CALL_TIMEOUT (12 * MSP_SECOND) /* a VM takes up to 10 s for a note */
#define RETRY_DELAY (300 * MSP_MS)
#define STEP_MS 20 /* longest wait for events in one step of the loop */

/* A call in progress, for which the loop is run. */
typedef struct pending_call {
	ctl_response_t *response;
	bool done;
} pending_call_t;

bool
open_ctl(ctl_t *ctl)
{
	const msp_http_client_options_t options = {
	    .max_connections_per_server = 1,
	    .max_response_body = RESPONSE_BODY_MAX};

	ctl->deadline =
	    msp_now(&ctl->env) + ctl->options.timeout_s * MSP_SECOND;
	ctl->loop = msp_new_loop(LOOP_FDS);
	if (ctl->loop == NULL)
		return false;
	ctl->client = msp_new_http_client(ctl->loop, &options);
	if (ctl->client != NULL)
		return true;
	msp_drop_loop(ctl->loop);
	return false;
}

void
close_ctl(ctl_t *ctl)
{
	msp_drop_http_client(ctl->client);
	msp_drop_loop(ctl->loop);
}

msp_time_t
get_time_left(const ctl_t *ctl)
{
	msp_time_t now = msp_now(&ctl->env);

	return now < ctl->deadline ? ctl->deadline - now : 0;
}

void
run_ctl_loop(ctl_t *ctl, msp_time_t duration)
{
	msp_time_t end = msp_now(&ctl->env) + duration;

	while (msp_now(&ctl->env) < end && get_time_left(ctl) > 0)
		msp_step_loop(ctl->loop, STEP_MS);
}

static void
handle_call_done(void *ctx, msp_call_result_t *result)
{
	pending_call_t *call = ctx;
	ctl_response_t *response = call->response;

	call->done = true;
	response->status = result->status;
	response->maybe_sent = result->maybe_sent;
	if (result->status != MSP_OK)
		return;
	response->http_status = result->response->status;
	response->body = result->response->body;
	result->response->body = (msp_buffer_t){0};
}

void
drop_response(ctl_response_t *response)
{
	msp_drop_buffer(&response->body);
}

void
call_vm(ctl_t *ctl, const ctl_vm_t *vm, const char *method, const char *path,
    const msp_buffer_t *body, bool first_attempt, ctl_response_t *response)
{
	pending_call_t call = {.response = response};
	msp_time_t timeout = get_time_left(ctl);
	msp_call_options_t options = {.address = vm->address, .port = vm->port};
	msp_request_t request = {0};

	*response = (ctl_response_t){.status = MSP_E_DEADLINE};
	if (timeout > CALL_TIMEOUT)
		timeout = CALL_TIMEOUT;
	if (timeout == 0)
		return;
	options.timeout_ms = (uint32_t)(timeout / MSP_MS) + 1;
	strncpy(request.method, method, sizeof(request.method) - 1);
	strncpy(request.path, path, sizeof(request.path) - 1);
	msp_print_header(
	    &request.headers, "Authorization", "Bearer %s", ctl->options.token);
	if (first_attempt)
		msp_add_header(&request.headers, "Request-Attempt", "1");
	if (body != NULL) {
		msp_add_header(
		    &request.headers, "Content-Type", "application/json");
		msp_append_data(&request.body, body->data, body->len);
	}
	if (msp_start_call(ctl->client, &options, &request, handle_call_done,
		&call) == NULL) {
		response->status = MSP_E_NO_MEMORY;
		msp_drop_request(&request);
		return;
	}
	while (!call.done)
		msp_step_loop(ctl->loop, STEP_MS);
}

/* Whether a retry, at this or another VM, may succeed. */
static bool
is_retryable(const ctl_response_t *response)
{
	return response->status != MSP_OK || response->http_status >= 500;
}

ctl_exit_t
call_any_vm(ctl_t *ctl, const char *method, const char *path,
    const msp_buffer_t *body, ctl_response_t *response)
{
	ctl_options_t *options = &ctl->options;
	ctl_exit_t code;

	for (;;) {
		call_vm(ctl, &options->vms[ctl->current_vm], method, path, body,
		    false, response);
		if (!is_retryable(response) || get_time_left(ctl) == 0)
			break;
		drop_response(response);
		ctl->current_vm = (ctl->current_vm + 1) % options->vm_count;
		if (ctl->current_vm == 0)
			run_ctl_loop(ctl, RETRY_DELAY);
	}
	if (response->status == MSP_OK && response->http_status < 300)
		return CTL_OK;
	code = report_problem(ctl, response);
	drop_response(response);
	return code;
}

json_object *
fetch_json(ctl_t *ctl, const char *path, ctl_exit_t *code)
{
	ctl_response_t response;
	json_object *doc;

	*code = call_any_vm(ctl, "GET", path, NULL, &response);
	if (*code != CTL_OK)
		return NULL;
	doc = json_tokener_parse(msp_buffer_text(&response.body));
	drop_response(&response);
	if (doc != NULL)
		return doc;
	print_ctl_error("%s: the VM's response is not JSON", path);
	*code = CTL_UNREACHABLE;
	return NULL;
}

msp_release_t *
fetch_release(ctl_t *ctl, ctl_exit_t *code)
{
	msp_release_t *release = NULL;
	ctl_response_t response;

	*code = call_any_vm(ctl, "GET", "/v1/release", NULL, &response);
	if (*code != CTL_OK)
		return NULL;
	if (msp_parse_release(msp_buffer_text(&response.body),
		response.body.len, "release", &release) != MSP_OK) {
		print_ctl_error("%s", msp_last_message());
		*code = CTL_UNREACHABLE;
	}
	drop_response(&response);
	return release;
}
