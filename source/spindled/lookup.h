#ifndef SPINDLED_LOOKUP_H
#define SPINDLED_LOOKUP_H

#include "monsoonspindle/net/http_server.h"

struct daemon;

/*
 * Answers `GET /v1/entries?service=S[&place=P]` with the VMs to which the
 * client should send requests.
 */
void serve_lookup(struct daemon *daemon, msp_exchange_t *exchange);

#endif
