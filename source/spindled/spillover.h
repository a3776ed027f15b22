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
 * Chooses another data centre for a request that was not sent anywhere yet, if
 * the wait here is longer or this data centre is draining. Returns false if the
 * request is to be dispatched here.
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
