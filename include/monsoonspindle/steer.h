#ifndef MONSOONSPINDLE_STEER_H
#define MONSOONSPINDLE_STEER_H

#include "monsoonspindle/steer/client_block.h"
#include "monsoonspindle/steer/locator.h"
#include "monsoonspindle/steer/prefix_table.h"

#endif
