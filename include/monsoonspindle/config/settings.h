#ifndef MONSOONSPINDLE_CONFIG_SETTINGS_H
#define MONSOONSPINDLE_CONFIG_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/buffer.h"

#define MSP_NAME_SIZE 64 /* bytes of a name with its final 0 */
#define MSP_ADDRESS_SIZE 48 /* bytes of an IP address as text */
#define MSP_TOKEN_SIZE 128 /* bytes of an operator's token */
#define MSP_PASS_HEADERS_SIZE 1024 /* bytes of a list of header names */
#define MSP_LOG_FILE_SIZE 256 /* bytes of a file name */
#define MSP_SETTINGS_SEEDS_MAX 64
#define MSP_SETTINGS_PLACES_MAX 256

typedef enum msp_log_level {
	MSP_LOG_ERROR,
	MSP_LOG_WARN,
	MSP_LOG_INFO,
	MSP_LOG_DEBUG
} msp_log_level_t;

/* Limits of the caller and peer listeners. */
typedef struct msp_settings_limits {
	uint32_t max_body_bytes;
	uint32_t max_answer_bytes;
	/* Of the process; a part of it is for requests and responses. */
	uint32_t memory_mb;
	uint32_t max_header_bytes;
	uint32_t max_connections;
	uint32_t head_timeout_ms;
	uint32_t body_timeout_ms;
} msp_settings_limits_t;

typedef struct msp_settings_platform {
	char address[MSP_ADDRESS_SIZE];
	uint16_t port;
} msp_settings_platform_t;

/* "IP:PORT" in the settings. */
typedef struct msp_endpoint {
	char address[MSP_ADDRESS_SIZE];
	uint16_t port; /* 0: absent */
} msp_endpoint_t;

/* A data centre and its region. */
typedef struct msp_settings_place {
	char place[MSP_NAME_SIZE];
	char region[MSP_NAME_SIZE];
} msp_settings_place_t;

/*
 * Settings of a VM that balances requests over targets itself, with routes,
 * targets and evacuations from the platform's store. `callers.port` is 0 if the
 * VM uses release notes and dispatchers instead.
 */
typedef struct msp_settings_edge {
	msp_endpoint_t callers;
	msp_endpoint_t readiness;
	msp_endpoint_t directory;
	msp_endpoint_t store;
	uint16_t metrics_port;
	msp_settings_place_t *places; /* owned */
	size_t place_count;
	/* A cold target gets cold_over * its rate + cold_slack requests/s. */
	double cold_over;
	double cold_slack;
	/* In a window, all VMs' retries of a service are at most this share of
	   its requests, and the slack. */
	double retry_ratio;
	/* Requests by which all VMs may exceed an organisation's limit. */
	uint32_t rate_slack;
	uint32_t retry_slack;
	uint32_t retry_window_ms;
	uint32_t heartbeat_ms; /* heartbeat interval of targets */
	uint32_t drain_ms; /* until a draining target gets no new requests */
	uint32_t stop_grace_ms; /* time from SIGTERM to the exit */
	uint32_t directory_ttl_ms; /* how long clients may cache a response */
	uint32_t far_prior_ms; /* extra latency of a region until measured */
	double link_mbps; /* of the VM's network link; 0: not known */
} msp_settings_edge_t;

/* A VM to join the membership through, besides the platform's list. */
typedef struct msp_settings_seed {
	char address[MSP_ADDRESS_SIZE];
	uint16_t peer_port;
} msp_settings_seed_t;

typedef struct msp_settings_log {
	msp_log_level_t level;
	char file[MSP_LOG_FILE_SIZE]; /* "": stderr, "-": stdout */
} msp_settings_log_t;

/*
 * The settings of one VM. IP addresses are in canonical form. The table of
 * msp_print_settings_help() says what each member means.
 */
typedef struct msp_settings {
	char vm[MSP_NAME_SIZE];
	char region[MSP_NAME_SIZE];
	char place[MSP_NAME_SIZE]; /* data centre */
	char address[MSP_ADDRESS_SIZE];
	uint16_t caller_port;
	uint16_t peer_port; /* HTTP on TCP and ONC RPC on UDP */
	uint16_t operator_port;
	char operator_token[MSP_TOKEN_SIZE];
	msp_settings_platform_t platform;
	msp_settings_edge_t edge;
	msp_settings_seed_t *seeds; /* owned */
	size_t seed_count;
	char pass_headers[MSP_PASS_HEADERS_SIZE]; /* comma-separated */
	msp_settings_limits_t limits;
	uint32_t lookup_ttl_ms;
	uint32_t gossip_period_ms;
	uint32_t suspicion_ms;
	uint32_t claim_retention_s;
	uint32_t claim_batch_ms;
	uint32_t drain_min_ms;
	msp_settings_log_t log;
} msp_settings_t;

/* The data centre of this name among those of the settings; or NULL. */
const msp_settings_place_t *msp_find_settings_place(
    const msp_settings_edge_t *edge, const char *place);

/*
 * Loads settings in JSON with comments. Unknown, duplicate and missing keys,
 * wrong types and values out of range are errors; the message contains the
 * file, the key and the allowed range.
 *
 * On MSP_OK the caller must drop `settings`; otherwise it is empty.
 * MSP_E_IO        the file can't be read
 * MSP_E_TOO_LARGE the file is larger than 256 KiB
 * MSP_E_SYNTAX    the file isn't valid JSON
 * MSP_E_RANGE     a key is invalid
 */
msp_status_t msp_load_settings(const char *path, msp_settings_t *settings);

/* Parses settings from text; messages contain `origin` as the file name. */
msp_status_t msp_parse_settings(
    const char *text, size_t len, const char *origin, msp_settings_t *settings);

/* Frees what `settings` owns and empties it. */
void msp_drop_settings(msp_settings_t *settings);

/* Appends a help table of all keys: type, range, default and meaning. */
msp_status_t msp_print_settings_help(msp_buffer_t *out);

#endif
