#ifndef SPINDLED_CLIENT_BLOCKS_H
#define SPINDLED_CLIENT_BLOCKS_H

#include <stddef.h>

struct daemon;

/*
 * Maps client IP addresses to regions and data centres by the client blocks
 * (CIDR prefixes) of the release in force.
 */
typedef struct client_blocks client_blocks_t;

client_blocks_t *new_client_blocks(struct daemon *daemon);
void drop_client_blocks(client_blocks_t *blocks);

/*
 * Starts to build the table of a changed release in the background; the old
 * table is used until the new one is complete.
 */
void update_client_blocks(client_blocks_t *blocks);

/*
 * Looks up the region and data centre ("": any) of the block that contains a
 * client's IP address. Returns 0 if there is none. The strings are borrowed and
 * valid until the table changes.
 */
int find_client_place(const client_blocks_t *blocks, const char *address,
    const char **region, const char **place);

#endif
