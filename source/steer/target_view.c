#include "monsoonspindle/steer/target_view.h"

#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/map.h"

struct msp_target_view {
	msp_env_t env;
	msp_target_view_callbacks_t callbacks;
	struct msp_view_targets targets;
	msp_map_t *by_id;
	msp_time_t store_lost; /* when it was lost; 0: it is available */
	msp_time_t store_recovered; /* end of the last outage; 0: none */
	msp_time_t era_began; /* of the store, as known here; 0: the first */
	bool in_snapshot;
	uint32_t snapshot;
	msp_map_t *seen; /* targets in the current snapshot, by id */
};

static const char *const status_names[] = {
    [MSP_TARGET_LISTED] = "listed",
    [MSP_TARGET_DRAINING] = "draining",
    [MSP_TARGET_HELD] = "held",
    [MSP_TARGET_REMOVED] = "removed",
};

const char *
msp_target_status_name(msp_target_status_t status)
{
	return status_names[status];
}

msp_target_view_t *
msp_new_target_view(
    const msp_env_t *env, const msp_target_view_callbacks_t *callbacks)
{
	msp_target_view_t *view = calloc(1, sizeof(*view));

	if (view == NULL)
		return NULL;
	view->env = *env;
	view->callbacks = *callbacks;
	TAILQ_INIT(&view->targets);
	view->by_id = msp_new_map();
	if (view->by_id == NULL) {
		free(view);
		return NULL;
	}
	return view;
}

msp_view_target_t *
msp_keep_view_target(msp_view_target_t *target)
{
	target->ref_count++;
	return target;
}

void
msp_release_view_target(msp_view_target_t *target)
{
	if (target != NULL && --target->ref_count == 0)
		free(target);
}

void
msp_drop_target_view(msp_target_view_t *view)
{
	msp_view_target_t *target;

	if (view == NULL)
		return;
	while ((target = TAILQ_FIRST(&view->targets)) != NULL) {
		TAILQ_REMOVE(&view->targets, target, link);
		msp_release_view_target(target);
	}
	msp_drop_map(view->by_id);
	msp_drop_map(view->seen);
	free(view);
}

static void
set_status(msp_target_view_t *view, msp_view_target_t *target,
    msp_target_status_t status, const char *reason)
{
	target->status = status;
	target->status_changed_at = msp_now(&view->env);
	if (view->callbacks.on_change != NULL)
		view->callbacks.on_change(view->callbacks.ctx, target, reason);
}

static msp_view_target_t *
add_target(msp_target_view_t *view, const char *id)
{
	msp_view_target_t *target = calloc(1, sizeof(*target));

	if (target == NULL)
		return NULL;
	target->ref_count = 1;
	if (msp_map_put(view->by_id, id, target) != MSP_OK) {
		free(target);
		return NULL;
	}
	TAILQ_INSERT_TAIL(&view->targets, target, link);
	return target;
}

static void
drop_target(msp_target_view_t *view, msp_view_target_t *target)
{
	TAILQ_REMOVE(&view->targets, target, link);
	msp_map_remove(view->by_id, target->registration.id);
	msp_release_view_target(target);
}

static void
set_cold(msp_target_view_t *view, msp_view_target_t *target)
{
	uint32_t cold_ms = target->registration.cold_ms;

	target->cold_until =
	    cold_ms == 0 ? 0 : msp_now(&view->env) + cold_ms * MSP_MS;
}

/* Registers an unknown target, or a new process under a known id. */
static void
start_incarnation(msp_target_view_t *view, msp_view_target_t *target,
    const msp_registration_t *registration, const char *region)
{
	target->registration = *registration;
	target->region = region;
	target->traffic = (msp_target_traffic_t){0};
	target->limit = (msp_target_limit_t){0};
	target->pause = (msp_target_pause_t){0};
	set_cold(view, target);
	set_status(view, target,
	    registration->draining ? MSP_TARGET_DRAINING : MSP_TARGET_LISTED,
	    "registered");
}

