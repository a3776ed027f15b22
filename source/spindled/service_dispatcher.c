#include "service_dispatcher.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "service_credit.h"
#include "target_call.h"
#include "load_poll.h"

/* Long enough for summaries of other data centres, which lag by seconds. */
#define CREDIT_LIFETIME (8 * MSP_SECOND)
#define CREDIT_PROPAGATION_DELAY (10 * MSP_SECOND)
#define TARGETS_MAX 4096 /* of one service in one data centre, at most */

static void
refuse_dispatched_request(
    void *ctx, msp_job_t *job, const msp_refusal_t *refusal)
{
	service_dispatcher_t *service = ctx;
	dispatched_request_t *dispatched = job->user;
	proxy_result_t result = {.refusal = *refusal};

	msp_add_to_counter(service->daemon->counters, 1,
	    "msp_dispatch_refused_total{service=\"%s\",kind=\"%s\"}",
	    service->name, msp_status_name(refusal->status));
	finish_dispatched_request(dispatched, &result);
}

static void
close_idle_connections(void *ctx, const msp_target_ref_t *target)
{
	service_dispatcher_t *service = ctx;
	const target_address_t *address = target->address;

	log_warn("event=silent-connections service=%s target=%s", service->name,
	    target->name);
	msp_close_idle_connections(
	    service->daemon->target_client, address->address, address->port);
}

static msp_dispatch_policy_t
make_policy(const daemon_t *daemon, const char *name)
{
	const msp_service_t *spec =
	    msp_find_service(get_daemon_release(daemon), name);
	msp_dispatch_policy_t policy;

	if (spec == NULL)
		return msp_default_policy(MSP_PREFER_LATENCY);
	policy = msp_default_policy(spec->priority == MSP_PRIORITY_HEADROOM
		? MSP_PREFER_HEADROOM
		: MSP_PREFER_LATENCY);
	policy.hedge = policy.hedge && spec->hedging;
	policy.retry_budget_percent = spec->retry_budget_percent;
	if (spec->reserve_percent != MSP_RESERVE_BY_PRIORITY)
		policy.reserve_percent = spec->reserve_percent;
	policy.default_deadline = spec->deadline_ms * MSP_MS;
	return policy;
}

service_dispatcher_t *
new_service_dispatcher(
    daemon_t *daemon, const char *name, msp_quarantine_list_t *quarantine)
{
	service_dispatcher_t *service = calloc(1, sizeof(*service));
	msp_dispatcher_options_t options = {.service = name,
	    .place = daemon->settings->place,
	    .policy = make_policy(daemon, name),
	    .quarantine = quarantine};
	msp_credit_granter_options_t granter = {.lifetime = CREDIT_LIFETIME,
	    .propagation_delay = CREDIT_PROPAGATION_DELAY,
	    .fill_percent = options.policy.fill_percent};
	msp_dispatcher_callbacks_t callbacks = {
	    .start_attempt = start_target_call,
	    .cancel_attempt = cancel_target_call,
	    .refuse_job = refuse_dispatched_request,
	    .close_idle_connections = close_idle_connections,
	    .report_decision = log_decision,
	    .ctx = service};

	if (service == NULL)
		return NULL;
	service->daemon = daemon;
	snprintf(service->name, sizeof(service->name), "%s", name);
	LIST_INIT(&service->load_polls);
	service->addresses = msp_new_map();
	LIST_INIT(&service->delayed_responses);
	service->dispatcher =
	    msp_new_dispatcher(&daemon->env, &options, &callbacks);
	service->granter = msp_new_credit_granter(&daemon->env, &granter);
	if (service->addresses == NULL || service->dispatcher == NULL ||
	    service->granter == NULL || start_load_polls(service) != MSP_OK) {
		drop_service_dispatcher(service);
		return NULL;
	}
	update_service_dispatcher(service);
	return service;
}

void
drop_service_dispatcher(service_dispatcher_t *service)
{
	if (service == NULL)
		return;
	stop_load_polls(service);
	drop_delayed_responses(service);
	msp_drop_dispatcher(service->dispatcher);
	msp_drop_credit_granter(service->granter);
	msp_drop_map_and_values(service->addresses);
	free(service);
}

