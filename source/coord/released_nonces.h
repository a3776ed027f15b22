#ifndef MSP_COORD_RELEASED_NONCES_H
#define MSP_COORD_RELEASED_NONCES_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/coord/nonces.h"

/*
 * Nonces that this process has dropped for good: nothing was sent under them
 * and nothing will be. Their claims may still take effect in the store.
 */
typedef struct msp_released_nonces msp_released_nonces_t;

/* At most `limit` nonces are remembered, for `memory` at most. */
msp_released_nonces_t *msp_new_released_nonces(msp_time_t memory, size_t limit);
void msp_drop_released_nonces(msp_released_nonces_t *released);

/*
 * Remembers `nonce`, and when a client was last told "run: no" about its key
 * (0: never). Past the limit the oldest is forgotten: unless its row is marked
 * as released, its key is in doubt then.
 */
void msp_add_released_nonce(msp_released_nonces_t *released, msp_nonce_t nonce,
    msp_time_t said_no_at, msp_time_t now);

/* Whether `nonce` is remembered; if so, when a "no" was said, 0: never. */
bool msp_find_released_nonce(const msp_released_nonces_t *released,
    msp_nonce_t nonce, msp_time_t *said_no_at);

/* Forgets what is past the memory. */
void msp_expire_released_nonces(
    msp_released_nonces_t *released, msp_time_t now);
size_t msp_count_released_nonces(const msp_released_nonces_t *released);

#endif
