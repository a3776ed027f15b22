#ifndef SPINDLED_SERVICE_CREDIT_H
#define SPINDLED_SERVICE_CREDIT_H

#include "load_codec.h"
#include "monsoonspindle/coord/credits.h"
#include "service_dispatcher.h"

/*
 * Credit that a service's dispatcher grants to clients of other regions: the
 * offers, and the admission of requests by them.
 */

/* Sets this receiver's shares of the rate caps from the release in force. */
void update_credit_shares(service_dispatcher_t *service);

/* Recomputes the offers from the dispatcher's load. */
void refresh_credit_offers(service_dispatcher_t *service);

/* Adds the offers in force to the load that other VMs receive. */
void add_credit_offers(const service_dispatcher_t *service, load_t *load);

/*
 * Admits a request from another region, or returns MSP_E_NO_CREDIT and sets
 * `retry_after_ms`. Requests from this VM's own region are always admitted.
 */
msp_status_t admit_request(service_dispatcher_t *service,
    const proxy_request_t *request, msp_credit_reservation_t *reservation,
    uint32_t *retry_after_ms);

#endif
