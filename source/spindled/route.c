#include "route.h"

#include <stdio.h>
#include <string.h>

#include "daemon.h"
#include "dispatchers.h"
#include "load_codec.h"
#include "log.h"
#include "members.h"
#include "remote.h"
#include "spillover.h"

/* Retries of one request, in this and other data centres. */
#define ROUTE_HOPS_MAX 4
#define RETRY_AFTER_MS 1000

static void
log_route(const daemon_t *daemon, const proxy_request_t *request,
    const char *vm_name, const char *place, const char *reason)
{
	msp_decision_t decision = {.action = "route",
	    .request_id = request->id,
	    .service = request->service,
	    .place = place,
	    .vm = vm_name,
	    .reason = reason,
	    .wait = msp_now(&daemon->env) - request->arrival};

	log_decision(NULL, &decision);
}

/* Whether the request may be sent to another dispatcher after this result. */
static bool
may_retry(const daemon_t *daemon, const proxy_request_t *request,
    const proxy_result_t *result)
{
	const msp_refusal_t *refusal = &result->refusal;
	bool has_not_run =
	    refusal->run == MSP_RUN_NOT_EXECUTED && !refusal->attempt_started;

	if (result->answered || request->route_hops >= ROUTE_HOPS_MAX ||
	    msp_now(&daemon->env) >= request->deadline)
		return false;
	switch (refusal->status) {
	case MSP_E_PEER_DOWN:
	case MSP_E_LEAVING:
	case MSP_E_NOT_READY:
	case MSP_E_NO_TARGET:
	case MSP_E_OVERLOAD:
	case MSP_E_NO_CREDIT:
	case MSP_E_NO_MEMORY:
	case MSP_E_UNKNOWN_SERVICE:
		return has_not_run;
	case MSP_E_TRUNCATED_RESPONSE:
		/*
		 * A dispatcher that reports this itself (`vm` is set) has
		 * already used the retries.
		 */
		return result->vm[0] == '\0' && request->is_idempotent &&
		    request->retries_left > 0;
	default:
		return false;
	}
}

static bool
is_own_dispatcher(const daemon_t *daemon, const char *service)
{
	const msp_member_t *dispatcher =
	    find_dispatcher_vm(daemon->members, service);

	return dispatcher != NULL &&
	    strcmp(dispatcher->name, daemon->settings->vm) == 0;
}

/* Whether the retry may go to another VM of this data centre. */
static bool
may_retry_here(const daemon_t *daemon, const proxy_request_t *request,
    const proxy_result_t *result)
{
	if (strcmp(request->place, daemon->settings->place) != 0)
		return false;
	/* This VM refused it and is still the dispatcher of the service. */
	if (strcmp(request->route_vm, daemon->settings->vm) == 0 &&
	    is_own_dispatcher(daemon, request->service))
		return false;
	return result->refusal.status == MSP_E_PEER_DOWN ||
	    result->refusal.status == MSP_E_LEAVING ||
	    result->refusal.status == MSP_E_TRUNCATED_RESPONSE;
}

static void
route_here(daemon_t *daemon, proxy_request_t *request)
{
	const msp_member_t *dispatcher =
	    find_dispatcher_vm(daemon->members, request->service);
	const char *place = daemon->settings->place;

	if (dispatcher == NULL) {
		refuse_proxy_request(request, MSP_E_NOT_READY,
		    MSP_RUN_NOT_EXECUTED, false, RETRY_AFTER_MS,
		    "no VM of this data centre can dispatch the request");
		return;
	}
	snprintf(request->route_vm, sizeof(request->route_vm), "%s",
	    dispatcher->name);
	snprintf(request->place, sizeof(request->place), "%s", place);
	request->hops_left = 0;
	if (strcmp(dispatcher->name, daemon->settings->vm) == 0) {
		log_route(
		    daemon, request, dispatcher->name, place, "own-dispatcher");
		dispatch_locally(daemon->dispatchers, request);
		return;
	}
	log_route(daemon, request, dispatcher->name, place, "dispatcher");
	dispatch_remotely(
	    daemon, request, dispatcher->address, dispatcher->peer_port);
}

static void
finish_routing(proxy_request_t *request, proxy_result_t *result)
{
	request->done = request->route_done;
	request->ctx = request->route_ctx;
	request->done(request->ctx, request, result);
}

static void
route_to_place(
    daemon_t *daemon, proxy_request_t *request, const remote_vm_t *vm)
{
	snprintf(request->route_vm, sizeof(request->route_vm), "%s", vm->name);
	snprintf(request->place, sizeof(request->place), "%s", vm->place);
	request->hops_left = 1;
	log_route(daemon, request, vm->name, vm->place, vm->reason);
	dispatch_remotely(daemon, request, vm->address, vm->peer_port);
}

/* Retries in another data centre, or ends with the first refusal. */
static void
retry_elsewhere(daemon_t *daemon, proxy_request_t *request)
{
	proxy_result_t result = {.refusal = request->route_refusal};
	remote_vm_t vm;

	if (choose_retry_place(daemon->spillover, request, &vm))
		route_to_place(daemon, request, &vm);
	else
		finish_routing(request, &result);
}

static void
record_tried_place(proxy_request_t *request)
{
	if (request->route_tried_count < PROXY_PLACES_MAX)
		request->route_tried[request->route_tried_count++] =
		    hash_name(request->place);
}

static void
handle_hop_done(void *ctx, proxy_request_t *request, proxy_result_t *result)
{
	daemon_t *daemon = ctx;
	bool is_here = strcmp(request->place, daemon->settings->place) == 0;

	if (!result->answered && result->refusal.status == MSP_E_PEER_DOWN &&
	    is_here)
		msp_report_refused_connection(
		    get_membership(daemon->members), request->route_vm);
	if (!may_retry(daemon, request, result)) {
		finish_routing(request, result);
		return;
	}
	if (result->refusal.status == MSP_E_TRUNCATED_RESPONSE)
		request->retries_left--;
	if (request->route_hops++ == 0)
		request->route_refusal = result->refusal;
	if (may_retry_here(daemon, request, result)) {
		route_here(daemon, request);
		return;
	}
	record_tried_place(request);
	retry_elsewhere(daemon, request);
}

void
route_proxy_request(struct daemon *daemon, proxy_request_t *request)
{
	remote_vm_t vm;

	request->route_done = request->done;
	request->route_ctx = request->ctx;
	request->done = handle_hop_done;
	request->ctx = daemon;
	if (choose_spill_place(daemon->spillover, request, &vm))
		route_to_place(daemon, request, &vm);
	else
		route_here(daemon, request);
}
