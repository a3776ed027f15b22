#ifndef SPINDLED_LOAD_H
#define SPINDLED_LOAD_H

#include <stdbool.h>

#include "load_codec.h"
#include "members.h"
#include "monsoonspindle/steer/dispatcher.h"

struct daemon;

/* Sets the load of this VM's dispatchers in the gossiped membership state. */
void publish_load(members_t *members);

/*
 * Tells a new dispatcher how many requests other VMs last had in flight on its
 * targets.
 */
void import_in_flight_counts(const struct daemon *daemon, const char *service,
    msp_dispatcher_t *dispatcher);

/*
 * Fills `load` with the load of the dispatcher of `service` in this data
 * centre: this VM's own, or as last received. Returns false if it is unknown.
 */
bool get_service_load(
    const struct daemon *daemon, const char *service, load_service_t *load);

/* Fills `load` with services and offers of all VMs of this data centre. */
void gather_place_load(const struct daemon *daemon, load_t *load);

#endif
