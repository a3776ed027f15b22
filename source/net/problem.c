#include "problem.h"

#include <stdio.h>

#define RETRY_AFTER_S 1

void
msp_fill_problem(msp_response_t *response, msp_status_t status)
{
	const msp_status_info_t *info = msp_get_status_info(status);

	response->status = info->http_status;
	msp_add_header(
	    &response->headers, "content-type", "application/problem+json");
	if (info->has_retry_after)
		msp_print_header(
		    &response->headers, "retry-after", "%d", RETRY_AFTER_S);
	msp_append_printf(&response->body,
	    "{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%d,"
	    "\"kind\":\"%s\"}\n",
	    info->title, info->http_status, info->kind);
}

size_t
msp_print_problem(msp_status_t status, char out[MSP_PROBLEM_RESPONSE_MAX])
{
	msp_response_t response = {0};
	size_t len = 0;
	size_t i;

	msp_fill_problem(&response, status);
	len += (size_t)snprintf(out, MSP_PROBLEM_RESPONSE_MAX,
	    "HTTP/1.1 %d %s\r\nconnection: close\r\ncontent-length: %zu\r\n",
	    response.status, msp_get_status_info(status)->title,
	    response.body.len);
	for (i = 0; i < response.headers.count; i++)
		len +=
		    (size_t)snprintf(out + len, MSP_PROBLEM_RESPONSE_MAX - len,
			"%s: %s\r\n", response.headers.fields[i].name,
			response.headers.fields[i].value);
	len += (size_t)snprintf(out + len, MSP_PROBLEM_RESPONSE_MAX - len,
	    "\r\n%s", msp_buffer_text(&response.body));
	msp_drop_response(&response);
	return len;
}
