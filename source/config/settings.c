#include "monsoonspindle/config/settings.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "field.h"
#include "monsoonspindle/config/prefix.h"

#define SETTINGS_BYTES_MAX (256 * 1024)
#define CALLER_PORT_HELP "HTTP from callers"
#define OPERATOR_PORT_HELP "HTTP from operators"
#define OPERATOR_TOKEN_HELP "secret that operators send"
#define ADDRESS_HELP "IP address that all listeners bind"
#define PLATFORM_ADDRESS_HELP "IP address of the platform"
#define PLATFORM_PORT_HELP "port of the platform"
/* Minimum of suspicion_ms, in gossip periods. */
#define SUSPICION_PERIODS_MIN 2

static const char *const log_levels[] = {
    [MSP_LOG_ERROR] = "error",
    [MSP_LOG_WARN] = "warn",
    [MSP_LOG_INFO] = "info",
    [MSP_LOG_DEBUG] = "debug",
    NULL,
};

#define NUMBER(name_, struct_, member_, min_, max_, default_, help_)       \
	{                                                                  \
		.name = (name_), FIELD(FIELD_UINT, struct_, member_),      \
		.min = (min_), .max = (max_), .default_value = (default_), \
		.help = (help_)                                            \
	}

#define PORT(name_, struct_, member_, help_)                              \
	{                                                                 \
		.name = (name_), FIELD(FIELD_UINT, struct_, member_),     \
		.min = 1, .max = 65535, .required = true, .help = (help_) \
	}

/*
 * A port that may be absent. Without `edge`, check_dispatcher_settings()
 * requires all of these but metrics_port.
 */
#define OPTIONAL_PORT(name_, struct_, member_, help_)                 \
	{                                                             \
		.name = (name_), FIELD(FIELD_UINT, struct_, member_), \
		.min = 1, .max = 65535, .help = (help_)               \
	}

#define ENDPOINT(name_, member_, help_)                              \
	{                                                            \
		.name = (name_),                                     \
		FIELD(FIELD_ENDPOINT, msp_settings_edge_t, member_), \
		.help = (help_)                                      \
	}

#define DOUBLE(name_, member_, max_, default_, help_)                       \
	{                                                                   \
		.name = (name_),                                            \
		FIELD(FIELD_DOUBLE, msp_settings_edge_t, member_),          \
		.max = (max_), .default_value = (default_), .help = (help_) \
	}

#define NAME(name_, member_, help_)                                          \
	{                                                                    \
		.name = (name_), FIELD(FIELD_NAME, msp_settings_t, member_), \
		.min = 1, .max = MSP_NAME_SIZE - 1, .required = true,        \
		.help = (help_)                                              \
	}

#define ADDRESS(struct_, help_)                                            \
	{                                                                  \
		.name = "address", FIELD(FIELD_ADDRESS, struct_, address), \
		.required = true, .help = (help_)                          \
	}

static const field_t platform_fields[] = {
    {
	.name = "address",
	FIELD(FIELD_ADDRESS, msp_settings_platform_t, address),
	.help = PLATFORM_ADDRESS_HELP,
    },
    OPTIONAL_PORT("port", msp_settings_platform_t, port, PLATFORM_PORT_HELP),
    {0},
};

static const field_t place_fields[] = {
    {
	.name = "place",
	FIELD(FIELD_NAME, msp_settings_place_t, place),
	.min = 1,
	.max = MSP_NAME_SIZE - 1,
	.required = true,
	.help = "data centre",
    },
    {
	.name = "region",
	FIELD(FIELD_NAME, msp_settings_place_t, region),
	.min = 1,
	.max = MSP_NAME_SIZE - 1,
	.required = true,
	.help = "its region",
    },
    {0},
};

