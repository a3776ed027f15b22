#ifndef MONSOONSPINDLE_NET_H
#define MONSOONSPINDLE_NET_H

#include "monsoonspindle/net/http.h"
#include "monsoonspindle/net/http_client.h"
#include "monsoonspindle/net/http_server.h"
#include "monsoonspindle/net/line_writer.h"
#include "monsoonspindle/net/loop.h"
#include "monsoonspindle/net/query.h"
#include "monsoonspindle/net/retry_after.h"
#include "monsoonspindle/net/rpc.h"

#endif
