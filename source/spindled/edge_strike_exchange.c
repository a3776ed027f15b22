#include <string.h>

#include <bsd/string.h>

#include "edge_private.h"
#include "log.h"
#include "problem.h"

/*
 * Exchanges strikes with one other VM: after the start all that are in force,
 * until a VM that knows them has answered; from then on those of quarantined
 * requests, from time to time while there are any, for VMs that were not there
 * when they were told.
 */

#define EXCHANGE_QUERY "?exchange="
#define EXCHANGE_ALL EXCHANGE_QUERY "all"
#define EXCHANGE_QUARANTINED EXCHANGE_QUERY "quarantined"
#define EXCHANGE_TIMEOUT_MS 1000
#define FIRST_INTERVAL (500 * MSP_MS) /* while this VM has no answer */
/* Answers of VMs that know no more, each of which doubles that. */
#define PARTIAL_ANSWERS_MAX 4
#define INTERVAL (5 * MSP_SECOND)
#define NEWS_TIME (10 * MSP_SECOND)
#define NEWS_INTERVAL MSP_SECOND
/* A VM that nobody has answered by then takes it that nobody knows any. */
#define CATCH_UP_TIME (10 * MSP_SECOND)
#define HTTP_OK 200 /* the strikes of a VM that knows them all */
#define HTTP_ACCEPTED 202 /* those of one that has not caught up itself */
#define HTTP_NO_CONTENT 204 /* of earlier builds */

static bool
has_caught_up(edge_t *edge)
{
	msp_time_t end = edge->opened_at + CATCH_UP_TIME;

	if (!edge->has_strikes && msp_now(&edge->daemon->env) >= end) {
		edge->has_strikes = true;
		log_info("event=strikes-caught-up from=none");
	}
	return edge->has_strikes;
}

static size_t
receive_exchange(edge_t *edge, const char *text)
{
	size_t new_count = 0;

	if (msp_receive_known_strikes(edge->strike_sync, text, &new_count) !=
	    MSP_OK)
		log_warn("event=strikes-heard error=%s", msp_last_message());
	count_heard_strikes(edge, new_count);
	return new_count;
}

static void
handle_exchange_done(void *ctx, msp_call_result_t *result)
{
	edge_t *edge = ctx;
	int status = result->status == MSP_OK ? result->response->status : 0;
	size_t new_count;

	if (status != HTTP_OK && status != HTTP_ACCEPTED) {
		if (status != HTTP_NO_CONTENT)
			msp_add_to_counter(edge->daemon->counters, 1,
			    "msp_strikes_not_told_total");
		return;
	}
	new_count =
	    receive_exchange(edge, msp_buffer_text(&result->response->body));
	if (edge->has_strikes)
		return;
	if (status != HTTP_OK) {
		if (edge->partial_strike_answers < PARTIAL_ANSWERS_MAX)
			edge->partial_strike_answers++;
		return;
	}
	edge->has_strikes = true;
	log_info("event=strikes-caught-up from=vm count=%zu", new_count);
}

/* VMs of this data centre and of others take turns. */
static bool
pick_exchange_vm(edge_t *edge, store_source_t *vm)
{
	bool is_remote = edge->strike_exchanges++ % 2 == 1;

	return is_remote ? pick_remote_vm(edge, vm) || pick_member(edge, vm)
			 : pick_member(edge, vm) || pick_remote_vm(edge, vm);
}

static void
start_exchange(edge_t *edge)
{
	msp_call_options_t options = {.timeout_ms = EXCHANGE_TIMEOUT_MS};
	msp_request_t request = {
	    .method = "POST", .path = STRIKES_PATH EXCHANGE_QUARANTINED};
	store_source_t vm;

	if (!pick_exchange_vm(edge, &vm))
		return;
	options.address = vm.address;
	options.port = vm.port;
	if (!edge->has_strikes)
		strlcpy(request.path, STRIKES_PATH EXCHANGE_ALL,
		    sizeof(request.path));
	/* Earlier builds take no more lines than this in a message. */
	msp_encode_known_strikes(edge->strike_sync, MSP_SUSPICION_QUARANTINED,
	    MSP_STRIKES_PER_MESSAGE_MAX, &request.body);
	if (msp_start_call(edge->store_http, &options, &request,
		handle_exchange_done, edge) == NULL)
		msp_add_to_counter(
		    edge->daemon->counters, 1, "msp_strikes_not_told_total");
	msp_drop_request(&request);
}

/* New strikes are exchanged more often, as others may have missed them too. */
static msp_time_t
get_interval(const edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);

	if (!edge->has_strikes)
		return FIRST_INTERVAL << edge->partial_strike_answers;
	return now < edge->strikes_changed_at + NEWS_TIME ? NEWS_INTERVAL
							  : INTERVAL;
}

void
tick_strike_exchange(edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);

	if (edge->vms_read_at == 0 ||
	    (has_caught_up(edge) &&
		!msp_has_suspicion(
		    edge->quarantine, MSP_SUSPICION_QUARANTINED)))
		return;
	if (edge->strike_exchanges > 0 &&
	    now < edge->strikes_exchanged_at + get_interval(edge))
		return;
	edge->strikes_exchanged_at = now;
	start_exchange(edge);
}

bool
is_strike_exchange(const msp_request_t *request)
{
	return strstr(request->path, EXCHANGE_QUERY) != NULL;
}

void
answer_strike_exchange(edge_t *edge, msp_exchange_t *exchange)
{
	msp_response_t response = {
	    .status = has_caught_up(edge) ? HTTP_OK : HTTP_ACCEPTED};

	response.body.limit = MSP_KNOWN_STRIKES_TEXT_MAX;
	if (strstr(msp_exchange_request(exchange)->path, EXCHANGE_ALL) != NULL)
		msp_encode_known_strikes(edge->strike_sync,
		    MSP_SUSPICION_SUSPECT, MSP_STRIKES_KNOWN_MAX,
		    &response.body);
	else
		msp_encode_known_strikes(edge->strike_sync,
		    MSP_SUSPICION_QUARANTINED, MSP_STRIKES_PER_MESSAGE_MAX,
		    &response.body);
	msp_send_exchange_response(exchange, &response);
	msp_drop_response(&response);
}
