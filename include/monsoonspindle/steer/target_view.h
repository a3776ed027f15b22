#ifndef MONSOONSPINDLE_STEER_TARGET_VIEW_H
#define MONSOONSPINDLE_STEER_TARGET_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/steer/target_traffic.h"

#define MSP_TARGET_ID_SIZE 208 /* bytes, with the final 0 */
#define MSP_TARGET_NAME_SIZE 128 /* bytes of a service's or place's name */
#define MSP_TARGET_ADDRESS_SIZE 48 /* an IP number as text */

/* What a target says of itself in its heartbeats. */
typedef struct msp_registration {
	char id[MSP_TARGET_ID_SIZE];
	char service[MSP_TARGET_NAME_SIZE];
	char place[MSP_TARGET_NAME_SIZE]; /* data centre */
	char address[MSP_TARGET_ADDRESS_SIZE]; /* IP number */
	uint16_t port;
	uint32_t slots; /* requests that it works on at a time */
	bool draining; /* takes nothing new and will end */
	uint32_t cold_ms; /* how much longer it is cold */
	uint64_t sequence; /* of the heartbeat, within one incarnation */
	uint64_t incarnation; /* start of its process, ms since 1970; 0: none */
} msp_registration_t;

typedef enum msp_target_status {
	MSP_TARGET_LISTED,
	MSP_TARGET_DRAINING, /* gets nothing new */
	/*
	 * Its entry is missing since an outage of the store, in which entries
	 * lapse. It stays in use until its time to come back has passed.
	 */
	MSP_TARGET_HELD,
	MSP_TARGET_REMOVED, /* remembered, so that it isn't listed again */
} msp_target_status_t;

/* "listed", "draining", "held" or "removed". */
const char *msp_target_status_name(msp_target_status_t status);

/* One target as this VM sees it. */
typedef struct msp_view_target {
	TAILQ_ENTRY(msp_view_target) link;
	msp_registration_t registration;
	const char *region; /* of its data centre; borrowed */
	msp_target_status_t status;
	uint64_t row_version; /* of the store's row that said so */
	msp_time_t
	    status_changed_at; /* when this view last changed its status */
	msp_time_t held_until; /* held: then it counts as removed */
	msp_time_t cold_until; /* 0: not cold */
	uint32_t ref_count; /* requests that hold it in memory */
	msp_target_traffic_t traffic;
} msp_view_target_t;

TAILQ_HEAD(msp_view_targets, msp_view_target);

typedef struct msp_target_view_callbacks {
	/* The region of a data centre, or NULL if there is no such place. */
	const char *(*find_region)(void *ctx, const char *place);
	/* A target was added, removed, or changed its status. May be NULL. */
	void (*on_change)(
	    void *ctx, const msp_view_target_t *target, const char *why);
	void *ctx;
} msp_target_view_callbacks_t;

/*
 * The targets of all services, from the heartbeats in the platform's store.
 * Within a process the view never goes back: each row is taken in the order of
 * its version, an incarnation that was followed by another is not taken up
 * again, and neither is one that drains or was removed unless a later
 * heartbeat of it says so.
 */
typedef struct msp_target_view msp_target_view_t;

/* How long removed targets are remembered. */
#define MSP_REMOVED_RETENTION (120 * MSP_SECOND)
/* Entries that lapsed in an outage are back within two seconds of its end. */
#define MSP_LAPSED_HOLD_TIME (2200 * MSP_MS)

/* Returns NULL without memory. */
msp_target_view_t *msp_new_target_view(
    const msp_env_t *env, const msp_target_view_callbacks_t *callbacks);
void msp_drop_target_view(msp_target_view_t *view);

/*
 * The row `id` is at `version`. `registration` is NULL if the row can't be
 * read; then it names no target to use, and one that is known stays as it was.
 */
void msp_apply_registration(msp_target_view_t *view, const char *id,
    uint64_t version, const msp_registration_t *registration);

/* The row `id` was removed at `version`. */
void msp_remove_registration(
    msp_target_view_t *view, const char *id, uint64_t version);

/*
 * The whole table was read as of `version`: call begin, then
 * msp_apply_registration() for each row, then end. What was not there is
 * removed.
 */
void msp_begin_snapshot(msp_target_view_t *view);
void msp_end_snapshot(msp_target_view_t *view, uint64_t version);

/*
 * It is not known how the store is, and known once more. `was_down`: it was
 * away for targets too, whose entries may have lapsed.
 */
void msp_record_store_lost(msp_target_view_t *view);
void msp_record_store_recovered(msp_target_view_t *view, bool was_down);

/* Removes held targets whose time has passed and forgets removed ones. */
void msp_tick_target_view(msp_target_view_t *view);

/* A target said that it is not `id`, or that it drains: believed at once. */
void msp_mark_target_removed(
    msp_target_view_t *view, msp_view_target_t *target, const char *why);

/* All targets, the removed ones too. */
const struct msp_view_targets *msp_view_targets(const msp_target_view_t *view);

/* NULL if it is not known. */
msp_view_target_t *msp_find_view_target(
    const msp_target_view_t *view, const char *id);

/* Whether it may get new requests, as far as its entry tells. */
bool msp_target_is_usable(const msp_view_target_t *target, const char *service);

bool msp_target_is_cold(const msp_view_target_t *target, msp_time_t now);

/* Keeps a target in memory while a request refers to it. */
msp_view_target_t *msp_keep_view_target(msp_view_target_t *target);
void msp_release_view_target(msp_view_target_t *target);

#endif
