#ifndef MONSOONSPINDLE_BASE_COUNTERS_H
#define MONSOONSPINDLE_BASE_COUNTERS_H

#include <stdint.h>

#include "monsoonspindle/base/buffer.h"

/*
 * Counters and gauges by name, printed in the text exposition format. A name
 * may carry labels, as in `msp_requests_total{service="records-vault"}`.
 */
typedef struct msp_counters msp_counters_t;

msp_counters_t *msp_new_counters(void);
void msp_drop_counters(msp_counters_t *counters);

/*
 * Returns the cell of `name`, made at 0 if it is new; owned by `counters` and
 * valid as long. Never NULL: without memory, a shared spare cell.
 */
uint64_t *msp_get_counter(msp_counters_t *counters, const char *name);

/* Adds to the cell of a name that is built from `fmt`. */
void msp_add_to_counter(msp_counters_t *counters, uint64_t add, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

/* Appends one line a counter, sorted by name. */
msp_status_t msp_print_counters(
    const msp_counters_t *counters, msp_buffer_t *out);

#endif
