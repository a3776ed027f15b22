#include "load_poll.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load_report.h"
#include "log.h"

#define REPORT_PERIOD MSP_SECOND
#define REPORT_TIMEOUT_MS 900
#define DEFAULT_LOAD_PATH "/load"

/* One load report that has been asked for. */
typedef struct load_poll {
	LIST_ENTRY(load_poll) link;
	service_dispatcher_t *service;
	msp_call_t *call;
	msp_time_t asked;
	char target[MSP_NAME_SIZE];
} report_call_t;

static void
on_report(void *ctx, msp_call_result_t *ended)
{
	report_call_t *asked = ctx;
	service_dispatcher_t *service = asked->service;
	daemon_t *daemon = service->daemon;
	load_report_t report;

	if (ended->status == MSP_OK && ended->response->status == 200 &&
	    parse_load_report(msp_buffer_text(&ended->response->body),
		ended->response->body.len, &report) == MSP_OK)
		msp_apply_load_report(service->dispatcher, asked->target,
		    report.slots, report.in_use, report.state,
		    msp_now(&daemon->env) - asked->asked);
	else
		msp_count(daemon->counters, 1,
		    "msp_load_reports_lost_total{target=\"%s\"}",
		    asked->target);
	LIST_REMOVE(asked, link);
	free(asked);
}

static void
ask_target(service_dispatcher_t *service, const msp_service_t *spec,
    const msp_target_t *target)
{
	daemon_t *daemon = service->daemon;
	report_call_t *asked = calloc(1, sizeof(*asked));
	msp_call_options_t options = {.address = target->address,
	    .port = target->port,
	    .timeout_ms = REPORT_TIMEOUT_MS};
	msp_request_t request = {.method = "GET"};

	if (asked == NULL)
		return;
	snprintf(request.path, sizeof(request.path), "%s",
	    spec->load_path[0] != '\0' ? spec->load_path : DEFAULT_LOAD_PATH);
	asked->service = service;
	asked->asked = msp_now(&daemon->env);
	memcpy(asked->target, target->name, sizeof(asked->target));
	LIST_INSERT_HEAD(&service->load_polls, asked, link);
	asked->call = msp_start_call(
	    daemon->report_client, &options, &request, on_report, asked);
	if (asked->call != NULL)
		return;
	LIST_REMOVE(asked, link);
	free(asked);
}

static void
ask_targets(void *ctx)
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
		ask_target(service, spec, target);
}

msp_status_t
start_load_polls(service_dispatcher_t *service)
{
	service->load_poll_timer = msp_new_timer(service->daemon->loop,
	    REPORT_PERIOD / 10, REPORT_PERIOD, ask_targets, service);
	return service->load_poll_timer == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}

void
stop_load_polls(service_dispatcher_t *service)
{
	report_call_t *asked, *next;

	msp_drop_timer(service->load_poll_timer);
	LIST_FOREACH_SAFE(asked, &service->load_polls, link, next) {
		LIST_REMOVE(asked, link);
		msp_cancel_call(asked->call);
		free(asked);
	}
}
