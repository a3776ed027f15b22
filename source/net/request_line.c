#include "request_line.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

#include <libwebsockets.h>

typedef struct method_token {
	const char *name;
	enum lws_token_indexes token;
} method_token_t;

static const method_token_t methods[] = {
    {"GET", WSI_TOKEN_GET_URI},
    {"POST", WSI_TOKEN_POST_URI},
    {"PUT", WSI_TOKEN_PUT_URI},
    {"PATCH", WSI_TOKEN_PATCH_URI},
    {"DELETE", WSI_TOKEN_DELETE_URI},
    {"HEAD", WSI_TOKEN_HEAD_URI},
    {"OPTIONS", WSI_TOKEN_OPTIONS_URI},
};

/*
 * Appends `text`, percent-encoding all characters except letters, digits and
 * those in `allowed`.
 */
static msp_status_t
append_encoded(char *path, size_t *len, const char *text, const char *allowed)
{
	const unsigned char *at = (const unsigned char *)text;

	for (; *at != '\0'; at++) {
		bool plain = isalnum(*at) || strchr(allowed, *at) != NULL;
		size_t need = plain ? 1 : 3;

		if (*len + need >= MSP_PATH_MAX)
			return msp_fail(
			    MSP_E_HEADERS_TOO_LARGE, "path is too long");
		if (plain)
			path[*len] = (char)*at;
		else
			snprintf(path + *len, 4, "%%%02X", *at);
		*len += need;
	}
	path[*len] = '\0';
	return MSP_OK;
}

static msp_status_t
append_query(struct lws *wsi, char *path, size_t *len)
{
	char part[MSP_PATH_MAX];
	msp_status_t status = MSP_OK;
	int i;

	for (i = 0; status == MSP_OK; i++) {
		if (lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_URI_ARGS, i) <=
		    0)
			return MSP_OK;
		if (lws_hdr_copy_fragment(wsi, part, sizeof(part),
			WSI_TOKEN_HTTP_URI_ARGS, i) < 0)
			return msp_fail(MSP_E_HEADERS_TOO_LARGE,
			    "query string is too long");
		if (*len + 2 >= MSP_PATH_MAX)
			return msp_fail(
			    MSP_E_HEADERS_TOO_LARGE, "path is too long");
		path[(*len)++] = i == 0 ? '?' : '&';
		path[*len] = '\0';
		status = append_encoded(path, len, part, "-._~!$'()*,;=:@/?+");
	}
	return status;
}

msp_status_t
msp_copy_request_line(struct lws *wsi, msp_request_t *request)
{
	char path[MSP_PATH_MAX];
	msp_status_t status;
	size_t len = 0;
	size_t i;

	for (i = 0; i < sizeof(methods) / sizeof(*methods); i++) {
		if (lws_hdr_total_length(wsi, methods[i].token) > 0)
			break;
	}
	if (i == sizeof(methods) / sizeof(*methods))
		return msp_fail(MSP_E_METHOD, "unsupported method");
	snprintf(
	    request->method, sizeof(request->method), "%s", methods[i].name);
	if (lws_hdr_total_length(wsi, WSI_TOKEN_HOST) > 0 &&
	    lws_hdr_copy(
		wsi, request->host, sizeof(request->host), WSI_TOKEN_HOST) < 0)
		return msp_fail(MSP_E_BAD_REQUEST, "Host field is too long");
	if (lws_hdr_copy(wsi, path, sizeof(path), methods[i].token) < 0)
		return msp_fail(MSP_E_HEADERS_TOO_LARGE, "path is too long");
	if (path[0] != '/')
		return msp_fail(
		    MSP_E_BAD_REQUEST, "path does not start with \"/\"");
	status =
	    append_encoded(request->path, &len, path, "-._~!$&'()*+,;=:@/");
	if (status != MSP_OK)
		return status;
	return append_query(wsi, request->path, &len);
}
