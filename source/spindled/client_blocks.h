#ifndef SPINDLED_CLIENT_BLOCKS_H
#define SPINDLED_CLIENT_BLOCKS_H

#include <stddef.h>

struct daemon;

/* Where clients are, by the blocks of the release in force. */
typedef struct client_blocks client_blocks_t;

client_blocks_t *new_client_blocks(struct daemon *daemon);
void drop_client_blocks(client_blocks_t *blocks);

/* The release in force has changed: a new table is built beside the old. */
void update_client_blocks(client_blocks_t *blocks);

/*
 * Finds the region and data centre ("": any) nearest to a client's IP number.
 * Returns 0 if no block holds it. Borrowed until the table changes.
 */
int find_client_place(const client_blocks_t *blocks, const char *address,
    const char **region, const char **place);

#endif
