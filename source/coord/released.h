#ifndef MSP_COORD_RELEASED_H
#define MSP_COORD_RELEASED_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/coord/nonces.h"

/*
 * Nonces that this process has dropped for good: nothing was sent under them
 * and nothing will be. Their claims may still take effect in the store.
 */
typedef struct msp_released msp_released_t;

/* At most `limit` nonces are remembered, for `memory` at most. */
msp_released_t *msp_new_released(msp_time_t memory, size_t limit);
void msp_drop_released(msp_released_t *released);

/*
 * Remembers `nonce`, and when a client was last told "run: no" about its key
 * (0: never). Past the limit the oldest is forgotten: unless its row is marked
 * as released, its key is in doubt then.
 */
void msp_note_released(msp_released_t *released, msp_nonce_t nonce,
    msp_time_t said_no_at, msp_time_t now);

/* Whether `nonce` is remembered; if so, when a "no" was said, 0: never. */
bool msp_find_released(
    const msp_released_t *released, msp_nonce_t nonce, msp_time_t *said_no_at);

/* Forgets what is past the memory. */
void msp_expire_released(msp_released_t *released, msp_time_t now);
size_t msp_released_count(const msp_released_t *released);

#endif
