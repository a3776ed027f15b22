#ifndef SOURCE_STEER_TARGET_H
#define SOURCE_STEER_TARGET_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/steer/dispatcher.h"

#define MSP_RECENT_LOSSES 32

/* Slots that stay empty until a point: inherited or cancelled work. */
typedef struct msp_slot_hold {
	TAILQ_ENTRY(msp_slot_hold) link;
	uint32_t count;
	msp_time_t until;
} msp_slot_hold_t;

/* An attempt whose connection broke, perhaps because the target died. */
typedef struct msp_connection_loss {
	msp_digest_t fingerprint;
	msp_time_t started;
	msp_time_t ended; /* 0: none */
} msp_connection_loss_t;

/* One target as seen by its dispatcher. */
typedef struct msp_target {
	TAILQ_ENTRY(msp_target) link;
	char *name;
	void *address;
	uint32_t slots; /* as listed */
	uint32_t reported_slots; /* the last fresh report's, if lower */
	bool listed;
	bool leaving_listed; /* by the list of targets */
	bool leaving_reported; /* by its own report */
	bool cold_reported;
	msp_time_t report_time; /* when the last report was made */
	bool in_new_list; /* scratch, while a list is taken in */
	bool ramping; /* the limit grows by one with each answer */
	double limit; /* own limit, 1 to slots */
	uint32_t in_flight; /* own attempts */
	uint32_t held; /* sum of holds */
	TAILQ_HEAD(msp_hold_list, msp_slot_hold) holds;
	msp_attempt_id_t
	    suspect_attempt; /* the suspect request it runs, or 0 */
	msp_time_t backoff_until; /* no new work before */
	msp_time_t backoff; /* next span of being closed; 0: none yet */
	msp_time_t last_shed; /* 0: never */
	msp_time_t last_response;
	msp_time_t latency; /* moving mean of whole answers; 0: none yet */
	uint32_t silent_connections; /* kept connections found silent */
	msp_time_t fresh_connections_until; /* only fresh connections before */
	msp_connection_loss_t losses[MSP_RECENT_LOSSES];
	uint32_t next_loss;
} msp_target_t;

msp_target_t *msp_new_target(const msp_target_spec_t *spec);
void msp_drop_target(msp_target_t *target);

/* Takes in a listed target's slots and state. */
void msp_update_target(msp_target_t *target, const msp_target_spec_t *spec);

bool msp_target_leaving(const msp_target_t *target);

/* Slots that may be in use now. */
uint32_t msp_target_limit(const msp_target_t *target, msp_time_t now);

/* Slots that an attempt could take now. */
uint32_t msp_target_free(const msp_target_t *target, msp_time_t now);

/* Keeps `count` slots empty until a point; without memory, none. */
void msp_hold_slots(msp_target_t *target, uint32_t count, msp_time_t until);

/* Frees the slots whose hold ended. */
void msp_release_holds(msp_target_t *target, msp_time_t now);

/* The target answered whole after `latency`. */
void msp_record_response(
    msp_target_t *target, msp_time_t now, msp_time_t latency);

/* The target shed an attempt that was started at `started`. */
void msp_record_shed(msp_target_t *target, msp_time_t now, msp_time_t started,
    msp_time_t retry_after);

/*
 * The target failed: closed for a growing span, then one slot. If it died, so
 * did the work that slots were held for.
 */
void msp_record_failure(msp_target_t *target, msp_time_t now, bool died);

/* The limit starts again at `slots` and ramps. */
void msp_ramp_target(msp_target_t *target, uint32_t slots);

#endif
