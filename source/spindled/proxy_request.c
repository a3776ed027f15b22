#include "proxy_request.h"

#include <stdio.h>
#include <string.h>

msp_status_t
copy_proxy_request(const proxy_request_t *request, msp_request_t *out)
{
	msp_status_t status = msp_copy_request(&request->request, out);

	/* It is sent under the address of its receiver. */
	out->host[0] = '\0';
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
