#include "fleet_group.h"

int
start_fleet_group(void **state, const fleet_options_t *options)
{
	fleet_t *fleet = new_fleet(options);

	*state = fleet;
	if (fleet == NULL)
		return -1;
	return apply_initial_note(fleet) ? 0 : -1;
}

int
stop_fleet_group(void **state)
{
	drop_fleet(*state);
	return 0;
}
