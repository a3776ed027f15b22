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

/* One running VM: what its parts share. Each part is in a file of its own. */
typedef struct daemon {
	const msp_settings_t *settings; /* in force */
	struct settings_file *settings_file; /* NULL: they never change */
	msp_env_t env;
	msp_loop_t *loop;
	msp_counters_t *counters;
	uint64_t incarnation; /* wall clock at the start, in microseconds */

	msp_http_client_t *peer_client;
	msp_http_client_t *target_client;
	msp_http_client_t *load_poll_client; /* load reports of targets */
	msp_http_client_t *store_client;
	msp_http_store_t *http_store;
	msp_memory_store_t *memory_store; /* with --standalone */
	msp_timer_t *store_timer;
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
	struct edge *edge; /* NULL: run by release notes and dispatchers */

	msp_http_server_t *caller_server;
	msp_http_server_t *peer_server;
	msp_http_server_t *operator_server;

	msp_time_t last_pause_check; /* of a short timer: a gap is a pause */
	msp_time_t pause_began;
	msp_time_t pause_ended;
	msp_timer_t *pause_check_timer;
	bool leaving;
	msp_time_t leaving_since;
	msp_timer_t *leave_timer;
} daemon_t;

/*
 * Starts a VM from checked settings, which must outlive it. With `standalone`
 * the platform is held in memory. Returns NULL with a last message.
 */
daemon_t *start_daemon(const msp_settings_t *settings, bool standalone);

/*
 * Reads the settings anew from `path` on SIGHUP, and when the file has changed.
 * What is not valid is logged and left.
 */
msp_status_t watch_settings_file(daemon_t *daemon, const char *path);

/* Runs until a stop signal has been served in full. */
void run_daemon(daemon_t *daemon);
void drop_daemon(daemon_t *daemon);

/*
 * Starts a planned stop: leaves the look-ups, hands dispatching over, serves
 * until clients have stopped asking and nothing is in flight, then ends the
 * loop. Later calls do nothing.
 */
void start_leaving(daemon_t *daemon);

/* Whether the VM has a release to serve by. */
bool is_daemon_ready(const daemon_t *daemon);

/*
 * When a request that was read at `read` arrived at the latest: one that is
 * read just after a pause of the process may have come at its beginning.
 */
msp_time_t correct_arrival_for_pause(const daemon_t *daemon, msp_time_t read);

/* The release in force; never NULL. Borrowed. */
const msp_release_t *get_daemon_release(const daemon_t *daemon);

#endif
