#ifndef MONSOONSPINDLE_CONFIG_PREFIX_H
#define MONSOONSPINDLE_CONFIG_PREFIX_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

#define MSP_PREFIX_TEXT_SIZE 52 /* bytes of a prefix as text, with final 0 */

/* A block of IP addresses: the first `bits` of `address`; the rest is 0. */
typedef struct msp_prefix {
	uint8_t family; /* 4 or 6 */
	uint8_t bits; /* 0..32 or 0..128 */
	uint8_t address[16]; /* network order; IPv4 in the first 4 bytes */
} msp_prefix_t;

/*
 * Parses "192.0.2.0/24" or "2001:db8::/32".
 * MSP_E_SYNTAX, or MSP_E_RANGE if a bit past the prefix is set.
 */
msp_status_t msp_parse_prefix(const char *text, msp_prefix_t *prefix);

/* Writes the canonical text. */
void msp_print_prefix(
    const msp_prefix_t *prefix, char out[MSP_PREFIX_TEXT_SIZE]);

/* Orders by family, address, then bits, as memcmp does. */
int msp_compare_prefixes(const msp_prefix_t *a, const msp_prefix_t *b);

/* Writes the canonical text of an IP number; MSP_E_SYNTAX if it is none. */
msp_status_t msp_normalise_address(
    const char *text, char *out, size_t out_size);

#endif
