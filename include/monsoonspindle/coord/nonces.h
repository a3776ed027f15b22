#ifndef MONSOONSPINDLE_COORD_NONCES_H
#define MONSOONSPINDLE_COORD_NONCES_H

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/status.h"

/* Identifies one claim on an idempotency key. Printed by msp_print_digest(). */
typedef msp_digest_t msp_nonce_t;

/* Returns a random nonce, which is never zero. */
msp_nonce_t msp_generate_nonce(const msp_env_t *env);

/*
 * The nonces that a dispatcher has consumed, so that each runs once. The set
 * covers only the time since it was created, or since the process resumed from
 * a pause: a nonce that was generated before that may have been consumed
 * already.
 */
typedef struct msp_nonce_set msp_nonce_set_t;

/*
 * Nonces older than `lifetime` are refused, and consumed ones are stored for
 * as long. Returns NULL when out of memory.
 */
msp_nonce_set_t *msp_new_nonce_set(const msp_env_t *env, msp_time_t lifetime);
void msp_drop_nonce_set(msp_nonce_set_t *nonces);

/*
 * Consumes `nonce`, which was generated `age` ago.
 *
 * MSP_OK             consumed now, for the first time
 * MSP_E_EXISTS       was consumed before
 * MSP_E_KEY_EXPIRED  is older than the lifetime
 * MSP_E_NOT_READY    was generated before the time that this set covers: a
 *                    predecessor may have consumed it
 * MSP_E_NO_MEMORY
 *
 * After MSP_E_KEY_EXPIRED and MSP_E_NO_MEMORY this dispatcher has not run the
 * request of this nonce and will not; after the other two errors it may have
 * run.
 */
msp_status_t msp_consume_nonce(
    msp_nonce_set_t *nonces, msp_nonce_t nonce, msp_time_t age);

/*
 * The process was paused until now: older nonces are refused with
 * MSP_E_NOT_READY from now on.
 */
void msp_record_nonce_set_pause(msp_nonce_set_t *nonces);

#endif
