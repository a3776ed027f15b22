#ifndef MONSOONSPINDLE_BASE_STATUS_H
#define MONSOONSPINDLE_BASE_STATUS_H

#include <stdbool.h>

/*
 * The one closed list of error kinds, and the table from each kind to the
 * answer that a client gets.
 *
 * A function that can fail returns a msp_status_t and, unless it returns
 * MSP_OK, leaves a message for people in msp_last_message().
 */
typedef enum msp_status {
	MSP_OK = 0,
	/* The request itself is at fault. */
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
	/* The system cannot serve the request now. */
	MSP_E_INTERNAL,
	MSP_E_NO_MEMORY,
	MSP_E_CUT_ANSWER,
	MSP_E_ANSWER_TOO_LARGE,
	MSP_E_IN_DOUBT,
	MSP_E_OVERLOAD,
	MSP_E_NO_TARGET,
	MSP_E_NO_CREDIT,
	MSP_E_QUARANTINED,
	MSP_E_LEAVING,
	MSP_E_NOT_READY,
	MSP_E_STORE_DOWN,
	MSP_E_PEER_DOWN,
	MSP_E_DEADLINE,
	/* Inside a process only. */
	MSP_E_SYNTAX,
	MSP_E_RANGE,
	MSP_E_EXISTS,
	MSP_E_IO,
	MSP_E_CANCELLED,
	/* No answer: whether the call took effect is not known. */
	MSP_E_LOST,
	MSP_STATUS_COUNT
} msp_status_t;

/* What a client is told about one kind of error. */
typedef struct msp_status_info {
	int http_status; /* 200 to 599 */
	const char *kind; /* stable name for programs */
	const char *title; /* one line for people */
	bool has_retry_after; /* the answer carries Retry-After */
} msp_status_info_t;

/*
 * Returns the answer for `status`, never NULL. A value outside the list gets
 * the answer of MSP_E_INTERNAL. The table is static.
 */
const msp_status_info_t *msp_get_status_info(msp_status_t status);

/* Returns the stable name of `status`; a static string. */
const char *msp_status_name(msp_status_t status);

/* Finds a status by its stable name; MSP_E_INTERNAL if there is none. */
msp_status_t msp_find_status(const char *name);

/*
 * Records `fmt` as the last message and returns `status`, so that a caller can
 * write `return msp_fail(MSP_E_RANGE, "...")`. Messages over 511 bytes are cut.
 */
msp_status_t msp_fail(msp_status_t status, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Returns the message of the last failure in this process; never NULL, valid
 * until the next call of msp_fail().
 */
const char *msp_last_message(void);

#endif
