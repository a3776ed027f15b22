#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "item_descriptor.h"

#define SLOTS_MAX 10000
#define DAY_MS 86400000

/* Precedes each item in memory; its size keeps the item's alignment. */
typedef struct item_header {
	_Alignas(max_align_t) uint32_t ref_count;
} item_header_t;

static const char *const states[] = {
    [MSP_STATE_ACTIVE] = "active",
    [MSP_STATE_DRAINING] = "draining",
    NULL,
};

static const char *const priorities[] = {
    [MSP_PRIORITY_LATENCY] = "latency",
    [MSP_PRIORITY_HEADROOM] = "headroom",
    NULL,
};

static const char *const classes[] = {
    [MSP_CLASS_INTERACTIVE] = "interactive",
    [MSP_CLASS_COMMIT] = "commit",
    [MSP_CLASS_BACKGROUND] = "background",
    NULL,
};

#define NAME(struct_, member_, min_, help_)                            \
	{                                                              \
		.name = #member_, FIELD(FIELD_NAME, struct_, member_), \
		.min = (min_), .max = MSP_NAME_SIZE - 1,               \
		.required = (min_) > 0, .help = (help_)                \
	}

#define NUMBER(struct_, member_, min_, max_, default_, help_)              \
	{                                                                  \
		.name = #member_, FIELD(FIELD_UINT, struct_, member_),     \
		.min = (min_), .max = (max_), .default_value = (default_), \
		.help = (help_)                                            \
	}

#define REQUIRED_NUMBER(struct_, member_, min_, max_, help_)           \
	{                                                              \
		.name = #member_, FIELD(FIELD_UINT, struct_, member_), \
		.min = (min_), .max = (max_), .required = true,        \
		.help = (help_)                                        \
	}

#define ENUM(struct_, member_, values_, default_, help_)               \
	{                                                              \
		.name = #member_, FIELD(FIELD_ENUM, struct_, member_), \
		.choices = (values_), .default_value = (default_),     \
		.help = (help_)                                        \
	}

static const field_t region_fields[] = {
    NAME(msp_region_t, name, 1, "name of the region"),
    {0},
};

static const field_t place_fields[] = {
    NAME(msp_place_t, name, 1, "name of the data centre"),
    NAME(msp_place_t, region, 1, "its region"),
    ENUM(msp_place_t, state, states, MSP_STATE_ACTIVE,
	"whether it gets new requests"),
    {0},
};

static const field_t link_fields[] = {
    NAME(msp_link_t, name, 1, "name of the link"),
    NAME(msp_link_t, region_a, 1, "one end"),
    NAME(msp_link_t, region_b, 1, "the other end"),
    REQUIRED_NUMBER(msp_link_t, max_requests_per_s, 1, 1000000000,
	"limit of spillover requests per second, each way"),
    REQUIRED_NUMBER(msp_link_t, max_bytes_per_s, 1, 1000000000000000,
	"limit of spillover bytes per second, each way"),
    {0},
};

static const field_t route_fields[] = {
    {
	.name = "method",
	FIELD(FIELD_STRING, msp_service_route_t, method),
	.min = 1,
	.max = MSP_METHOD_SIZE - 1,
	.required = true,
	.help = "HTTP method, * for any",
    },
    {
	.name = "prefix",
	FIELD(FIELD_STRING, msp_service_route_t, prefix),
	.min = 1,
	.max = MSP_ROUTE_PREFIX_SIZE - 1,
	.required = true,
	.help = "path prefix, beginning with /",
    },
    {
	.name = "class",
	FIELD(FIELD_ENUM, msp_service_route_t, class),
	.choices = classes,
	.required = true,
	.help = "interactive, commit or background",
    },
    NUMBER(msp_service_route_t, deadline_ms, 0, 600000, 0,
	"default deadline; 0: that of the service"),
    {0},
};

static const field_t service_fields[] = {
    NAME(msp_service_t, name, 1, "name of the service"),
    ENUM(msp_service_t, priority, priorities, MSP_PRIORITY_LATENCY,
	"what the service favours under load"),
    NUMBER(msp_service_t, deadline_ms, 10, 600000, 10000,
	"deadline of requests without their own"),
    NUMBER(msp_service_t, max_age_ms, 1000, DAY_MS, 3600000,
	"maximum age of a request's first attempt"),
    NUMBER(msp_service_t, retry_budget_percent, 0, 100, 10,
	"retries and hedges, percent of requests"),
    NUMBER(msp_service_t, reserve_percent, 0, 100, MSP_RESERVE_BY_PRIORITY,
	"percent of slots kept from background requests; 100: by the priority"),
    NUMBER(msp_service_t, ramp_ms, 0, 600000, 10000,
	"time until a cold target gets its full load"),
    {
	.name = "hedging",
	FIELD(FIELD_BOOL, msp_service_t, hedging),
	.default_value = true,
	.help = "send slow reads to a second target",
    },
    {
	.name = "spill",
	FIELD(FIELD_BOOL, msp_service_t, spill),
	.default_value = true,
	.help = "send excess requests to other regions",
    },
    {
	.name = "load_path",
	FIELD(FIELD_STRING, msp_service_t, load_path),
	.max = MSP_ROUTE_PREFIX_SIZE - 1,
	.help = "path of the load report of targets; absent: none",
    },
    {
	.name = "routes",
	.type = FIELD_LIST,
	.offset = offsetof(msp_service_t, routes),
	.count_offset = offsetof(msp_service_t, route_count),
	.size = sizeof(msp_service_route_t),
	.max = MSP_SERVICE_ROUTES_MAX,
	.fields = route_fields,
	.help = "classes by method and path; other requests are commits",
    },
    {0},
};

