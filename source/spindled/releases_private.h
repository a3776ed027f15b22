#ifndef SPINDLED_RELEASES_PRIVATE_H
#define SPINDLED_RELEASES_PRIVATE_H

#include "daemon.h"
#include "monsoonspindle/coord/ledger.h"
#include "notifying_store.h"
#include "releases.h"

struct releases {
	daemon_t *daemon;
	notifying_store_t store; /* steps the ledger after each reply */
	msp_ledger_t *ledger;
	msp_timer_t *step_timer;
	msp_timer_t *fetch_fail_timer; /* reports that no peer was queried */
	msp_call_t *fetch; /* from a peer; NULL: none in flight */
};

void step_releases(void *ctx);

/* Sets the timer for the next step of the ledger. */
void schedule_releases_step(releases_t *releases);

/*
 * Parses the parameter `name` of the path's query string. `number` is set to 0
 * if it is missing.
 */
msp_status_t read_number_param(
    const char *path, const char *name, uint64_t *number);

#endif
