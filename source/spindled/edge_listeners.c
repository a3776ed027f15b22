#include <inttypes.h>
#include <string.h>

#include <bsd/string.h>

#include "edge_private.h"
#include "gossip.h"
#include "log.h"
#include "members.h"
#include "problem.h"
#include "../platform/table_follower.h"

#define AUXILIARY_CONNECTIONS 512 /* each; all but the callers' listener */
#define AUXILIARY_IDLE_MS 30000
/* Responses that wait less for earlier ones are not logged. */
#define RESPONSE_DELAY_MIN_MS 10

bool
is_edge_ready(const edge_t *edge)
{
	return edge->routes != NULL &&
	    is_table_loaded(edge->target_table.follower) &&
	    !edge->daemon->leaving;
}

/* Lists the ready VMs of this data centre, including this one. */
static size_t
list_serving_vms(const edge_t *edge, directory_entry_t *entries)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	const msp_member_t *self = msp_membership_self(list);
	size_t count = 0;
	size_t i;

	for (i = 0; i < msp_member_count(list) && count < DIRECTORY_ENTRIES_MAX;
	     i++) {
		const msp_member_t *member = msp_member_at(list, i);
		bool is_self = strcmp(member->name, self->name) == 0;

		if (is_self ? !is_edge_ready(edge)
			    : member->state != MSP_MEMBER_ALIVE ||
			    member->release == 0)
			continue;
		strlcpy(entries[count].address, member->address,
		    sizeof(entries[count].address));
		entries[count++].port = member->caller_port;
	}
	return count;
}

static void
handle_directory_request(void *ctx, msp_exchange_t *exchange)
{
	edge_t *edge = ctx;
	directory_entry_t entries[DIRECTORY_ENTRIES_MAX];
	directory_query_t query;
	msp_response_t response = {0};
	msp_status_t status =
	    decode_directory_query(msp_exchange_request(exchange), &query);
	size_t count;

	if (status != MSP_OK) {
		answer_error(exchange, status);
		return;
	}
	count = list_serving_vms(edge, entries);
	msp_add_to_counter(edge->daemon->counters, 1, "msp_lookups_total");
	if (count == 0) {
		msp_fail(MSP_E_NOT_READY, "no VM of this data centre is ready");
		answer_error(exchange, MSP_E_NOT_READY);
		return;
	}
	status = encode_directory_response(entries, count,
	    edge->daemon->settings->edge.directory_ttl_ms, &response);
	if (status != MSP_OK) {
		msp_drop_response(&response);
		answer_error(exchange, status);
		return;
	}
	msp_send_exchange_response(exchange, &response);
}

static void
handle_readiness_request(void *ctx, msp_exchange_t *exchange)
{
	const edge_t *edge = ctx;
	msp_response_t response = {.status = is_edge_ready(edge) ? 200 : 503};

	if (!is_readiness_query(msp_exchange_request(exchange)))
		response.status = 404;
	msp_send_exchange_response(exchange, &response);
}

static void
print_durations(const edge_t *edge, msp_buffer_t *out)
{
	static const uint64_t bounds_ms[] = {
	    5, 10, 25, 50, 100, 200, 300, 500, 800, 1200, 2000, 4000, 8000};
	static const char *const labels[EDGE_OUTCOME_COUNT] = {
	    [EDGE_ANSWERED] = "outcome=\"answered\"",
	    [EDGE_REFUSED] = "outcome=\"refused\"",
	    [EDGE_FAILED] = "outcome=\"failed\"",
	};
	size_t i;

	for (i = 0; i < EDGE_OUTCOME_COUNT; i++)
		msp_print_histogram(&edge->durations[i],
		    "msp_request_duration_ms", labels[i], bounds_ms,
		    sizeof(bounds_ms) / sizeof(*bounds_ms), out);
}

