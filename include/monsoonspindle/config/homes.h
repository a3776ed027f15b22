#ifndef MONSOONSPINDLE_CONFIG_HOMES_H
#define MONSOONSPINDLE_CONFIG_HOMES_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Home regions. A route, and an organisation, may each name the regions in
 * which its requests may be served. Where both do, both bind.
 */

#define MSP_REGION_NAME_SIZE 128 /* bytes, with the final 0 */

typedef struct msp_region_name {
	char name[MSP_REGION_NAME_SIZE];
} msp_region_name_t;

/* Zero-initialise; no names: any region. */
typedef struct msp_region_list {
	msp_region_name_t *names; /* owned */
	size_t count;
} msp_region_list_t;

/* Appends an empty name and returns it to fill in; NULL: out of memory. */
msp_region_name_t *msp_add_region(msp_region_list_t *list);
void msp_clear_regions(msp_region_list_t *list);
bool msp_lists_region(const msp_region_list_t *list, const char *region);

/* The home regions that bind one request. */
typedef struct msp_homes {
	const msp_region_list_t *route; /* NULL: none */
	const msp_region_list_t *organisation; /* NULL: none */
} msp_homes_t;

/* Whether the request is bound to regions at all. */
bool msp_has_homes(const msp_homes_t *homes);

/* Whether targets in `region` may serve the request. */
bool msp_homes_allow(const msp_homes_t *homes, const char *region);

#endif
