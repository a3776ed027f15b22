#ifndef SPINDLED_SPILLOVER_H
#define SPINDLED_SPILLOVER_H

#include "places.h"
#include "proxy_request.h"

struct daemon;

/* For each service, what goes to other data centres, and on what credit. */
typedef struct spillover spillover_t;

spillover_t *new_spillover(struct daemon *daemon);
void drop_spillover(spillover_t *shifts);

/*
 * Decides whether a work that was not sent anywhere yet goes to another data
 * centre at once: because the wait here is longer, or this one drains.
 */
bool choose_spill_place(
    spillover_t *shifts, const proxy_request_t *work, remote_vm_t *choice);

/*
 * Chooses where a work may go that a data centre did not take. Its places
 * tried before are left out. Returns false if there is none.
 */
bool choose_retry_place(
    spillover_t *shifts, const proxy_request_t *work, remote_vm_t *choice);

#endif
