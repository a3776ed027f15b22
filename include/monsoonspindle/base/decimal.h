#ifndef MONSOONSPINDLE_BASE_DECIMAL_H
#define MONSOONSPINDLE_BASE_DECIMAL_H

#include <stdbool.h>

/* Characters of a number; longer ones are rejected. */
#define MSP_DECIMAL_LEN_MAX 32

/*
 * Parses a decimal number: digits, perhaps with a fraction, without a sign or
 * an exponent. Returns false, and changes nothing, if `text` is anything else.
 */
bool msp_parse_decimal(const char *text, double *out);

#endif
