#ifndef MONSOONSPINDLE_PLATFORM_H
#define MONSOONSPINDLE_PLATFORM_H

#include "monsoonspindle/platform/http_store.h"
#include "monsoonspindle/platform/memory_store.h"
#include "monsoonspindle/platform/store.h"
#include "monsoonspindle/platform/store_service.h"

#endif
