#ifndef MONSOONSPINDLE_CONFIG_ITEM_H
#define MONSOONSPINDLE_CONFIG_ITEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/refusal.h"
#include "monsoonspindle/config/prefix.h"
#include "monsoonspindle/config/settings.h"

#define MSP_METHOD_SIZE 16 /* bytes of an HTTP method with its final 0 */
#define MSP_ROUTE_PREFIX_SIZE 128 /* bytes of a path prefix with its 0 */
#define MSP_SERVICE_ROUTES_MAX 64 /* of one service */
/* Value of reserve_percent: the priority determines the reserve. */
#define MSP_RESERVE_BY_PRIORITY 100

/*
 * The kinds of items in a release. An item's key is unique within its kind: the
 * name, or the address prefix of a client block. Items are immutable, shared
 * between releases, and valid while a release that contains them is kept.
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

/* Whether a place or a target gets new requests. */
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

/* Rate limits of spillover traffic between two regions, per direction. */
typedef struct msp_link {
	char name[MSP_NAME_SIZE];
	char region_a[MSP_NAME_SIZE];
	char region_b[MSP_NAME_SIZE];
	uint64_t max_requests_per_s;
	uint64_t max_bytes_per_s;
} msp_link_t;

/* What a service favours under load. */
typedef enum msp_priority {
	MSP_PRIORITY_LATENCY,
	MSP_PRIORITY_HEADROOM /* more free slots, no hedging */
} msp_priority_t;

typedef struct msp_service_route {
	char method[MSP_METHOD_SIZE]; /* "*": any */
	char prefix[MSP_ROUTE_PREFIX_SIZE]; /* matches whole path segments */
	msp_request_class_t class;
	uint32_t deadline_ms; /* 0: that of the service */
} msp_service_route_t;

typedef struct msp_service {
	char name[MSP_NAME_SIZE];
	msp_priority_t priority;
	uint32_t deadline_ms; /* for requests without a deadline */
	uint32_t max_age_ms; /* maximum age of a request's first attempt */
	uint32_t retry_budget_percent; /* retries and hedges per 100 requests */
	uint32_t reserve_percent; /* of slots, closed to background requests */
	uint32_t ramp_ms; /* time until a cold target gets its full load */
	bool hedging; /* send slow reads to a second target */
	/* Send excess requests to other regions, as far as credits allow. */
	bool spill;
	char load_path[MSP_ROUTE_PREFIX_SIZE]; /* load report; "": none */
	msp_service_route_t *routes; /* owned */
	size_t route_count;
} msp_service_t;

typedef struct msp_target {
	char name[MSP_NAME_SIZE];
	char service[MSP_NAME_SIZE];
	char place[MSP_NAME_SIZE];
	char address[MSP_ADDRESS_SIZE]; /* canonical IP address */
	uint16_t port;
	uint16_t slots; /* maximum of concurrent requests */
	msp_item_state_t state;
} msp_target_t;

/* A block of client addresses and the location nearest to it. */
typedef struct msp_release_block {
	msp_prefix_t prefix;
	char region[MSP_NAME_SIZE];
	char place[MSP_NAME_SIZE]; /* "": any place of the region */
} msp_release_block_t;

/* Returns the JSON key of a list of this kind: "regions", "places", ... */
const char *msp_item_section(msp_item_kind_t kind);

/* Returns "region", "place", ... */
const char *msp_item_kind_name(msp_item_kind_t kind);

#define MSP_ITEM_KEY_SIZE MSP_NAME_SIZE

/* Prints the item's key. */
void msp_print_item_key(
    msp_item_kind_t kind, const void *item, char out[MSP_ITEM_KEY_SIZE]);

/* Appends the item as a JSON object. */
msp_status_t msp_print_item(
    msp_item_kind_t kind, const void *item, msp_buffer_t *out);

/*
 * Returns the route with the longest matching prefix, or NULL. A route of
 * GET matches HEAD too. Of equal prefixes, the exact method wins over GET for
 * HEAD, and both over "*". `path` may include a query.
 */
const msp_service_route_t *msp_match_service_route(
    const msp_service_t *service, const char *method, const char *path);

/* Appends a help table of the JSON keys of all kinds. */
msp_status_t msp_print_items_help(msp_buffer_t *out);

#endif
