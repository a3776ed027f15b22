#ifndef MONSOONSPINDLE_STANDINS_RAW_RESPONSE_H
#define MONSOONSPINDLE_STANDINS_RAW_RESPONSE_H

#include "monsoonspindle/net.h"

/*
 * Unusual and faulty responses, written directly to the socket of an exchange,
 * bypassing the HTTP server. The connection is then closed, and on_disconnect
 * is called for the exchange.
 */

/* Sends a body of `bytes` bytes with chunked transfer coding. */
void send_chunked_response(msp_exchange_t *exchange, size_t bytes);

/*
 * Sends the Content-Length of `body`, but closes the connection after its first
 * half, or after 200 bytes if that is less.
 */
void send_truncated_response(msp_exchange_t *exchange, const char *body);

/* Whether the connection of the exchange was opened before `time`. */
bool is_connection_opened_before(
    const msp_exchange_t *exchange, msp_time_t time);

#endif
