#ifndef MONSOONSPINDLE_COORD_H
#define MONSOONSPINDLE_COORD_H

#include "monsoonspindle/coord/claim_doubts.h"
#include "monsoonspindle/coord/claims.h"
#include "monsoonspindle/coord/issued_keys.h"
#include "monsoonspindle/coord/nonces.h"
#include "monsoonspindle/coord/outcome.h"
#include "monsoonspindle/coord/retry_budget.h"

#endif
