#ifndef SPINDLED_LOAD_H
#define SPINDLED_LOAD_H

#include <stdbool.h>

#include "load_codec.h"
#include "members.h"
#include "monsoonspindle/steer/dispatcher.h"

struct daemon;

/* Puts the load of this VM's dispatchers into what membership carries. */
void publish_load(members_t *members);

/* Tells a new dispatcher what other VMs last had in flight on its targets. */
void import_in_flight_counts(const struct daemon *daemon, const char *service,
    msp_dispatcher_t *dispatcher);

/*
 * The load of the dispatcher that serves `service` in this data centre, its
 * own or as last heard. Returns false if nothing is known.
 */
bool get_service_load(
    const struct daemon *daemon, const char *service, load_service_t *load);

/* Services and offers of all dispatchers of this data centre. */
void gather_place_load(const struct daemon *daemon, load_t *load);

#endif
