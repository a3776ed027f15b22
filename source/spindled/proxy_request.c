#include "proxy_request.h"

#include <stdio.h>
#include <string.h>

msp_status_t
copy_proxy_request(const proxy_request_t *request, msp_request_t *out)
{
	const msp_request_t *from = &request->request;
	msp_status_t status = MSP_OK;
	size_t i;

	memset(out, 0, sizeof(*out));
	memcpy(out->method, from->method, sizeof(out->method));
	memcpy(out->path, from->path, sizeof(out->path));
	for (i = 0; i < from->headers.count && status == MSP_OK; i++)
		status =
		    msp_add_header(&out->headers, from->headers.fields[i].name,
			from->headers.fields[i].value);
	if (status == MSP_OK && from->body.len > 0)
		status = msp_append_data(
		    &out->body, from->body.data, from->body.len);
	if (status != MSP_OK)
		msp_drop_request(out);
	return status;
}

void
refuse_proxy_request(proxy_request_t *request, msp_status_t status,
    msp_run_status_t run, bool attempt_started, uint32_t retry_after_ms,
    const char *reason)
{
	proxy_result_t result = {0};

	result.refusal = (msp_refusal_t){.status = status,
	    .run = run,
	    .attempt_started = attempt_started,
	    .retry_after_ms = retry_after_ms,
	    .reason = reason};
	finish_proxy_request(request, &result);
}

void
finish_proxy_request(proxy_request_t *request, proxy_result_t *result)
{
	request->cancel = NULL;
	request->cancel_ctx = NULL;
	request->done(request->ctx, request, result);
	msp_drop_response(&result->response);
}

void
cancel_proxy_request(proxy_request_t *request)
{
	if (request->cancel != NULL)
		request->cancel(request);
	request->cancel = NULL;
	request->cancel_ctx = NULL;
}

uint32_t
get_time_left_ms(const proxy_request_t *request, msp_time_t now)
{
	if (request->deadline <= now + MSP_MS)
		return 1;
	return (uint32_t)((request->deadline - now) / MSP_MS);
}

void
drop_proxy_request(proxy_request_t *request)
{
	msp_drop_request(&request->request);
}
