#ifndef MONSOONSPINDLE_STANDINS_FAULTS_H
#define MONSOONSPINDLE_STANDINS_FAULTS_H

#include "monsoonspindle/net.h"

/*
 * Faulty answers on the connection of an exchange, past the HTTP server. The
 * connection is then closed, and on_gone is called for the exchange.
 */

/* Sends `bytes` bytes of body in chunks. */
void send_chunked(msp_exchange_t *exchange, size_t bytes);

/* Announces `body` whole and closes in its middle. */
void send_cut(msp_exchange_t *exchange, const char *body);

/* Whether the connection of the exchange was opened before `time`. */
bool is_opened_before(const msp_exchange_t *exchange, msp_time_t time);

#endif
