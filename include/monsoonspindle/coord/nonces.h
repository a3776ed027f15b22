#ifndef MONSOONSPINDLE_COORD_NONCES_H
#define MONSOONSPINDLE_COORD_NONCES_H

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/status.h"

/* Names one claim on an idempotency key. Printed by msp_print_digest(). */
typedef msp_digest_t msp_nonce_t;

/* Draws a fresh nonce, never the zero one. */
msp_nonce_t msp_generate_nonce(const msp_env_t *env);

/*
 * The nonces that a dispatcher has taken: each runs once. The set vouches only
 * for what it has seen itself: a nonce that was drawn before the set was made,
 * or before its process woke from a pause, may have been taken before.
 */
typedef struct msp_nonce_set msp_nonce_set_t;

/*
 * `lifetime`: nonces older than this are refused, and those taken are
 * remembered as long. Returns NULL without memory.
 */
msp_nonce_set_t *msp_new_nonce_set(const msp_env_t *env, msp_time_t lifetime);
void msp_drop_nonce_set(msp_nonce_set_t *nonces);

/*
 * Takes `nonce`, drawn `age` ago.
 *
 * MSP_OK             taken now, for the first time
 * MSP_E_EXISTS       was taken before
 * MSP_E_KEY_EXPIRED  is past its lifetime
 * MSP_E_NOT_READY    is older than what this set has seen: whether a
 *                    predecessor took it is not known
 * MSP_E_NO_MEMORY
 *
 * After MSP_E_KEY_EXPIRED and MSP_E_NO_MEMORY this dispatcher has not run it
 * and will not; after the other two it may have run.
 */
msp_status_t msp_consume_nonce(
    msp_nonce_set_t *nonces, msp_nonce_t nonce, msp_time_t age);

/* The process was paused until now: older nonces are no longer vouched for. */
void msp_record_nonce_set_pause(msp_nonce_set_t *nonces);

#endif
