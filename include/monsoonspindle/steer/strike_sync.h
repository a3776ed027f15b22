#ifndef MONSOONSPINDLE_STEER_STRIKE_SYNC_H
#define MONSOONSPINDLE_STEER_STRIKE_SYNC_H

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/steer/quarantine.h"

/*
 * Shares strikes among VMs, so that a request that crashes targets is
 * quarantined on all VMs after the second crash, whichever VMs received it, and
 * also on a VM that starts later. The owner sends new strikes to every other VM
 * at once, all that are in force to a VM that asks as it starts, and those of
 * quarantined requests to one VM from time to time, so that those that missed
 * them get them. Merging is idempotent, and the order in which strikes are
 * received makes no difference.
 *
 * A message has one line per strike: the fingerprint (32 hex digits), the id of
 * the strike (16 hex digits), and how long ago the attempt started and ended
 * (us).
 */
typedef struct msp_strike_sync msp_strike_sync_t;

#define MSP_STRIKES_PER_MESSAGE_MAX 16
#define MSP_STRIKE_MESSAGE_MAX 2048 /* bytes */
#define MSP_STRIKES_KNOWN_MAX 256 /* the oldest are forgotten first */
#define MSP_KNOWN_STRIKES_TEXT_MAX (32 * 1024) /* bytes */

/*
 * `list` is borrowed and must outlive the object; `env` is copied. Returns NULL
 * if out of memory.
 */
msp_strike_sync_t *msp_new_strike_sync(
    const msp_env_t *env, msp_quarantine_list_t *list);
void msp_drop_strike_sync(msp_strike_sync_t *sync);

/* Adds a strike found on this VM to the list and queues it for sending. */
void msp_add_local_strike(msp_strike_sync_t *sync, msp_digest_t fingerprint,
    msp_time_t started, msp_time_t ended);

/*
 * Appends the unsent strikes to `out`, empties the queue and returns the number
 * of lines. Strikes of requests that got a complete response since are left
 * out. Of those found between two calls, only the first
 * MSP_STRIKES_PER_MESSAGE_MAX are queued.
 */
size_t msp_encode_unsent_strikes(msp_strike_sync_t *sync, msp_buffer_t *out);

/* Forgets the strikes of a request that got a complete response. */
void msp_clear_known_strikes(msp_strike_sync_t *sync, msp_digest_t fingerprint);

/*
 * Appends known strikes of requests of this suspicion or worse, at most `max`,
 * and returns the number of lines. Further calls go on where the last one
 * ended, so that all of them are told in turn.
 */
size_t msp_encode_known_strikes(msp_strike_sync_t *sync,
    msp_suspicion_t suspicion, size_t max, msp_buffer_t *out);

/*
 * Applies a message of another VM; a strike counts once, however often it is
 * received. `new_count` is set to the number of strikes not known before.
 * Returns MSP_E_SYNTAX and applies nothing if a line is malformed.
 */
msp_status_t msp_receive_strikes(
    msp_strike_sync_t *sync, const char *text, size_t *new_count);

/* The same for a message that was written down `age` ago. */
msp_status_t msp_receive_stored_strikes(msp_strike_sync_t *sync,
    const char *text, msp_time_t age, size_t *new_count);

/* The same for the answer to a question, which may have all known strikes. */
msp_status_t msp_receive_known_strikes(
    msp_strike_sync_t *sync, const char *text, size_t *new_count);

#endif
