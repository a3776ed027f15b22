#ifndef MONSOONSPINDLE_CONFIG_ROUTE_TABLE_H
#define MONSOONSPINDLE_CONFIG_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

#define MSP_ROUTE_NAME_SIZE 128 /* bytes of a name, with the final 0 */
#define MSP_ROUTE_TEXT_SIZE 256 /* bytes of a host or prefix */

/* One service among those that share a route's requests. */
typedef struct msp_weighted_service {
	char service[MSP_ROUTE_NAME_SIZE];
	uint32_t weight; /* its share is weight / sum of weights */
} msp_weighted_service_t;

typedef struct msp_region_name {
	char name[MSP_ROUTE_NAME_SIZE];
} msp_region_name_t;

/* What requests of one host under one path prefix are to the system. */
typedef struct msp_path_route {
	char name[MSP_ROUTE_NAME_SIZE];
	char host[MSP_ROUTE_TEXT_SIZE]; /* lower case, without a port */
	char prefix[MSP_ROUTE_TEXT_SIZE]; /* begins and ends with a slash */
	bool idempotent; /* may run more than once */
	bool sticky; /* a target that knows the object answers faster */
	uint32_t timeout_ms; /* the final answer is due by then */
	uint32_t goal_ms; /* latency objective */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t max_attempts; /* targets that one request may be sent to */
	msp_weighted_service_t *services; /* owned; at least one */
	size_t service_count;
	msp_region_name_t *home_regions; /* owned; none: any region may serve */
	size_t home_region_count;
} msp_path_route_t;

/* What all targets of one service have in common. */
typedef struct msp_service_config {
	char name[MSP_ROUTE_NAME_SIZE];
	char health_path[MSP_ROUTE_TEXT_SIZE];
	uint32_t max_connections; /* of all callers to one target */
	double cold_requests_per_s; /* requests a second that a cold target
				       bears */
	uint32_t cold_ms; /* how long a target is cold after its start */
} msp_service_config_t;

/*
 * One version of all routes and services. Fill it with msp_add_path_route() and
 * msp_add_service_config(), then call msp_finish_route_table().
 */
typedef struct msp_route_table {
	uint32_t ref_count;
	uint64_t version; /* grows, in uneven steps */
	msp_path_route_t *routes; /* by host, the longest prefix first */
	size_t route_count;
	msp_service_config_t *services; /* by name */
	size_t service_count;
} msp_route_table_t;

/* Returns NULL without memory. */
msp_route_table_t *msp_new_route_table(uint64_t version);

/* Shares the table; each holder drops it once. */
msp_route_table_t *msp_keep_route_table(msp_route_table_t *table);
void msp_drop_route_table(msp_route_table_t *table);

/* Each returns a zeroed element to fill, or NULL without memory. */
msp_path_route_t *msp_add_path_route(msp_route_table_t *table);
msp_service_config_t *msp_add_service_config(msp_route_table_t *table);
msp_weighted_service_t *msp_add_weighted_service(msp_path_route_t *route);
msp_region_name_t *msp_add_home_region(msp_path_route_t *route);

/*
 * Checks and sorts a filled table. MSP_E_INVALID_NOTE if a route names no
 * service or an unknown one, all its weights are 0, its prefix does not begin
 * and end with a slash, or two routes have the same host and prefix.
 */
msp_status_t msp_finish_route_table(msp_route_table_t *table);

/*
 * The route of the host with the longest prefix that begins `path`, or NULL.
 * A port behind the host and a query behind the path are passed over.
 */
const msp_path_route_t *msp_match_path_route(
    const msp_route_table_t *table, const char *host, const char *path);

/* NULL if it is not known. */
const msp_service_config_t *msp_find_service_config(
    const msp_route_table_t *table, const char *name);

/* Whether targets of `region` may serve the route. */
bool msp_route_allows_region(const msp_path_route_t *route, const char *region);

#endif
