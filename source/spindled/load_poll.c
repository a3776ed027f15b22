#include "load_poll.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load_report.h"
#include "log.h"

#define POLL_PERIOD MSP_SECOND
#define POLL_TIMEOUT_MS 900
#define DEFAULT_LOAD_PATH "/load"

/* A request for a target's load report. */
typedef struct load_poll {
	LIST_ENTRY(load_poll) link;
	service_dispatcher_t *service;
	msp_call_t *call;
	msp_time_t started;
	char target[MSP_NAME_SIZE];
} load_poll_t;

static void
handle_load_report(void *ctx, msp_call_result_t *call_result)
{
	load_poll_t *poll = ctx;
	service_dispatcher_t *service = poll->service;
	daemon_t *daemon = service->daemon;
	load_report_t report;

	if (call_result->status == MSP_OK &&
	    call_result->response->status == 200 &&
	    parse_load_report(msp_buffer_text(&call_result->response->body),
		call_result->response->body.len, &report) == MSP_OK)
		msp_apply_load_report(service->dispatcher, poll->target,
		    report.slots, report.in_use, report.state,
		    msp_now(&daemon->env) - poll->started);
	else
		msp_add_to_counter(daemon->counters, 1,
		    "msp_load_reports_lost_total{target=\"%s\"}", poll->target);
	LIST_REMOVE(poll, link);
	free(poll);
}

static void
poll_target(service_dispatcher_t *service, const msp_service_t *spec,
    const msp_target_t *target)
{
	daemon_t *daemon = service->daemon;
	load_poll_t *poll = calloc(1, sizeof(*poll));
	msp_call_options_t options = {.address = target->address,
	    .port = target->port,
	    .timeout_ms = POLL_TIMEOUT_MS};
	msp_request_t request = {.method = "GET"};

	if (poll == NULL)
		return;
	snprintf(request.path, sizeof(request.path), "%s",
	    spec->load_path[0] != '\0' ? spec->load_path : DEFAULT_LOAD_PATH);
	poll->service = service;
	poll->started = msp_now(&daemon->env);
	memcpy(poll->target, target->name, sizeof(poll->target));
	LIST_INSERT_HEAD(&service->load_polls, poll, link);
	poll->call = msp_start_call(daemon->load_poll_client, &options,
	    &request, handle_load_report, poll);
	if (poll->call != NULL)
		return;
	LIST_REMOVE(poll, link);
	free(poll);
}

static void
poll_targets(void *ctx)
{
	service_dispatcher_t *service = ctx;
	const msp_release_t *release = get_daemon_release(service->daemon);
	const msp_service_t *spec = msp_find_service(release, service->name);
	const msp_target_t *target;
	msp_cursor_t cursor = {0};

	if (spec == NULL)
		return;
	while ((target = msp_next_target(release, service->name,
		    service->daemon->settings->place, &cursor)) != NULL)
		poll_target(service, spec, target);
}

msp_status_t
start_load_polls(service_dispatcher_t *service)
{
	service->load_poll_timer = msp_new_timer(service->daemon->loop,
	    POLL_PERIOD / 10, POLL_PERIOD, poll_targets, service);
	return service->load_poll_timer == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}

void
stop_load_polls(service_dispatcher_t *service)
{
	load_poll_t *poll, *next;

	msp_drop_timer(service->load_poll_timer);
	LIST_FOREACH_SAFE(poll, &service->load_polls, link, next) {
		LIST_REMOVE(poll, link);
		msp_cancel_call(poll->call);
		free(poll);
	}
}
