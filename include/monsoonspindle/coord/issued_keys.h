#ifndef MONSOONSPINDLE_COORD_ISSUED_KEYS_H
#define MONSOONSPINDLE_COORD_ISSUED_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

/*
 * Idempotency keys that the system hands out with a look-up. The key's prefix
 * names the incarnation of the entry VM whose memory decides about it, and
 * when, by that VM's clock, it was issued:
 *
 *	msp1.INCARNATION.ISSUED.REST
 *
 * INCARNATION and ISSUED (milliseconds) are 16 hexadecimal digits. The caller
 * appends REST, unlike any it has used before, and keeps the key over resends.
 */
#define MSP_ISSUED_PREFIX_SIZE 40 /* with the final 0 */

typedef struct msp_issued_key {
	uint64_t incarnation;
	msp_time_t issued_at; /* by the clock of that incarnation */
} msp_issued_key_t;

/* Prints the prefix, up to and with its last dot. */
void msp_issue_key_prefix(
    uint64_t incarnation, msp_time_t now, char out[MSP_ISSUED_PREFIX_SIZE]);

/* Whether `key` was issued by the system, with a REST; fills `parsed` then. */
bool msp_parse_issued_key(const char *key, msp_issued_key_t *parsed);

/* Where a commit with some key is decided. */
typedef enum msp_key_route {
	MSP_KEY_STORE, /* not issued: by the store */
	MSP_KEY_HERE, /* by this incarnation's memory */
	MSP_KEY_FORWARD, /* by another incarnation, which lives */
	MSP_KEY_GONE /* its incarnation is gone: it never runs any more */
} msp_key_route_t;

/* `is_gone` tells whether an incarnation has left for good. */
msp_key_route_t msp_route_key(const char *key, uint64_t own_incarnation,
    bool (*is_gone)(void *ctx, uint64_t incarnation), void *ctx,
    msp_issued_key_t *parsed);

/*
 * MSP_E_KEY_EXPIRED past `lifetime`, MSP_E_BAD_REQUEST if issued in the
 * future. Only for keys of this incarnation, by its clock.
 */
msp_status_t msp_check_issued_key(
    const msp_issued_key_t *parsed, msp_time_t now, msp_time_t lifetime);

#endif
