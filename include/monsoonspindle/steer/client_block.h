#ifndef MONSOONSPINDLE_STEER_CLIENT_BLOCK_H
#define MONSOONSPINDLE_STEER_CLIENT_BLOCK_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

/* An IP address. */
typedef struct msp_client_address {
	bool v6;
	/* The first 64 bits of IPv6; IPv4 is in the upper 32 bits. */
	uint64_t bits;
} msp_client_address_t;

/* A CIDR block of client addresses. */
typedef struct msp_client_block {
	msp_client_address_t address; /* bits after the prefix are 0 */
	uint8_t length; /* of the prefix: 0 to 32 (IPv4) or 64 (IPv6) bits */
} msp_client_block_t;

/*
 * Reads an IP address; an IPv4-mapped IPv6 address is read as IPv4. Returns
 * MSP_E_SYNTAX if `text` is malformed.
 */
msp_status_t msp_parse_client_address(
    const char *text, msp_client_address_t *address);

/*
 * Reads a block such as "192.0.2.0/24" or "2001:db8::/32". Returns
 * MSP_E_SYNTAX if `text` is malformed, and MSP_E_RANGE if the prefix length is
 * out of range or a bit after the prefix is set.
 */
msp_status_t msp_parse_client_block(
    const char *text, msp_client_block_t *block);

#endif
