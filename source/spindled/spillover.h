#ifndef SPINDLED_SPILLOVER_H
#define SPINDLED_SPILLOVER_H

#include "places.h"
#include "proxy_request.h"

struct daemon;

/* Spillover of requests to other data centres, by service. */
typedef struct spillover spillover_t;

spillover_t *new_spillover(struct daemon *daemon);
void drop_spillover(spillover_t *spillover);

/*
 * Decides whether a request that was not sent anywhere yet goes to another data
 * centre, because the wait here is longer or this data centre is draining.
 */
bool choose_spill_place(spillover_t *spillover, const proxy_request_t *request,
    remote_vm_t *choice);

/*
 * Chooses another data centre for a request that one has refused, leaving out
 * those already tried. Returns false if there is none.
 */
bool choose_retry_place(spillover_t *spillover, const proxy_request_t *request,
    remote_vm_t *choice);

#endif
