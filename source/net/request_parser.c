#include "request_parser.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <http_parser.h>

#include "fields.h"

#define FIELD_OVERHEAD 4 /* bytes of ": " and the line end */
#define CHUNK_SIZE_MAX UINT32_MAX /* larger sizes count as malformed */
#define LENGTH_DIGITS "0123456789"

struct msp_request_parser {
	http_parser http;
	msp_parse_phase_t phase;
	msp_status_t status; /* first error */
	size_t max_headers; /* bytes of the path and the header fields */
	size_t max_body; /* bytes */
	msp_memory_budget_t *budget; /* of bodies; or NULL */
	msp_request_t *request; /* the current one; NULL between requests */
	size_t path_len;
	size_t header_bytes; /* of the path and the fields so far */
	msp_buffer_t name; /* of the current header field */
	msp_buffer_t value; /* of the current header field */
	bool in_value; /* a part of the current field's value was read */
	/* End of the last part of a value, to detect folded lines. */
	const char *value_end;
	bool value_is_cut; /* the last part ended with the input */
	msp_buffer_t connection; /* values of Connection, each with a comma */
	bool has_host;
	bool has_length;
	bool has_transfer_encoding;
	bool expects_continue;
	bool keep_alive;
};

static const enum http_method methods[] = {HTTP_GET, HTTP_POST, HTTP_PUT,
    HTTP_PATCH, HTTP_DELETE, HTTP_HEAD, HTTP_OPTIONS};

/* Notes the first error; returns a value that makes http_parser stop. */
static int
stop_parsing(msp_request_parser_t *parser, msp_status_t status)
{
	if (parser->status == MSP_OK)
		parser->status = status;
	return -1;
}

static bool
is_supported_method(unsigned int method)
{
	size_t i;

	for (i = 0; i < sizeof(methods) / sizeof(*methods); i++) {
		if (methods[i] == method)
			return true;
	}
	return false;
}

static int
handle_begin(http_parser *http)
{
	msp_request_parser_t *parser = http->data;

	parser->request = calloc(1, sizeof(*parser->request));
	if (parser->request == NULL)
		return stop_parsing(parser, MSP_E_NO_MEMORY);
	parser->phase = MSP_PARSE_HEAD;
	return 0;
}

/* Whether the character may be in a path; others would be sent on as they are.
 */
static bool
is_path_character(char c)
{
	return c > ' ' && c < 0x7f && c != '#';
}

static int
handle_url(http_parser *http, const char *at, size_t len)
{
	msp_request_parser_t *parser = http->data;
	size_t i;

	if (!is_supported_method(http->method))
		return stop_parsing(parser, MSP_E_METHOD);
	if (len >= sizeof(parser->request->path) - parser->path_len ||
	    parser->path_len + len > parser->max_headers)
		return stop_parsing(parser, MSP_E_HEADERS_TOO_LARGE);
	for (i = 0; i < len; i++) {
		if (!is_path_character(at[i]))
			return stop_parsing(parser, MSP_E_BAD_REQUEST);
	}
	memcpy(parser->request->path + parser->path_len, at, len);
	parser->path_len += len;
	parser->header_bytes += len;
	parser->request->path[parser->path_len] = '\0';
	if (parser->request->path[0] != '/')
		return stop_parsing(parser, MSP_E_BAD_REQUEST);
	return 0;
}

static int
append_part(
    msp_request_parser_t *parser, msp_buffer_t *to, const char *at, size_t len)
{
	parser->header_bytes += len;
	if (parser->header_bytes > parser->max_headers)
		return stop_parsing(parser, MSP_E_HEADERS_TOO_LARGE);
	if (msp_append_data(to, at, len) != MSP_OK)
		return stop_parsing(parser, MSP_E_NO_MEMORY);
	return 0;
}

static msp_status_t
set_host(msp_request_parser_t *parser, const char *value)
{
	if (parser->has_host)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "request has several Host fields");
	if (strlen(value) >= sizeof(parser->request->host))
		return msp_fail(MSP_E_BAD_REQUEST, "Host field is too long");
	parser->has_host = true;
	strcpy(parser->request->host, value);
	return MSP_OK;
}

/*
 * Checks a field that decides where the body ends, beyond what http_parser
 * accepts: targets must read the same body.
 */
static msp_status_t
check_framing_field(bool *seen, bool valid, const char *name)
{
	if (*seen || !valid)
		return msp_fail(MSP_E_BAD_REQUEST, "invalid %s", name);
	*seen = true;
	return MSP_OK;
}

