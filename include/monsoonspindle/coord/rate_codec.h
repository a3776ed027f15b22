#ifndef MONSOONSPINDLE_COORD_RATE_CODEC_H
#define MONSOONSPINDLE_COORD_RATE_CODEC_H

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/coord/rate_owner.h"

/*
 * Messages about rate limits between VMs, as text with a line for each
 * organisation. Its name comes last in the line and may have spaces.
 *
 * The decode_ functions return MSP_E_SYNTAX if a line is malformed, and
 * MSP_E_TOO_LARGE if there are more than MSP_RATES_PER_MESSAGE_MAX.
 */

#define MSP_RATES_PER_MESSAGE_MAX 256 /* organisations */

msp_status_t msp_encode_rate_asks(
    const msp_rate_ask_t *asks, size_t count, msp_buffer_t *out);
msp_status_t msp_decode_rate_asks(
    const char *text, msp_rate_ask_t *out, size_t *count);

msp_status_t msp_encode_rate_grants(
    const msp_rate_grant_t *grants, size_t count, msp_buffer_t *out);
msp_status_t msp_decode_rate_grants(
    const char *text, msp_rate_grant_t *out, size_t *count);

/* The first line names the data centre. */
msp_status_t msp_encode_rate_demand(const char *place,
    const msp_rate_demand_t *demand, size_t count, msp_buffer_t *out);
msp_status_t msp_decode_rate_demand(const char *text, char *place,
    size_t place_size, msp_rate_demand_t *out, size_t *count);

#endif