static void
update_log_gauges(msp_counters_t *counters)
{
	const msp_line_stats_t *lines = get_log_statistics();

	if (lines == NULL)
		return;
	*msp_get_counter(counters, "msp_log_lines_total") = lines->lines;
	*msp_get_counter(counters, "msp_log_bytes_total") = lines->bytes;
	*msp_get_counter(counters, "msp_log_lost_total") = lines->lost;
	*msp_get_counter(counters, "msp_log_omitted_total{rank=\"vital\"}") =
	    lines->omitted[MSP_LINE_VITAL];
	*msp_get_counter(counters, "msp_log_omitted_total{rank=\"notable\"}") =
	    lines->omitted[MSP_LINE_NOTABLE];
	*msp_get_counter(counters, "msp_log_omitted_total{rank=\"sample\"}") =
	    lines->omitted[MSP_LINE_SAMPLE];
}

static void
handle_metrics_request(void *ctx, msp_exchange_t *exchange)
{
	const edge_t *edge = ctx;
	msp_counters_t *counters = edge->daemon->counters;
	msp_response_t response = {.status = 200};

	update_gossip_metrics(edge->daemon->gossip);
	update_log_gauges(counters);
	*msp_get_counter(counters, "msp_routes_version") =
	    get_routes_version(edge);
	*msp_get_counter(counters, "msp_requests_in_hand") =
	    edge->request_count;
	*msp_get_counter(counters, "msp_request_body_bytes") =
	    edge->request_memory.used;
	*msp_get_counter(counters, "msp_body_bytes") = edge->body_memory.used;
	*msp_get_counter(counters, "msp_body_bytes_most") =
	    edge->body_memory.most_used;
	*msp_get_counter(counters, "msp_body_bytes_limit") =
	    edge->body_memory.limit;
	*msp_get_counter(counters, "msp_body_memory_refused_total") =
	    edge->request_memory.refused + edge->body_memory.refused;
	*msp_get_counter(counters, "msp_targets_age_ms") =
	    get_targets_age(edge) / MSP_MS;
	*msp_get_counter(counters, "msp_routes_age_ms") =
	    get_routes_age(edge) / MSP_MS;
	*msp_get_counter(counters, "msp_services_lost") =
	    count_lost_services(edge);
	*msp_get_counter(counters, "msp_forwards_in_flight") =
	    count_forwards(edge);
	update_limit_gauges(edge);
	update_pause_gauges(edge);
	update_rate_gauges(edge);
	update_roster_gauges(edge);
	msp_add_header(&response.headers, "Content-Type",
	    "text/plain; version=0.0.4; charset=utf-8");
	msp_print_counters(counters, &response.body);
	print_durations(edge, &response.body);
	msp_send_exchange_response(exchange, &response);
}

/* The HTTP server has refused a caller's request or connection by itself. */
static void
handle_server_refusal(void *ctx, const msp_http_refusal_t *refusal)
{
	edge_t *edge = ctx;
	const char *reason = msp_status_name(refusal->status);
	int http_status = msp_get_status_info(refusal->status)->http_status;
	caller_fields_t caller = {0};
	char id[REQUEST_ID_SIZE];

	if (refusal->request != NULL)
		decode_caller_fields(refusal->request, &caller);
	/* Lines without an id must not displace those of requests. */
	log_request(caller.id[0] != '\0' && is_refusal_status(http_status)
		? MSP_LINE_VITAL
		: MSP_LINE_NOTABLE,
	    "event=server-refusal id=%s status=%d reason=%s client=%s "
	    "request_read=%d body_bytes=%zu",
	    clean_log_value(
		caller.id[0] == '\0' ? NULL : caller.id, id, sizeof(id)),
	    http_status, reason, refusal->client_address,
	    refusal->request != NULL,
	    refusal->request == NULL ? 0 : refusal->request->body.len);
	count_refusal(edge, "http-server", http_status);
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_server_refusals_total{reason=\"%s\"}", reason);
}

