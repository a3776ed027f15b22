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

#define ROUTE_HOPS 4 /* VMs and places that one work may be sent to */
#define RETRY_AFTER_MS 1000

static void
tell_route(const daemon_t *daemon, const proxy_request_t *work, const char *vm,
    const char *place, const char *reason)
{
	msp_decision_t decision = {.action = "route",
	    .request_id = work->id,
	    .service = work->service,
	    .place = place,
	    .vm = vm,
	    .reason = reason,
	    .wait = msp_now(&daemon->env) - work->arrival};

	log_decision(NULL, &decision);
}

/* Whether the work may be tried elsewhere after this refusal. */
static bool
may_go_on(const daemon_t *daemon, const proxy_request_t *work,
    const proxy_result_t *result)
{
	const msp_refusal_t *refusal = &result->refusal;
	bool not_run = refusal->run == MSP_RUN_NO && !refusal->attempt_started;

	if (result->answered || work->route_hops >= ROUTE_HOPS ||
	    msp_now(&daemon->env) >= work->deadline)
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
		return not_run;
	case MSP_E_CUT_ANSWER:
		/* A dispatcher that says so has spent the retries itself. */
		return result->vm[0] == '\0' && work->is_idempotent &&
		    work->retries_left > 0;
	default:
		return false;
	}
}

static bool
is_first_choice(const daemon_t *daemon, const char *service)
{
	const msp_member_t *first =
	    find_dispatcher_vm(daemon->members, service);

	return first != NULL && strcmp(first->name, daemon->settings->vm) == 0;
}

/* Whether another VM of this data centre may do what the last could not. */
static bool
stays_here(const daemon_t *daemon, const proxy_request_t *work,
    const proxy_result_t *result)
{
	if (strcmp(work->place, daemon->settings->place) != 0)
		return false;
	/* This VM itself declined, and is still the first choice. */
	if (strcmp(work->route_vm, daemon->settings->vm) == 0 &&
	    is_first_choice(daemon, work->service))
		return false;
	return result->refusal.status == MSP_E_PEER_DOWN ||
	    result->refusal.status == MSP_E_LEAVING ||
	    result->refusal.status == MSP_E_CUT_ANSWER;
}

static void
run_here(daemon_t *daemon, proxy_request_t *work)
{
	const msp_member_t *first =
	    find_dispatcher_vm(daemon->members, work->service);
	const char *here = daemon->settings->place;

	if (first == NULL) {
		refuse_proxy_request(work, MSP_E_NOT_READY, MSP_RUN_NO, false,
		    RETRY_AFTER_MS, "no VM of this data centre can dispatch");
		return;
	}
	snprintf(work->route_vm, sizeof(work->route_vm), "%s", first->name);
	snprintf(work->place, sizeof(work->place), "%s", here);
	work->hops_left = 0;
	if (strcmp(first->name, daemon->settings->vm) == 0) {
		tell_route(daemon, work, first->name, here, "own-dispatcher");
		dispatch_locally(daemon->dispatchers, work);
		return;
	}
	tell_route(daemon, work, first->name, here, "dispatcher");
	run_remote(daemon, work, first->address, first->peer_port);
}

static void
give_back(proxy_request_t *work, proxy_result_t *result)
{
	work->done = work->route_done;
	work->ctx = work->route_ctx;
	work->done(work->ctx, work, result);
}

static void
run_there(daemon_t *daemon, proxy_request_t *work, const remote_vm_t *choice)
{
	snprintf(work->route_vm, sizeof(work->route_vm), "%s", choice->name);
	snprintf(work->place, sizeof(work->place), "%s", choice->place);
	work->hops_left = 1;
	tell_route(daemon, work, choice->name, choice->place, choice->reason);
	run_remote(daemon, work, choice->address, choice->peer_port);
}

/* Sends the work to another data centre, or gives its first refusal back. */
static void
run_elsewhere(daemon_t *daemon, proxy_request_t *work)
{
	proxy_result_t result = {.refusal = work->route_refusal};
	remote_vm_t choice;

	if (choose_retry_place(daemon->spillover, work, &choice))
		run_there(daemon, work, &choice);
	else
		give_back(work, &result);
}

static void
note_tried(proxy_request_t *work)
{
	if (work->route_tried_count < PROXY_PLACES_MAX)
		work->route_tried[work->route_tried_count++] =
		    hash_name(work->place);
}

static void
on_hop_done(void *ctx, proxy_request_t *work, proxy_result_t *result)
{
	daemon_t *daemon = ctx;
	bool here = strcmp(work->place, daemon->settings->place) == 0;

	if (!result->answered && result->refusal.status == MSP_E_PEER_DOWN &&
	    here)
		msp_report_refused_connection(
		    get_membership(daemon->members), work->route_vm);
	if (!may_go_on(daemon, work, result)) {
		give_back(work, result);
		return;
	}
	if (result->refusal.status == MSP_E_CUT_ANSWER)
		work->retries_left--;
	if (work->route_hops++ == 0)
		work->route_refusal = result->refusal;
	if (stays_here(daemon, work, result)) {
		run_here(daemon, work);
		return;
	}
	note_tried(work);
	run_elsewhere(daemon, work);
}

void
route_proxy_request(struct daemon *daemon, proxy_request_t *work)
{
	remote_vm_t choice;

	work->route_done = work->done;
	work->route_ctx = work->ctx;
	work->done = on_hop_done;
	work->ctx = daemon;
	if (choose_spill_place(daemon->spillover, work, &choice))
		run_there(daemon, work, &choice);
	else
		run_here(daemon, work);
}