/* Applies a later heartbeat of the same process. */
static void
apply_heartbeat(msp_target_view_t *view, msp_view_target_t *target,
    const msp_registration_t *registration, const char *region)
{
	bool drained = target->registration.draining;
	bool was_removed = target->status == MSP_TARGET_REMOVED;
	uint32_t old_cold = target->registration.cold_ms;

	target->registration = *registration;
	target->region = region;
	/* Once a process drains, it stays draining. */
	target->registration.draining = drained || registration->draining;
	if (registration->cold_ms != 0 || old_cold != 0)
		set_cold(view, target);
	if (was_removed)
		target->traffic = (msp_target_traffic_t){0};
	if (target->registration.draining) {
		if (target->status != MSP_TARGET_DRAINING)
			set_status(
			    view, target, MSP_TARGET_DRAINING, "heartbeat");
	} else if (target->status != MSP_TARGET_LISTED) {
		set_status(view, target, MSP_TARGET_LISTED, "heartbeat");
	}
}

static bool
is_same_process(
    const msp_registration_t *known, const msp_registration_t *registration)
{
	return known->incarnation == registration->incarnation &&
	    strcmp(known->service, registration->service) == 0 &&
	    strcmp(known->address, registration->address) == 0 &&
	    known->port == registration->port;
}

static void
mark_seen(msp_target_view_t *view, const char *id, msp_view_target_t *target)
{
	if (view->in_snapshot && view->seen != NULL)
		msp_map_put(view->seen, id, target);
}

void
msp_apply_registration(msp_target_view_t *view, const char *id,
    uint64_t version, const msp_registration_t *registration)
{
	msp_view_target_t *target = msp_map_get(view->by_id, id);
	const msp_registration_t *known;
	const char *region = NULL;

	if (target != NULL)
		mark_seen(view, id, target);
	if (registration != NULL)
		region = view->callbacks.find_region(
		    view->callbacks.ctx, registration->place);
	if (target != NULL && version <= target->row_version)
		return;
	if (target != NULL)
		target->row_version = version;
	if (region == NULL)
		return;
	if (target == NULL) {
		target = add_target(view, id);
		if (target == NULL)
			return;
		mark_seen(view, id, target);
		target->row_version = version;
		start_incarnation(view, target, registration, region);
		return;
	}
	known = &target->registration;
	if (registration->incarnation < known->incarnation)
		return;
	if (!is_same_process(known, registration)) {
		start_incarnation(view, target, registration, region);
		return;
	}
	if (registration->sequence < known->sequence ||
	    (registration->sequence == known->sequence &&
		target->status == MSP_TARGET_REMOVED))
		return;
	apply_heartbeat(view, target, registration, region);
}

/* The last time at which the store was back after it may have lost entries. */
static msp_time_t
get_recovery_time(const msp_target_view_t *view)
{
	return view->era_began > view->store_recovered ? view->era_began
						       : view->store_recovered;
}

/* Whether entries may be missing while their targets are still running. */
static bool
is_recovering(const msp_target_view_t *view, msp_time_t now)
{
	msp_time_t recovered = get_recovery_time(view);

	return view->store_lost != 0 ||
	    (recovered != 0 && now < recovered + MSP_LAPSED_HOLD_TIME);
}

static void
handle_missing_entry(
    msp_target_view_t *view, msp_view_target_t *target, uint64_t version)
{
	msp_time_t now = msp_now(&view->env);

	if (version <= target->row_version ||
	    target->status == MSP_TARGET_REMOVED ||
	    target->status == MSP_TARGET_HELD)
		return;
	target->row_version = version;
	if (target->status == MSP_TARGET_LISTED && is_recovering(view, now)) {
		target->held_until = view->store_lost != 0
		    ? MSP_NEVER
		    : get_recovery_time(view) + MSP_LAPSED_HOLD_TIME;
		set_status(view, target, MSP_TARGET_HELD, "entry-lapsed");
		return;
	}
	set_status(view, target, MSP_TARGET_REMOVED, "entry-removed");
}

