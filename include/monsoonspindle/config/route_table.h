#ifndef MONSOONSPINDLE_CONFIG_ROUTE_TABLE_H
#define MONSOONSPINDLE_CONFIG_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"
#include "monsoonspindle/config/homes.h"
#include "monsoonspindle/config/organisation.h"

#define MSP_ROUTE_NAME_SIZE 128 /* bytes of a name, with the final 0 */
#define MSP_ROUTE_TEXT_SIZE 256 /* bytes of a host or path prefix */

/* One of the services that share a route's requests by weight. */
typedef struct msp_weighted_service {
	char service[MSP_ROUTE_NAME_SIZE];
	uint32_t weight; /* share: weight / sum of the route's weights */
} msp_weighted_service_t;

/* How requests for one host and path prefix are routed. */
typedef struct msp_path_route {
	char name[MSP_ROUTE_NAME_SIZE];
	char host[MSP_ROUTE_TEXT_SIZE]; /* lower case, without a port */
	char prefix[MSP_ROUTE_TEXT_SIZE]; /* begins and ends with '/' */
	bool idempotent; /* may be executed more than once */
	bool sticky; /* prefer targets that served the object before */
	uint32_t timeout_ms; /* deadline of the final response */
	uint32_t goal_ms; /* latency objective */
	uint32_t priority; /* 0: the most urgent */
	uint32_t max_attempts; /* targets that a request may be sent to */
	msp_weighted_service_t *services; /* owned; at least one */
	size_t service_count;
	msp_region_list_t homes; /* owned */
	bool is_public; /* requests need no key */
} msp_path_route_t;

/* Settings that all targets of a service have in common. */
typedef struct msp_service_config {
	char name[MSP_ROUTE_NAME_SIZE];
	char health_path[MSP_ROUTE_TEXT_SIZE];
	uint32_t max_connections; /* to one target, over all callers */
	double cold_requests_per_s; /* that a cold target can handle */
	uint32_t cold_ms; /* time after its start in which a target is cold */
} msp_service_config_t;

/*
 * One version of all routes and services. Fill it with msp_add_path_route() and
 * msp_add_service_config(), then call msp_finish_route_table().
 */
typedef struct msp_route_table {
	uint32_t ref_count;
	uint64_t version; /* increases, not always by 1 */
	msp_path_route_t *routes; /* sorted by host, longest prefix first */
	size_t route_count;
	msp_service_config_t *services; /* sorted by name */
	size_t service_count;
	/* Owned. NULL: requests need no key and belong to no organisation. */
	msp_organisations_t *organisations;
} msp_route_table_t;

/* Returns NULL if memory is exhausted. */
msp_route_table_t *msp_new_route_table(uint64_t version);

/* Adds a reference; each is released by msp_drop_route_table(). */
msp_route_table_t *msp_keep_route_table(msp_route_table_t *table);
void msp_drop_route_table(msp_route_table_t *table);

/* Append a zeroed element and return it to fill in; NULL: out of memory. */
msp_path_route_t *msp_add_path_route(msp_route_table_t *table);
msp_service_config_t *msp_add_service_config(msp_route_table_t *table);
msp_weighted_service_t *msp_add_weighted_service(msp_path_route_t *route);

/*
 * Checks and sorts a filled table, and finishes its organisations.
 * MSP_E_INVALID_NOTE if a route has no service or an unknown one, all its
 * weights are 0, its prefix doesn't begin and end with a slash, two routes have
 * the same host and prefix, or msp_finish_organisations() returns it.
 */
msp_status_t msp_finish_route_table(msp_route_table_t *table);

/*
 * Checks one route by itself: MSP_E_INVALID_NOTE if it has no service or an
 * unknown one, all its weights are 0, or its prefix is not as required.
 */
msp_status_t msp_check_path_route(
    const msp_route_table_t *table, const msp_path_route_t *route);

/*
 * Returns the host's route with the longest prefix of `path`, or NULL. A port
 * after the host and a query after the path are ignored.
 */
const msp_path_route_t *msp_match_path_route(
    const msp_route_table_t *table, const char *host, const char *path);

/* Returns NULL if the service is unknown. */
const msp_service_config_t *msp_find_service_config(
    const msp_route_table_t *table, const char *name);

#endif
