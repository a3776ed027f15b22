#include <string.h>

#include "soak_private.h"

#define SIGNALS (SOAK_TERM | SOAK_KILL | SOAK_FREEZE | SOAK_RELOAD)
#define TARGETS (SOAK_CRASH | SOAK_DRAIN | SOAK_SLOW | SOAK_CUT_TARGET)
#define LINKS (SOAK_SILENT | SOAK_MUTE)
#define STORE (SOAK_STORE_DOWN | SOAK_STORE_SLOW | SOAK_STORE_SILENT)

/* What all profiles have in common. */
#define COMMON                                                                \
	.safe = 0.5, .queue = 4, .max_connections = 200, .deadline_ms = 2500, \
	.split = 0.2, .chunked = 0.3, .chunked_responses = 0.2,               \
	.retrying = 0.5, .fresh = 0.1

#define WORK .work_ms = 60, .slots = 8

static const soak_profile_t profiles[] = {
    {.name = "calm",
	COMMON,
	WORK,
	.rate = 300,
	.failed = 0.005,
	.closing = 0.01},
    {.name = "extra",
	COMMON,
	WORK,
	.rate = 300,
	.extra = 0.05,
	.extra_refusal = 0.05,
	.late = 0.7,
	.failed = 0.005,
	.closing = 0.01},
    {.name = "close",
	COMMON,
	WORK,
	.rate = 300,
	.keep_ms = 1000,
	.closing = 0.1,
	.lost = 0.01,
	.truncated = 0.01,
	.garbage = 0.005,
	.leaving = 0.05},
    {.name = "full",
	COMMON,
	WORK,
	.rate = 900,
	.closing = 0.01,
	.bare = 0.3,
	.failed = 0.005,
	.faults = 0.5,
	.fault_kinds = SOAK_BURST | SOAK_SLOW},
    {.name = "signals",
	COMMON,
	WORK,
	.rate = 400,
	.closing = 0.01,
	.leaving = 0.02,
	.faults = 2,
	.fault_kinds = SIGNALS},
    {.name = "cut",
	COMMON,
	WORK,
	.rate = 400,
	.closing = 0.01,
	.lost = 0.005,
	.faults = 2,
	.fault_kinds = TARGETS | LINKS | STORE},
    {.name = "extra-full",
	COMMON,
	WORK,
	.rate = 1000,
	.extra = 0.05,
	.extra_refusal = 0.01,
	.late = 0.7,
	.bare = 0.3,
	.closing = 0.01},
    {.name = "windows",
	COMMON,
	WORK,
	.rate = 100,
	.big = 0.5,
	.early = 0.3,
	.closing = 0.05,
	.unsized = 0.5,
	.leaving = 0.02,
	.small_windows = true},
    {.name = "starved",
	COMMON,
	WORK,
	.rate = 200,
	.share = 0.15,
	.closing = 0.02,
	.leaving = 0.02,
	.faults = 0.5,
	.fault_kinds = SOAK_BURST | SOAK_SLOW},
    {.name = "far",
	COMMON,
	WORK,
	.rate = 300,
	.link_delay_ms = 40,
	.keep_ms = 1000,
	.closing = 0.05,
	.lost = 0.005,
	.leaving = 0.02,
	.faults = 1,
	.fault_kinds = SOAK_SLOW | SOAK_CUT_TARGET | SOAK_MUTE | SOAK_BURST},
    {.name = "short-deadlines",
	COMMON,
	WORK,
	.rate = 900,
	.short_deadlines = 0.7,
	.closing = 0.02},
    {.name = "short-deadlines-starved",
	COMMON,
	WORK,
	.rate = 500,
	.share = 0.3,
	.link_delay_ms = 5,
	.short_deadlines = 0.7,
	.closing = 0.02},
    {.name = "day",
	COMMON,
	.rate = 500,
	.work_ms = 100,
	.slots = 9,
	.share = 0.15,
	.truncated = 0.002,
	.lost = 0.002,
	.failed = 0.005,
	.closing = 0.02,
	.leaving = 0.01,
	.faults = 1,
	.fault_kinds = TARGETS | SIGNALS | STORE},
    {.name = "deaf",
	COMMON,
	WORK,
	.rate = 300,
	.closing = 0.2,
	.faults = 1,
	.fault_kinds = SOAK_DEAF | SOAK_SLOW | SOAK_BURST},
    {.name = "slow-clients",
	COMMON,
	WORK,
	.rate = 200,
	.pause_ms = 500,
	.vm_timeout_ms = 300,
	.vm_connections = 60,
	.closing = 0.01},
    {.name = "many",
	COMMON,
	.rate = 1200,
	.work_ms = 300,
	.slots = 100,
	.closing = 0.02,
	.faults = 0.5,
	.fault_kinds = SOAK_CRASH | SOAK_CUT_TARGET},
    {.name = "chunked-deletes",
	COMMON,
	WORK,
	.rate = 100,
	.chunked_deletes = 1},
    {.name = "escapes", COMMON, WORK, .rate = 100, .escapes = 1},
    {.name = "deadly", COMMON, WORK, .rate = 300, .deadly = 0.01},
    {.name = "all",
	COMMON,
	WORK,
	.rate = 500,
	.closing = 0.02,
	.lost = 0.005,
	.truncated = 0.005,
	.garbage = 0.002,
	.failed = 0.005,
	.bare = 0.1,
	.leaving = 0.05,
	.faults = 3,
	.fault_kinds = SIGNALS | TARGETS | LINKS | STORE | SOAK_BURST},
};

#define PROFILE_COUNT (sizeof(profiles) / sizeof(*profiles))

const char *
soak_profile_name(unsigned int index)
{
	return index < PROFILE_COUNT ? profiles[index].name : NULL;
}

const soak_profile_t *
find_soak_profile(const char *name)
{
	unsigned int i;

	for (i = 0; i < PROFILE_COUNT; i++) {
		if (strcmp(profiles[i].name, name) == 0)
			return &profiles[i];
	}
	return NULL;
}