static target_address_t *
intern_address(service_dispatcher_t *service, const msp_target_t *target)
{
	char key[MSP_ADDRESS_SIZE + 8];
	target_address_t *address;

	snprintf(key, sizeof(key), "%s:%u", target->address, target->port);
	address = msp_map_get(service->addresses, key);
	if (address != NULL)
		return address;
	address = calloc(1, sizeof(*address));
	if (address == NULL)
		return NULL;
	memcpy(address->address, target->address, sizeof(address->address));
	address->port = target->port;
	if (msp_map_put(service->addresses, key, address) != MSP_OK) {
		free(address);
		return NULL;
	}
	return address;
}

void
update_service_dispatcher(service_dispatcher_t *service)
{
	daemon_t *daemon = service->daemon;
	const msp_release_t *release = get_daemon_release(daemon);
	const msp_place_t *place =
	    msp_find_place(release, daemon->settings->place);
	bool draining = place != NULL && place->state == MSP_STATE_DRAINING;
	msp_dispatch_policy_t policy = make_policy(daemon, service->name);
	msp_target_spec_t *specs = calloc(TARGETS_MAX, sizeof(*specs));
	const msp_target_t *target;
	msp_cursor_t cursor = {0};
	size_t count = 0;

	if (specs == NULL)
		return;
	while (count < TARGETS_MAX &&
	    (target = msp_next_target(release, service->name,
		 daemon->settings->place, &cursor)) != NULL) {
		msp_target_spec_t *spec = &specs[count];

		spec->name = target->name;
		spec->address = intern_address(service, target);
		spec->slots = target->slots;
		spec->state = draining || target->state == MSP_STATE_DRAINING
		    ? MSP_TARGET_LEAVING
		    : MSP_TARGET_READY;
		if (spec->address != NULL)
			count++;
	}
	msp_set_dispatcher_policy(service->dispatcher, &policy);
	if (msp_set_dispatcher_targets(service->dispatcher, specs, count) !=
	    MSP_OK)
		log_error("event=targets-failed service=%s error=%s",
		    service->name, msp_last_message());
	free(specs);
	update_credit_shares(service);
}

static void
cancel_request(proxy_request_t *request)
{
	dispatched_request_t *dispatched = request->cancel_ctx;
	service_dispatcher_t *service = dispatched->service;

	msp_cancel_job(service->dispatcher, &dispatched->job);
	if (dispatched->reservation.account != NULL)
		msp_settle_credit(
		    service->granter, &dispatched->reservation, 0);
	service->active_count--;
	free(dispatched);
}

void
dispatch_service_request(
    service_dispatcher_t *service, proxy_request_t *request)
{
	dispatched_request_t *dispatched = calloc(1, sizeof(*dispatched));
	uint32_t retry_after_ms = 0;

	if (dispatched == NULL) {
		refuse_proxy_request(request, MSP_E_NO_MEMORY,
		    MSP_RUN_NOT_EXECUTED, false, 0,
		    "no memory to dispatch the request");
		return;
	}
	if (admit_request(service, request, &dispatched->reservation,
		&retry_after_ms) != MSP_OK) {
		free(dispatched);
		refuse_proxy_request(request, MSP_E_NO_CREDIT,
		    MSP_RUN_NOT_EXECUTED, false, retry_after_ms,
		    "exceeds the credit that this place offers");
		return;
	}
	dispatched->service = service;
	dispatched->request = request;
	dispatched->job = (msp_job_t){.request_id = request->id,
	    .class = request->class,
	    .is_idempotent = request->is_idempotent,
	    .is_shifted = dispatched->reservation.account != NULL,
	    .arrival = request->arrival,
	    .deadline = request->deadline,
	    .fingerprint = request->fingerprint,
	    .retries_left = request->retries_left,
	    .user = dispatched};
	service->active_count++;
	request->cancel = cancel_request;
	request->cancel_ctx = dispatched;
	msp_submit_job(service->dispatcher, &dispatched->job);
}

void
tick_service_dispatcher(service_dispatcher_t *service)
{
	if (msp_now(&service->daemon->env) >=
	    msp_dispatcher_due(service->dispatcher))
		msp_tick_dispatcher(service->dispatcher);
}
