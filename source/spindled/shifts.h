#ifndef SPINDLED_SHIFTS_H
#define SPINDLED_SHIFTS_H

#include "places.h"
#include "work.h"

struct daemon;

/* For each service, what goes to other data centres, and on what credit. */
typedef struct shifts shifts_t;

shifts_t *new_shifts(struct daemon *daemon);
void drop_shifts(shifts_t *shifts);

/*
 * Decides whether a work that was not sent anywhere yet goes to another data
 * centre at once: because the wait here is longer, or this one drains.
 */
bool shift_first(shifts_t *shifts, const work_t *work, place_choice_t *choice);

/*
 * Chooses where a work may go that a data centre did not take. Its places
 * tried before are left out. Returns false if there is none.
 */
bool shift_refused(
    shifts_t *shifts, const work_t *work, place_choice_t *choice);

#endif
