#include "monsoonspindle/steer/evacuations.h"

#include <stdlib.h>

#include "monsoonspindle/base/map.h"

typedef struct evacuation {
	bool listed; /* by the operator */
	msp_time_t held_until; /* 0: not held */
} evacuation_t;

struct msp_evacuations {
	msp_env_t env;
	msp_map_t *by_place; /* evacuation_t, also of those that have ended */
};

msp_evacuations_t *
msp_new_evacuations(const msp_env_t *env)
{
	msp_evacuations_t *evacuations = calloc(1, sizeof(*evacuations));

	if (evacuations == NULL)
		return NULL;
	evacuations->env = *env;
	evacuations->by_place = msp_new_map();
	if (evacuations->by_place != NULL)
		return evacuations;
	free(evacuations);
	return NULL;
}

void
msp_drop_evacuations(msp_evacuations_t *evacuations)
{
	if (evacuations == NULL)
		return;
	msp_drop_map_and_values(evacuations->by_place);
	free(evacuations);
}

static bool
is_in_force(const msp_evacuations_t *evacuations, const evacuation_t *entry)
{
	return entry != NULL &&
	    (entry->listed || msp_now(&evacuations->env) < entry->held_until);
}

bool
msp_set_evacuation(
    msp_evacuations_t *evacuations, const char *place, bool active)
{
	msp_map_t *by_place = evacuations->by_place;
	evacuation_t *entry = active
	    ? msp_map_get_or_add(by_place, place, sizeof(*entry))
	    : msp_map_get(by_place, place);
	bool was_active = is_in_force(evacuations, entry);

	if (entry == NULL)
		return false;
	entry->listed = active;
	if (!active)
		entry->held_until = 0;
	return was_active != active;
}

void
msp_list_evacuations_anew(msp_evacuations_t *evacuations)
{
	size_t cursor = 0;
	void *entry;

	while (msp_map_next(evacuations->by_place, &cursor, NULL, &entry))
		((evacuation_t *)entry)->listed = false;
}

void
msp_hold_evacuations(msp_evacuations_t *evacuations)
{
	msp_time_t now = msp_now(&evacuations->env);
	size_t cursor = 0;
	void *value;

	while (msp_map_next(evacuations->by_place, &cursor, NULL, &value)) {
		evacuation_t *entry = value;

		if (is_in_force(evacuations, entry))
			entry->held_until = now + MSP_EVACUATION_HOLD_TIME;
	}
}

bool
msp_is_evacuated(const msp_evacuations_t *evacuations, const char *place)
{
	return is_in_force(
	    evacuations, msp_map_get(evacuations->by_place, place));
}

size_t
msp_count_evacuations(const msp_evacuations_t *evacuations)
{
	size_t cursor = 0;
	size_t count = 0;
	void *entry;

	while (msp_map_next(evacuations->by_place, &cursor, NULL, &entry))
		count += is_in_force(evacuations, entry);
	return count;
}
