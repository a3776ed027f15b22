#ifndef MONSOONSPINDLE_CONFIG_H
#define MONSOONSPINDLE_CONFIG_H

#include "monsoonspindle/config/check_routes.h"
#include "monsoonspindle/config/homes.h"
#include "monsoonspindle/config/item.h"
#include "monsoonspindle/config/note.h"
#include "monsoonspindle/config/organisation.h"
#include "monsoonspindle/config/prefix.h"
#include "monsoonspindle/config/release.h"
#include "monsoonspindle/config/route_table.h"
#include "monsoonspindle/config/settings.h"

#endif
