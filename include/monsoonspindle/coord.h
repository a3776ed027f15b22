#ifndef MONSOONSPINDLE_COORD_H
#define MONSOONSPINDLE_COORD_H

#include "monsoonspindle/coord/bulk_pacer.h"
#include "monsoonspindle/coord/credits.h"
#include "monsoonspindle/coord/ledger.h"
#include "monsoonspindle/coord/retry_budget.h"
#include "monsoonspindle/coord/retry_window.h"
#include "monsoonspindle/coord/in_doubt_claims.h"
#include "monsoonspindle/coord/claims.h"
#include "monsoonspindle/coord/issued_keys.h"
#include "monsoonspindle/coord/nonces.h"
#include "monsoonspindle/coord/claim_outcome.h"
#include "monsoonspindle/coord/feature_gate.h"
#include "monsoonspindle/coord/member.h"
#include "monsoonspindle/coord/membership.h"
#include "monsoonspindle/coord/protocol.h"
#include "monsoonspindle/coord/rate_codec.h"
#include "monsoonspindle/coord/rate_leases.h"
#include "monsoonspindle/coord/rate_owner.h"
#include "monsoonspindle/coord/reader_rank.h"
#include "monsoonspindle/coord/relay.h"
#include "monsoonspindle/coord/rendezvous.h"
#include "monsoonspindle/coord/roster.h"
#include "monsoonspindle/coord/summary.h"
#include "monsoonspindle/coord/version_lag.h"

#endif
