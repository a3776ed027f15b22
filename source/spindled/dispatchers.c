#include "dispatchers.h"

#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "load.h"
#include "log.h"
#include "members.h"
#include "monsoonspindle/coord/nonces.h"
#include "quarantine_sync.h"
#include "service_credit.h"
#include "service_dispatcher.h"

#define TICK_PERIOD (5 * MSP_MS)
#define CHECK_PERIOD (250 * MSP_MS)
#define RETRY_AFTER_MS 500
#define NONCE_LIFETIME MSP_MINUTE

struct dispatchers {
	daemon_t *daemon;
	msp_map_t *services; /* service_dispatcher_t by service name */
	LIST_HEAD(, service_dispatcher) retired; /* dropped once idle */
	msp_quarantine_list_t *quarantine;
	quarantine_sync_t *quarantine_sync; /* shares it with other VMs */
	msp_nonce_set_t *nonces; /* of claimed requests dispatched here */
	msp_timer_t *tick_timer;
	msp_timer_t *check_timer;
};

static bool
is_assigned_here(const dispatchers_t *dispatchers, const char *service)
{
	const msp_member_t *dispatcher_vm =
	    find_dispatcher_vm(dispatchers->daemon->members, service);

	return dispatcher_vm != NULL &&
	    strcmp(dispatcher_vm->name, dispatchers->daemon->settings->vm) == 0;
}

static void
handle_tick_timer(void *ctx)
{
	dispatchers_t *dispatchers = ctx;
	service_dispatcher_t *service;
	size_t cursor = 0;
	void *value;

	while (msp_map_next(dispatchers->services, &cursor, NULL, &value))
		tick_service_dispatcher(value);
	LIST_FOREACH(service, &dispatchers->retired, link)
		tick_service_dispatcher(service);
}

static void
handle_check_timer(void *ctx)
{
	reassign_dispatchers(ctx);
}

dispatchers_t *
new_dispatchers(struct daemon *daemon)
{
	dispatchers_t *dispatchers = calloc(1, sizeof(*dispatchers));

	if (dispatchers == NULL)
		return NULL;
	dispatchers->daemon = daemon;
	LIST_INIT(&dispatchers->retired);
	dispatchers->services = msp_new_map();
	dispatchers->quarantine = msp_new_quarantine_list(&daemon->env);
	dispatchers->quarantine_sync =
	    new_quarantine_sync(daemon, dispatchers->quarantine);
	dispatchers->nonces = msp_new_nonce_set(&daemon->env, NONCE_LIFETIME);
	dispatchers->tick_timer = msp_new_timer(daemon->loop, TICK_PERIOD,
	    TICK_PERIOD, handle_tick_timer, dispatchers);
	dispatchers->check_timer = msp_new_timer(daemon->loop, CHECK_PERIOD,
	    CHECK_PERIOD, handle_check_timer, dispatchers);
	if (dispatchers->services == NULL || dispatchers->quarantine == NULL ||
	    dispatchers->quarantine_sync == NULL ||
	    dispatchers->nonces == NULL || dispatchers->tick_timer == NULL ||
	    dispatchers->check_timer == NULL) {
		drop_dispatchers(dispatchers);
		return NULL;
	}
	return dispatchers;
}

void
drop_dispatchers(dispatchers_t *dispatchers)
{
	service_dispatcher_t *service, *next;
	size_t cursor = 0;
	void *value;

	if (dispatchers == NULL)
		return;
	msp_drop_timer(dispatchers->tick_timer);
	msp_drop_timer(dispatchers->check_timer);
	while (dispatchers->services != NULL &&
	    msp_map_next(dispatchers->services, &cursor, NULL, &value))
		drop_service_dispatcher(value);
	LIST_FOREACH_SAFE(service, &dispatchers->retired, link, next)
		drop_service_dispatcher(service);
	msp_drop_map(dispatchers->services);
	drop_quarantine_sync(dispatchers->quarantine_sync);
	msp_drop_quarantine_list(dispatchers->quarantine);
	msp_drop_nonce_set(dispatchers->nonces);
	free(dispatchers);
}

static service_dispatcher_t *
open_service_dispatcher(dispatchers_t *dispatchers, const char *name)
{
	service_dispatcher_t *service =
	    msp_map_get(dispatchers->services, name);

	if (service != NULL)
		return service;
	service = new_service_dispatcher(
	    dispatchers->daemon, name, dispatchers->quarantine);
	if (service == NULL)
		return NULL;
	if (msp_map_put(dispatchers->services, name, service) != MSP_OK) {
		drop_service_dispatcher(service);
		return NULL;
	}
	import_in_flight_counts(dispatchers->daemon, name, service->dispatcher);
	log_info("event=dispatcher-start service=%s", name);
	return service;
}

/*
 * Registers the nonce of a claimed request, so that it is dispatched only once.
 * Returns false and refuses the request if the nonce was dispatched before, or
 * if that is unknown because it is older than this dispatcher.
 */
static bool
register_nonce(dispatchers_t *dispatchers, proxy_request_t *request)
{
	msp_time_t now = msp_now(&dispatchers->daemon->env);
	msp_nonce_t nonce;

	if (request->is_idempotent)
		return true;
	if (msp_parse_digest(request->nonce, &nonce) != 0) {
		refuse_proxy_request(request, MSP_E_BAD_REQUEST,
		    MSP_RUN_NOT_EXECUTED, false, 0,
		    "non-idempotent request without a nonce");
		return false;
	}
	switch (msp_consume_nonce(
	    dispatchers->nonces, nonce, now - request->nonce_issued)) {
	case MSP_OK:
		return true;
	case MSP_E_EXISTS:
		refuse_proxy_request(request, MSP_E_IN_DOUBT, MSP_RUN_UNKNOWN,
		    true, 0, "a request with this nonce was dispatched before");
		return false;
	default:
		/*
		 * No other dispatcher has run the request: its sender
		 * sends it to another one only after a response like
		 * this one.
		 */
		refuse_proxy_request(request, MSP_E_NOT_READY,
		    MSP_RUN_NOT_EXECUTED, false, RETRY_AFTER_MS,
		    "the claim is older than this dispatcher");
		return false;
	}
}

