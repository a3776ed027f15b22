#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "claimed_requests.h"
#include "dispatchers.h"
#include "client_blocks.h"
#include "edge.h"
#include "caller_request.h"
#include "gossip.h"
#include "log.h"
#include "members.h"
#include "monsoonspindle/steer/planned_stop.h"
#include "operator_listener.h"
#include "peer_listener.h"
#include "places.h"
#include "releases.h"
#include "settings_file.h"
#include "spillover.h"
#include "proxy_codec.h"

/* Descriptors besides those of connections that the listeners accept. */
#define RESERVED_FDS 2048
/* Requests in flight to one server. */
#define PEER_CONCURRENCY 64
#define TARGET_CONCURRENCY 16 /* more than a target has slots */
#define LOAD_POLL_CONCURRENCY 2
#define STORE_CONCURRENCY 16
#define SNAPSHOT_BYTES_MAX (64 << 20) /* a release, from the store or a VM */
#define LOAD_REPORT_BYTES_MAX 4096
#define MEMORY_STORE_INTERVAL (1 * MSP_MS)
#define PAUSE_CHECK_INTERVAL (20 * MSP_MS)
#define PAUSE_THRESHOLD (200 * MSP_MS) /* between two checks */
#define LEAVE_CHECK_INTERVAL (50 * MSP_MS)
/* How edge mode divides the grace period of a stop. */
#define ACCEPT_WHILE_LEAVING_PCT 40 /* accepts new requests */
/* For answers that are written at the end of the stop. */
#define STOP_FLUSH_TIME (100 * MSP_MS)

static uint64_t
get_wall_clock_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static msp_http_client_t *
new_client(daemon_t *daemon, unsigned int concurrency, size_t max_response)
{
	msp_http_client_options_t options = {
	    .max_connections_per_server = concurrency,
	    .max_response_body = max_response};

	return msp_new_http_client(daemon->loop, &options);
}

static void
handle_memory_store_timer(void *ctx)
{
	daemon_t *daemon = ctx;

	msp_step_memory_store(daemon->memory_store);
}

/* The HTTP library reads only headers whose names were registered. */
static msp_status_t
register_headers(const msp_settings_t *settings)
{
	char names[MSP_PASS_HEADERS_SIZE];
	char *rest = names;
	char *name;
	msp_status_t status = register_internal_headers();

	memcpy(names, settings->pass_headers, sizeof(names));
	while (status == MSP_OK && (name = strsep(&rest, ", ")) != NULL) {
		if (*name != '\0')
			status = msp_register_header(name);
	}
	return status;
}

static msp_status_t
open_store(daemon_t *daemon, bool standalone)
{
	const msp_settings_platform_t *platform = &daemon->settings->platform;

	if (!standalone) {
		daemon->store_client =
		    new_client(daemon, STORE_CONCURRENCY, SNAPSHOT_BYTES_MAX);
		if (daemon->store_client == NULL)
			return MSP_E_NO_MEMORY;
		daemon->http_store = msp_new_http_store(daemon->loop,
		    daemon->store_client, platform->address, platform->port);
		if (daemon->http_store == NULL)
			return MSP_E_NO_MEMORY;
		daemon->store = msp_http_store(daemon->http_store);
		return MSP_OK;
	}
	daemon->memory_store = msp_new_memory_store(&daemon->env);
	if (daemon->memory_store == NULL)
		return MSP_E_NO_MEMORY;
	daemon->store = msp_memory_store(daemon->memory_store);
	daemon->memory_store_timer =
	    msp_new_timer(daemon->loop, MEMORY_STORE_INTERVAL,
		MEMORY_STORE_INTERVAL, handle_memory_store_timer, daemon);
	return daemon->memory_store_timer == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}

static msp_status_t
open_membership(daemon_t *daemon)
{
	daemon->gossip = new_gossip(daemon);
	if (daemon->gossip == NULL)
		return MSP_E_IO;
	daemon->members = new_members(daemon);
	return daemon->members == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}

/* Opens the components of edge mode, which sends requests to targets. */
static msp_status_t
open_edge_mode(daemon_t *daemon)
{
	msp_status_t status = open_membership(daemon);

	if (status != MSP_OK)
		return status;
	daemon->edge = new_edge(daemon);
	return daemon->edge == NULL ? MSP_E_IO : MSP_OK;
}

/* Opens the components, each after those that it depends on. */
static msp_status_t
open_components(daemon_t *daemon)
{
	msp_status_t status;

	daemon->caller_requests = new_caller_requests(daemon);
	daemon->releases = new_releases(daemon);
	if (daemon->caller_requests == NULL || daemon->releases == NULL)
		return MSP_E_NO_MEMORY;
	status = open_membership(daemon);
	if (status != MSP_OK)
		return status;
	daemon->places = new_places(daemon);
	daemon->spillover = new_spillover(daemon);
	daemon->client_blocks = new_client_blocks(daemon);
	daemon->claimed_requests = new_claimed_requests(daemon);
	daemon->dispatchers = new_dispatchers(daemon);
	if (daemon->places == NULL || daemon->spillover == NULL ||
	    daemon->client_blocks == NULL || daemon->claimed_requests == NULL ||
	    daemon->dispatchers == NULL)
		return MSP_E_NO_MEMORY;
	return MSP_OK;
}

