#include "monsoonspindle/base/map.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/hash.h"

#define INITIAL_CAPACITY 16

/*
 * A slot is empty (key NULL), the tombstone of a removed entry (value NULL) or
 * in use.
 */
typedef struct map_slot {
	char *key;
	void *value;
	uint64_t hash;
} map_slot_t;

struct msp_map {
	map_slot_t *slots;
	size_t capacity; /* a power of two */
	size_t count; /* slots in use */
	size_t filled; /* slots in use and tombstones */
};

msp_map_t *
msp_new_map(void)
{
	msp_map_t *map = calloc(1, sizeof(*map));

	if (map == NULL)
		return NULL;
	map->slots = calloc(INITIAL_CAPACITY, sizeof(*map->slots));
	if (map->slots == NULL) {
		free(map);
		return NULL;
	}
	map->capacity = INITIAL_CAPACITY;
	return map;
}

void
msp_drop_map(msp_map_t *map)
{
	size_t i;

	if (map == NULL)
		return;
	for (i = 0; i < map->capacity; i++)
		free(map->slots[i].key);
	free(map->slots);
	free(map);
}

void
msp_drop_map_and_values(msp_map_t *map)
{
	size_t i;

	if (map == NULL)
		return;
	for (i = 0; i < map->capacity; i++)
		free(map->slots[i].value);
	msp_drop_map(map);
}

static map_slot_t *
find_slot(const msp_map_t *map, const char *key, uint64_t hash)
{
	size_t i = hash & (map->capacity - 1);
	map_slot_t *slot;

	for (;;) {
		slot = &map->slots[i];
		if (slot->key == NULL)
			return slot;
		if (slot->hash == hash && strcmp(slot->key, key) == 0)
			return slot;
		i = (i + 1) & (map->capacity - 1);
	}
}

/*
 * Moves the entries to a new table without the tombstones. The table doubles
 * only if at least half of it is in use.
 */
static msp_status_t
rehash(msp_map_t *map)
{
	map_slot_t *old = map->slots;
	size_t old_capacity = map->capacity;
	size_t capacity =
	    map->count * 2 >= old_capacity ? old_capacity * 2 : old_capacity;
	size_t i;

	map->slots = calloc(capacity, sizeof(*map->slots));
	if (map->slots == NULL) {
		map->slots = old;
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a map");
	}
	map->capacity = capacity;
	map->filled = map->count;
	for (i = 0; i < old_capacity; i++) {
		if (old[i].value != NULL)
			*find_slot(map, old[i].key, old[i].hash) = old[i];
		else
			free(old[i].key);
	}
	free(old);
	return MSP_OK;
}

void *
msp_map_get(const msp_map_t *map, const char *key)
{
	return find_slot(map, key, msp_hash_text(key, 0))->value;
}

msp_status_t
msp_map_put(msp_map_t *map, const char *key, void *value)
{
	uint64_t hash = msp_hash_text(key, 0);
	map_slot_t *slot;
	msp_status_t status;

	if (value == NULL)
		return msp_fail(MSP_E_INTERNAL, "map value is NULL");
	if ((map->filled + 1) * 4 > map->capacity * 3) {
		status = rehash(map);
		if (status != MSP_OK)
			return status;
	}
	slot = find_slot(map, key, hash);
	if (slot->key == NULL) {
		slot->key = strdup(key);
		if (slot->key == NULL)
			return msp_fail(MSP_E_NO_MEMORY, "no memory for a key");
		slot->hash = hash;
		map->filled++;
	}
	if (slot->value == NULL)
		map->count++;
	slot->value = value;
	return MSP_OK;
}

void *
msp_map_get_or_add(msp_map_t *map, const char *key, size_t size)
{
	void *value = msp_map_get(map, key);

	if (value != NULL)
		return value;
	value = calloc(1, size);
	if (value == NULL || msp_map_put(map, key, value) == MSP_OK)
		return value;
	free(value);
	return NULL;
}

void *
msp_map_remove(msp_map_t *map, const char *key)
{
	map_slot_t *slot = find_slot(map, key, msp_hash_text(key, 0));
	void *value = slot->value;

	if (value == NULL)
		return NULL;
	slot->value = NULL;
	map->count--;
	return value;
}

size_t
msp_map_count(const msp_map_t *map)
{
	return map->count;
}

int
msp_map_next(
    const msp_map_t *map, size_t *cursor, const char **key, void **value)
{
	map_slot_t *slot;

	while (*cursor < map->capacity) {
		slot = &map->slots[(*cursor)++];
		if (slot->value == NULL)
			continue;
		if (key != NULL)
			*key = slot->key;
		*value = slot->value;
		return 1;
	}
	return 0;
}
