#ifndef MONSOONSPINDLE_COORD_H
#define MONSOONSPINDLE_COORD_H

#include "monsoonspindle/coord/member.h"
#include "monsoonspindle/coord/membership.h"
#include "monsoonspindle/coord/relay.h"
#include "monsoonspindle/coord/rendezvous.h"
#include "monsoonspindle/coord/summary.h"

#endif