static msp_status_t
open_listeners(daemon_t *daemon)
{
	daemon->peer_server = open_peer_listener(daemon);
	if (daemon->peer_server == NULL)
		return MSP_E_IO;
	daemon->operator_server = open_operator_listener(daemon);
	if (daemon->operator_server == NULL)
		return MSP_E_IO;
	daemon->caller_server = open_caller_listener(daemon);
	return daemon->caller_server == NULL ? MSP_E_IO : MSP_OK;
}

static void
handle_pause_check_timer(void *ctx)
{
	daemon_t *daemon = ctx;
	msp_time_t now = msp_now(&daemon->env);

	if (now > daemon->last_pause_check + PAUSE_THRESHOLD) {
		daemon->pause_began = daemon->last_pause_check;
		daemon->pause_ended = now;
	}
	daemon->last_pause_check = now;
}

msp_time_t
correct_arrival_for_pause(const daemon_t *daemon, msp_time_t read_at)
{
	if (read_at > daemon->last_pause_check + PAUSE_THRESHOLD)
		return daemon->last_pause_check;
	if (read_at < daemon->pause_ended + PAUSE_THRESHOLD &&
	    read_at > daemon->pause_began)
		return daemon->pause_began;
	return read_at;
}

static void
handle_stop_signal(void *ctx)
{
	start_leaving(ctx);
}

/* Opens the clients, components and listeners of a VM in dispatcher mode. */
static msp_status_t
open_dispatcher_mode(daemon_t *daemon, bool standalone)
{
	const msp_settings_t *settings = daemon->settings;

	daemon->peer_client =
	    new_client(daemon, PEER_CONCURRENCY, SNAPSHOT_BYTES_MAX);
	daemon->target_client = new_client(
	    daemon, TARGET_CONCURRENCY, settings->limits.max_answer_bytes);
	daemon->load_poll_client =
	    new_client(daemon, LOAD_POLL_CONCURRENCY, LOAD_REPORT_BYTES_MAX);
	daemon->pause_check_timer =
	    msp_new_timer(daemon->loop, PAUSE_CHECK_INTERVAL,
		PAUSE_CHECK_INTERVAL, handle_pause_check_timer, daemon);
	if (daemon->pause_check_timer == NULL || daemon->peer_client == NULL ||
	    daemon->target_client == NULL || daemon->load_poll_client == NULL)
		return MSP_E_NO_MEMORY;
	if (open_store(daemon, standalone) != MSP_OK ||
	    open_components(daemon) != MSP_OK)
		return MSP_E_IO;
	return open_listeners(daemon);
}

static bool
is_edge_mode(const daemon_t *daemon)
{
	return daemon->settings->edge.callers.port != 0;
}

daemon_t *
start_daemon(const msp_settings_t *settings, bool standalone)
{
	daemon_t *daemon = calloc(1, sizeof(*daemon));

	if (daemon == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for the daemon");
		return NULL;
	}
	daemon->settings = settings;
	daemon->env = msp_system_env();
	daemon->incarnation = get_wall_clock_us();
	daemon->counters = msp_new_counters();
	daemon->loop =
	    msp_new_loop(settings->limits.max_connections + RESERVED_FDS);
	if (daemon->counters == NULL || daemon->loop == NULL)
		goto fail;
	daemon->last_pause_check = msp_now(&daemon->env);
	if (register_headers(settings) != MSP_OK ||
	    (is_edge_mode(daemon)
		    ? open_edge_mode(daemon)
		    : open_dispatcher_mode(daemon, standalone)) != MSP_OK)
		goto fail;
	if (msp_watch_stop_signals(daemon->loop, handle_stop_signal, daemon) !=
	    MSP_OK)
		goto fail;
	log_info("event=started place=%s caller_port=%u peer_port=%u "
		 "operator_port=%u",
	    settings->place, settings->caller_port, settings->peer_port,
	    settings->operator_port);
	return daemon;
fail:
	drop_daemon(daemon);
	return NULL;
}

void
run_daemon(daemon_t *daemon)
{
	msp_run_loop(daemon->loop);
	log_info("event=stopped");
}

