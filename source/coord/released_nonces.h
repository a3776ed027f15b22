#ifndef MSP_COORD_RELEASED_NONCES_H
#define MSP_COORD_RELEASED_NONCES_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/coord/nonces.h"

/*
 * Nonces that this process has released: no request was sent with them and none
 * will be. Writes of their claims may still take effect in the store.
 */
typedef struct msp_released_nonces msp_released_nonces_t;

/* Stores at most `limit` nonces, each for at most `retention`. */
msp_released_nonces_t *msp_new_released_nonces(
    msp_time_t retention, size_t limit);
void msp_drop_released_nonces(msp_released_nonces_t *released);

/*
 * Adds `nonce`, with the time at which "run: no" was last reported to a client
 * about its key (0: never). At the limit this drops the oldest nonce, whose key
 * is then in doubt unless its row is marked as released.
 */
void msp_add_released_nonce(msp_released_nonces_t *released, msp_nonce_t nonce,
    msp_time_t not_run_reported_at, msp_time_t now);

/*
 * Returns whether `nonce` is in the set, and sets *not_run_reported_at to when
 * "run: no" was last reported to a client, 0: never.
 */
bool msp_find_released_nonce(const msp_released_nonces_t *released,
    msp_nonce_t nonce, msp_time_t *not_run_reported_at);

/* Drops the nonces that are older than the retention. */
void msp_expire_released_nonces(
    msp_released_nonces_t *released, msp_time_t now);
size_t msp_count_released_nonces(const msp_released_nonces_t *released);

#endif
