#ifndef SPINDLED_BLOCKS_H
#define SPINDLED_BLOCKS_H

#include <stddef.h>

struct daemon;

/* Where clients are, by the blocks of the release in force. */
typedef struct blocks blocks_t;

blocks_t *new_blocks(struct daemon *daemon);
void drop_blocks(blocks_t *blocks);

/* The release in force has changed: a new table is built beside the old. */
void update_blocks(blocks_t *blocks);

/*
 * Finds the region and data centre ("": any) nearest to a client's IP number.
 * Returns 0 if no block holds it. Borrowed until the table changes.
 */
int find_client(const blocks_t *blocks, const char *address,
    const char **region, const char **place);

#endif