/*
 * Logs a response that was ready before those to earlier requests of its
 * connection, and so had to wait.
 */
static void
log_delayed_response(void *ctx, const msp_exchange_t *exchange)
{
	edge_t *edge = ctx;
	msp_time_t wait =
	    msp_now(&edge->daemon->env) - msp_exchange_response_time(exchange);
	caller_fields_t caller;
	char id[REQUEST_ID_SIZE];

	if (msp_exchange_position(exchange) == 0 ||
	    wait < RESPONSE_DELAY_MIN_MS * MSP_MS)
		return;
	msp_add_to_counter(
	    edge->daemon->counters, 1, "msp_delayed_responses_total");
	decode_caller_fields(msp_exchange_request(exchange), &caller);
	log_request(MSP_LINE_NOTABLE,
	    "event=delayed-response id=%s pipeline_position=%zu "
	    "wait_ms=%" PRIu64,
	    clean_log_value(caller.id, id, sizeof(id)),
	    msp_exchange_position(exchange), wait / MSP_MS);
}

static void
ignore_disconnect(void *ctx, msp_exchange_t *exchange)
{
	(void)ctx;
	(void)exchange;
}

static msp_http_server_t *
open_auxiliary_server(edge_t *edge, const char *address, uint16_t port,
    void (*handle_request)(void *ctx, msp_exchange_t *exchange))
{
	msp_http_server_options_t options = {.address = address,
	    .port = port,
	    .limits = {.max_connections = AUXILIARY_CONNECTIONS,
		.idle_timeout_ms = AUXILIARY_IDLE_MS},
	    .handler = {.on_request = handle_request,
		.on_disconnect = ignore_disconnect,
		.ctx = edge}};

	return msp_new_http_server(edge->daemon->loop, &options);
}

msp_status_t
open_edge_listeners(edge_t *edge)
{
	const msp_settings_t *settings = edge->daemon->settings;
	const msp_settings_edge_t *edge_settings = &settings->edge;
	msp_http_server_options_t callers = {
	    .address = edge_settings->callers.address,
	    .port = edge_settings->callers.port,
	    .limits =
		{
		    .max_body = settings->limits.max_body_bytes,
		    .max_headers = settings->limits.max_header_bytes,
		    .max_connections = settings->limits.max_connections,
		    .head_timeout_ms = settings->limits.head_timeout_ms,
		    .body_timeout_ms = settings->limits.body_timeout_ms,
		    .body_budget = &edge->request_memory,
		},
	    .handler = {.on_request = handle_edge_request,
		.on_disconnect = handle_edge_caller_disconnect,
		.may_overlap = may_edge_request_overlap,
		.on_response = log_delayed_response,
		.on_refusal = handle_server_refusal,
		.ctx = edge}};

	edge->caller_listener =
	    msp_new_http_server(edge->daemon->loop, &callers);
	edge->readiness_listener =
	    open_auxiliary_server(edge, edge_settings->readiness.address,
		edge_settings->readiness.port, handle_readiness_request);
	edge->directory_listener =
	    open_auxiliary_server(edge, edge_settings->directory.address,
		edge_settings->directory.port, handle_directory_request);
	if (edge->caller_listener == NULL || edge->readiness_listener == NULL ||
	    edge->directory_listener == NULL)
		return MSP_E_IO;
	if (edge_settings->metrics_port == 0)
		return MSP_OK;
	edge->metrics_listener =
	    open_auxiliary_server(edge, edge_settings->callers.address,
		edge_settings->metrics_port, handle_metrics_request);
	return edge->metrics_listener == NULL ? MSP_E_IO : MSP_OK;
}

void
close_edge_listeners(edge_t *edge)
{
	msp_drop_http_server(edge->caller_listener);
	msp_drop_http_server(edge->readiness_listener);
	msp_drop_http_server(edge->directory_listener);
	msp_drop_http_server(edge->metrics_listener);
}
