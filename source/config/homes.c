#include "monsoonspindle/config/homes.h"

#include <stdlib.h>
#include <string.h>

#include "growing_array.h"

msp_region_name_t *
msp_add_region(msp_region_list_t *list)
{
	return append_element(
	    (void **)&list->names, &list->count, sizeof(*list->names));
}

void
msp_clear_regions(msp_region_list_t *list)
{
	free(list->names);
	*list = (msp_region_list_t){0};
}

static bool
has_regions(const msp_region_list_t *list)
{
	return list != NULL && list->count > 0;
}

bool
msp_lists_region(const msp_region_list_t *list, const char *region)
{
	size_t i;

	for (i = 0; i < list->count; i++) {
		if (strcmp(list->names[i].name, region) == 0)
			return true;
	}
	return false;
}

static bool
allows_region(const msp_region_list_t *list, const char *region)
{
	return !has_regions(list) || msp_lists_region(list, region);
}

bool
msp_has_homes(const msp_homes_t *homes)
{
	return has_regions(homes->route) || has_regions(homes->organisation);
}

bool
msp_homes_allow(const msp_homes_t *homes, const char *region)
{
	return allows_region(homes->route, region) &&
	    allows_region(homes->organisation, region);
}
