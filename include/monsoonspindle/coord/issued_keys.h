#ifndef MONSOONSPINDLE_COORD_ISSUED_KEYS_H
#define MONSOONSPINDLE_COORD_ISSUED_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

/*
 * Idempotency keys that the system issues with a look-up. The key's prefix
 * names the incarnation of the VM in whose memory the key is decided, and the
 * time of issue by that VM's clock:
 *
 *	msp1.INCARNATION.ISSUED.REST
 *
 * INCARNATION and ISSUED (milliseconds) are 16 hexadecimal digits each. The
 * client appends REST, which it must not have used before, and sends the same
 * key with each retry of the request.
 */
#define MSP_ISSUED_PREFIX_SIZE 40 /* with the terminating null byte */

typedef struct msp_issued_key {
	uint64_t incarnation;
	msp_time_t issued_at; /* by the clock of that incarnation */
} msp_issued_key_t;

/* Prints the prefix, including its last dot. */
void msp_issue_key_prefix(
    uint64_t incarnation, msp_time_t now, char out[MSP_ISSUED_PREFIX_SIZE]);

/*
 * Returns whether `key` was issued by the system and has a REST, and fills
 * `parsed` if so.
 */
bool msp_parse_issued_key(const char *key, msp_issued_key_t *parsed);

/* Where a request with an idempotency key is decided. */
typedef enum msp_key_route {
	MSP_KEY_STORE, /* in the store: the key was not issued */
	MSP_KEY_HERE, /* in the memory of this incarnation */
	MSP_KEY_FORWARD, /* in the memory of another, live incarnation */
	MSP_KEY_LOST /* nowhere: the incarnation is gone, it never runs */
} msp_key_route_t;

/* `has_ended` returns whether an incarnation has ended and can't come back. */
msp_key_route_t msp_route_key(const char *key, uint64_t own_incarnation,
    bool (*has_ended)(void *ctx, uint64_t incarnation), void *ctx,
    msp_issued_key_t *parsed);

/*
 * Returns MSP_E_KEY_EXPIRED if the key is older than `lifetime`,
 * MSP_E_BAD_REQUEST if it was issued in the future. Only for keys of this
 * incarnation, whose clock gives `now`.
 */
msp_status_t msp_check_issued_key(
    const msp_issued_key_t *parsed, msp_time_t now, msp_time_t lifetime);

#endif
