#ifndef MONSOONSPINDLE_SOURCE_COORD_SUMMARY_CODEC_H
#define MONSOONSPINDLE_SOURCE_COORD_SUMMARY_CODEC_H

#include "monsoonspindle/base/status.h"
#include "monsoonspindle/coord/gossip_xdr.h"
#include "monsoonspindle/coord/summary.h"

#define MSP_SUMMARY_SIZE_MAX 1100 /* bytes of an encoded summary */

/* Returns the size of the encoded summary in bytes. */
size_t msp_summary_size(const msp_summary_t *summary);

/* Removes the last services, then entries, until the summary fits a message. */
void msp_trim_summary(msp_summary_t *summary);

/* Fills `message`, which is freed by its XDR routine. MSP_E_NO_MEMORY. */
msp_status_t msp_fill_summary_message(msp_gossip_summary_t *message,
    const msp_summary_t *summary, msp_time_t now);

/* Validates and converts `message`. MSP_E_BAD_REQUEST if it is not valid. */
msp_status_t msp_parse_summary_message(msp_summary_t *summary,
    const msp_gossip_summary_t *message, msp_time_t now);

#endif
