#ifndef CONFIG_ITEM_DESCRIPTOR_H
#define CONFIG_ITEM_DESCRIPTOR_H

#include "field.h"
#include "monsoonspindle/config/item.h"

/* Properties of one kind of items. */
typedef struct item_descriptor {
	const char *name; /* "region", ... */
	const char *section; /* "regions", ... */
	const field_t *fields; /* the first one is the key */
	size_t size; /* bytes of the item's struct */
	size_t count_max; /* maximum number of items in a release */
	bool by_prefix; /* the key is an address prefix, not a name */
} item_descriptor_t;

const item_descriptor_t *get_item_descriptor(msp_item_kind_t kind);

/* Returns a zeroed item with one reference; NULL: out of memory. */
void *new_item(msp_item_kind_t kind);
const void *keep_item(const void *item);
void drop_item(msp_item_kind_t kind, const void *item);

/* Compares items of one kind by key. */
int compare_items(msp_item_kind_t kind, const void *a, const void *b);

/* Copies the key of an item to another. */
void copy_item_key(msp_item_kind_t kind, const void *from, void *to);

#endif
