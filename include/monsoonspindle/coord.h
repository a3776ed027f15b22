#ifndef MONSOONSPINDLE_COORD_H
#define MONSOONSPINDLE_COORD_H

#include "monsoonspindle/coord/ledger.h"
#include "monsoonspindle/coord/retry_budget.h"

#endif
