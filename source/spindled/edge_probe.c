#include <stdlib.h>
#include <string.h>

#include "edge_private.h"
#include "log.h"

#define PROBE_TICK (250 * MSP_MS)
#define PROBE_INTERVAL (1 * MSP_SECOND) /* between two probes of a target */
#define PROBE_TIMEOUT_MS 1000

/* A health check in progress. */
struct edge_probe {
	LIST_ENTRY(edge_probe) link;
	edge_t *edge;
	msp_view_target_t *target; /* a reference */
	uint64_t incarnation; /* of the target when the probe was sent */
	msp_time_t sent_at;
};

static void
clear_suspicion(edge_t *edge, msp_view_target_t *target, uint32_t cold_ms)
{
	msp_time_t now = msp_now(&edge->daemon->env);

	if (cold_ms > 0)
		target->cold_until = now + cold_ms * MSP_MS;
	log_info("event=target target=%s state=trusted after_ms=%llu "
		 "cold_ms=%u",
	    target->registration.id,
	    (unsigned long long)((now - target->traffic.suspect_since) /
		MSP_MS),
	    cold_ms);
	target->traffic.suspect_since = 0;
	resolve_pending_strikes(edge, target, cold_ms > 0);
}

static bool
is_in_use(const msp_view_target_t *target)
{
	return target->status == MSP_TARGET_LISTED ||
	    target->status == MSP_TARGET_HELD;
}

static void start_probe(edge_t *edge, msp_view_target_t *target);

static bool
is_in_same_region(const msp_view_target_t *a, const msp_view_target_t *b)
{
	return a->region != NULL && b->region != NULL &&
	    strcmp(a->region, b->region) == 0;
}

/*
 * Whether another target of the region has answered a check since `since`, so
 * that a connect that fails after that is the target's own fault.
 */
static bool
has_control(const edge_t *edge, const msp_view_target_t *target,
    msp_time_t since, msp_time_t until)
{
	const msp_view_target_t *other;

	TAILQ_FOREACH(other, msp_view_targets(edge->view), link) {
		if (other != target && is_in_same_region(other, target) &&
		    other->traffic.connected_at >= since &&
		    other->traffic.connected_at <= until)
			return true;
	}
	return false;
}

static bool
has_control_probe(const edge_t *edge)
{
	const edge_probe_t *probe;

	LIST_FOREACH(probe, &edge->probes, link) {
		if (probe->target->traffic.suspect_since == 0)
			return true;
	}
	return false;
}

/* Checks a target of the region that is not suspect. */
static void
start_control_probe(edge_t *edge, const msp_view_target_t *target)
{
	msp_view_target_t *other;

	if (has_control_probe(edge) ||
	    has_lost_service(edge, target->registration.service))
		return;
	TAILQ_FOREACH(other, msp_view_targets(edge->view), link) {
		if (!is_in_same_region(other, target) || !is_in_use(other) ||
		    other->traffic.suspect_since != 0 || other->traffic.probing)
			continue;
		start_probe(edge, other);
		if (other->traffic.probing)
			return;
	}
}

/*
 * Checks a target that is not suspect of a service that seems to be lost: it
 * may be that only some targets have ended.
 */
static void
check_lost_services(edge_t *edge)
{
	msp_view_target_t *target;

	TAILQ_FOREACH(target, msp_view_targets(edge->view), link) {
		if (has_control_probe(edge))
			return;
		if (has_lost_service(edge, target->registration.service))
			check_target(edge, target);
	}
}

/*
 * A connect to a suspect target has failed, in a check sent at `sent_at`. Its
 * process has ended, unless this VM has lost the other targets as well.
 */
static void
judge_failed_connect(
    edge_t *edge, msp_view_target_t *target, msp_time_t sent_at)
{
	if (!has_pending_strikes(edge, target))
		return;
	if (has_control(edge, target, target->traffic.suspect_since, sent_at))
		resolve_pending_strikes(edge, target, true);
	else
		start_control_probe(edge, target);
}

/* Checks at once the suspect targets for which `control` is the evidence. */
static void
check_suspects(edge_t *edge, const msp_view_target_t *control)
{
	msp_view_target_t *target;

	TAILQ_FOREACH(target, msp_view_targets(edge->view), link) {
		if (target != control && target->traffic.suspect_since != 0 &&
		    !target->traffic.probing && is_in_use(target) &&
		    is_in_same_region(target, control) &&
		    has_pending_strikes(edge, target))
			start_probe(edge, target);
	}
}

/* What a check of a suspect target has shown. */
typedef struct probe_end {
	msp_status_t status;
	msp_time_t sent_at;
	health_fields_t health;
} probe_end_t;

static void
judge_suspect(edge_t *edge, msp_view_target_t *target, const probe_end_t *end)
{
	const health_fields_t *health = &end->health;

	if (end->status == MSP_OK && !health->same_target) {
		msp_mark_target_removed(
		    edge->view, target, "another-target-there");
		resolve_pending_strikes(edge, target, true);
		target->traffic.suspect_since = 0;
	} else if (health->healthy || health->busy) {
		clear_suspicion(edge, target, health->cold_ms);
	} else if (end->status == MSP_E_PEER_DOWN) {
		judge_failed_connect(edge, target, end->sent_at);
	}
}

/* What the check says of this VM's own connections. */
static void
record_probe_result(
    edge_t *edge, msp_view_target_t *target, const msp_call_result_t *result)
{
	if (result->status == MSP_OK) {
		record_target_contact(edge, target);
		target->traffic.connected_at = msp_now(&edge->daemon->env);
		check_suspects(edge, target);
		return;
	}
	if (result->status != MSP_E_PEER_DOWN)
		return;
	record_no_connection(edge, target);
	if (target->traffic.suspect_since == 0)
		suspect_target(edge, target, (msp_digest_t){0},
		    msp_now(&edge->daemon->env), "no-connection");
}

