#include "problem.h"

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
