#include "remote.h"

#include <stdlib.h>

#include "daemon.h"
#include "proxy_codec.h"

/* Time on top of the deadline for a dispatcher's own refusal to arrive. */
#define ANSWER_MARGIN_MS 250
#define PEER_RETRY_AFTER_MS 500

typedef struct remote {
	proxy_request_t *work;
	msp_call_t *call;
} remote_t;

static void
refuse_lost(proxy_request_t *work, const msp_call_result_t *ended)
{
	if (!ended->maybe_sent) {
		refuse_proxy_request(work, MSP_E_PEER_DOWN, MSP_RUN_NO, false,
		    PEER_RETRY_AFTER_MS, "the dispatcher refused connections");
		return;
	}
	if (!work->is_idempotent) {
		refuse_proxy_request(work, MSP_E_IN_DOUBT, MSP_RUN_UNKNOWN,
		    true, 0, "the dispatcher's answer was lost");
		return;
	}
	refuse_proxy_request(work,
	    ended->status == MSP_E_DEADLINE ? MSP_E_DEADLINE : MSP_E_CUT_ANSWER,
	    MSP_RUN_UNKNOWN, true, PEER_RETRY_AFTER_MS,
	    "the dispatcher's answer was lost");
}

static void
on_call_done(void *ctx, msp_call_result_t *ended)
{
	remote_t *remote = ctx;
	proxy_request_t *work = remote->work;
	proxy_result_t result;

	free(remote);
	if (ended->status == MSP_OK &&
	    decode_proxy_result(ended->response, &result) == MSP_OK) {
		finish_proxy_request(work, &result);
		return;
	}
	if (ended->status == MSP_OK)
		ended->status = MSP_E_CUT_ANSWER;
	refuse_lost(work, ended);
}

static void
cancel_remote(proxy_request_t *work)
{
	remote_t *remote = work->runner;

	msp_cancel_call(remote->call);
	free(remote);
}

void
run_remote(struct daemon *daemon, proxy_request_t *work, const char *address,
    uint16_t peer_port)
{
	msp_time_t now = msp_now(&daemon->env);
	msp_call_options_t options = {.address = address,
	    .port = peer_port,
	    .timeout_ms = get_time_left_ms(work, now) + ANSWER_MARGIN_MS,
	    .fresh_connection = !work->is_idempotent};
	msp_request_t request;
	remote_t *remote = calloc(1, sizeof(*remote));

	if (remote == NULL ||
	    encode_proxy_request(work, WORK_PATH, now, &request) != MSP_OK)
		goto fail;
	remote->work = work;
	work->cancel = cancel_remote;
	work->runner = remote;
	remote->call = msp_start_call(
	    daemon->peer_client, &options, &request, on_call_done, remote);
	msp_drop_request(&request);
	if (remote->call != NULL)
		return;
fail:
	free(remote);
	refuse_proxy_request(work, MSP_E_NO_MEMORY, MSP_RUN_NO, false,
	    PEER_RETRY_AFTER_MS, "no memory to send the request on");
}
