#include "fields.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <libwebsockets.h>

#define VALUE_SIZE 8192 /* bytes of one value, including the final NUL */
#define NAME_SIZE 128 /* bytes of a name, including ":" and the final NUL */
#define REGISTERED_MAX 128
#define LENGTH_SIZE 32 /* bytes of a Content-Length and the final NUL */
#define LENGTH_DIGITS_MAX 15

/* Fields without a token in libwebsockets, which it looks up by name only. */
static char registered[REGISTERED_MAX][NAME_SIZE] = {
    "accept-patch:",
    "access-control-allow-credentials:",
    "access-control-allow-headers:",
    "access-control-allow-methods:",
    "access-control-expose-headers:",
    "access-control-max-age:",
    "access-control-request-method:",
    "alt-svc:",
    "baggage:",
    "content-language:",
    "content-md5:",
    "content-security-policy:",
    "deprecation:",
    "dnt:",
    "forwarded:",
    "idempotency-key:",
    "if-unmodified-since:",
    "location:",
    "prefer:",
    "preference-applied:",
    "priority:",
    "ratelimit:",
    "ratelimit-policy:",
    "request-attempt:",
    "request-timeout:",
    "server-timing:",
    "sunset:",
    "traceparent:",
    "tracestate:",
    "warning:",
    "x-content-type-options:",
    "x-correlation-id:",
    "x-forwarded-host:",
    "x-forwarded-proto:",
    "x-request-id:",
    "x-requested-with:",
};
static size_t registered_count = 36;

static const char *const connection_fields[] = {
    "connection",
    "content-length",
    "expect",
    "host",
    "http2-settings",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

msp_status_t
msp_register_header(const char *name)
{
	size_t len = strlen(name);
	size_t i;

	if (len + 2 > NAME_SIZE)
		return msp_fail(MSP_E_RANGE, "header name is too long");
	for (i = 0; i < registered_count; i++) {
		if (strncasecmp(registered[i], name, len) == 0 &&
		    strcmp(registered[i] + len, ":") == 0)
			return MSP_OK;
	}
	if (registered_count == REGISTERED_MAX)
		return msp_fail(
		    MSP_E_RANGE, "too many registered header names");
	for (i = 0; i < len; i++)
		registered[registered_count][i] =
		    (char)(name[i] >= 'A' && name[i] <= 'Z' ? name[i] | 0x20
							    : name[i]);
	registered[registered_count][len] = ':';
	registered_count++;
	return MSP_OK;
}

bool
msp_is_connection_field(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(connection_fields) / sizeof(*connection_fields);
	     i++) {
		if (strcasecmp(connection_fields[i], name) == 0)
			return true;
	}
	return false;
}

bool
msp_is_valid_field(const char *name, const char *value)
{
	const unsigned char *at;

	if (*name == '\0')
		return false;
	for (at = (const unsigned char *)name; *at != '\0'; at++) {
		if (*at <= ' ' || *at >= 0x7f || *at == ':')
			return false;
	}
	for (at = (const unsigned char *)value; *at != '\0'; at++) {
		if ((*at < ' ' && *at != '\t') || *at == 0x7f)
			return false;
	}
	return true;
}

/* Returns the length without the blanks at the end, which are left out. */
static int
trim_value(char *value, int len)
{
	while (len > 0 && (value[len - 1] == ' ' || value[len - 1] == '\t'))
		value[--len] = '\0';
	return len;
}

/*
 * Adds a field. `name` ends with ":"; a negative value_len means too long.
 * Blanks after a value don't belong to it; libwebsockets keeps them.
 */
static msp_status_t
add_field(msp_headers_t *headers, const char *name, char *value, int value_len)
{
	char bare[NAME_SIZE];
	size_t len = strlen(name) - 1;

	if (value_len < 0)
		return msp_fail(
		    MSP_E_HEADERS_TOO_LARGE, "header value is too long");
	memcpy(bare, name, len);
	bare[len] = '\0';
	if (msp_is_connection_field(bare))
		return MSP_OK;
	value_len = trim_value(value, value_len);
	if (strlen(value) != (size_t)value_len ||
	    !msp_is_valid_field(bare, value))
		return msp_fail(MSP_E_BAD_REQUEST,
		    "invalid character in header \"%s\"", bare);
	return msp_add_header(headers, bare, value);
}

