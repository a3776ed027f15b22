#ifndef SOURCE_STEER_TARGET_H
#define SOURCE_STEER_TARGET_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/steer/dispatcher.h"

#define MSP_RECENT_LOSSES 32

/* Slots kept empty for inherited or cancelled attempts that may still run. */
typedef struct msp_slot_hold {
	TAILQ_ENTRY(msp_slot_hold) link;
	uint32_t count;
	msp_time_t until;
} msp_slot_hold_t;

/* An attempt whose connection was lost, perhaps because the target died. */
typedef struct msp_connection_loss {
	msp_digest_t fingerprint;
	msp_time_t started;
	msp_time_t ended; /* 0: unused */
} msp_connection_loss_t;

/* The dispatcher's state of one target. */
typedef struct msp_target {
	TAILQ_ENTRY(msp_target) link;
	char *name;
	void *address;
	uint32_t slots; /* as listed */
	uint32_t reported_slots; /* by the last recent report, if lower */
	bool listed;
	bool leaving_listed; /* leaving by the list of targets */
	bool leaving_reported; /* leaving by its own report */
	bool cold_reported;
	msp_time_t report_time; /* when the last report was made */
	bool in_new_list; /* temporary mark while a list is applied */
	bool ramping; /* the limit grows by one with each response */
	double limit; /* adaptive concurrency limit, 1 to slots */
	uint32_t in_flight; /* attempts */
	uint32_t held; /* slots in `holds` */
	TAILQ_HEAD(msp_hold_list, msp_slot_hold) holds;
	msp_attempt_id_t suspect_attempt; /* of a suspect request; 0: none */
	msp_time_t backoff_until; /* no new requests before */
	msp_time_t backoff; /* length of the last backoff; 0: none yet */
	msp_time_t last_shed; /* 0: never */
	msp_time_t last_response;
	msp_time_t latency; /* moving mean; 0: no response yet */
	uint32_t silent_connections; /* reused ones that timed out */
	msp_time_t fresh_connections_until; /* reuse no connection before */
	msp_connection_loss_t losses[MSP_RECENT_LOSSES]; /* ring */
	uint32_t next_loss; /* index of the next entry to overwrite */
} msp_target_t;

msp_target_t *msp_new_target(const msp_target_spec_t *spec);
void msp_drop_target(msp_target_t *target);

/* Applies the slots and state of the list. */
void msp_update_target(msp_target_t *target, const msp_target_spec_t *spec);

bool msp_target_is_leaving(const msp_target_t *target);

/* Number of slots that may be in use now; 0 if it accepts no requests. */
uint32_t msp_target_limit(const msp_target_t *target, msp_time_t now);

/* Number of slots that are free for new attempts. */
uint32_t msp_target_free(const msp_target_t *target, msp_time_t now);

/* Keeps `count` slots empty until a time; does nothing if out of memory. */
void msp_hold_slots(msp_target_t *target, uint32_t count, msp_time_t until);

/* Frees the slots whose hold has ended. */
void msp_release_holds(msp_target_t *target, msp_time_t now);

/* Records a complete response after `latency`. */
void msp_record_response(
    msp_target_t *target, msp_time_t now, msp_time_t latency);

/* Records that the target shed an attempt started at `started`. */
void msp_record_shed(msp_target_t *target, msp_time_t now, msp_time_t started,
    msp_time_t retry_after);

/*
 * Records a failure: the target gets no requests for an exponential backoff,
 * and then restarts with a limit of one slot. If it died, its held slots are
 * freed, because the attempts on them ended with it.
 */
void msp_record_failure(msp_target_t *target, msp_time_t now, bool died);

/* Restarts the limit at `slots`, to grow by one with each response. */
void msp_ramp_target(msp_target_t *target, uint32_t slots);

#endif