static msp_status_t
add_field(msp_request_parser_t *parser, const char *name, const char *value)
{
	if (strcmp(name, "host") == 0)
		return set_host(parser, value);
	if (strcmp(name, "content-length") == 0)
		return check_framing_field(&parser->has_length,
		    *value != '\0' &&
			value[strspn(value, LENGTH_DIGITS)] == '\0',
		    "Content-Length");
	if (strcmp(name, "transfer-encoding") == 0)
		return check_framing_field(&parser->has_transfer_encoding,
		    strcasecmp(value, "chunked") == 0, "Transfer-Encoding");
	if (strcmp(name, "connection") == 0)
		return msp_append_printf(&parser->connection, "%s,", value);
	if (strcmp(name, "expect") == 0) {
		parser->expects_continue =
		    strcasecmp(value, "100-continue") == 0;
		return MSP_OK;
	}
	if (msp_is_connection_field(name))
		return MSP_OK;
	return msp_add_header(&parser->request->headers, name, value);
}

/* Adds the field that was read last, if any. */
static int
end_field(msp_request_parser_t *parser)
{
	msp_buffer_t *name = &parser->name;
	msp_buffer_t *value = &parser->value;
	msp_status_t status;
	size_t i;

	if (name->len == 0)
		return 0;
	parser->header_bytes += FIELD_OVERHEAD;
	for (i = 0; i < name->len; i++)
		name->data[i] = (char)tolower((unsigned char)name->data[i]);
	while (value->len > 0 &&
	    (value->data[value->len - 1] == ' ' ||
		value->data[value->len - 1] == '\t'))
		value->data[--value->len] = '\0';
	if (msp_is_valid_field(name->data, msp_buffer_text(value)))
		status = add_field(parser, name->data, msp_buffer_text(value));
	else
		status = msp_fail(
		    MSP_E_BAD_REQUEST, "invalid character in a header field");
	msp_clear_buffer(name);
	msp_clear_buffer(value);
	parser->in_value = false;
	return status == MSP_OK ? 0 : stop_parsing(parser, status);
}

static int
handle_field_name(http_parser *http, const char *at, size_t len)
{
	msp_request_parser_t *parser = http->data;

	/* Trailers of a chunked body. */
	if (parser->phase == MSP_PARSE_BODY)
		return 0;
	if (parser->in_value && end_field(parser) != 0)
		return -1;
	return append_part(parser, &parser->name, at, len);
}

static int
handle_field_value(http_parser *http, const char *at, size_t len)
{
	msp_request_parser_t *parser = http->data;

	if (parser->phase == MSP_PARSE_BODY)
		return 0;
	/* A part that does not follow the last one: a folded line. */
	if (parser->in_value && parser->value_end != at)
		return stop_parsing(parser, MSP_E_BAD_REQUEST);
	parser->in_value = true;
	parser->value_end = at + len;
	return append_part(parser, &parser->value, at, len);
}

/* Whether Connection declares the field to be for one connection only. */
static bool
is_connection_option(void *ctx, const char *name)
{
	const msp_request_parser_t *parser = ctx;
	const char *at = msp_buffer_text(&parser->connection);
	size_t len = strlen(name);

	while (*at != '\0') {
		at += strspn(at, ", \t");
		if (strncasecmp(at, name, len) == 0 &&
		    strchr(", \t", at[len]) != NULL)
			return true;
		at += strcspn(at, ",");
	}
	return false;
}

static int
handle_head_end(http_parser *http)
{
	msp_request_parser_t *parser = http->data;
	msp_request_t *request = parser->request;
	bool chunked = (http->flags & F_CHUNKED) != 0;

	if (end_field(parser) != 0)
		return -1;
	if (parser->header_bytes > parser->max_headers)
		return stop_parsing(parser, MSP_E_HEADERS_TOO_LARGE);
	parser->phase = MSP_PARSE_BODY;
	snprintf(request->method, sizeof(request->method), "%s",
	    http_method_str(http->method));
	msp_remove_headers(&request->headers, is_connection_option, parser);
	if (http->http_major != 1 || chunked != parser->has_transfer_encoding ||
	    (chunked && (parser->has_length || http->http_minor == 0)))
		return stop_parsing(parser, MSP_E_BAD_REQUEST);
	if (parser->has_length && http->content_length > parser->max_body)
		return stop_parsing(parser, MSP_E_TOO_LARGE);
	if (parser->has_length &&
	    !msp_has_memory(parser->budget, http->content_length))
		return stop_parsing(parser, MSP_E_NO_MEMORY);
	request->body.limit = parser->max_body;
	request->body.budget = parser->budget;
	/* No other protocol is supported: Upgrade is ignored. */
	http->upgrade = 0;
	return 0;
}

