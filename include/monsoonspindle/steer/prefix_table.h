#ifndef MONSOONSPINDLE_STEER_PREFIX_TABLE_H
#define MONSOONSPINDLE_STEER_PREFIX_TABLE_H

#include <stddef.h>

#include "monsoonspindle/steer/client_block.h"

/*
 * From a client's address to the place of the longest block that holds it. A
 * table is built beside the one in use, in steps that leave the loop free, and
 * put in its stead whole. Memory: up to 12 bytes an IPv4 block and 20 bytes an
 * IPv6 block, twice that while a new one is built, and 12 bytes a block for the
 * builder.
 */
typedef struct msp_prefix_table msp_prefix_table_t;
typedef struct msp_prefix_builder msp_prefix_builder_t;

#define MSP_NO_PLACE UINT16_MAX
#define MSP_CLIENT_BLOCKS_MAX 16000000 /* of one address family */

/* NULL without memory. */
msp_prefix_builder_t *msp_new_prefix_builder(void);
void msp_drop_prefix_builder(msp_prefix_builder_t *builder);

/*
 * Maps a block to a place, an index of the caller's below MSP_NO_PLACE.
 * MSP_E_RANGE for a bad block or place, MSP_E_TOO_LARGE, MSP_E_NO_MEMORY.
 */
msp_status_t msp_add_client_block(msp_prefix_builder_t *builder,
    const msp_client_block_t *block, uint16_t place);

/*
 * Does about `work` blocks' worth of the build. MSP_OK with *table NULL: call
 * it again. Otherwise it is done: *table is the caller's, and the builder may
 * only be dropped. MSP_E_EXISTS if one block was given two places.
 */
msp_status_t msp_step_prefix_build(
    msp_prefix_builder_t *builder, size_t work, msp_prefix_table_t **table);

/* Puts `next` in the place of *table, and drops that. */
void msp_replace_prefix_table(
    msp_prefix_table_t **table, msp_prefix_table_t *next);
void msp_drop_prefix_table(msp_prefix_table_t *table);

/* Returns the place, or MSP_NO_PLACE. */
uint16_t msp_find_prefix_place(
    const msp_prefix_table_t *table, msp_client_address_t address);

/* Bytes that the table holds. */
size_t msp_prefix_table_bytes(const msp_prefix_table_t *table);

#endif