static void
handle_probe_done(void *ctx, msp_call_result_t *result)
{
	edge_probe_t *probe = ctx;
	edge_t *edge = probe->edge;
	msp_view_target_t *target = probe->target;
	bool same_incarnation =
	    probe->incarnation == target->registration.incarnation;
	probe_end_t end = {.status = result->status, .sent_at = probe->sent_at};
	health_fields_t head = {0};

	LIST_REMOVE(probe, link);
	free(probe);
	target->traffic.probing = false;
	if (result->response->status != 0)
		decode_health_fields(
		    result->response, target->registration.id, &head);
	if (result->status == MSP_OK)
		end.health = head;
	/* Whether health checks name limits too is not specified. */
	if (result->status == MSP_OK && same_incarnation &&
	    end.health.same_target &&
	    end.health.limit_field != LIMIT_FIELD_MISSING)
		observe_target_limit(edge, target, end.sent_at,
		    end.health.limit_field, end.health.limit_per_second);
	/* What the head of a response says counts also if its body is cut. */
	if (same_incarnation && head.same_target)
		observe_target_wishes(edge, target, &head.pause, head.leaving);
	record_probe_result(edge, target, result);
	if (same_incarnation && target->traffic.suspect_since != 0)
		judge_suspect(edge, target, &end);
	msp_release_view_target(target);
}

static void
start_probe(edge_t *edge, msp_view_target_t *target)
{
	const msp_registration_t *registration = &target->registration;
	msp_call_options_t options = {.address = registration->address,
	    .port = registration->port,
	    .timeout_ms = PROBE_TIMEOUT_MS,
	    .fresh_connection = true};
	msp_request_t request = {.method = "GET"};
	const msp_service_config_t *config = edge->routes == NULL
	    ? NULL
	    : msp_find_service_config(edge->routes, registration->service);
	edge_probe_t *probe;

	/* A check of a target that is not suspect shows that connects work. */
	options.unused_connection = target->traffic.suspect_since == 0;
	if (config == NULL || config->health_path[0] != '/' ||
	    msp_target_is_paused(&target->pause, msp_now(&edge->daemon->env)) ||
	    !msp_target_limit_allows(edge->balancer, target))
		return;
	probe = calloc(1, sizeof(*probe));
	if (probe == NULL)
		return;
	strcpy(request.path, config->health_path);
	probe->edge = edge;
	probe->target = target;
	probe->incarnation = registration->incarnation;
	probe->sent_at = msp_now(&edge->daemon->env);
	if (msp_start_call(edge->probe_client, &options, &request,
		handle_probe_done, probe) == NULL) {
		free(probe);
		return;
	}
	LIST_INSERT_HEAD(&edge->probes, probe, link);
	msp_keep_view_target(target);
	target->traffic.probing = true;
	target->traffic.probed_at = probe->sent_at;
	msp_use_target_limit(&target->limit);
	count_sent_request(edge, target, "probe");
	report_paused_send(edge, target, "probe", NULL);
	msp_add_to_counter(edge->daemon->counters, 1, "msp_probes_total");
}

static void
handle_probe_timer(void *ctx)
{
	edge_t *edge = ctx;
	msp_time_t now = msp_now(&edge->daemon->env);
	msp_view_target_t *target;
	bool any_suspect = false;

	TAILQ_FOREACH(target, msp_view_targets(edge->view), link) {
		if (target->traffic.suspect_since == 0 || !is_in_use(target))
			continue;
		any_suspect = true;
		if (!target->traffic.probing &&
		    now >= target->traffic.probed_at + PROBE_INTERVAL)
			start_probe(edge, target);
	}
	if (any_suspect) {
		check_lost_services(edge);
		return;
	}
	msp_drop_timer(edge->probe_timer);
	edge->probe_timer = NULL;
}

void
check_target(edge_t *edge, msp_view_target_t *target)
{
	msp_time_t now = msp_now(&edge->daemon->env);

	if (is_in_use(target) && target->traffic.suspect_since == 0 &&
	    !target->traffic.probing &&
	    now >= target->traffic.probed_at + PROBE_INTERVAL)
		start_probe(edge, target);
}

void
suspect_target(edge_t *edge, msp_view_target_t *target,
    msp_digest_t fingerprint, msp_time_t started, const char *reason)
{
	const msp_registration_t *registration = &target->registration;

	if (fingerprint.high != 0 || fingerprint.low != 0)
		add_pending_strike(edge, target, fingerprint, started);
	if (target->traffic.suspect_since != 0 || !is_in_use(target))
		return;
	target->traffic.suspect_since = msp_now(&edge->daemon->env);
	log_info("event=target target=%s service=%s state=suspect reason=%s",
	    registration->id, registration->service, reason);
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_target_suspected_total{reason=\"%s\"}", reason);
	msp_close_idle_connections(
	    edge->target_client, registration->address, registration->port);
	start_probe(edge, target);
	if (edge->probe_timer == NULL)
		edge->probe_timer = msp_new_timer(edge->daemon->loop,
		    PROBE_TICK, PROBE_TICK, handle_probe_timer, edge);
}

void
drop_probes(edge_t *edge)
{
	edge_probe_t *probe;

	msp_drop_timer(edge->probe_timer);
	edge->probe_timer = NULL;
	while ((probe = LIST_FIRST(&edge->probes)) != NULL) {
		LIST_REMOVE(probe, link);
		msp_release_view_target(probe->target);
		free(probe);
	}
}
