#include <stdlib.h>

#include "edge_rate_roles.h"
#include "edge_rates_private.h"
#include "problem.h"

/*
 * The owner's side of the rate limits of organisations: what other VMs ask it
 * for, and the demand that data centres tell each other.
 */

#define DEMAND_INTERVAL (500 * MSP_MS)

void
serve_rate_asks(edge_t *edge, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	msp_rate_ask_t *asks = calloc(MSP_RATES_PER_MESSAGE_MAX, sizeof(*asks));
	msp_response_t response = {.status = 200};
	rate_role_t role = get_rate_role(edge);
	msp_status_t status = MSP_E_NO_MEMORY;
	msp_rate_grant_t grant;
	size_t count = 0;
	size_t i;

	if (asks != NULL)
		status = msp_decode_rate_asks(
		    msp_buffer_text(&request->body), asks, &count);
	if (status == MSP_OK && role == RATE_NOT_OWNER)
		status = msp_fail(MSP_E_NOT_READY,
		    "this VM does not see most of its data centre");
	if (status == MSP_OK) {
		msp_act_as_rate_owner(
		    edge->rates->owner, role == RATE_FIRST_OWNER);
		edge->rates->asked_at = msp_now(&edge->daemon->env);
	}
	for (i = 0; i < count && status == MSP_OK; i++) {
		msp_ask_rate_owner(edge->rates->owner, &asks[i], &grant);
		status = msp_encode_rate_grants(&grant, 1, &response.body);
	}
	free(asks);
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_rate_asks_served_total{result=\"%s\"}",
	    msp_status_name(status));
	if (status == MSP_OK) {
		msp_send_exchange_response(exchange, &response);
	} else {
		msp_drop_response(&response);
		answer_error(exchange,
		    status == MSP_E_SYNTAX ? MSP_E_BAD_REQUEST : status);
	}
}

/* Sends a message about demand to those that may own the limits. */
static void
send_to_owners(edge_rates_t *rates, const char *text)
{
	rate_owner_vm_t owners[RATE_OWNERS_MAX];
	size_t count = list_rate_owners(rates->edge, owners);
	size_t i;

	for (i = 0; i < count; i++) {
		if (!owners[i].is_self)
			send_to_one_vm(&rates->edge->rate_messages,
			    owners[i].address, owners[i].port, text);
	}
}

void
serve_rate_demand(edge_t *edge, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *text = msp_buffer_text(&request->body);
	msp_rate_demand_t *demand =
	    calloc(MSP_RATES_PER_MESSAGE_MAX, sizeof(*demand));
	msp_response_t response = {.status = 204};
	char place[MSP_NAME_SIZE];
	msp_status_t status = MSP_E_NO_MEMORY;
	size_t count = 0;

	if (demand != NULL)
		status = msp_decode_rate_demand(
		    text, place, sizeof(place), demand, &count);
	if (status == MSP_OK) {
		msp_hear_rate_demand(edge->rates->owner,
		    find_rate_place(edge->daemon->settings, place), demand,
		    count);
		if (is_to_pass_on(request))
			send_to_owners(edge->rates, text);
	}
	free(demand);
	if (status == MSP_OK)
		msp_send_exchange_response(exchange, &response);
	else
		answer_error(exchange,
		    status == MSP_E_SYNTAX ? MSP_E_BAD_REQUEST : status);
}

/* Tells the other data centres what this one is asked for. */
static void
tell_demand(edge_rates_t *rates)
{
	msp_rate_demand_t *demand =
	    calloc(MSP_RATES_PER_MESSAGE_MAX, sizeof(*demand));
	const char *place = rates->edge->daemon->settings->place;
	size_t count = demand == NULL ? 0 : MSP_RATES_PER_MESSAGE_MAX;

	while (count == MSP_RATES_PER_MESSAGE_MAX) {
		msp_buffer_t text = {0};

		count = msp_tell_rate_demand(
		    rates->owner, demand, MSP_RATES_PER_MESSAGE_MAX);
		if (msp_encode_rate_demand(place, demand, count, &text) ==
		    MSP_OK) {
			send_to_other_places(&rates->edge->rate_messages,
			    msp_buffer_text(&text));
			send_to_owners(rates, msp_buffer_text(&text));
		}
		msp_drop_buffer(&text);
	}
	free(demand);
}

static const char *
name_role(rate_role_t role)
{
	switch (role) {
	case RATE_FIRST_OWNER:
		return "first";
	case RATE_STANDBY_OWNER:
		return "standby";
	case RATE_NOT_OWNER:
		break;
	}
	return "none";
}

/* Logs this VM's role if it has changed, with what decides it. */
static void
report_role(edge_rates_t *rates, rate_role_t role)
{
	msp_roster_counts_t counts;

	if (role == rates->logged_role)
		return;
	rates->logged_role = role;
	count_place_vms(rates->edge, &counts);
	log_info("event=rate-role role=%s voters=%zu seen=%zu unsettled=%zu",
	    name_role(role), counts.voters, counts.seen, counts.unsettled);
}

void
tick_rates(edge_t *edge)
{
	edge_rates_t *rates = edge->rates;
	msp_time_t now = msp_now(&edge->daemon->env);
	rate_role_t role;

	if (edge->routes == NULL || edge->routes->organisations == NULL)
		return;
	begin_rate_batch(rates);
	if (now < rates->told_at + DEMAND_INTERVAL)
		return;
	rates->told_at = now;
	msp_tidy_rate_leases(rates->leases);
	role = get_rate_role(edge);
	report_role(rates, role);
	if (role != RATE_FIRST_OWNER)
		return;
	msp_act_as_rate_owner(rates->owner, true);
	tell_demand(rates);
}

void
update_rate_gauges(const edge_t *edge)
{
	msp_counters_t *counters = edge->daemon->counters;
	const msp_organisations_t *set =
	    edge->routes == NULL ? NULL : edge->routes->organisations;

	*msp_get_counter(counters, "msp_organisations") =
	    set == NULL ? 0 : msp_count_organisations(set);
	*msp_get_counter(counters, "msp_api_keys") =
	    set == NULL ? 0 : msp_count_api_keys(set);
	*msp_get_counter(counters, "msp_organisations_bytes") =
	    set == NULL ? 0 : msp_organisations_size(set);
	*msp_get_counter(counters, "msp_rate_buckets") =
	    msp_count_rate_buckets(edge->rates->owner);
	*msp_get_counter(counters, "msp_rate_leases") =
	    msp_count_rate_leases(edge->rates->leases);
}
