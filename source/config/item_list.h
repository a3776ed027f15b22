#ifndef CONFIG_ITEM_LIST_H
#define CONFIG_ITEM_LIST_H

#include "item_descriptor.h"
#include "monsoonspindle/config/release.h"

/* Orders two items of a list. */
typedef int item_compare_t(const void *a, const void *b);

/* A run of items, shared between lists. */
typedef struct item_page item_page_t;

/*
 * A sorted list of references to items, immutable once built. A list built
 * from another shares the pages that did not change, so a change costs the
 * count of pages and the items of the pages it touches.
 */
typedef struct item_list {
	msp_item_kind_t kind;
	item_compare_t *compare;
	item_page_t **pages;
	size_t page_count;
	size_t count; /* items */
} item_list_t;

/* An item that goes into a list or out of it. */
typedef struct item_op {
	const void *item;
	bool is_removal;
} item_op_t;

/* Sorts operations by the order; of equal items the removal is first.
 * MSP_E_NO_MEMORY. */
msp_status_t sort_item_ops(item_op_t *ops, size_t count, item_compare_t *order);

/*
 * Fills `next` from `base` by sorted operations. Each removed item must be in
 * `base`. MSP_E_NO_MEMORY; then `next` is empty.
 */
msp_status_t merge_item_list(const item_list_t *base, const item_op_t *ops,
    size_t count, item_list_t *next);

void drop_item_list(item_list_t *list);

/* Returns the first item not below `key`, and sets the cursor to it. */
const void *seek_item(
    const item_list_t *list, const void *key, msp_cursor_t *cursor);

/* Returns the item at the cursor and moves on; NULL at the end. */
const void *next_list_item(const item_list_t *list, msp_cursor_t *cursor);

/* Returns the item equal to `key`, or NULL. */
const void *find_list_item(const item_list_t *list, const void *key);

#endif
