#ifndef MONSOONSPINDLE_COORD_H
#define MONSOONSPINDLE_COORD_H

#include "monsoonspindle/coord/member.h"
#include "monsoonspindle/coord/membership.h"
#include "monsoonspindle/coord/rendezvous.h"

#endif
