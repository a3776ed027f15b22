#include "edge.h"

#include <stdlib.h>
#include <string.h>

#include "edge_private.h"
#include "log.h"

#define PROBE_CONNECTIONS_MAX 1 /* to each target */
#define STORE_CONNECTIONS_MAX 4
#define TARGET_CONNECT_MS 500
#define FORWARD_CONNECTIONS_MAX 64 /* to each other VM */
#define FORWARD_CONNECT_MS 300
#define FORWARD_IDLE_MS 8000 /* shorter than the peer listeners' own */
#define TARGET_IDLE_MS 8000 /* shorter than the targets' own idle timeout */
#define STORE_RESPONSE_MAX (4 << 20) /* bytes */
#define PROBE_RESPONSE_MAX 4096 /* bytes */
/* Of the process's memory; responses can use what requests leave. */
#define BODY_MEMORY_PCT 65 /* for bodies of requests and responses */
#define REQUEST_MEMORY_PCT 50 /* for those of requests */
#define BYTES_PER_MB ((size_t)1 << 20)
#define VIEW_TICK (250 * MSP_MS)
#define COLD_RATE_FACTOR 0.9 /* share of a cold target's rate that is used */
#define COLD_SLACK_FACTOR 0.8 /* share of the slack of that rate */

static const char *
find_region(void *ctx, const char *place)
{
	return find_place_region(ctx, place);
}

static void
handle_target_change(
    void *ctx, const msp_view_target_t *target, const char *reason)
{
	edge_t *edge = ctx;
	const msp_registration_t *registration = &target->registration;
	const char *state = msp_target_status_name(target->status);

	/* A VM that has lost all targets can't tell why one broke off. */
	if (target->status != MSP_TARGET_DRAINING)
		resolve_pending_strikes(edge, target,
		    !has_lost_service(edge, registration->service));

	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_target_changes_total{state=\"%s\"}", state);
	log_info("event=target target=%s service=%s place=%s state=%s "
		 "reason=%s row_version=%llu incarnation=%llu cold_ms=%u",
	    registration->id, registration->service, registration->place, state,
	    reason, (unsigned long long)target->row_version,
	    (unsigned long long)registration->incarnation,
	    registration->cold_ms);
}

static bool
is_evacuated(void *ctx, const char *place)
{
	const edge_t *edge = ctx;

	return msp_is_evacuated(edge->evacuations, place);
}

static msp_status_t
open_balancer(edge_t *edge)
{
	daemon_t *daemon = edge->daemon;
	const msp_settings_t *settings = daemon->settings;
	msp_target_view_callbacks_t view_callbacks = {
	    .find_region = find_region,
	    .on_change = handle_target_change,
	    .ctx = edge};
	msp_balancer_options_t options = {.region = settings->region,
	    .place = settings->place,
	    .default_remote_delay = settings->edge.far_prior_ms * MSP_MS,
	    .cold_rate_factor = COLD_RATE_FACTOR,
	    .cold_burst = settings->edge.cold_slack * COLD_SLACK_FACTOR};
	msp_balancer_callbacks_t callbacks = {.is_evacuated = is_evacuated,
	    .rank_sender = rank_sender,
	    .ctx = edge};

	edge->evacuations = msp_new_evacuations(&daemon->env);
	edge->retry_windows = msp_new_map();
	edge->split = msp_new_traffic_split();
	edge->view = msp_new_target_view(&daemon->env, &view_callbacks);
	edge->latency_model =
	    msp_new_latency_model(options.default_remote_delay);
	if (edge->evacuations == NULL || edge->retry_windows == NULL ||
	    edge->split == NULL || edge->view == NULL ||
	    edge->latency_model == NULL)
		return msp_fail(
		    MSP_E_NO_MEMORY, "no memory for the edge proxy");
	edge->balancer = msp_new_balancer(&daemon->env, &options, &callbacks,
	    edge->view, edge->latency_model);
	return edge->balancer == NULL
	    ? msp_fail(MSP_E_NO_MEMORY, "no memory for the balancer")
	    : MSP_OK;
}

/*
 * What is left of the process's memory is for all that isn't bodies: tables,
 * connections, and what the allocator can't use again.
 */
static void
open_memory_budgets(edge_t *edge)
{
	size_t memory =
	    (size_t)edge->daemon->settings->limits.memory_mb * BYTES_PER_MB;

	edge->body_memory.limit = memory / 100 * BODY_MEMORY_PCT;
	edge->request_memory.limit = memory / 100 * REQUEST_MEMORY_PCT;
	edge->request_memory.whole = &edge->body_memory;
}

