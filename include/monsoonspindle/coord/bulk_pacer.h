#ifndef MONSOONSPINDLE_COORD_BULK_PACER_H
#define MONSOONSPINDLE_COORD_BULK_PACER_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"

/* Share of a VM's link that large responses to other VMs may use. */
#define MSP_BULK_LINK_SHARE 0.75

/*
 * Paces the large responses that a VM sends to others, so that they go out one
 * after the other: the first receivers can soon pass them on, and small
 * responses don't wait behind all of them. Zero-initialise and set
 * bytes_per_second.
 */
typedef struct msp_bulk_pacer {
	double bytes_per_second; /* of the VM's link; 0: not known, no pacing */
	msp_time_t free_at; /* when the link has sent all so far */
} msp_bulk_pacer_t;

/* Whether the next large response may be sent now. */
bool msp_bulk_may_be_sent(const msp_bulk_pacer_t *pacer, msp_time_t now);

/* Records that a large response is sent. */
void msp_record_bulk_sent(
    msp_bulk_pacer_t *pacer, msp_time_t now, size_t bytes);

#endif
