#ifndef SPINDLED_SERVICE_CREDIT_H
#define SPINDLED_SERVICE_CREDIT_H

#include "load_codec.h"
#include "monsoonspindle/coord/credits.h"
#include "service_dispatcher.h"

/*
 * What a service's dispatcher allows the clients of other regions: offers, and
 * their enforcement.
 */

/* Sets the shares of the caps from the release in force. */
void update_credit_shares(service_dispatcher_t *service);

/* Recomputes the offers from the dispatcher's load. */
void refresh_credit_offers(service_dispatcher_t *service);

/* Adds the offers in force to the load that is told to others. */
void add_credit_offers(const service_dispatcher_t *service, load_t *load);

/*
 * Admits a work that came from another region, or returns MSP_E_NO_CREDIT with
 * the time to come back. Work of the own region is always admitted.
 */
msp_status_t admit_request(service_dispatcher_t *service,
    const proxy_request_t *work, msp_credit_reservation_t *shift,
    uint32_t *retry_after_ms);

#endif