static msp_status_t
open_clients(edge_t *edge)
{
	daemon_t *daemon = edge->daemon;
	msp_http_client_options_t targets = {
	    .max_connections_per_server = MSP_IN_FLIGHT_MAX,
	    .refuses_when_busy = true,
	    .max_response_body = daemon->settings->limits.max_answer_bytes,
	    .connect_timeout_ms = TARGET_CONNECT_MS,
	    .idle_timeout_ms = TARGET_IDLE_MS,
	    .body_budget = &edge->body_memory};
	msp_http_client_options_t probes = {
	    .max_connections_per_server = PROBE_CONNECTIONS_MAX,
	    .max_response_body = PROBE_RESPONSE_MAX,
	    .connect_timeout_ms = TARGET_CONNECT_MS,
	    .idle_timeout_ms = MSP_MS};
	msp_http_client_options_t forwards = {
	    .max_connections_per_server = FORWARD_CONNECTIONS_MAX,
	    .refuses_when_busy = true,
	    .max_response_body = targets.max_response_body,
	    .connect_timeout_ms = FORWARD_CONNECT_MS,
	    .body_budget = &edge->body_memory,
	    .idle_timeout_ms = FORWARD_IDLE_MS};
	msp_http_client_options_t store = {
	    .max_connections_per_server = STORE_CONNECTIONS_MAX,
	    .max_response_body = STORE_RESPONSE_MAX};

	edge->target_client = msp_new_http_client(daemon->loop, &targets);
	edge->probe_client = msp_new_http_client(daemon->loop, &probes);
	edge->forward_client = msp_new_http_client(daemon->loop, &forwards);
	edge->store_http = msp_new_http_client(daemon->loop, &store);
	if (edge->target_client == NULL || edge->probe_client == NULL ||
	    edge->forward_client == NULL || edge->store_http == NULL)
		return MSP_E_NO_MEMORY;
	return MSP_OK;
}

static void
handle_view_timer(void *ctx)
{
	edge_t *edge = ctx;

	msp_tick_target_view(edge->view);
	update_routes_lag(edge);
	check_table_reads(edge);
	update_protocol_features(edge);
	report_unknown_messages(edge);
	check_silent_targets(edge);
	check_edge_roster(edge);
	tick_strike_exchange(edge);
	tick_strike_rows(edge);
	tick_rates(edge);
	flush_log();
}

edge_t *
new_edge(struct daemon *daemon)
{
	edge_t *edge = calloc(1, sizeof(*edge));

	if (edge == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for the edge proxy");
		return NULL;
	}
	edge->daemon = daemon;
	edge->opened_at = msp_now(&daemon->env);
	TAILQ_INIT(&edge->requests);
	TAILQ_INIT(&edge->long_polls);
	LIST_INIT(&edge->probes);
	open_limits(edge);
	open_memory_budgets(edge);
	if (register_platform_headers() != MSP_OK ||
	    open_strikes(edge) != MSP_OK || open_rates(edge) != MSP_OK ||
	    open_reaches(edge) != MSP_OK || open_balancer(edge) != MSP_OK ||
	    open_clients(edge) != MSP_OK ||
	    open_edge_listeners(edge) != MSP_OK ||
	    open_edge_peer_listener(edge) != MSP_OK ||
	    open_edge_store(edge) != MSP_OK)
		goto fail;
	edge->view_timer = msp_new_timer(
	    daemon->loop, VIEW_TICK, VIEW_TICK, handle_view_timer, edge);
	if (edge->view_timer == NULL)
		goto fail;
	return edge;
fail:
	drop_edge(edge);
	return NULL;
}

void
drop_edge(edge_t *edge)
{
	if (edge == NULL)
		return;
	msp_drop_timer(edge->view_timer);
	drop_edge_requests(edge);
	close_edge_listeners(edge);
	close_edge_peer_listener(edge);
	close_edge_store(edge);
	close_rates(edge);
	msp_drop_http_client(edge->target_client);
	msp_drop_http_client(edge->probe_client);
	msp_drop_http_client(edge->forward_client);
	drop_probes(edge);
	close_strikes(edge);
	close_limits(edge);
	close_pauses(edge);
	msp_drop_http_client(edge->store_http);
	msp_drop_balancer(edge->balancer);
	msp_drop_latency_model(edge->latency_model);
	msp_drop_target_view(edge->view);
	msp_drop_traffic_split(edge->split);
	msp_drop_evacuations(edge->evacuations);
	msp_drop_map_and_values(edge->retry_windows);
	close_reaches(edge);
	msp_drop_route_table(edge->routes);
	free(edge);
}

uint64_t
get_routes_version(const edge_t *edge)
{
	return edge->routes == NULL ? 0 : edge->routes->version;
}

size_t
count_edge_requests(const edge_t *edge)
{
	return edge->request_count +
	    msp_count_open_exchanges(edge->caller_listener) +
	    count_open_peer_answers(edge);
}

void
drain_edge(edge_t *edge)
{
	msp_disable_keep_alive(edge->caller_listener);
}

void
close_edge_listener(edge_t *edge)
{
	msp_close_http_listener(edge->caller_listener);
}

void
reload_edge(edge_t *edge)
{
	store_source_t store = get_configured_store(edge);

	set_store_client_address(edge->store, &store);
}
