#ifndef MONSOONSPINDLE_NET_QUERY_H
#define MONSOONSPINDLE_NET_QUERY_H

#include <stddef.h>

#include "monsoonspindle/base/status.h"

/*
 * Copies the value of `name` from a path's query; "" if it is absent. Percent
 * escapes are resolved. MSP_E_BAD_REQUEST if it is malformed or over `size`.
 */
msp_status_t msp_get_query_param(
    const char *path, const char *name, char *out, size_t size);

#endif
