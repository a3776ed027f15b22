#ifndef MONSOONSPINDLE_CONFIG_CHECK_ROUTES_H
#define MONSOONSPINDLE_CONFIG_CHECK_ROUTES_H

#include "monsoonspindle/config/route_table.h"

/*
 * What is wrong or suspicious in a configuration before it is in force, and
 * what it changes. All findings are reported, not the first only.
 */

typedef enum msp_finding_level {
	MSP_FINDING_NOTE,
	MSP_FINDING_WARNING, /* can be in force, but hardly as it is meant */
	MSP_FINDING_ERROR, /* can't be in force */
} msp_finding_level_t;

typedef struct msp_finding {
	msp_finding_level_t level;
	const char *place; /* for example "route a"; borrowed */
	const char *text; /* borrowed */
} msp_finding_t;

typedef struct msp_finding_callback {
	void (*report)(void *ctx, const msp_finding_t *finding);
	void *ctx;
} msp_finding_callback_t;

/* What is known of the deployment; zero: not known. */
typedef struct msp_check_options {
	const char *const *regions; /* that have data centres; borrowed */
	size_t region_count;
	unsigned int vms;
} msp_check_options_t;

/*
 * Checks a filled table; it need not be finished. Reports what
 * msp_finish_route_table() would fail on, entries that are never used, and
 * limits that contradict each other.
 */
void msp_check_route_table(const msp_route_table_t *table,
    const msp_check_options_t *options, const msp_finding_callback_t *callback);

/*
 * Reports, as notes, what `after` changes against `before`. API keys are named
 * by a short hash.
 */
void msp_compare_route_tables(const msp_route_table_t *before,
    const msp_route_table_t *after, const msp_finding_callback_t *callback);

const char *msp_finding_level_name(msp_finding_level_t level);

#endif
