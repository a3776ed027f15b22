#ifndef SPINDLED_DAEMON_H
#define SPINDLED_DAEMON_H

#include "monsoonspindle/base.h"
#include "monsoonspindle/config/release.h"
#include "monsoonspindle/config/settings.h"
#include "monsoonspindle/net.h"
#include "monsoonspindle/platform/http_store.h"
#include "monsoonspindle/platform/memory_store.h"
#include "monsoonspindle/platform/store.h"

struct gossip;
struct members;
struct releases;
struct claimed_requests;
struct dispatchers;
struct caller_requests;
struct places;
struct spillover;
struct client_blocks;
struct edge;
struct settings_file;

/*
 * The state of a running VM that its components share. Each component has a
 * source file of its own.
 */
typedef struct daemon {
	const msp_settings_t *settings; /* in force */
	struct settings_file *settings_file; /* NULL: not watched for changes */
	msp_env_t env;
	msp_loop_t *loop;
	msp_counters_t *counters;
	uint64_t incarnation; /* wall clock time at start, in us */

	msp_http_client_t *peer_client;
	msp_http_client_t *target_client;
	msp_http_client_t *load_poll_client; /* polls load reports of targets */
	msp_http_client_t *store_client;
	msp_http_store_t *http_store;
	msp_memory_store_t *memory_store; /* NULL without --standalone */
	msp_timer_t *memory_store_timer;
	msp_store_t store;

	struct gossip *gossip;
	struct members *members;
	struct releases *releases;
	struct claimed_requests *claimed_requests;
	struct dispatchers *dispatchers;
	struct caller_requests *caller_requests;
	struct places *places;
	struct spillover *spillover;
	struct client_blocks *client_blocks;
	struct edge *edge; /* NULL: dispatcher mode, configured by releases */

	msp_http_server_t *caller_server;
	msp_http_server_t *peer_server;
	msp_http_server_t *operator_server;

	/*
	 * The process was paused if the time between two runs of
	 * `pause_check_timer` is too long.
	 */
	msp_time_t last_pause_check;
	msp_time_t pause_began; /* of the last pause */
	msp_time_t pause_ended;
	msp_timer_t *pause_check_timer;
	bool leaving;
	msp_time_t leaving_since;
	msp_timer_t *leave_timer;
} daemon_t;

/*
 * Starts a VM with valid settings, which must outlive it. `standalone` replaces
 * the platform's store by one in memory. Returns NULL with a last message.
 */
daemon_t *start_daemon(const msp_settings_t *settings, bool standalone);

/*
 * Reloads the settings from `path` on SIGHUP and when the file has changed.
 * Settings that are not valid are logged and ignored.
 */
msp_status_t watch_settings_file(daemon_t *daemon, const char *path);

/* Runs the event loop until the VM has stopped. */
void run_daemon(daemon_t *daemon);
void drop_daemon(daemon_t *daemon);

/*
 * Starts a graceful stop: other VMs stop listing this one in look-ups and take
 * over its dispatchers. Requests are accepted until clients should have learnt
 * of it; the event loop ends when none is in flight. Later calls do nothing.
 */
void start_leaving(daemon_t *daemon);

/* Whether the VM has loaded a release. */
bool is_daemon_ready(const daemon_t *daemon);

/*
 * Time until a VM in edge mode that is leaving breaks off what is in progress;
 * MSP_NEVER if it is not leaving.
 */
msp_time_t get_time_until_stop(const daemon_t *daemon);

/*
 * Returns the earliest time at which a request that was read at `read_at` may
 * have arrived. One that is read just after a pause of the process may have
 * waited in the socket since the pause began.
 */
msp_time_t correct_arrival_for_pause(
    const daemon_t *daemon, msp_time_t read_at);

/* The release in force, borrowed; never NULL. */
const msp_release_t *get_daemon_release(const daemon_t *daemon);

#endif
