#ifndef CONFIG_RELEASE_LISTS_H
#define CONFIG_RELEASE_LISTS_H

#include "item_list.h"
#include "monsoonspindle/config/note.h"

/* The item lists and indexes of a release. */
typedef struct msp_release_lists {
	item_list_t by_key[MSP_ITEM_KIND_COUNT]; /* one per kind */
	item_list_t by_service; /* targets by service, place, name */
	item_list_t by_address; /* targets by address and port */
	unsigned int ref_count; /* references to the release */
} release_lists_t;

/*
 * Builds and validates the release that results from `changes`, which are
 * sorted by kind and key. The caller sets version, digest and note_id. Messages
 * contain `origin`. MSP_E_INVALID_NOTE, MSP_E_NO_MEMORY.
 */
msp_status_t build_release(const msp_release_t *base,
    const msp_change_t *changes, size_t count, const char *origin,
    msp_release_t **next);

/* Validates the parts of `next` that `changes` could have made invalid. */
msp_status_t check_release(const msp_release_t *next,
    const msp_change_t *changes, size_t count, const char *origin);

#endif