/* Defaults of DOUBLE() are in thousandths. */
static const field_t edge_fields[] = {
    ENDPOINT("callers", callers, "HTTP from callers"),
    ENDPOINT("readiness", readiness, "HTTP: readiness of the VM"),
    ENDPOINT("directory", directory, "HTTP: directory of the VMs for clients"),
    ENDPOINT("store", store, "the platform's store"),
    OPTIONAL_PORT("metrics_port", msp_settings_edge_t, metrics_port,
	"HTTP: counters and histograms"),
    {
	.name = "places",
	.type = FIELD_LIST,
	.offset = offsetof(msp_settings_edge_t, places),
	.count_offset = offsetof(msp_settings_edge_t, place_count),
	.size = sizeof(msp_settings_place_t),
	.max = MSP_SETTINGS_PLACES_MAX,
	.fields = place_fields,
	.help = "all data centres and their regions",
    },
    DOUBLE("cold_over", cold_over, 100, 1000,
	"factor on the request rate of a cold target"),
    DOUBLE("cold_slack", cold_slack, 100000, 0,
	"requests per second added to that rate"),
    DOUBLE("retry_ratio", retry_ratio, 10, 100,
	"retries per request, over all VMs"),
    NUMBER("rate_slack", msp_settings_edge_t, rate_slack, 0, 1000000, 0,
	"requests by which all VMs may exceed an organisation's limit"),
    NUMBER("retry_slack", msp_settings_edge_t, retry_slack, 0, 1000000, 0,
	"retries beyond that in a window, of all VMs together"),
    NUMBER("retry_window_ms", msp_settings_edge_t, retry_window_ms, 1000,
	600000, 10000, "the window in which retries are counted"),
    NUMBER("heartbeat_ms", msp_settings_edge_t, heartbeat_ms, 50, 600000, 1500,
	"heartbeat interval of targets"),
    NUMBER("drain_ms", msp_settings_edge_t, drain_ms, 100, 600000, 2500,
	"time until a draining target gets no new requests"),
    NUMBER("stop_grace_ms", msp_settings_edge_t, stop_grace_ms, 500, 600000,
	6000, "time from SIGTERM to the end of the process"),
    NUMBER("directory_ttl_ms", msp_settings_edge_t, directory_ttl_ms, 100,
	60000, 2000, "how long clients may cache a directory response"),
    NUMBER("far_prior_ms", msp_settings_edge_t, far_prior_ms, 0, 10000, 100,
	"round trip to another region until it is measured"),
    DOUBLE("link_mbps", link_mbps, 1000000, 0,
	"speed of this VM's network link, Mbit/s; 0: not known"),
    {0},
};

static const field_t seed_fields[] = {
    ADDRESS(msp_settings_seed_t, "IP address of another VM"),
    PORT("peer_port", msp_settings_seed_t, peer_port, "its peer_port"),
    {0},
};

static const field_t limits_fields[] = {
    NUMBER("max_body_bytes", msp_settings_limits_t, max_body_bytes, 1024,
	64 << 20, 1 << 20, "bytes of a request body"),
    NUMBER("max_answer_bytes", msp_settings_limits_t, max_answer_bytes, 1024,
	256 << 20, 8 << 20, "bytes of a target's response"),
    NUMBER("memory_mb", msp_settings_limits_t, memory_mb, 32, 1 << 20, 160,
	"memory of the process, MiB; a part is for bodies in flight"),
    NUMBER("max_header_bytes", msp_settings_limits_t, max_header_bytes, 1024,
	65536, 16384, "bytes of request line and headers"),
    NUMBER("max_connections", msp_settings_limits_t, max_connections, 16, 65536,
	4096, "connections of one listener"),
    NUMBER("head_timeout_ms", msp_settings_limits_t, head_timeout_ms, 100,
	600000, 10000, "time for request line and headers"),
    NUMBER("body_timeout_ms", msp_settings_limits_t, body_timeout_ms, 100,
	600000, 30000, "time for the whole body"),
    {0},
};

static const field_t log_fields[] = {
    {
	.name = "level",
	FIELD(FIELD_ENUM, msp_settings_log_t, level),
	.choices = log_levels,
	.default_value = MSP_LOG_INFO,
	.help = "lowest level that is logged",
    },
    {
	.name = "file",
	FIELD(FIELD_STRING, msp_settings_log_t, file),
	.max = MSP_LOG_FILE_SIZE - 1,
	.help = "log file; standard error if absent",
    },
    {0},
};