static bool
is_field_name(const char *name)
{
	size_t len;

	if (name == NULL)
		return false;
	len = strlen(name);
	return len > 1 && len < NAME_SIZE && name[0] != ':' &&
	    name[len - 1] == ':';
}

/*
 * Copies each occurrence of a Set-Cookie field separately. Other repeated
 * fields are combined into one list.
 */
static msp_status_t
copy_fragments(struct lws *wsi, msp_headers_t *headers, const char *name,
    enum lws_token_indexes token)
{
	char value[VALUE_SIZE];
	msp_status_t status = MSP_OK;
	int i;
	int len;

	for (i = 0; status == MSP_OK; i++) {
		if (lws_hdr_fragment_length(wsi, token, i) <= 0)
			break;
		len =
		    lws_hdr_copy_fragment(wsi, value, sizeof(value), token, i);
		status = add_field(headers, name, value, len);
	}
	return status;
}

static msp_status_t
copy_token(
    struct lws *wsi, msp_headers_t *headers, enum lws_token_indexes token)
{
	const char *name = (const char *)lws_token_to_string(token);
	char value[VALUE_SIZE];

	if (!is_field_name(name) || lws_hdr_total_length(wsi, token) <= 0)
		return MSP_OK;
	if (token == WSI_TOKEN_HTTP_SET_COOKIE)
		return copy_fragments(wsi, headers, name, token);
	return add_field(headers, name, value,
	    lws_hdr_copy(wsi, value, sizeof(value), token));
}

msp_status_t
msp_copy_fields(struct lws *wsi, msp_headers_t *headers)
{
	char value[VALUE_SIZE];
	msp_status_t status;
	size_t i;
	int token;
	int len;

	for (token = 0; token < _WSI_TOKEN_CLIENT_SENT_PROTOCOLS; token++) {
		status =
		    copy_token(wsi, headers, (enum lws_token_indexes)token);
		if (status != MSP_OK)
			return status;
	}
	for (i = 0; i < registered_count; i++) {
		len = (int)strlen(registered[i]);
		if (lws_hdr_custom_length(wsi, registered[i], len) <= 0)
			continue;
		status = add_field(headers, registered[i], value,
		    lws_hdr_custom_copy(
			wsi, value, sizeof(value), registered[i], len));
		if (status != MSP_OK)
			return status;
	}
	return MSP_OK;
}

bool
msp_write_fields(struct lws *wsi, const msp_headers_t *headers,
    unsigned char **at, unsigned char *end)
{
	char name[NAME_SIZE];
	const msp_header_t *field;
	size_t i;

	for (i = 0; i < headers->count; i++) {
		field = &headers->fields[i];
		if (msp_is_connection_field(field->name) ||
		    !msp_is_valid_field(field->name, field->value))
			continue;
		if (strlen(field->name) + 2 > sizeof(name))
			continue;
		strcpy(name, field->name);
		strcat(name, ":");
		if (lws_add_http_header_by_name(wsi,
			(const unsigned char *)name,
			(const unsigned char *)field->value,
			(int)strlen(field->value), at, end) != 0)
			return false;
	}
	return true;
}

bool
msp_parse_content_length(struct lws *wsi, long long *length)
{
	char text[LENGTH_SIZE];
	size_t digits;

	*length = -1;
	if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0)
		return true;
	if (lws_hdr_copy(
		wsi, text, sizeof(text), WSI_TOKEN_HTTP_CONTENT_LENGTH) < 0)
		return false;
	digits = strspn(text, "0123456789");
	if (digits == 0 || digits > LENGTH_DIGITS_MAX || text[digits] != '\0')
		return false;
	*length = strtoll(text, NULL, 10);
	return true;
}
