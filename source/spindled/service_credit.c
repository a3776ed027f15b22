#include "service_credit.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

#define RECEIVERS_MAX 4096 /* services times places of one region */

/* The dispatchers of one region that share the caps on its links. */
typedef struct receivers {
	uint32_t weights[RECEIVERS_MAX]; /* number of slots */
	size_t count;
	size_t own; /* index of this dispatcher; RECEIVERS_MAX if missing */
} receivers_t;

static uint32_t
count_slots(
    const msp_release_t *release, const char *service, const char *place)
{
	const msp_target_t *target;
	msp_cursor_t cursor = {0};
	uint32_t slots = 0;

	while ((target = msp_next_target(release, service, place, &cursor)) !=
	    NULL)
		slots += target->slots;
	return slots;
}

/*
 * Lists all pairs of a service and a place of this region in the order of the
 * release. The order is the same in all receivers, so that their shares add up
 * to the cap.
 */
static void
list_receivers(const service_dispatcher_t *service, receivers_t *receivers)
{
	const daemon_t *daemon = service->daemon;
	const msp_release_t *release = get_daemon_release(daemon);
	const msp_service_t *spec;
	const msp_place_t *place;
	msp_cursor_t services = {0};

	receivers->count = 0;
	receivers->own = RECEIVERS_MAX;
	while ((spec = msp_next_item(release, MSP_ITEM_SERVICE, &services)) !=
	    NULL) {
		msp_cursor_t places = {0};

		while ((place = msp_next_item(
			    release, MSP_ITEM_PLACE, &places)) != NULL) {
			if (strcmp(place->region, daemon->settings->region) !=
				0 ||
			    receivers->count == RECEIVERS_MAX)
				continue;
			if (strcmp(spec->name, service->name) == 0 &&
			    strcmp(place->name, daemon->settings->place) == 0)
				receivers->own = receivers->count;
			receivers->weights[receivers->count++] =
			    count_slots(release, spec->name, place->name);
		}
	}
}

static void
set_share(service_dispatcher_t *service, const receivers_t *receivers,
    const char *region)
{
	const daemon_t *daemon = service->daemon;
	const msp_link_t *link = msp_find_link(
	    get_daemon_release(daemon), daemon->settings->region, region);
	msp_credit_rate_t share = {0};
	uint64_t requests;

	if (link != NULL && receivers->own < receivers->count) {
		requests = msp_split_cap(link->max_requests_per_s,
		    receivers->weights, receivers->count, receivers->own);
		share.requests =
		    requests > UINT32_MAX ? UINT32_MAX : (uint32_t)requests;
		share.bytes = msp_split_cap(link->max_bytes_per_s,
		    receivers->weights, receivers->count, receivers->own);
	}
	if (msp_set_credit_share(service->granter, region, &share) != MSP_OK)
		log_error("event=share-not-set service=%s region=%s error=%s",
		    service->name, region, msp_last_message());
}

void
update_credit_shares(service_dispatcher_t *service)
{
	static receivers_t receivers;
	const daemon_t *daemon = service->daemon;
	const msp_region_t *region;
	msp_cursor_t cursor = {0};

	list_receivers(service, &receivers);
	while ((region = msp_next_item(get_daemon_release(daemon),
		    MSP_ITEM_REGION, &cursor)) != NULL) {
		if (strcmp(region->name, daemon->settings->region) != 0)
			set_share(service, &receivers, region->name);
	}
}

void
refresh_credit_offers(service_dispatcher_t *service)
{
	msp_dispatcher_load_t load;
	msp_spare_capacity_t spare;
	size_t i;

	msp_get_dispatcher_load(service->dispatcher, &load);
	spare = (msp_spare_capacity_t){
	    .capacity = load.draining ? 0 : load.capacity,
	    .busy = load.in_flight,
	    .service_time = load.service_time,
	    .wait = load.interactive_wait,
	    .background_wait =
		msp_estimate_wait(service->dispatcher, MSP_CLASS_BACKGROUND)};
	for (i = 0; i < MSP_CLASS_COUNT; i++)
		spare.busy += load.queued[i];
	msp_update_credit_offers(service->granter, &spare);
}

void
add_credit_offers(const service_dispatcher_t *service, load_t *load)
{
	const daemon_t *daemon = service->daemon;
	const msp_region_t *region;
	msp_cursor_t cursor = {0};
	msp_credit_offer_t offer;
	load_offer_t *out;

	while ((region = msp_next_item(get_daemon_release(daemon),
		    MSP_ITEM_REGION, &cursor)) != NULL) {
		if (strcmp(region->name, daemon->settings->region) == 0 ||
		    load->offer_count == LOAD_OFFERS_MAX)
			continue;
		msp_get_credit_offer(service->granter, region->name, &offer);
		if (offer.valid_for == 0 || offer.rate.requests == 0)
			continue;
		out = &load->offers[load->offer_count++];
		out->service = hash_name(service->name);
		out->region = hash_name(region->name);
		out->requests = offer.rate.requests > UINT16_MAX
		    ? UINT16_MAX
		    : (uint16_t)offer.rate.requests;
		out->bytes = offer.rate.bytes;
		out->valid_for = offer.valid_for;
	}
}

msp_status_t
admit_request(service_dispatcher_t *service, const proxy_request_t *request,
    msp_credit_reservation_t *reservation, uint32_t *retry_after_ms)
{
	const char *own = service->daemon->settings->region;
	msp_status_t status;

	memset(reservation, 0, sizeof(*reservation));
	if (request->client_region[0] == '\0' ||
	    strcmp(request->client_region, own) == 0)
		return MSP_OK;
	status = msp_reserve_credit(service->granter, request->client_region,
	    request->request.body.len, reservation);
	if (status != MSP_OK)
		*retry_after_ms =
		    (uint32_t)(msp_get_credit_retry_after(
				   service->granter, request->client_region) /
			MSP_MS);
	return status;
}
