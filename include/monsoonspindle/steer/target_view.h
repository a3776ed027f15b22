#ifndef MONSOONSPINDLE_STEER_TARGET_VIEW_H
#define MONSOONSPINDLE_STEER_TARGET_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/steer/target_limit.h"
#include "monsoonspindle/steer/target_pause.h"
#include "monsoonspindle/steer/target_traffic.h"

/* Sizes of text in bytes, with the final 0. */
#define MSP_TARGET_ID_SIZE 208
#define MSP_TARGET_NAME_SIZE 128 /* name of a service or a place */
#define MSP_TARGET_ADDRESS_SIZE 48 /* IP address */

/* The state that a target publishes with each heartbeat. */
typedef struct msp_registration {
	char id[MSP_TARGET_ID_SIZE];
	char service[MSP_TARGET_NAME_SIZE];
	char place[MSP_TARGET_NAME_SIZE]; /* data centre */
	char address[MSP_TARGET_ADDRESS_SIZE]; /* IP address */
	uint16_t port;
	uint32_t slots; /* concurrent requests */
	bool draining; /* accepts no new requests and will end */
	uint32_t cold_ms; /* time left until it has warmed up */
	uint64_t sequence; /* of the heartbeat, within one incarnation */
	uint64_t incarnation; /* start of its process, ms since 1970; 0: none */
} msp_registration_t;

typedef enum msp_target_status {
	MSP_TARGET_LISTED,
	MSP_TARGET_DRAINING, /* gets no new requests */
	/*
	 * Its entry expired in an outage of the store. It stays in use until
	 * `held_until`, to wait for its next heartbeat.
	 */
	MSP_TARGET_HELD,
	MSP_TARGET_REMOVED, /* kept, so that a late row does not relist it */
} msp_target_status_t;

/* "listed", "draining", "held" or "removed". */
const char *msp_target_status_name(msp_target_status_t status);

/* One target as this VM sees it. */
typedef struct msp_view_target {
	TAILQ_ENTRY(msp_view_target) link;
	msp_registration_t registration;
	const char *region; /* of its data centre; borrowed */
	msp_target_status_t status;
	uint64_t row_version; /* of the last row applied from the store */
	msp_time_t status_changed_at;
	msp_time_t held_until; /* MSP_TARGET_HELD: when it is removed */
	msp_time_t cold_until; /* 0: not cold */
	uint32_t ref_count; /* references of the view and of requests */
	msp_target_traffic_t traffic;
	/* Of the current incarnation. */
	msp_target_limit_t limit;
	msp_target_pause_t pause;
} msp_view_target_t;

TAILQ_HEAD(msp_view_targets, msp_view_target);

typedef struct msp_target_view_callbacks {
	/* Returns the region of a data centre, or NULL if it is unknown. */
	const char *(*find_region)(void *ctx, const char *place);
	/* Called when a target is added or changes its status. May be NULL. */
	void (*on_change)(
	    void *ctx, const msp_view_target_t *target, const char *reason);
	void *ctx;
} msp_target_view_callbacks_t;

/*
 * The targets of all services, from the heartbeats in the platform's store. The
 * view never returns to an older state: rows are applied in the order of their
 * versions within an era of the store, an incarnation that was replaced is not
 * listed again, a draining one stays draining, and a removed one is listed
 * again only after a later heartbeat.
 */
typedef struct msp_target_view msp_target_view_t;

/* How long removed targets are kept. */
#define MSP_REMOVED_RETENTION (120 * MSP_SECOND)
/*
 * How long entries that expired in an outage are held after its end; targets
 * write them again within two seconds.
 */
#define MSP_LAPSED_HOLD_TIME (2200 * MSP_MS)

/* Returns NULL if out of memory. */
msp_target_view_t *msp_new_target_view(
    const msp_env_t *env, const msp_target_view_callbacks_t *callbacks);
void msp_drop_target_view(msp_target_view_t *view);

/*
 * Applies the row `id` at `version`. `registration` is NULL if the row cannot
 * be parsed: it then adds no target, and a known target stays as it was.
 */
void msp_apply_registration(msp_target_view_t *view, const char *id,
    uint64_t version, const msp_registration_t *registration);

/* Applies the removal of the row `id` at `version`. */
void msp_remove_registration(
    msp_target_view_t *view, const char *id, uint64_t version);

/*
 * Apply a snapshot of the whole table as of `version`: call begin, then
 * msp_apply_registration() for each row, then end. Targets without a row in the
 * snapshot are removed.
 */
void msp_begin_snapshot(msp_target_view_t *view);
void msp_end_snapshot(msp_target_view_t *view, uint64_t version);

/*
 * The rows that follow are of another era of the store, which has come back
 * from an older copy: their versions are in no order with those before. What
 * the targets say of themselves still is: an older heartbeat changes nothing. A
 * target without a row in the snapshot that is applied next may have been
 * forgotten, and is held until it writes its row again.
 */
void msp_begin_store_era(msp_target_view_t *view);

/*
 * Record that the store can no longer be reached, and that it can again.
 * `was_down`: it was down for targets too, so their entries may have expired.
 */
void msp_record_store_lost(msp_target_view_t *view);
void msp_record_store_recovered(msp_target_view_t *view, bool was_down);

/* Removes held targets and drops removed ones, each after its time limit. */
void msp_tick_target_view(msp_target_view_t *view);

/* Removes a target that reported another id, or that it drains. */
void msp_mark_target_removed(
    msp_target_view_t *view, msp_view_target_t *target, const char *reason);

/*
 * The target's process has said in a response that it leaves, whatever its row
 * says. It stays draining until a new process replaces it.
 */
void msp_mark_target_leaving(
    msp_target_view_t *view, msp_view_target_t *target);

/* Returns all targets, with the removed ones. */
const struct msp_view_targets *msp_view_targets(const msp_target_view_t *view);

/* Returns NULL if `id` is unknown. */
msp_view_target_t *msp_find_view_target(
    const msp_target_view_t *view, const char *id);

/* Whether the target's entry allows new requests of `service`. */
bool msp_target_is_usable(const msp_view_target_t *target, const char *service);

bool msp_target_is_cold(const msp_view_target_t *target, msp_time_t now);

/* Take and release a reference; a request holds one on its target. */
msp_view_target_t *msp_keep_view_target(msp_view_target_t *target);
void msp_release_view_target(msp_view_target_t *target);

#endif
