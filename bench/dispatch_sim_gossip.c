#include "dispatch_sim.h"

#define GOSSIP_PERIOD (250 * MSP_MS)

void
set_up_granter(sim_place_t *place)
{
	const dispatch_sim_config_t *config = &place->sim->config;
	msp_credit_granter_options_t granting = {
	    .propagation_delay = MSP_SECOND,
	    .fill_percent = config->policy.fill_percent,
	};
	uint32_t weights[SIM_PLACES_MAX];
	uint32_t at = place->index - place->region * config->data_centres;
	msp_credit_rate_t share;
	uint32_t i;

	place->granter = msp_new_credit_granter(&place->sim->env, &granting);
	for (i = 0; i < config->data_centres; i++)
		weights[i] = 1;
	share.requests = (uint32_t)msp_split_cap(
	    config->cap.requests, weights, config->data_centres, at);
	share.bytes =
	    msp_split_cap(config->cap.bytes, weights, config->data_centres, at);
	for (i = 0; i < config->regions; i++) {
		char name[2] = {(char)('a' + i), '\0'};

		if (i != place->region)
			msp_set_credit_share(place->granter, name, &share);
	}
}

/* Sends the credit offers of a place to the places of other regions. */
static void
send_offers(sim_place_t *place)
{
	dispatch_sim_t *sim = place->sim;
	msp_dispatcher_load_t load;
	msp_credit_offer_t offer;
	uint32_t i;

	msp_get_dispatcher_load(place->dispatcher, &load);
	place->advertised_wait =
	    load.draining ? MSP_NEVER : load.interactive_wait;
	place->advertised_background_wait =
	    load.draining ? MSP_NEVER : load.background_wait;
	if (!sim->config.spillover || sim->config.regions < 2)
		return;
	msp_update_credit_offers(place->granter,
	    &(msp_spare_capacity_t){
		.capacity = load.capacity,
		.busy = load.in_flight + load.queued[MSP_CLASS_INTERACTIVE] +
		    load.queued[MSP_CLASS_COMMIT],
		.service_time = load.service_time,
		.wait = load.interactive_wait,
		.background_wait = load.background_wait,
	    });
	for (i = 0; i < sim->place_count; i++) {
		sim_place_t *other = &sim->places[i];
		char region[2] = {(char)('a' + other->region), '\0'};

		if (other->region == place->region || place->down ||
		    place->isolated || other->isolated)
			continue;
		msp_get_credit_offer(place->granter, region, &offer);
		msp_accept_credit_offer(other->sender_credits, place->name,
		    &offer, sim->config.data_centres, REGION_RTT / 2);
	}
}

static void
handle_gossip_tick(dispatch_sim_t *sim, void *arg)
{
	sim_place_t *place = arg;

	if (!place->frozen)
		send_offers(place);
	schedule_sim_event(
	    sim, sim->venv.now + GOSSIP_PERIOD, handle_gossip_tick, place);
}

void
start_gossip(dispatch_sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < sim->place_count; i++)
		schedule_sim_event(sim, sim->venv.now + 1 + i * 7 * MSP_MS,
		    handle_gossip_tick, &sim->places[i]);
}
