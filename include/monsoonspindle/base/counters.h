#ifndef MONSOONSPINDLE_BASE_COUNTERS_H
#define MONSOONSPINDLE_BASE_COUNTERS_H

#include <stdint.h>

#include "monsoonspindle/base/buffer.h"

/*
 * Named counters and gauges, printed in the Prometheus text format. A name may
 * include labels, as in `msp_requests_total{service="records-vault"}`.
 */
typedef struct msp_counters msp_counters_t;

msp_counters_t *msp_new_counters(void);
void msp_drop_counters(msp_counters_t *counters);

/*
 * Returns the value of `name`, created as 0 if it is new. It stays valid until
 * `counters` is dropped. Never NULL: if memory is exhausted, the result is a
 * shared value that isn't printed.
 */
uint64_t *msp_get_counter(msp_counters_t *counters, const char *name);

/* Adds to the counter whose name is formatted from `fmt`. */
void msp_add_to_counter(msp_counters_t *counters, uint64_t add, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

/* Appends one line per counter, sorted by name. */
msp_status_t msp_print_counters(
    const msp_counters_t *counters, msp_buffer_t *out);

#endif
