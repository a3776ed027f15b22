#ifndef MONSOONSPINDLE_STEER_PREFIX_TABLE_H
#define MONSOONSPINDLE_STEER_PREFIX_TABLE_H

#include <stddef.h>

#include "monsoonspindle/steer/client_block.h"

/*
 * Longest-prefix match: maps a client's address to the place of the longest
 * block that contains it. A new table is built beside the one in use, in short
 * steps that do not block the event loop, and then replaces it as a whole.
 * Memory: up to 12 bytes per IPv4 block and 20 bytes per IPv6 block, twice that
 * during a build, and 12 bytes per block for the builder.
 */
typedef struct msp_prefix_table msp_prefix_table_t;
typedef struct msp_prefix_builder msp_prefix_builder_t;

#define MSP_NO_PLACE UINT16_MAX
#define MSP_CLIENT_BLOCKS_MAX 16000000 /* of one address family */

/* Returns NULL if out of memory. */
msp_prefix_builder_t *msp_new_prefix_builder(void);
void msp_drop_prefix_builder(msp_prefix_builder_t *builder);

/*
 * Maps a block to a place, an index that the caller defines, below
 * MSP_NO_PLACE. Returns MSP_E_RANGE for an invalid block or place,
 * MSP_E_TOO_LARGE past MSP_CLIENT_BLOCKS_MAX, or MSP_E_NO_MEMORY.
 */
msp_status_t msp_add_client_block(msp_prefix_builder_t *builder,
    const msp_client_block_t *block, uint16_t place);

/*
 * Continues the build by about `budget` blocks. MSP_OK with *table NULL means
 * that another call is needed. Once *table is set, the caller owns it, and the
 * builder may only be dropped. Returns MSP_E_EXISTS if a block was mapped to
 * two places.
 */
msp_status_t msp_step_prefix_build(
    msp_prefix_builder_t *builder, size_t budget, msp_prefix_table_t **table);

/* Drops *table and stores `next` there. */
void msp_replace_prefix_table(
    msp_prefix_table_t **table, msp_prefix_table_t *next);
void msp_drop_prefix_table(msp_prefix_table_t *table);

/* Returns the place, or MSP_NO_PLACE. */
uint16_t msp_find_prefix_place(
    const msp_prefix_table_t *table, msp_client_address_t address);

/* Returns the memory that the table uses, in bytes. */
size_t msp_prefix_table_bytes(const msp_prefix_table_t *table);

#endif
