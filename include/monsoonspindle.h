#ifndef MONSOONSPINDLE_H
#define MONSOONSPINDLE_H

/* Includes all headers of the embeddable library, which does no I/O. */

#include "monsoonspindle/base.h"
#include "monsoonspindle/config.h"
#include "monsoonspindle/coord.h"
#include "monsoonspindle/steer.h"

#endif
