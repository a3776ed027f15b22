#ifndef MONSOONSPINDLE_CONFIG_H
#define MONSOONSPINDLE_CONFIG_H

#include "monsoonspindle/config/prefix.h"
#include "monsoonspindle/config/settings.h"

#endif
