#include <stdlib.h>
#include <string.h>

#include "edge_private.h"
#include "log.h"
#include "problem.h"

#define SEND_DELAY (500 * MSP_MS) /* collects strikes into one message */

/*
 * A request that a target was executing when its connection broke. Whether the
 * target has crashed is not known yet.
 */
struct pending_strike {
	TAILQ_ENTRY(pending_strike) link;
	msp_view_target_t *target; /* a reference */
	msp_digest_t fingerprint; /* of the request */
	msp_time_t started; /* when the request was sent */
	msp_time_t ended; /* when the connection broke */
};

static void
send_strikes(void *ctx)
{
	edge_t *edge = ctx;
	msp_buffer_t text = {.limit = MSP_STRIKE_MESSAGE_MAX};
	size_t count = msp_encode_unsent_strikes(edge->strike_sync, &text);

	msp_drop_timer(edge->strike_timer);
	edge->strike_timer = NULL;
	if (count > 0) {
		log_info("event=strikes-told count=%zu places_vms=%zu", count,
		    edge->remote_vm_count);
		broadcast_to_vms(
		    &edge->strike_messages, msp_buffer_text(&text));
	}
	msp_drop_buffer(&text);
}

void
count_heard_strikes(edge_t *edge, size_t count)
{
	msp_add_to_counter(
	    edge->daemon->counters, count, "msp_strikes_heard_total");
	if (count == 0)
		return;
	edge->strikes_changed_at = msp_now(&edge->daemon->env);
	log_info("event=strikes-heard count=%zu", count);
}

void
serve_strikes(edge_t *edge, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *text = msp_buffer_text(&request->body);
	msp_response_t response = {.status = 204};
	size_t new_count;
	msp_status_t status =
	    msp_receive_strikes(edge->strike_sync, text, &new_count);

	if (status != MSP_OK) {
		answer_error(exchange, status);
		return;
	}
	count_heard_strikes(edge, new_count);
	if (new_count > 0 && is_to_pass_on(request))
		pass_on_to_members(&edge->strike_messages, text);
	if (is_strike_exchange(request)) {
		answer_strike_exchange(edge, exchange);
		return;
	}
	msp_send_exchange_response(exchange, &response);
}

static void
count_strike(edge_t *edge, const pending_strike_t *strike)
{
	char fingerprint[MSP_DIGEST_TEXT_SIZE];

	msp_add_local_strike(edge->strike_sync, strike->fingerprint,
	    strike->started, strike->ended);
	edge->has_new_strikes = true;
	edge->strikes_changed_at = msp_now(&edge->daemon->env);
	msp_add_to_counter(edge->daemon->counters, 1, "msp_strikes_total");
	msp_print_digest(strike->fingerprint, fingerprint);
	log_info("event=strike fingerprint=%s target=%s quarantined=%d",
	    fingerprint, strike->target->registration.id,
	    msp_check_suspicion(edge->quarantine, strike->fingerprint, NULL) ==
		MSP_SUSPICION_QUARANTINED);
	if (edge->strike_timer == NULL)
		edge->strike_timer = msp_new_timer(
		    edge->daemon->loop, SEND_DELAY, 0, send_strikes, edge);
}

static void
free_strike(edge_t *edge, pending_strike_t *strike)
{
	TAILQ_REMOVE(&edge->strikes, strike, link);
	msp_release_view_target(strike->target);
	free(strike);
}

void
add_pending_strike(edge_t *edge, msp_view_target_t *target,
    msp_digest_t fingerprint, msp_time_t started)
{
	pending_strike_t *strike = calloc(1, sizeof(*strike));

	if (strike == NULL) {
		log_warn("event=strike-lost reason=no-memory");
		return;
	}
	strike->target = msp_keep_view_target(target);
	strike->fingerprint = fingerprint;
	strike->started = started;
	strike->ended = msp_now(&edge->daemon->env);
	TAILQ_INSERT_TAIL(&edge->strikes, strike, link);
}

bool
has_pending_strikes(const edge_t *edge, const msp_view_target_t *target)
{
	const pending_strike_t *strike;

	TAILQ_FOREACH(strike, &edge->strikes, link) {
		if (strike->target == target)
			return true;
	}
	return false;
}

void
resolve_pending_strikes(
    edge_t *edge, const msp_view_target_t *target, bool exited)
{
	pending_strike_t *strike;
	pending_strike_t *next;

	TAILQ_FOREACH_SAFE(strike, &edge->strikes, link, next) {
		if (strike->target != target)
			continue;
		if (exited)
			count_strike(edge, strike);
		free_strike(edge, strike);
	}
}

msp_status_t
open_strikes(edge_t *edge)
{
	const msp_env_t *env = &edge->daemon->env;

	TAILQ_INIT(&edge->strikes);
	edge->strike_messages = (edge_broadcast_t){.edge = edge,
	    .path = STRIKES_PATH,
	    .lost_counter = "msp_strikes_not_told_total"};
	edge->quarantine = msp_new_quarantine_list(env);
	if (edge->quarantine == NULL)
		return MSP_E_NO_MEMORY;
	edge->strike_sync = msp_new_strike_sync(env, edge->quarantine);
	return edge->strike_sync == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}

void
close_strikes(edge_t *edge)
{
	pending_strike_t *strike;
	pending_strike_t *next;

	msp_drop_timer(edge->strike_timer);
	TAILQ_FOREACH_SAFE(strike, &edge->strikes, link, next)
		free_strike(edge, strike);
	msp_drop_strike_sync(edge->strike_sync);
	msp_drop_quarantine_list(edge->quarantine);
}
