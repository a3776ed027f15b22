#ifndef MONSOONSPINDLE_BASE_MAP_H
#define MONSOONSPINDLE_BASE_MAP_H

#include <stddef.h>

#include "monsoonspindle/base/status.h"

/*
 * A hash map from strings to pointers. Keys are copied; values stay the
 * caller's. The order of iteration is arbitrary and changes with insertions.
 */
typedef struct msp_map msp_map_t;

/* Returns NULL if memory is exhausted. */
msp_map_t *msp_new_map(void);
void msp_drop_map(msp_map_t *map);

/* Frees all values, which came from malloc(), and the map. */
void msp_drop_map_and_values(msp_map_t *map);

/* Returns the value of `key`, or NULL. */
void *msp_map_get(const msp_map_t *map, const char *key);

/* Sets `key` to `value`, which must not be NULL. */
msp_status_t msp_map_put(msp_map_t *map, const char *key, void *value);

/*
 * Returns the value of `key`; if it is absent, sets it to a new value of `size`
 * zero bytes. Returns NULL if memory is exhausted.
 */
void *msp_map_get_or_add(msp_map_t *map, const char *key, size_t size);

/* Removes `key` and returns its value, or NULL if it was absent. */
void *msp_map_remove(msp_map_t *map, const char *key);

size_t msp_map_count(const msp_map_t *map);

/*
 * Iterates over the map: start with *cursor 0; returns 0 at the end. The entry
 * just returned may be removed during the iteration, but none may be put.
 */
int msp_map_next(
    const msp_map_t *map, size_t *cursor, const char **key, void **value);

#endif
