#ifndef MONSOONSPINDLE_H
#define MONSOONSPINDLE_H

/* Umbrella header of the embeddable library: the packages without I/O. */

#include "monsoonspindle/base.h"
#include "monsoonspindle/config.h"
#include "monsoonspindle/coord.h"
#include "monsoonspindle/steer.h"

#endif
