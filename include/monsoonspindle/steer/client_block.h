#ifndef MONSOONSPINDLE_STEER_CLIENT_BLOCK_H
#define MONSOONSPINDLE_STEER_CLIENT_BLOCK_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

/* An IP number: of IPv6 the first 64 bits, of IPv4 in the upper 32 bits. */
typedef struct msp_client_address {
	bool v6;
	uint64_t bits;
} msp_client_address_t;

/* The clients whose address starts with the first `length` bits. */
typedef struct msp_client_block {
	msp_client_address_t address; /* bits past the length are 0 */
	uint8_t length; /* bits; at most 32 (IPv4) or 64 (IPv6) */
} msp_client_block_t;

/* An IPv4 number mapped into IPv6 is read as IPv4. MSP_E_SYNTAX. */
msp_status_t msp_parse_client_address(
    const char *text, msp_client_address_t *address);

/*
 * Reads "192.0.2.0/24" or "2001:db8::/32". MSP_E_SYNTAX, or MSP_E_RANGE for a
 * length out of bounds or bits set past it.
 */
msp_status_t msp_parse_client_block(
    const char *text, msp_client_block_t *block);

#endif
