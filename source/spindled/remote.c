#include "remote.h"

#include <stdlib.h>

#include "daemon.h"
#include "proxy_codec.h"

/* Added to the deadline, so that the dispatcher's own refusal arrives. */
#define REPLY_MARGIN_MS 250
#define PEER_RETRY_AFTER_MS 500

typedef struct remote_call {
	proxy_request_t *request;
	msp_call_t *call;
} remote_call_t;

static void
refuse_failed_call(proxy_request_t *request, const msp_call_result_t *result)
{
	if (!result->maybe_sent) {
		refuse_proxy_request(request, MSP_E_PEER_DOWN,
		    MSP_RUN_NOT_EXECUTED, false, PEER_RETRY_AFTER_MS,
		    "the request could not be sent to the dispatcher");
		return;
	}
	if (!request->is_idempotent) {
		refuse_proxy_request(request, MSP_E_IN_DOUBT, MSP_RUN_UNKNOWN,
		    true, 0, "the dispatcher's response was lost");
		return;
	}
	refuse_proxy_request(request,
	    result->status == MSP_E_DEADLINE ? MSP_E_DEADLINE
					     : MSP_E_TRUNCATED_RESPONSE,
	    MSP_RUN_UNKNOWN, true, PEER_RETRY_AFTER_MS,
	    "the dispatcher's response was lost");
}

static bool
judge_response(void *ctx, const msp_call_result_t *result)
{
	const remote_call_t *remote = ctx;

	return is_proxy_result_of(remote->request, result);
}

static void
handle_call_done(void *ctx, msp_call_result_t *call_result)
{
	remote_call_t *remote = ctx;
	proxy_request_t *request = remote->request;
	proxy_result_t result;

	free(remote);
	if (call_result->status == MSP_OK &&
	    is_proxy_result_of(request, call_result) &&
	    decode_proxy_result(call_result->response, &result) == MSP_OK) {
		finish_proxy_request(request, &result);
		return;
	}
	if (call_result->status == MSP_OK)
		call_result->status = MSP_E_TRUNCATED_RESPONSE;
	refuse_failed_call(request, call_result);
}

static void
cancel_remote_call(proxy_request_t *request)
{
	remote_call_t *remote = request->cancel_ctx;

	msp_cancel_call(remote->call);
	free(remote);
}

void
dispatch_remotely(struct daemon *daemon, proxy_request_t *request,
    const char *address, uint16_t peer_port)
{
	msp_time_t now = msp_now(&daemon->env);
	msp_call_options_t options = {.address = address,
	    .port = peer_port,
	    .timeout_ms = get_time_left_ms(request, now) + REPLY_MARGIN_MS,
	    .fresh_connection = !request->is_idempotent,
	    .judge = judge_response};
	msp_request_t http;
	remote_call_t *remote = calloc(1, sizeof(*remote));

	if (remote == NULL ||
	    encode_proxy_request(request, DISPATCH_PATH, now, &http) != MSP_OK)
		goto fail;
	remote->request = request;
	request->cancel = cancel_remote_call;
	request->cancel_ctx = remote;
	remote->call = msp_start_call(
	    daemon->peer_client, &options, &http, handle_call_done, remote);
	msp_drop_request(&http);
	if (remote->call != NULL)
		return;
fail:
	free(remote);
	refuse_proxy_request(request, MSP_E_NO_MEMORY, MSP_RUN_NOT_EXECUTED,
	    false, PEER_RETRY_AFTER_MS, "no memory to forward the request");
}
