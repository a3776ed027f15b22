#ifndef MONSOONSPINDLE_STEER_H
#define MONSOONSPINDLE_STEER_H

#include "monsoonspindle/steer/balancer.h"
#include "monsoonspindle/steer/dispatcher.h"
#include "monsoonspindle/steer/evacuations.h"
#include "monsoonspindle/steer/forward_choice.h"
#include "monsoonspindle/steer/job.h"
#include "monsoonspindle/steer/limit_priority.h"
#include "monsoonspindle/steer/limit_sync.h"
#include "monsoonspindle/steer/planned_stop.h"
#include "monsoonspindle/steer/policy.h"
#include "monsoonspindle/steer/quarantine.h"
#include "monsoonspindle/steer/latency_model.h"
#include "monsoonspindle/steer/rate_share.h"
#include "monsoonspindle/steer/reach.h"
#include "monsoonspindle/steer/region_share.h"
#include "monsoonspindle/steer/spill.h"
#include "monsoonspindle/steer/traffic_split.h"
#include "monsoonspindle/steer/strike_sync.h"
#include "monsoonspindle/steer/target_limit.h"
#include "monsoonspindle/steer/target_pause.h"
#include "monsoonspindle/steer/target_traffic.h"
#include "monsoonspindle/steer/target_view.h"
#include "monsoonspindle/steer/client_block.h"
#include "monsoonspindle/steer/locator.h"
#include "monsoonspindle/steer/prefix_table.h"

#endif
