#ifndef MONSOONSPINDLE_BASE_STATUS_H
#define MONSOONSPINDLE_BASE_STATUS_H

#include <stdbool.h>

/*
 * All error codes, each with the HTTP response that a client gets for it.
 *
 * A function that can fail returns a msp_status_t. Unless it is MSP_OK,
 * msp_last_message() returns a description for people.
 */
typedef enum msp_status {
	MSP_OK = 0,
	/* Errors in the request. */
	MSP_E_BAD_REQUEST,
	MSP_E_NO_IDEMPOTENCY_KEY,
	MSP_E_UNAUTHORIZED,
	MSP_E_UNKNOWN_SERVICE,
	MSP_E_UNKNOWN_ROUTE,
	MSP_E_NOT_FOUND,
	MSP_E_METHOD,
	MSP_E_REQUEST_TIMEOUT,
	MSP_E_CONFLICT,
	MSP_E_KEY_EXPIRED,
	MSP_E_TOO_LARGE,
	MSP_E_KEY_MISMATCH,
	MSP_E_INVALID_NOTE,
	MSP_E_HEADERS_TOO_LARGE,
	/* The request can't be served now. */
	MSP_E_INTERNAL,
	MSP_E_NO_MEMORY,
	MSP_E_TRUNCATED_RESPONSE, /* the target's response was truncated */
	MSP_E_RESPONSE_TOO_LARGE,
	MSP_E_IN_DOUBT, /* a commit may have been executed */
	MSP_E_OVERLOAD,
	MSP_E_NO_TARGET,
	MSP_E_NO_CREDIT, /* the place grants no more spillover capacity */
	MSP_E_QUARANTINED, /* requests like this one crashed targets */
	MSP_E_LEAVING, /* this VM shuts down as planned */
	MSP_E_NOT_READY,
	MSP_E_STORE_DOWN,
	MSP_E_PEER_DOWN,
	MSP_E_DEADLINE,
	/* Used only inside a process. */
	MSP_E_SYNTAX,
	MSP_E_RANGE,
	MSP_E_EXISTS,
	MSP_E_IO,
	MSP_E_CANCELLED,
	/* No reply: the call may or may not have taken effect. */
	MSP_E_LOST,
	MSP_STATUS_COUNT
} msp_status_t;

/* The HTTP response to one status. */
typedef struct msp_status_info {
	int http_status; /* 200 to 599 */
	const char *kind; /* stable identifier */
	const char *title; /* one line of text */
	bool has_retry_after; /* send Retry-After */
} msp_status_info_t;

/*
 * Returns the static entry of `status`, never NULL. A value outside the enum
 * yields the entry of MSP_E_INTERNAL.
 */
const msp_status_info_t *msp_get_status_info(msp_status_t status);

/* Returns the stable identifier of `status`, a static string. */
const char *msp_status_name(msp_status_t status);

/* Returns the status with this identifier, else MSP_E_INTERNAL. */
msp_status_t msp_find_status(const char *name);

/*
 * Sets the last message and returns `status`, so that a caller can write
 * `return msp_fail(MSP_E_RANGE, "...")`. Messages are truncated to 511 bytes.
 */
msp_status_t msp_fail(msp_status_t status, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Returns the message of the last failure in this process, never NULL and
 * valid until the next call of msp_fail().
 */
const char *msp_last_message(void);

#endif
