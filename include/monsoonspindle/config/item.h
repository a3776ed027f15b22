#ifndef MONSOONSPINDLE_CONFIG_ITEM_H
#define MONSOONSPINDLE_CONFIG_ITEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/refusal.h"
#include "monsoonspindle/config/prefix.h"
#include "monsoonspindle/config/settings.h"

#define MSP_METHOD_SIZE 16 /* bytes of an HTTP method with its final 0 */
#define MSP_ROUTE_PREFIX_SIZE                          \
	128 /* bytes of a path prefix with its final 0 \
	     */
#define MSP_SERVICE_ROUTES_MAX 64 /* of one service */
#define MSP_RESERVE_BY_PRIORITY 100 /* as reserve_percent */

/*
 * The items of a release. Each kind has a key that is unique in it: the name,
 * or the prefix of a client block. Items are immutable and shared between
 * releases; they are valid as long as a release that holds them is kept.
 */
typedef enum msp_item_kind {
	MSP_ITEM_REGION,
	MSP_ITEM_PLACE,
	MSP_ITEM_LINK,
	MSP_ITEM_SERVICE,
	MSP_ITEM_TARGET,
	MSP_ITEM_BLOCK,
	MSP_ITEM_KIND_COUNT
} msp_item_kind_t;

/* Whether a place or a target takes new work. */
typedef enum msp_item_state {
	MSP_STATE_ACTIVE,
	MSP_STATE_DRAINING
} msp_item_state_t;

typedef struct msp_region {
	char name[MSP_NAME_SIZE];
} msp_region_t;

/* A data centre. */
typedef struct msp_place {
	char name[MSP_NAME_SIZE];
	char region[MSP_NAME_SIZE];
	msp_item_state_t state;
} msp_place_t;

/* The caps of shifted traffic between two regions, for each direction. */
typedef struct msp_link {
	char name[MSP_NAME_SIZE];
	char region_a[MSP_NAME_SIZE];
	char region_b[MSP_NAME_SIZE];
	uint64_t max_requests_per_s;
	uint64_t max_bytes_per_s;
} msp_link_t;

/* What a service gives up first under load. */
typedef enum msp_priority {
	MSP_PRIORITY_LATENCY,
	MSP_PRIORITY_HEADROOM
} msp_priority_t;

typedef struct msp_service_route {
	char method[MSP_METHOD_SIZE]; /* "*": any */
	char prefix[MSP_ROUTE_PREFIX_SIZE]; /* of the path, at a '/' border */
	msp_request_class_t class;
	uint32_t deadline_ms; /* 0: that of the service */
} msp_service_route_t;

typedef struct msp_service {
	char name[MSP_NAME_SIZE];
	msp_priority_t priority;
	uint32_t deadline_ms; /* of a request that names none */
	uint32_t max_age_ms; /* a request's oldest try may be this old */
	uint32_t retry_budget_percent; /* retries and hedges, of requests */
	uint32_t reserve_percent; /* of slots, kept from background work */
	uint32_t ramp_ms; /* a cold target reaches its full limit in */
	bool hedging; /* of reads */
	bool spill; /* to other regions, within credits */
	char load_path[MSP_ROUTE_PREFIX_SIZE]; /* of a target's load report */
	msp_service_route_t *routes;
	size_t route_count;
} msp_service_t;

typedef struct msp_target {
	char name[MSP_NAME_SIZE];
	char service[MSP_NAME_SIZE];
	char place[MSP_NAME_SIZE];
	char address[MSP_ADDRESS_SIZE]; /* canonical IP number */
	uint16_t port;
	uint16_t slots; /* requests at once, at most */
	msp_item_state_t state;
} msp_target_t;

/* Clients by address, and where they are near. */
typedef struct msp_release_block {
	msp_prefix_t prefix;
	char region[MSP_NAME_SIZE];
	char place[MSP_NAME_SIZE]; /* "": any of the region */
} msp_release_block_t;

/* "regions", "places", ...: the key of a list of that kind. */
const char *msp_item_section(msp_item_kind_t kind);

/* "region", "place", ... */
const char *msp_item_kind_name(msp_item_kind_t kind);

#define MSP_ITEM_KEY_SIZE MSP_NAME_SIZE

/* Writes the item's key as text. */
void msp_print_item_key(
    msp_item_kind_t kind, const void *item, char out[MSP_ITEM_KEY_SIZE]);

/* Appends the item as one JSON object. */
msp_status_t msp_print_item(
    msp_item_kind_t kind, const void *item, msp_buffer_t *out);

/* Returns the route of longest prefix, own method before "*"; or NULL. HEAD
 * takes the routes of GET. `path` may carry a query. */
const msp_service_route_t *msp_match_service_route(
    const msp_service_t *service, const char *method, const char *path);

/* Appends a table of the keys of all kinds. */
msp_status_t msp_print_items_help(msp_buffer_t *out);

#endif
