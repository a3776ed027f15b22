#ifndef MONSOONSPINDLE_STEER_QUARANTINE_H
#define MONSOONSPINDLE_STEER_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/hash.h"

/*
 * Remembers requests, by fingerprint, that were in flight on a target when it
 * died; each such event is a strike. A request with one strike is suspect, with
 * two it is quarantined, and a complete response clears it. When the list is
 * full, the entry that expires first is replaced.
 */
typedef struct msp_quarantine_list msp_quarantine_list_t;

typedef enum msp_suspicion {
	MSP_SUSPICION_NONE,
	MSP_SUSPICION_SUSPECT, /* one strike */
	MSP_SUSPICION_QUARANTINED /* two strikes or more */
} msp_suspicion_t;

/* One quarantined request, as sent to other dispatchers. */
typedef struct msp_quarantine_record {
	msp_digest_t fingerprint;
	msp_time_t remaining; /* time until it expires */
} msp_quarantine_record_t;

#define MSP_QUARANTINE_TIME (5 * MSP_MINUTE)
#define MSP_SUSPECT_TIME MSP_MINUTE
#define MSP_QUARANTINE_ENTRIES_MAX 1024

/* Returns NULL if out of memory. `env` is copied. */
msp_quarantine_list_t *msp_new_quarantine_list(const msp_env_t *env);
void msp_drop_quarantine_list(msp_quarantine_list_t *list);

/*
 * Adds a strike for an attempt that ran from `started` until its target died
 * at `ended`. An attempt that started before the last strike does not count: it
 * belongs to the same event, such as the loss of a whole place. The all-zero
 * fingerprint never gets strikes. Returns whether the strike counted.
 */
bool msp_add_strike(msp_quarantine_list_t *list, msp_digest_t fingerprint,
    msp_time_t started, msp_time_t ended);

/* When an attempt was sent, and when its target died. */
typedef struct msp_strike_times {
	msp_time_t started;
	msp_time_t ended;
} msp_strike_times_t;

/*
 * Sets what all strikes of a request that are known, sorted by their ends, come
 * to; the order in which they became known makes no difference. The time until
 * the entry expires counts from the end of the last strike. An entry never
 * becomes weaker, since earlier strikes may have been forgotten.
 */
void msp_set_strikes(msp_quarantine_list_t *list, msp_digest_t fingerprint,
    const msp_strike_times_t *strikes, size_t count);

/* Removes the strikes of a request that got a complete response. */
void msp_clear_strikes(msp_quarantine_list_t *list, msp_digest_t fingerprint);

/* `remaining` is set to the time until the entry expires; may be NULL. */
msp_suspicion_t msp_check_suspicion(const msp_quarantine_list_t *list,
    msp_digest_t fingerprint, msp_time_t *remaining);

/* Whether any request is that suspicious, or more. */
bool msp_has_suspicion(
    const msp_quarantine_list_t *list, msp_suspicion_t suspicion);

/*
 * Copies up to `max` quarantined requests and returns their number. Imported
 * ones are left out, so that VMs do not keep refreshing each other's entries.
 */
size_t msp_export_quarantine(const msp_quarantine_list_t *list,
    msp_quarantine_record_t *out, size_t max);

/* Adds records of another dispatcher, for MSP_QUARANTINE_TIME at most. */
void msp_import_quarantine(msp_quarantine_list_t *list,
    const msp_quarantine_record_t *records, size_t count);

#endif
