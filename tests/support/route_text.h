#ifndef SUPPORT_ROUTE_TEXT_H
#define SUPPORT_ROUTE_TEXT_H

#include <stdint.h>

#include "monsoonspindle/base/buffer.h"

/*
 * Appends a document of routes in the form of the operator's, with names drawn
 * from `seed`. The first routes of two documents of one seed are the same.
 */
void append_route_text(msp_buffer_t *out, unsigned int version,
    unsigned int routes, uint64_t seed);

#endif
