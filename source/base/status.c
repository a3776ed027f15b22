#include "monsoonspindle/base/status.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define MESSAGE_SIZE 512

static char last_message[MESSAGE_SIZE];

static const msp_status_info_t infos[MSP_STATUS_COUNT] = {
    [MSP_OK] = {200, "ok", "OK", false},
    [MSP_E_BAD_REQUEST] = {400, "bad-request", "Malformed request", false},
    [MSP_E_NO_IDEMPOTENCY_KEY] = {400, "no-idempotency-key",
	"This route needs an Idempotency-Key", false},
    [MSP_E_UNAUTHORIZED] = {401, "unauthorized",
	"A valid operator token is needed", false},
    [MSP_E_UNKNOWN_SERVICE] = {404, "unknown-service", "No such service",
	false},
    [MSP_E_UNKNOWN_ROUTE] = {404, "unknown-route", "No such route", false},
    [MSP_E_NOT_FOUND] = {404, "not-found", "Not found", false},
    [MSP_E_METHOD] = {405, "method-not-allowed", "Method not allowed here",
	false},
    [MSP_E_REQUEST_TIMEOUT] = {408, "request-timeout",
	"The request did not arrive in time", false},
    [MSP_E_CONFLICT] = {409, "conflict", "Conflicts with a newer change",
	false},
    [MSP_E_KEY_EXPIRED] = {410, "key-expired",
	"The idempotency key is past its lifetime", false},
    [MSP_E_TOO_LARGE] = {413, "too-large", "Request body too large", false},
    [MSP_E_KEY_MISMATCH] = {422, "key-mismatch",
	"The idempotency key was used with another request", false},
    [MSP_E_INVALID_NOTE] = {422, "invalid-note",
	"The release note is not valid", false},
    [MSP_E_HEADERS_TOO_LARGE] = {431, "headers-too-large",
	"Request headers too large", false},
    [MSP_E_INTERNAL] = {500, "internal", "Internal error", false},
    [MSP_E_NO_MEMORY] = {503, "no-memory", "Out of memory", true},
    [MSP_E_TRUNCATED_RESPONSE] = {502, "cut-answer",
	"The target's answer was not whole", true},
    [MSP_E_RESPONSE_TOO_LARGE] = {502, "answer-too-large",
	"The target's answer is too large", false},
    [MSP_E_IN_DOUBT] = {502, "in-doubt", "Whether the request ran is not known",
	false},
    [MSP_E_OVERLOAD] = {503, "overload",
	"The wait would be longer than the deadline", true},
    [MSP_E_NO_TARGET] = {503, "no-target", "No target can take it", true},
    [MSP_E_NO_CREDIT] = {503, "no-credit",
	"The place has not offered capacity for this shift", true},
    [MSP_E_QUARANTINED] = {503, "quarantined",
	"This request stopped the targets that ran it", true},
    [MSP_E_LEAVING] = {503, "leaving", "This VM is leaving", true},
    [MSP_E_NOT_READY] = {503, "not-ready", "This VM has no release yet", true},
    [MSP_E_STORE_DOWN] = {503, "store-down",
	"The platform's store is not reachable", true},
    [MSP_E_PEER_DOWN] = {503, "peer-down", "The dispatcher is not reachable",
	true},
    [MSP_E_DEADLINE] = {504, "deadline", "The deadline has passed", false},
    [MSP_E_SYNTAX] = {400, "syntax", "Syntax error", false},
    [MSP_E_RANGE] = {400, "range", "Value out of range", false},
    [MSP_E_EXISTS] = {409, "exists", "Exists already", false},
    [MSP_E_IO] = {502, "io", "Input or output failed", true},
    [MSP_E_CANCELLED] = {499, "cancelled", "The client went away", false},
    [MSP_E_LOST] = {502, "lost", "No answer; the effect is not known", false},
};

const msp_status_info_t *
msp_get_status_info(msp_status_t status)
{
	if ((unsigned int)status >= MSP_STATUS_COUNT)
		status = MSP_E_INTERNAL;
	return &infos[status];
}

const char *
msp_status_name(msp_status_t status)
{
	return msp_get_status_info(status)->kind;
}

msp_status_t
msp_find_status(const char *name)
{
	unsigned int i;

	for (i = 0; i < MSP_STATUS_COUNT; i++) {
		if (strcmp(infos[i].kind, name) == 0)
			return (msp_status_t)i;
	}
	return MSP_E_INTERNAL;
}

msp_status_t
msp_fail(msp_status_t status, const char *fmt, ...)
{
	char text[MESSAGE_SIZE];
	va_list args;

	/* An argument may point to last_message, so format elsewhere first. */
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	memcpy(last_message, text, sizeof(text));
	return status;
}

const char *
msp_last_message(void)
{
	return last_message;
}