void
dispatch_locally(dispatchers_t *dispatchers, proxy_request_t *request)
{
	daemon_t *daemon = dispatchers->daemon;
	const msp_service_t *spec =
	    msp_find_service(get_daemon_release(daemon), request->service);
	service_dispatcher_t *service;

	if (spec == NULL) {
		refuse_proxy_request(request, MSP_E_UNKNOWN_SERVICE,
		    MSP_RUN_NOT_EXECUTED, false, 0,
		    "no such service in the release in force");
		return;
	}
	if (daemon->leaving || is_membership_paused(daemon->members)) {
		refuse_proxy_request(request, MSP_E_LEAVING,
		    MSP_RUN_NOT_EXECUTED, false, RETRY_AFTER_MS,
		    "this VM is handing its dispatchers over");
		return;
	}
	service = open_service_dispatcher(dispatchers, request->service);
	if (service == NULL) {
		refuse_proxy_request(request, MSP_E_NO_MEMORY,
		    MSP_RUN_NOT_EXECUTED, false, RETRY_AFTER_MS,
		    "no memory for a dispatcher");
		return;
	}
	if (register_nonce(dispatchers, request))
		dispatch_service_request(service, request);
}

void
receive_quarantine(dispatchers_t *dispatchers, msp_exchange_t *exchange)
{
	serve_quarantine(dispatchers->quarantine_sync, exchange);
}

void
update_dispatchers(dispatchers_t *dispatchers)
{
	size_t cursor = 0;
	void *value;

	while (msp_map_next(dispatchers->services, &cursor, NULL, &value))
		update_service_dispatcher(value);
}

/* Retires a dispatcher. It is dropped once its last request has ended. */
static void
retire_service(dispatchers_t *dispatchers, const char *name)
{
	service_dispatcher_t *service =
	    msp_map_get(dispatchers->services, name);

	msp_map_remove(dispatchers->services, service->name);
	service->retired = true;
	LIST_INSERT_HEAD(&dispatchers->retired, service, link);
	log_info("event=dispatcher-retire service=%s", service->name);
	msp_retire_dispatcher(service->dispatcher);
}

/* Whether another VM must dispatch the service, or it has been removed. */
static bool
is_unassigned(const dispatchers_t *dispatchers, const char *name)
{
	const daemon_t *daemon = dispatchers->daemon;

	return daemon->leaving || !is_assigned_here(dispatchers, name) ||
	    msp_find_service(get_daemon_release(daemon), name) == NULL;
}

static const char *
find_unassigned(const dispatchers_t *dispatchers)
{
	size_t cursor = 0;
	const char *name;
	void *value;

	while (msp_map_next(dispatchers->services, &cursor, &name, &value)) {
		if (is_unassigned(dispatchers, name))
			return name;
	}
	return NULL;
}

/*
 * Resumes a dispatcher after a pause of the process, in which another VM may
 * have dispatched requests that were claimed before the pause.
 */
static void
resume_service(dispatchers_t *dispatchers, service_dispatcher_t *service)
{
	log_warn("event=dispatcher-resumes service=%s", service->name);
	msp_record_nonce_set_pause(dispatchers->nonces);
	/* A target may have left during the pause. */
	update_service_dispatcher(service);
	msp_resume_dispatcher(service->dispatcher);
}

static void
refresh_services(dispatchers_t *dispatchers)
{
	size_t cursor = 0;
	void *value;

	while (msp_map_next(dispatchers->services, &cursor, NULL, &value)) {
		service_dispatcher_t *service = value;

		if (msp_dispatcher_is_paused(service->dispatcher))
			resume_service(dispatchers, service);
		refresh_credit_offers(service);
	}
}

static void
drop_idle_services(dispatchers_t *dispatchers)
{
	service_dispatcher_t *service, *next;

	LIST_FOREACH_SAFE(service, &dispatchers->retired, link, next) {
		if (service->active_count > 0)
			continue;
		LIST_REMOVE(service, link);
		drop_service_dispatcher(service);
	}
}

void
reassign_dispatchers(dispatchers_t *dispatchers)
{
	const char *name;

	drop_idle_services(dispatchers);
	if (is_membership_paused(dispatchers->daemon->members))
		return;
	while ((name = find_unassigned(dispatchers)) != NULL)
		retire_service(dispatchers, name);
	refresh_services(dispatchers);
}

size_t
count_dispatched_requests(const dispatchers_t *dispatchers)
{
	const service_dispatcher_t *service;
	size_t cursor = 0;
	size_t count = 0;
	void *value;

	while (msp_map_next(dispatchers->services, &cursor, NULL, &value))
		count += ((service_dispatcher_t *)value)->active_count;
	LIST_FOREACH(service, &dispatchers->retired, link)
		count += service->active_count;
	return count;
}

service_dispatcher_t *
find_service_dispatcher(const dispatchers_t *dispatchers, const char *service)
{
	return msp_map_get(dispatchers->services, service);
}

void
visit_dispatchers(
    const dispatchers_t *dispatchers, visit_dispatcher_t *visit, void *ctx)
{
	service_dispatcher_t *service;
	size_t cursor = 0;
	void *value;

	while (msp_map_next(dispatchers->services, &cursor, NULL, &value))
		visit(ctx, value);
	LIST_FOREACH(service, &dispatchers->retired, link)
		visit(ctx, service);
}
