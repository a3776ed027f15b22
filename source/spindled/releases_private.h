#ifndef SPINDLED_RELEASES_PRIVATE_H
#define SPINDLED_RELEASES_PRIVATE_H

#include "daemon.h"
#include "monsoonspindle/coord/ledger.h"
#include "notifying_store.h"
#include "releases.h"

struct releases {
	daemon_t *daemon;
	notifying_store_t store; /* the ledger is stepped after each answer */
	msp_ledger_t *ledger;
	msp_timer_t *timer;
	msp_timer_t *fetch_fail_timer; /* no peer could be asked */
	msp_call_t *fetch; /* of notes, from a peer */
};

void step_releases(void *ctx);

/* Sets the timer to when the ledger has something to do next. */
void schedule_releases_step(releases_t *releases);

/* Reads a version from a path's query; 0 if it is absent. */
msp_status_t read_number_param(
    const char *path, const char *name, uint64_t *version);

#endif