void
drop_daemon(daemon_t *daemon)
{
	if (daemon == NULL)
		return;
	msp_drop_timer(daemon->leave_timer);
	msp_drop_timer(daemon->pause_check_timer);
	msp_drop_http_server(daemon->caller_server);
	msp_drop_http_server(daemon->operator_server);
	msp_drop_http_server(daemon->peer_server);
	drop_edge(daemon->edge);
	drop_dispatchers(daemon->dispatchers);
	drop_claimed_requests(daemon->claimed_requests);
	drop_client_blocks(daemon->client_blocks);
	drop_spillover(daemon->spillover);
	drop_places(daemon->places);
	drop_gossip(daemon->gossip);
	drop_members(daemon->members);
	drop_releases(daemon->releases);
	drop_caller_requests(daemon->caller_requests);
	msp_drop_timer(daemon->memory_store_timer);
	msp_drop_http_store(daemon->http_store);
	msp_drop_memory_store(daemon->memory_store);
	msp_drop_http_client(daemon->store_client);
	msp_drop_http_client(daemon->load_poll_client);
	msp_drop_http_client(daemon->target_client);
	msp_drop_http_client(daemon->peer_client);
	drop_settings_file(daemon->settings_file);
	msp_drop_loop(daemon->loop);
	msp_drop_counters(daemon->counters);
	free(daemon);
}

/*
 * Other VMs list this one in look-ups until they learn that it is leaving, and
 * clients may use the result of a look-up until its TTL expires.
 */
static msp_time_t
get_drain_time(const daemon_t *daemon)
{
	const msp_settings_t *settings = daemon->settings;

	return (settings->drain_min_ms + settings->lookup_ttl_ms) * MSP_MS;
}

static bool
is_idle(const daemon_t *daemon)
{
	return count_caller_requests(daemon->caller_requests) == 0 &&
	    count_dispatched_requests(daemon->dispatchers) == 0 &&
	    count_claimed_requests(daemon->claimed_requests) == 0 &&
	    msp_count_open_exchanges(daemon->caller_server) == 0 &&
	    msp_count_open_exchanges(daemon->peer_server) == 0;
}

msp_time_t
get_time_until_stop(const daemon_t *daemon)
{
	msp_time_t grace = daemon->settings->edge.stop_grace_ms * MSP_MS;
	msp_time_t end =
	    daemon->leaving_since + grace - msp_stop_reserve(grace);
	msp_time_t now = msp_now(&daemon->env);

	if (!daemon->leaving)
		return MSP_NEVER;
	return now < end ? end - now : 0;
}

/*
 * Accepts new requests while clients may still have a directory entry with this
 * VM, then answers those in flight within the rest of the grace period.
 */
static void
check_edge_stop(daemon_t *daemon)
{
	const msp_settings_edge_t *edge = &daemon->settings->edge;
	msp_time_t elapsed = msp_now(&daemon->env) - daemon->leaving_since;
	msp_time_t accept_time =
	    edge->stop_grace_ms * MSP_MS * ACCEPT_WHILE_LEAVING_PCT / 100;

	if (elapsed < accept_time)
		return;
	close_edge_listener(daemon->edge);
	if (get_time_until_stop(daemon) <= STOP_FLUSH_TIME)
		refuse_unsent_requests(daemon->edge);
	if (count_edge_requests(daemon->edge) == 0 ||
	    get_time_until_stop(daemon) == 0)
		msp_stop_loop(daemon->loop);
}

static void
handle_leave_timer(void *ctx)
{
	daemon_t *daemon = ctx;

	if (daemon->edge != NULL) {
		check_edge_stop(daemon);
		return;
	}
	if (msp_now(&daemon->env) <
	    daemon->leaving_since + get_drain_time(daemon))
		return;
	msp_close_http_listener(daemon->caller_server);
	if (is_idle(daemon))
		msp_stop_loop(daemon->loop);
}

void
start_leaving(daemon_t *daemon)
{
	if (daemon->leaving)
		return;
	daemon->leaving = true;
	daemon->leaving_since = msp_now(&daemon->env);
	log_info("event=leaving");
	msp_leave_membership(get_membership(daemon->members));
	if (daemon->edge != NULL)
		drain_edge(daemon->edge);
	else
		reassign_dispatchers(daemon->dispatchers);
	daemon->leave_timer = msp_new_timer(daemon->loop, LEAVE_CHECK_INTERVAL,
	    LEAVE_CHECK_INTERVAL, handle_leave_timer, daemon);
}

static void
handle_settings_change(void *ctx)
{
	daemon_t *daemon = ctx;

	daemon->settings = get_current_settings(daemon->settings_file);
	if (daemon->edge != NULL)
		reload_edge(daemon->edge);
}

msp_status_t
watch_settings_file(daemon_t *daemon, const char *path)
{
	daemon->settings_file = new_settings_file(daemon->loop, path,
	    daemon->settings, handle_settings_change, daemon);
	return daemon->settings_file == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}

bool
is_daemon_ready(const daemon_t *daemon)
{
	return has_release(daemon->releases);
}

const msp_release_t *
get_daemon_release(const daemon_t *daemon)
{
	return get_current_release(daemon->releases);
}
