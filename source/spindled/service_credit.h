#ifndef SPINDLED_SERVICE_CREDIT_H
#define SPINDLED_SERVICE_CREDIT_H

#include "load_codec.h"
#include "monsoonspindle/coord/credits.h"
#include "service_dispatch.h"

/*
 * What a service's dispatcher allows the clients of other regions: offers, and
 * their enforcement.
 */

/* Sets the shares of the caps from the release in force. */
void update_shares(service_dispatch_t *service);

/* Recomputes the offers from the dispatcher's load. */
void refresh_offers(service_dispatch_t *service);

/* Adds the offers in force to the load that is told to others. */
void add_offers(const service_dispatch_t *service, load_t *load);

/*
 * Admits a work that came from another region, or returns MSP_E_NO_CREDIT with
 * the time to come back. Work of the own region is always admitted.
 */
msp_status_t admit_work(service_dispatch_t *service, const work_t *work,
    msp_credit_reservation_t *shift, uint32_t *retry_after_ms);

#endif