static const field_t settings_fields[] = {
    NAME("vm", vm, "name of this VM"),
    NAME("region", region, "region of this VM"),
    NAME("place", place, "data centre of this VM"),
    {
	.name = "address",
	FIELD(FIELD_ADDRESS, msp_settings_t, address),
	.help = ADDRESS_HELP,
    },
    OPTIONAL_PORT("caller_port", msp_settings_t, caller_port, CALLER_PORT_HELP),
    PORT("peer_port", msp_settings_t, peer_port,
	"HTTP on TCP and ONC RPC on UDP between VMs"),
    OPTIONAL_PORT(
	"operator_port", msp_settings_t, operator_port, OPERATOR_PORT_HELP),
    {
	.name = "operator_token",
	FIELD(FIELD_STRING, msp_settings_t, operator_token),
	.min = 16,
	.max = MSP_TOKEN_SIZE - 1,
	.help = OPERATOR_TOKEN_HELP,
    },
    {
	.name = "platform",
	FIELD(FIELD_OBJECT, msp_settings_t, platform),
	.fields = platform_fields,
	.help = "object with address and port",
    },
    {
	.name = "edge",
	FIELD(FIELD_OBJECT, msp_settings_t, edge),
	.fields = edge_fields,
	.help = "for a VM that balances requests over targets itself",
    },
    {
	.name = "seeds",
	.type = FIELD_LIST,
	.offset = offsetof(msp_settings_t, seeds),
	.count_offset = offsetof(msp_settings_t, seed_count),
	.size = sizeof(msp_settings_seed_t),
	.max = MSP_SETTINGS_SEEDS_MAX,
	.fields = seed_fields,
	.help = "VMs to join the membership through",
    },
    {
	.name = "pass_headers",
	FIELD(FIELD_STRING, msp_settings_t, pass_headers),
	.max = MSP_PASS_HEADERS_SIZE - 1,
	.help = "further header names of responses to forward, comma-separated",
    },
    {
	.name = "limits",
	FIELD(FIELD_OBJECT, msp_settings_t, limits),
	.fields = limits_fields,
	.help = "limits of the listeners",
    },
    NUMBER("lookup_ttl_ms", msp_settings_t, lookup_ttl_ms, 100, 60000, 2000,
	"how long callers may cache a lookup"),
    NUMBER("gossip_period_ms", msp_settings_t, gossip_period_ms, 20, 10000, 200,
	"interval of membership probes"),
    NUMBER("suspicion_ms", msp_settings_t, suspicion_ms, 100, 60000, 1500,
	"time until a suspect member is declared dead"),
    NUMBER("claim_retention_s", msp_settings_t, claim_retention_s, 60, 2592000,
	86400, "retention of the claims of commits"),
    NUMBER("claim_batch_ms", msp_settings_t, claim_batch_ms, 0, 100, 5,
	"longest wait of a claim for its batch"),
    NUMBER("drain_min_ms", msp_settings_t, drain_min_ms, 0, 600000, 3000,
	"minimum time between SIGTERM and exit"),
    {
	.name = "log",
	FIELD(FIELD_OBJECT, msp_settings_t, log),
	.fields = log_fields,
	.help = "the decision log",
    },
    {0},
};

static msp_status_t
fail_missing(field_context_t *context, const char *key, const char *help)
{
	push_field_path(context, key, 0);
	return fail_field(context, "missing; %s", help);
}

/* Checks the keys of a VM that uses release notes and dispatchers. */
static msp_status_t
check_dispatcher_settings(
    field_context_t *context, const msp_settings_t *settings)
{
	if (settings->address[0] == '\0')
		return fail_missing(context, "address", ADDRESS_HELP);
	if (settings->caller_port == 0)
		return fail_missing(context, "caller_port", CALLER_PORT_HELP);
	if (settings->operator_port == 0)
		return fail_missing(
		    context, "operator_port", OPERATOR_PORT_HELP);
	if (settings->operator_token[0] == '\0')
		return fail_missing(
		    context, "operator_token", OPERATOR_TOKEN_HELP);
	if (settings->platform.address[0] == '\0')
		return fail_missing(
		    context, "platform.address", PLATFORM_ADDRESS_HELP);
	if (settings->platform.port == 0)
		return fail_missing(
		    context, "platform.port", PLATFORM_PORT_HELP);
	return MSP_OK;
}

const msp_settings_place_t *
msp_find_settings_place(const msp_settings_edge_t *edge, const char *place)
{
	size_t i;

	for (i = 0; i < edge->place_count; i++) {
		if (strcmp(edge->places[i].place, place) == 0)
			return &edge->places[i];
	}
	return NULL;
}

