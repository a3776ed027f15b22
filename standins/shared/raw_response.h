#ifndef MONSOONSPINDLE_STANDINS_RAW_RESPONSE_H
#define MONSOONSPINDLE_STANDINS_RAW_RESPONSE_H

#include "monsoonspindle/net.h"

/*
 * Faulty answers on the connection of an exchange, past the HTTP server. The
 * connection is then closed, and on_gone is called for the exchange.
 */

/* Sends `bytes` bytes of body in chunks. */
void send_chunked_response(msp_exchange_t *exchange, size_t bytes);

/* Announces `body` whole and closes in its middle. */
void send_truncated_response(msp_exchange_t *exchange, const char *body);

/* Whether the connection of the exchange was opened before `time`. */
bool is_connection_opened_before(
    const msp_exchange_t *exchange, msp_time_t time);

#endif
