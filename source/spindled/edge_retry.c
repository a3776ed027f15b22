#include "edge_request.h"
#include "monsoonspindle/base/hash.h"

/* Whether a request may be sent once more, beside those of all other VMs. */

/* Of the ratio and of the slack that all VMs have together these are used. */
#define RATIO_PART 0.7
#define SLACK_PART 0.7

/* Returns NULL if out of memory. */
static msp_retry_window_t *
open_retry_window(edge_t *edge, const char *service)
{
	msp_retry_window_t *window =
	    msp_map_get_or_add(edge->retry_windows, service, sizeof(*window));

	if (window != NULL && window->span == 0)
		window->span =
		    edge->daemon->settings->edge.retry_window_ms * MSP_MS;
	return window;
}

void
count_service_request(edge_t *edge, const char *service)
{
	msp_retry_window_t *window = open_retry_window(edge, service);

	if (window != NULL)
		msp_count_request(window, msp_now(&edge->daemon->env));
}

/*
 * This VM's part of the slack. It has none before it knows the other VMs, and
 * none in its first window: the process before it may have used the part.
 */
static double
get_retry_slack(const edge_t *edge, const msp_retry_window_t *window)
{
	size_t vms = count_known_vms(edge);

	if (vms == 0 ||
	    msp_now(&edge->daemon->env) < edge->opened_at + window->span)
		return 0;
	return edge->daemon->settings->edge.retry_slack * SLACK_PART /
	    (double)vms;
}

static bool
take_retry(edge_t *edge, const char *service)
{
	const msp_settings_t *settings = edge->daemon->settings;
	msp_retry_window_t *window = open_retry_window(edge, service);
	msp_time_t now = msp_now(&edge->daemon->env);
	msp_retry_share_t share;

	if (window == NULL)
		return false;
	share = (msp_retry_share_t){
	    .ratio = settings->edge.retry_ratio * RATIO_PART,
	    .slack = get_retry_slack(edge, window),
	    .draw = msp_hash_text(settings->vm, msp_hash_text(service, 0)),
	};
	return msp_take_retry(window, now, &share);
}

bool
may_retry(edge_request_t *request)
{
	edge_t *edge = request->edge;

	if (request->exchange == NULL ||
	    msp_now(&edge->daemon->env) + TIME_LEFT_MIN_MS * MSP_MS >=
		request->deadline ||
	    request->criteria.tried_count >= TRIED_MAX)
		return false;
	/* No attempt has reached a target: this does not count as a retry. */
	if (request->sent_count == 0)
		return true;
	if (request->sent_count >= request->max_attempts)
		return false;
	if (!take_retry(edge, request->criteria.service->name))
		return false;
	if (request->may_have_run)
		charge_retry(request);
	return true;
}
