#ifndef MONSOONSPINDLE_CONFIG_PREFIX_H
#define MONSOONSPINDLE_CONFIG_PREFIX_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

#define MSP_PREFIX_TEXT_SIZE 52 /* bytes of a prefix as text, with final 0 */

/* A CIDR block. The bits of `address` after the first `bits` are 0. */
typedef struct msp_prefix {
	uint8_t family; /* 4 or 6 */
	uint8_t bits; /* 0..32 or 0..128 */
	uint8_t address[16]; /* network byte order; IPv4: the first 4 bytes */
} msp_prefix_t;

/*
 * Parses "192.0.2.0/24" or "2001:db8::/32".
 * MSP_E_SYNTAX; MSP_E_RANGE if the length is too large or a bit after it is
 * set.
 */
msp_status_t msp_parse_prefix(const char *text, msp_prefix_t *prefix);

/* Prints the canonical text. */
void msp_print_prefix(
    const msp_prefix_t *prefix, char out[MSP_PREFIX_TEXT_SIZE]);

/* Compares by family, address and bits; the result is as of memcmp(). */
int msp_compare_prefixes(const msp_prefix_t *a, const msp_prefix_t *b);

/* Writes an IP address in canonical form; MSP_E_SYNTAX if it is invalid. */
msp_status_t msp_normalise_address(
    const char *text, char *out, size_t out_size);

#endif
