#include "monsoonspindle/net/http.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Bytes of a formatted header value, including the final NUL. */
#define VALUE_MAX 1024

msp_status_t
msp_add_header(msp_headers_t *headers, const char *name, const char *value)
{
	msp_header_t field;

	if (headers->count == MSP_HEADERS_MAX)
		return msp_fail(MSP_E_HEADERS_TOO_LARGE,
		    "message has more than %d header fields", MSP_HEADERS_MAX);
	field.name = strdup(name);
	field.value = strdup(value);
	if (field.name == NULL || field.value == NULL) {
		free(field.name);
		free(field.value);
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a header");
	}
	headers->fields[headers->count++] = field;
	return MSP_OK;
}

msp_status_t
msp_print_header(msp_headers_t *headers, const char *name, const char *fmt, ...)
{
	char value[VALUE_MAX];
	va_list args;
	int len;

	va_start(args, fmt);
	len = vsnprintf(value, sizeof(value), fmt, args);
	va_end(args);
	if (len < 0 || (size_t)len >= sizeof(value))
		return msp_fail(
		    MSP_E_TOO_LARGE, "header \"%s\" is too long", name);
	return msp_add_header(headers, name, value);
}

const char *
msp_find_header(const msp_headers_t *headers, const char *name)
{
	size_t i;

	for (i = 0; i < headers->count; i++) {
		if (strcasecmp(headers->fields[i].name, name) == 0)
			return headers->fields[i].value;
	}
	return NULL;
}

void
msp_remove_headers(msp_headers_t *headers,
    bool (*matches)(void *ctx, const char *name), void *ctx)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < headers->count; i++) {
		msp_header_t *field = &headers->fields[i];

		if (matches(ctx, field->name)) {
			free(field->name);
			free(field->value);
		} else {
			headers->fields[kept++] = *field;
		}
	}
	headers->count = kept;
}

void
msp_drop_headers(msp_headers_t *headers)
{
	size_t i;

	for (i = 0; i < headers->count; i++) {
		free(headers->fields[i].name);
		free(headers->fields[i].value);
	}
	headers->count = 0;
}

msp_status_t
msp_copy_request(const msp_request_t *from, msp_request_t *to)
{
	msp_status_t status = MSP_OK;
	size_t i;

	*to = (msp_request_t){0};
	memcpy(to->method, from->method, sizeof(to->method));
	memcpy(to->path, from->path, sizeof(to->path));
	memcpy(to->host, from->host, sizeof(to->host));
	for (i = 0; i < from->headers.count && status == MSP_OK; i++)
		status =
		    msp_add_header(&to->headers, from->headers.fields[i].name,
			from->headers.fields[i].value);
	if (status == MSP_OK && from->body.len > 0)
		status =
		    msp_append_data(&to->body, from->body.data, from->body.len);
	if (status != MSP_OK)
		msp_drop_request(to);
	return status;
}

void
msp_drop_request(msp_request_t *request)
{
	msp_drop_headers(&request->headers);
	msp_drop_buffer(&request->body);
}

void
msp_drop_response(msp_response_t *response)
{
	msp_drop_headers(&response->headers);
	msp_drop_buffer(&response->body);
}
