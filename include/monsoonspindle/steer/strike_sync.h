#ifndef MONSOONSPINDLE_STEER_STRIKE_SYNC_H
#define MONSOONSPINDLE_STEER_STRIKE_SYNC_H

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/steer/quarantine.h"

/*
 * Strikes that VMs tell each other, so that a request that ends targets is
 * stopped everywhere once it has ended two, whichever VMs it came to. The text
 * is passed by the owner, to each other VM at least once.
 *
 * A line a strike: fingerprint (32 hex digits), the strike's own id (16 hex
 * digits), and how long ago the attempt began and ended (us).
 */
typedef struct msp_strike_sync msp_strike_sync_t;

#define MSP_STRIKES_PER_MESSAGE_MAX 16 /* of one message */
#define MSP_STRIKE_MESSAGE_MAX 2048 /* bytes of a message */

/*
 * `list` is borrowed and outlives it; `env` is copied. Returns NULL without
 * memory.
 */
msp_strike_sync_t *msp_new_strike_sync(
    const msp_env_t *env, msp_quarantine_list_t *list);
void msp_drop_strike_sync(msp_strike_sync_t *news);

/* A strike that was found here: as msp_add_strike(), and to be told. */
void msp_add_local_strike(msp_strike_sync_t *news, msp_digest_t fingerprint,
    msp_time_t started, msp_time_t ended);

/*
 * Appends the strikes that were not told yet, and forgets them. Left out are
 * those of requests that got a whole answer since, and what is past
 * MSP_STRIKES_PER_MESSAGE_MAX. Returns the number of lines.
 */
size_t msp_take_unsent_strikes(msp_strike_sync_t *news, msp_buffer_t *out);

/*
 * Takes in what another VM told; a strike counts once, however often it comes.
 * `fresh` gets the number of those that were new here. MSP_E_SYNTAX if a line
 * is malformed: nothing is taken in then.
 */
msp_status_t msp_receive_strikes(
    msp_strike_sync_t *news, const char *text, size_t *fresh);

#endif
