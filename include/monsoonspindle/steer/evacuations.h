#ifndef MONSOONSPINDLE_STEER_EVACUATIONS_H
#define MONSOONSPINDLE_STEER_EVACUATIONS_H

#include <stdbool.h>
#include <stddef.h>

#include "monsoonspindle/base/env.h"

/* The data centres whose targets must get no requests. */
typedef struct msp_evacuations msp_evacuations_t;

/*
 * How long an evacuation stays in force that the store may have forgotten; the
 * operator writes it again by then.
 */
#define MSP_EVACUATION_HOLD_TIME (5 * MSP_SECOND)

/* `env` is copied. Returns NULL if out of memory. */
msp_evacuations_t *msp_new_evacuations(const msp_env_t *env);
void msp_drop_evacuations(msp_evacuations_t *evacuations);

/* Begins an evacuation or ends it. Returns whether that changed anything. */
bool msp_set_evacuation(
    msp_evacuations_t *evacuations, const char *place, bool active);

/*
 * All evacuations in force follow, by msp_set_evacuation(). The others end,
 * but for those that are held.
 */
void msp_list_evacuations_anew(msp_evacuations_t *evacuations);

/*
 * The store has come back from an older copy. What is in force is held for
 * MSP_EVACUATION_HOLD_TIME, unless msp_set_evacuation() ends it.
 */
void msp_hold_evacuations(msp_evacuations_t *evacuations);

bool msp_is_evacuated(const msp_evacuations_t *evacuations, const char *place);
size_t msp_count_evacuations(const msp_evacuations_t *evacuations);

#endif