/* Checks the keys of a VM that balances requests over targets itself. */
static msp_status_t
check_edge_settings(field_context_t *context, msp_settings_t *settings)
{
	msp_settings_edge_t *edge = &settings->edge;

	push_field_path(context, "edge", 0);
	if (edge->readiness.port == 0)
		return fail_missing(context, "readiness", "IP:PORT");
	if (edge->directory.port == 0)
		return fail_missing(context, "directory", "IP:PORT");
	if (edge->store.port == 0)
		return fail_missing(context, "store", "IP:PORT");
	if (msp_find_settings_place(edge, settings->place) == NULL) {
		push_field_path(context, "places", 0);
		return fail_field(
		    context, "does not contain \"%s\"", settings->place);
	}
	memcpy(settings->address, edge->callers.address,
	    sizeof(settings->address));
	settings->caller_port = edge->callers.port;
	return MSP_OK;
}

/* Checks the settings that depend on each other. */
static msp_status_t
check_consistency(field_context_t *context, msp_settings_t *settings)
{
	const char *key = NULL;
	msp_status_t status = settings->edge.callers.port != 0
	    ? check_edge_settings(context, settings)
	    : check_dispatcher_settings(context, settings);

	if (status != MSP_OK)
		return status;
	if (settings->peer_port == settings->caller_port)
		key = "peer_port";
	if (settings->operator_port == settings->caller_port ||
	    settings->operator_port == settings->peer_port)
		key = "operator_port";
	if (key != NULL) {
		push_field_path(context, key, 0);
		return fail_field(context,
		    "caller_port, peer_port and operator_port must differ");
	}
	if (settings->suspicion_ms <
	    SUSPICION_PERIODS_MIN * settings->gossip_period_ms) {
		push_field_path(context, "suspicion_ms", 0);
		return fail_field(context,
		    "%u is below twice gossip_period_ms, %u",
		    settings->suspicion_ms,
		    SUSPICION_PERIODS_MIN * settings->gossip_period_ms);
	}
	return MSP_OK;
}

msp_status_t
msp_parse_settings(
    const char *text, size_t len, const char *origin, msp_settings_t *settings)
{
	field_context_t context = {.origin = origin};
	struct json_object *object;
	msp_status_t status;

	memset(settings, 0, sizeof(*settings));
	if (len > SETTINGS_BYTES_MAX)
		return msp_fail(MSP_E_TOO_LARGE,
		    "%s: document: larger than %d bytes", origin,
		    SETTINGS_BYTES_MAX);
	object = parse_json_document(text, len, origin, &status);
	if (object == NULL)
		return status;
	status = read_fields(&context, object, settings_fields, settings);
	json_object_put(object);
	if (status == MSP_OK)
		status = check_consistency(&context, settings);
	if (status != MSP_OK)
		msp_drop_settings(settings);
	return status;
}

static msp_status_t
read_file(const char *path, msp_buffer_t *text)
{
	FILE *file = fopen(path, "r");
	msp_status_t status;

	if (file == NULL)
		return msp_fail(MSP_E_IO, "%s: %s", path, strerror(errno));
	status = msp_append_stream(text, file, path);
	fclose(file);
	if (status == MSP_E_TOO_LARGE)
		msp_fail(status, "%s: document: larger than %zu bytes", path,
		    text->limit);
	return status;
}

msp_status_t
msp_load_settings(const char *path, msp_settings_t *settings)
{
	msp_buffer_t text = {.limit = SETTINGS_BYTES_MAX};
	msp_status_t status;

	memset(settings, 0, sizeof(*settings));
	status = read_file(path, &text);
	if (status == MSP_OK)
		status = msp_parse_settings(
		    msp_buffer_text(&text), text.len, path, settings);
	msp_drop_buffer(&text);
	return status;
}

void
msp_drop_settings(msp_settings_t *settings)
{
	drop_fields(settings_fields, settings);
	memset(settings, 0, sizeof(*settings));
}

msp_status_t
msp_print_settings_help(msp_buffer_t *out)
{
	msp_status_t status = msp_append_printf(
	    out, "%-26s %-24s %-10s %s\n", "KEY", "TYPE", "DEFAULT", "MEANING");

	if (status != MSP_OK)
		return status;
	return print_fields_help(settings_fields, "", out);
}
