#ifndef SPINDLED_EDGE_H
#define SPINDLED_EDGE_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

struct daemon;

/*
 * The edge proxy of a VM: receives callers' requests and sends each to a
 * target directly. Routes and the targets' heartbeats come from the platform's
 * store.
 */
typedef struct edge edge_t;

/* Returns NULL and sets the last message on failure. */
edge_t *new_edge(struct daemon *daemon);
void drop_edge(edge_t *edge);

/* Version of the routes in force; 0 if there are none yet. */
uint64_t get_routes_version(const edge_t *edge);

/* Number of requests whose response is not fully written yet. */
size_t count_edge_requests(const edge_t *edge);

/*
 * Ends keep-alive, so that clients move to other VMs. Requests in progress, and
 * those that still arrive, are served.
 */
void drain_edge(edge_t *edge);

/* Closes the callers' listener. */
void close_edge_listener(edge_t *edge);

/*
 * Refuses the requests of which nothing has been sent to a target or to another
 * VM. To be called at the end of a stop, while answers can still be written.
 */
void refuse_unsent_requests(edge_t *edge);

/* Applies the daemon's reloaded settings. */
void reload_edge(edge_t *edge);

#endif
