#ifndef CONFIG_ITEM_LIST_H
#define CONFIG_ITEM_LIST_H

#include "item_descriptor.h"
#include "monsoonspindle/config/release.h"

/* Compares two items of a list, as for qsort(). */
typedef int item_compare_t(const void *a, const void *b);

/* A block of consecutive items, shared between lists. */
typedef struct item_page item_page_t;

/*
 * A sorted list of references to items, immutable once built. A list derived
 * from another shares its unchanged pages, so that a change costs only a copy
 * of the page pointers and of the pages that it touches.
 */
typedef struct item_list {
	msp_item_kind_t kind;
	item_compare_t *compare;
	item_page_t **pages;
	size_t page_count;
	size_t count; /* of items */
} item_list_t;

/* Insertion or removal of an item. */
typedef struct item_op {
	const void *item;
	bool is_removal;
} item_op_t;

/* Sorts by item; of equal items the removal is first. MSP_E_NO_MEMORY. */
msp_status_t sort_item_ops(
    item_op_t *ops, size_t count, item_compare_t *compare);

/*
 * Sets `next` to `base` with the sorted operations applied. Removed items must
 * be in `base`. MSP_E_NO_MEMORY; then `next` is empty.
 */
msp_status_t merge_item_list(const item_list_t *base, const item_op_t *ops,
    size_t count, item_list_t *next);

void drop_item_list(item_list_t *list);

/* Returns the first item not less than `key` and moves the cursor past it. */
const void *seek_item(
    const item_list_t *list, const void *key, msp_cursor_t *cursor);

/* Returns the item at the cursor and advances it; NULL at the end. */
const void *next_list_item(const item_list_t *list, msp_cursor_t *cursor);

/* Returns the item equal to `key`, or NULL. */
const void *find_list_item(const item_list_t *list, const void *key);

#endif