void
msp_remove_registration(
    msp_target_view_t *view, const char *id, uint64_t version)
{
	msp_view_target_t *target = msp_map_get(view->by_id, id);

	if (target != NULL)
		handle_missing_entry(view, target, version);
}

void
msp_begin_snapshot(msp_target_view_t *view)
{
	msp_drop_map(view->seen);
	view->seen = msp_new_map();
	view->in_snapshot = true;
}

void
msp_end_snapshot(msp_target_view_t *view, uint64_t version)
{
	msp_view_target_t *target;

	view->in_snapshot = false;
	if (view->seen == NULL)
		return;
	TAILQ_FOREACH(target, &view->targets, link) {
		if (msp_map_get(view->seen, target->registration.id) == NULL)
			handle_missing_entry(view, target, version);
	}
	msp_drop_map(view->seen);
	view->seen = NULL;
}

void
msp_begin_store_era(msp_target_view_t *view)
{
	msp_view_target_t *target;

	view->era_began = msp_now(&view->env);
	TAILQ_FOREACH(target, &view->targets, link)
		target->row_version = 0;
}

void
msp_record_store_lost(msp_target_view_t *view)
{
	if (view->store_lost == 0)
		view->store_lost = msp_now(&view->env);
}

void
msp_record_store_recovered(msp_target_view_t *view, bool was_down)
{
	msp_time_t now = msp_now(&view->env);
	msp_view_target_t *target;

	if (view->store_lost == 0)
		return;
	view->store_lost = 0;
	view->store_recovered = was_down ? now : 0;
	TAILQ_FOREACH(target, &view->targets, link) {
		if (target->status == MSP_TARGET_HELD)
			target->held_until = is_recovering(view, now)
			    ? get_recovery_time(view) + MSP_LAPSED_HOLD_TIME
			    : now;
	}
}

void
msp_tick_target_view(msp_target_view_t *view)
{
	msp_time_t now = msp_now(&view->env);
	msp_view_target_t *target;
	msp_view_target_t *next;

	TAILQ_FOREACH_SAFE(target, &view->targets, link, next) {
		if (target->status == MSP_TARGET_HELD &&
		    now >= target->held_until)
			set_status(view, target, MSP_TARGET_REMOVED,
			    "not-back-in-time");
		if (target->status == MSP_TARGET_REMOVED &&
		    now >= target->status_changed_at + MSP_REMOVED_RETENTION &&
		    !msp_target_is_paused(&target->pause, now))
			drop_target(view, target);
	}
}

void
msp_mark_target_removed(
    msp_target_view_t *view, msp_view_target_t *target, const char *reason)
{
	if (target->status == MSP_TARGET_LISTED ||
	    target->status == MSP_TARGET_HELD)
		set_status(view, target, MSP_TARGET_REMOVED, reason);
}

void
msp_mark_target_leaving(msp_target_view_t *view, msp_view_target_t *target)
{
	target->registration.draining = true;
	if (target->status == MSP_TARGET_LISTED ||
	    target->status == MSP_TARGET_HELD)
		set_status(view, target, MSP_TARGET_DRAINING, "response");
}

const struct msp_view_targets *
msp_view_targets(const msp_target_view_t *view)
{
	return &view->targets;
}

msp_view_target_t *
msp_find_view_target(const msp_target_view_t *view, const char *id)
{
	return msp_map_get(view->by_id, id);
}

bool
msp_target_is_usable(const msp_view_target_t *target, const char *service)
{
	return (target->status == MSP_TARGET_LISTED ||
		   target->status == MSP_TARGET_HELD) &&
	    strcmp(target->registration.service, service) == 0;
}

bool
msp_target_is_cold(const msp_view_target_t *target, msp_time_t now)
{
	return target->cold_until != 0 && now < target->cold_until;
}
