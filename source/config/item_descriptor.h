#ifndef CONFIG_ITEM_DESCRIPTOR_H
#define CONFIG_ITEM_DESCRIPTOR_H

#include "field.h"
#include "monsoonspindle/config/item.h"

/* What the kinds of items differ in. */
typedef struct item_descriptor {
	const char *name;
	const char *section;
	const field_t *fields; /* the first is the key */
	size_t size; /* bytes of the struct */
	size_t count_max; /* items of this kind in a release */
	bool by_prefix; /* the key is a prefix, else a name */
} item_descriptor_t;

const item_descriptor_t *get_item_descriptor(msp_item_kind_t kind);

/* Returns a zeroed item with one reference, or NULL. */
void *new_item(msp_item_kind_t kind);
const void *keep_item(const void *item);
void drop_item(msp_item_kind_t kind, const void *item);

/* Orders items of one kind by key. */
int compare_items(msp_item_kind_t kind, const void *a, const void *b);

/* Copies the key of one item to another. */
void copy_item_key(msp_item_kind_t kind, const void *from, void *to);

#endif
