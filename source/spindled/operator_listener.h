#ifndef SPINDLED_OPERATOR_LISTENER_H
#define SPINDLED_OPERATOR_LISTENER_H

#include "monsoonspindle/net/http_server.h"

struct daemon;

/* Opens the listener for operators. Returns NULL with a last message. */
msp_http_server_t *open_operator_listener(struct daemon *daemon);

#endif