static const field_t target_fields[] = {
    NAME(msp_target_t, name, 1, "name of the target"),
    NAME(msp_target_t, service, 1, "its service"),
    NAME(msp_target_t, place, 1, "its data centre"),
    {
	.name = "address",
	FIELD(FIELD_ADDRESS, msp_target_t, address),
	.required = true,
	.help = "IP address",
    },
    REQUIRED_NUMBER(msp_target_t, port, 1, 65535, "TCP port"),
    REQUIRED_NUMBER(
	msp_target_t, slots, 1, SLOTS_MAX, "maximum of concurrent requests"),
    ENUM(msp_target_t, state, states, MSP_STATE_ACTIVE,
	"whether it gets new requests"),
    {0},
};

static const field_t block_fields[] = {
    {
	.name = "prefix",
	FIELD(FIELD_PREFIX, msp_release_block_t, prefix),
	.required = true,
	.help = "address block of the clients",
    },
    NAME(msp_release_block_t, region, 1, "nearest region"),
    NAME(msp_release_block_t, place, 0, "nearest data centre, if any"),
    {0},
};

static const item_descriptor_t descriptors[MSP_ITEM_KIND_COUNT] = {
    [MSP_ITEM_REGION] = {"region", "regions", region_fields,
	sizeof(msp_region_t), 256, false},
    [MSP_ITEM_PLACE] = {"place", "places", place_fields, sizeof(msp_place_t),
	4096, false},
    [MSP_ITEM_LINK] = {"link", "links", link_fields, sizeof(msp_link_t), 32640,
	false},
    [MSP_ITEM_SERVICE] = {"service", "services", service_fields,
	sizeof(msp_service_t), 4096, false},
    [MSP_ITEM_TARGET] = {"target", "targets", target_fields,
	sizeof(msp_target_t), 1000000, false},
    [MSP_ITEM_BLOCK] = {"block", "blocks", block_fields,
	sizeof(msp_release_block_t), 8000000, true},
};

const item_descriptor_t *
get_item_descriptor(msp_item_kind_t kind)
{
	return &descriptors[kind];
}

const char *
msp_item_section(msp_item_kind_t kind)
{
	return descriptors[kind].section;
}

const char *
msp_item_kind_name(msp_item_kind_t kind)
{
	return descriptors[kind].name;
}

static item_header_t *
get_header(const void *item)
{
	return (item_header_t *)((char *)item - sizeof(item_header_t));
}

void *
new_item(msp_item_kind_t kind)
{
	item_header_t *header =
	    calloc(1, sizeof(*header) + descriptors[kind].size);

	if (header == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for an item");
		return NULL;
	}
	header->ref_count = 1;
	return header + 1;
}

const void *
keep_item(const void *item)
{
	get_header(item)->ref_count++;
	return item;
}

void
drop_item(msp_item_kind_t kind, const void *item)
{
	item_header_t *header;

	if (item == NULL)
		return;
	header = get_header(item);
	if (--header->ref_count > 0)
		return;
	drop_fields(descriptors[kind].fields, header + 1);
	free(header);
}

/* Structs of all descriptors except client blocks begin with the name. */
int
compare_items(msp_item_kind_t kind, const void *a, const void *b)
{
	if (descriptors[kind].by_prefix)
		return msp_compare_prefixes(
		    &((const msp_release_block_t *)a)->prefix,
		    &((const msp_release_block_t *)b)->prefix);
	return strcmp(a, b);
}

void
copy_item_key(msp_item_kind_t kind, const void *from, void *to)
{
	memcpy(to, from,
	    descriptors[kind].by_prefix ? sizeof(msp_prefix_t) : MSP_NAME_SIZE);
}

void
msp_print_item_key(
    msp_item_kind_t kind, const void *item, char out[MSP_ITEM_KEY_SIZE])
{
	if (descriptors[kind].by_prefix)
		msp_print_prefix(
		    &((const msp_release_block_t *)item)->prefix, out);
	else
		memcpy(out, item, MSP_NAME_SIZE);
}

msp_status_t
msp_print_item(msp_item_kind_t kind, const void *item, msp_buffer_t *out)
{
	return print_fields(descriptors[kind].fields, item, out);
}

msp_status_t
msp_print_items_help(msp_buffer_t *out)
{
	msp_status_t status = MSP_OK;
	unsigned int kind;
	char prefix[32];

	for (kind = 0; kind < MSP_ITEM_KIND_COUNT && status == MSP_OK; kind++) {
		snprintf(
		    prefix, sizeof(prefix), "%s[].", descriptors[kind].section);
		status =
		    print_fields_help(descriptors[kind].fields, prefix, out);
	}
	return status;
}
