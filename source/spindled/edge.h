#ifndef SPINDLED_EDGE_H
#define SPINDLED_EDGE_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

struct daemon;

/*
 * The part of a VM that takes callers' requests and sends each straight to a
 * target, by routes and heartbeats in the platform's store.
 */
typedef struct edge edge_t;

/* Returns NULL with a last message. */
edge_t *new_edge(struct daemon *daemon);
void drop_edge(edge_t *edge);

/* Version of the routes in force; 0: none yet. */
uint64_t get_routes_version(const edge_t *edge);

/* Requests that have not been answered and written out whole. */
size_t count_edge_requests(const edge_t *edge);

/* Takes nothing new once clients have heard of it; keeps what it has. */
void drain_edge(edge_t *edge);

/* Closes the callers' listener. */
void close_edge_listener(edge_t *edge);

/* The settings of the daemon were read anew. */
void reload_edge(edge_t *edge);

#endif
