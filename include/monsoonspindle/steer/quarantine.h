#ifndef MONSOONSPINDLE_STEER_QUARANTINE_H
#define MONSOONSPINDLE_STEER_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/hash.h"

/*
 * Remembers requests, by fingerprint, that were in flight on a target when it
 * died. One strike makes a request a suspect, two put it in quarantine; a
 * whole answer clears it. Bounded: when full, the oldest entry goes.
 */
typedef struct msp_quarantine_list msp_quarantine_list_t;

typedef enum msp_suspicion {
	MSP_SUSPICION_NONE,
	MSP_SUSPICION_SUSPECT, /* one strike */
	MSP_SUSPICION_QUARANTINED /* two strikes or more */
} msp_suspicion_t;

/* One quarantined request, as told to other dispatchers. */
typedef struct msp_quarantine_record {
	msp_digest_t fingerprint;
	msp_time_t remaining; /* a span */
} msp_quarantine_record_t;

#define MSP_QUARANTINE_TIME (5 * MSP_MINUTE)
#define MSP_SUSPECT_TIME MSP_MINUTE
#define MSP_QUARANTINE_ENTRIES_MAX 1024

/* Returns NULL without memory. `env` is copied. */
msp_quarantine_list_t *msp_new_quarantine_list(const msp_env_t *env);
void msp_drop_quarantine_list(msp_quarantine_list_t *list);

/*
 * Gives a strike for an attempt that ran from `started` until its target died
 * at `ended`. One that started before the last strike gives none: it belongs
 * to the same event, as when a whole place is lost. The all-zero fingerprint is
 * never struck. Returns whether the strike counted.
 */
bool msp_add_strike(msp_quarantine_list_t *list, msp_digest_t fingerprint,
    msp_time_t started, msp_time_t ended);

/* Forgets all strikes of a request that got its whole answer. */
void msp_clear_strikes(msp_quarantine_list_t *list, msp_digest_t fingerprint);

/* `remaining` may be NULL; it gets the time until the entry lapses. */
msp_suspicion_t msp_check_suspicion(const msp_quarantine_list_t *list,
    msp_digest_t fingerprint, msp_time_t *remaining);

/*
 * Copies up to `max` quarantined requests and returns their number. Only those
 * found here are listed, so that lists passed around do not keep each other
 * alive.
 */
size_t msp_export_quarantine(const msp_quarantine_list_t *list,
    msp_quarantine_record_t *out, size_t max);

/* Takes in what another dispatcher found; spans past the bound are cut. */
void msp_import_quarantine(msp_quarantine_list_t *list,
    const msp_quarantine_record_t *records, size_t count);

#endif
