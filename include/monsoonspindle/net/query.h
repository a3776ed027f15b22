#ifndef MONSOONSPINDLE_NET_QUERY_H
#define MONSOONSPINDLE_NET_QUERY_H

#include <stddef.h>

#include "monsoonspindle/base/status.h"

/*
 * Copies the value of the parameter `name` from the query string of `path`,
 * percent-decoded; "" if it is absent. Fails with MSP_E_BAD_REQUEST if the
 * value is malformed or does not fit in `size` bytes.
 */
msp_status_t msp_get_query_param(
    const char *path, const char *name, char *out, size_t size);

#endif
