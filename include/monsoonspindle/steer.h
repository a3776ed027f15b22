#ifndef MONSOONSPINDLE_STEER_H
#define MONSOONSPINDLE_STEER_H

#include "monsoonspindle/steer/dispatcher.h"
#include "monsoonspindle/steer/job.h"
#include "monsoonspindle/steer/policy.h"
#include "monsoonspindle/steer/quarantine.h"

#endif
