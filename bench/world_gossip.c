#include "world.h"

#define GOSSIP_PERIOD (250 * MSP_MS)

void
set_up_granter(world_place_t *place)
{
	const world_config_t *config = &place->world->config;
	msp_credit_granter_options_t granting = {
	    .propagation_delay = MSP_SECOND,
	    .fill_percent = config->policy.fill_percent,
	};
	uint32_t weights[WORLD_PLACES];
	uint32_t at = place->index - place->region * config->centres;
	msp_credit_rate_t share;
	uint32_t i;

	place->granter = msp_new_credit_granter(&place->world->env, &granting);
	for (i = 0; i < config->centres; i++)
		weights[i] = 1;
	share.requests = (uint32_t)msp_split_cap(
	    config->cap.requests, weights, config->centres, at);
	share.bytes =
	    msp_split_cap(config->cap.bytes, weights, config->centres, at);
	for (i = 0; i < config->regions; i++) {
		char name[2] = {(char)('a' + i), '\0'};

		if (i != place->region)
			msp_set_credit_share(place->granter, name, &share);
	}
}

/* Tells the wallets of other regions what a place offers them. */
static void
tell_offers(world_place_t *place)
{
	world_t *world = place->world;
	msp_dispatcher_load_t load;
	msp_credit_offer_t offer;
	uint32_t i;

	msp_get_dispatcher_load(place->dispatcher, &load);
	place->told_wait = load.draining ? MSP_NEVER : load.interactive_wait;
	place->told_background_wait =
	    load.draining ? MSP_NEVER : load.background_wait;
	if (!world->config.shifts || world->config.regions < 2)
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
	for (i = 0; i < world->place_count; i++) {
		world_place_t *other = &world->places[i];
		char region[2] = {(char)('a' + other->region), '\0'};

		if (other->region == place->region || place->lost ||
		    place->cut || other->cut)
			continue;
		msp_get_credit_offer(place->granter, region, &offer);
		msp_accept_credit_offer(other->wallet, place->name, &offer,
		    world->config.centres, REGION_RTT / 2);
	}
}

static void
gossip(world_t *world, void *arg)
{
	world_place_t *place = arg;

	if (!place->frozen)
		tell_offers(place);
	world_at(world, world->venv.now + GOSSIP_PERIOD, gossip, place);
}

void
start_gossip(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->place_count; i++)
		world_at(world, world->venv.now + 1 + i * 7 * MSP_MS, gossip,
		    &world->places[i]);
}