static int
handle_chunk(http_parser *http)
{
	msp_request_parser_t *parser = http->data;

	if (http->content_length > CHUNK_SIZE_MAX)
		return stop_parsing(parser, MSP_E_BAD_REQUEST);
	if (http->content_length > parser->max_body - parser->request->body.len)
		return stop_parsing(parser, MSP_E_TOO_LARGE);
	return 0;
}

static int
handle_body(http_parser *http, const char *at, size_t len)
{
	msp_request_parser_t *parser = http->data;
	msp_status_t status = msp_append_data(&parser->request->body, at, len);

	parser->expects_continue = false;
	return status == MSP_OK ? 0 : stop_parsing(parser, status);
}

static int
handle_end(http_parser *http)
{
	msp_request_parser_t *parser = http->data;

	parser->keep_alive = http_should_keep_alive(http) != 0;
	parser->phase = MSP_PARSE_DONE;
	/* What follows is for the next call of msp_parse_request(). */
	http_parser_pause(http, 1);
	return 0;
}

static const http_parser_settings callbacks = {
    .on_message_begin = handle_begin,
    .on_url = handle_url,
    .on_header_field = handle_field_name,
    .on_header_value = handle_field_value,
    .on_headers_complete = handle_head_end,
    .on_body = handle_body,
    .on_message_complete = handle_end,
    .on_chunk_header = handle_chunk,
};

/* Maps an error that http_parser found at the byte `c`. */
static msp_status_t
convert_error(const msp_request_parser_t *parser, char c)
{
	switch (HTTP_PARSER_ERRNO(&parser->http)) {
	case HPE_HEADER_OVERFLOW:
		return MSP_E_HEADERS_TOO_LARGE;
	case HPE_INVALID_METHOD:
		/* Letters that begin no supported method, or end in one. */
		if ((c >= 'A' && c <= 'Z') ||
		    (c == ' ' && parser->phase == MSP_PARSE_HEAD))
			return MSP_E_METHOD;
		return MSP_E_BAD_REQUEST;
	default:
		return MSP_E_BAD_REQUEST;
	}
}

msp_request_parser_t *
msp_new_request_parser(
    size_t max_headers, size_t max_body, msp_memory_budget_t *budget)
{
	msp_request_parser_t *parser = calloc(1, sizeof(*parser));

	if (parser == NULL)
		return NULL;
	parser->max_headers = max_headers;
	parser->max_body = max_body;
	parser->budget = budget;
	http_parser_init(&parser->http, HTTP_REQUEST);
	parser->http.data = parser;
	return parser;
}

void
msp_drop_request_parser(msp_request_parser_t *parser)
{
	if (parser == NULL)
		return;
	if (parser->request != NULL)
		msp_drop_request(parser->request);
	free(parser->request);
	msp_drop_buffer(&parser->name);
	msp_drop_buffer(&parser->value);
	msp_drop_buffer(&parser->connection);
	free(parser);
}

msp_status_t
msp_parse_request(
    msp_request_parser_t *parser, const char *data, size_t len, size_t *used)
{
	enum http_errno error;

	/* A value that was cut off by the end of the input goes on here. */
	parser->value_end = parser->value_is_cut ? data : NULL;
	*used = http_parser_execute(&parser->http, &callbacks, data, len);
	parser->value_is_cut =
	    parser->in_value && parser->value_end == data + len;
	error = HTTP_PARSER_ERRNO(&parser->http);
	if (error == HPE_OK)
		return MSP_OK;
	if (error == HPE_PAUSED) {
		http_parser_pause(&parser->http, 0);
		return MSP_OK;
	}
	if (parser->status == MSP_OK)
		parser->status =
		    convert_error(parser, *used < len ? data[*used] : '\0');
	return parser->status;
}

msp_parse_phase_t
msp_get_parse_phase(const msp_request_parser_t *parser)
{
	return parser->phase;
}

const msp_request_t *
msp_get_partial_request(const msp_request_parser_t *parser)
{
	return parser->path_len == 0 ? NULL : parser->request;
}

bool
msp_take_expected_continue(msp_request_parser_t *parser)
{
	bool expected =
	    parser->phase == MSP_PARSE_BODY && parser->expects_continue;

	if (expected)
		parser->expects_continue = false;
	return expected;
}

void
msp_take_request(
    msp_request_parser_t *parser, msp_request_t *out, bool *keep_alive)
{
	*out = *parser->request;
	*keep_alive = parser->keep_alive;
	free(parser->request);
	parser->request = NULL;
	parser->phase = MSP_PARSE_NOTHING;
	parser->path_len = 0;
	parser->header_bytes = 0;
	parser->has_host = false;
	parser->has_length = false;
	parser->has_transfer_encoding = false;
	parser->expects_continue = false;
	msp_drop_buffer(&parser->name);
	msp_drop_buffer(&parser->value);
	msp_drop_buffer(&parser->connection);
}
