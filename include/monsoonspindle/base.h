#ifndef MONSOONSPINDLE_BASE_H
#define MONSOONSPINDLE_BASE_H

#include "monsoonspindle/base/base64.h"
#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/base/counters.h"
#include "monsoonspindle/base/decimal.h"
#include "monsoonspindle/base/decision.h"
#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/histogram.h"
#include "monsoonspindle/base/map.h"
#include "monsoonspindle/base/memory_budget.h"
#include "monsoonspindle/base/refusal.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/base/version.h"

#endif
