#ifndef SPINDLED_EDGE_RATES_PRIVATE_H
#define SPINDLED_EDGE_RATES_PRIVATE_H

#include "edge_rate_roles.h"
#include "edge_request.h"
#include "monsoonspindle/coord/rate_codec.h"
#include "monsoonspindle/coord/rate_leases.h"

/* State of edge_rates.c and edge_rate_owner.c. */
struct edge_rates {
	edge_t *edge;
	msp_rate_owner_t *owner;
	msp_rate_leases_t *leases;
	msp_map_t *alone; /* msp_rate_share_t by organisation */
	edge_exclusions_t excluded; /* as owners */
	TAILQ_HEAD(, edge_request) waiting;
	/* The questions that are under way. */
	msp_rate_ask_t asks[MSP_RATES_PER_MESSAGE_MAX];
	size_t ask_count;
	unsigned int questions;
	bool was_late; /* the answer to the last one */
	char asked_vm[MSP_NAME_SIZE];
	bool is_asking; /* guards against a second batch from within one */
	msp_call_t *call;
	msp_time_t told_at;
	rate_role_t logged_role;
	msp_time_t asked_at; /* last question of another VM */
	msp_map_t *labels; /* organisations that are counted by name */
};

/* The index of a data centre in the settings; place_count if it is unknown. */
size_t find_rate_place(const msp_settings_t *settings, const char *place);

/* Asks the owner, if there is anything to ask or tell and no question is open.
 */
void begin_rate_batch(edge_rates_t *rates);

#endif
