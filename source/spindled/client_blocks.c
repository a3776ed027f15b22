#include "client_blocks.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "log.h"
#include "monsoonspindle/steer/prefix_table.h"

#define BUILD_STEP_INTERVAL (2 * MSP_MS)
#define BLOCKS_PER_STEP 20000
#define CLIENT_PLACES_MAX 4096

/* The region and data centre of one or more blocks. */
typedef struct client_place {
	char region[MSP_NAME_SIZE];
	char place[MSP_NAME_SIZE]; /* "": any of the region */
} client_place_t;

typedef struct client_places {
	client_place_t *list; /* room for CLIENT_PLACES_MAX */
	size_t count;
} client_places_t;

struct client_blocks {
	daemon_t *daemon;
	msp_prefix_table_t *table; /* NULL: no blocks, or not built yet */
	client_places_t places; /* indexed by the values in `table` */
	msp_prefix_builder_t *builder; /* NULL: no table is being built */
	client_places_t next_places; /* of the table being built */
	msp_timer_t *timer;
};

client_blocks_t *
new_client_blocks(struct daemon *daemon)
{
	client_blocks_t *blocks = calloc(1, sizeof(*blocks));

	if (blocks == NULL)
		return NULL;
	blocks->daemon = daemon;
	update_client_blocks(blocks);
	return blocks;
}

static void
stop_build(client_blocks_t *blocks)
{
	msp_drop_timer(blocks->timer);
	msp_drop_prefix_builder(blocks->builder);
	free(blocks->next_places.list);
	blocks->timer = NULL;
	blocks->builder = NULL;
	blocks->next_places = (client_places_t){0};
}

void
drop_client_blocks(client_blocks_t *blocks)
{
	if (blocks == NULL)
		return;
	stop_build(blocks);
	msp_drop_prefix_table(blocks->table);
	free(blocks->places.list);
	free(blocks);
}

/*
 * Returns the index of the block's region and data centre, which are added if
 * they are new. Returns MSP_NO_PLACE if the list is full.
 */
static size_t
intern_place(client_places_t *places, const msp_release_block_t *block)
{
	size_t i;

	for (i = 0; i < places->count; i++) {
		if (strcmp(places->list[i].region, block->region) == 0 &&
		    strcmp(places->list[i].place, block->place) == 0)
			return i;
	}
	if (places->count == CLIENT_PLACES_MAX)
		return MSP_NO_PLACE;
	memcpy(places->list[i].region, block->region, sizeof(block->region));
	memcpy(places->list[i].place, block->place, sizeof(block->place));
	return places->count++;
}

static msp_status_t
add_block(client_blocks_t *blocks, const msp_release_block_t *block)
{
	char text[MSP_PREFIX_TEXT_SIZE];
	msp_client_block_t parsed;
	msp_status_t status;

	msp_print_prefix(&block->prefix, text);
	status = msp_parse_client_block(text, &parsed);
	if (status != MSP_OK)
		return status;
	return msp_add_client_block(blocks->builder, &parsed,
	    (uint16_t)intern_place(&blocks->next_places, block));
}

static void
install_table(client_blocks_t *blocks, msp_prefix_table_t *table)
{
	msp_replace_prefix_table(&blocks->table, table);
	free(blocks->places.list);
	blocks->places = blocks->next_places;
	blocks->next_places = (client_places_t){0};
	stop_build(blocks);
}

static void
handle_build_timer(void *ctx)
{
	client_blocks_t *blocks = ctx;
	msp_prefix_table_t *table = NULL;

	if (msp_step_prefix_build(blocks->builder, BLOCKS_PER_STEP, &table) !=
	    MSP_OK) {
		log_error(
		    "event=blocks-not-built error=%s", msp_last_message());
		stop_build(blocks);
	} else if (table != NULL) {
		install_table(blocks, table);
	}
}

void
update_client_blocks(client_blocks_t *blocks)
{
	const msp_release_t *release = get_daemon_release(blocks->daemon);
	const msp_release_block_t *block;
	msp_cursor_t cursor = {0};

	stop_build(blocks);
	if (release->counts[MSP_ITEM_BLOCK] == 0) {
		msp_drop_prefix_table(blocks->table);
		blocks->table = NULL;
		return;
	}
	blocks->builder = msp_new_prefix_builder();
	blocks->next_places.list =
	    calloc(CLIENT_PLACES_MAX, sizeof(*blocks->next_places.list));
	if (blocks->builder == NULL || blocks->next_places.list == NULL) {
		log_error("event=blocks-not-built error=no-memory");
		stop_build(blocks);
		return;
	}
	while (
	    (block = msp_next_item(release, MSP_ITEM_BLOCK, &cursor)) != NULL) {
		if (add_block(blocks, block) != MSP_OK)
			log_warn("event=block-left-out error=%s",
			    msp_last_message());
	}
	blocks->timer = msp_new_timer(blocks->daemon->loop, BUILD_STEP_INTERVAL,
	    BUILD_STEP_INTERVAL, handle_build_timer, blocks);
	if (blocks->timer == NULL)
		stop_build(blocks);
}

int
find_client_place(const client_blocks_t *blocks, const char *address,
    const char **region, const char **place)
{
	msp_client_address_t parsed;
	uint16_t index;

	if (blocks->table == NULL ||
	    msp_parse_client_address(address, &parsed) != MSP_OK)
		return 0;
	index = msp_find_prefix_place(blocks->table, parsed);
	if (index >= blocks->places.count)
		return 0;
	*region = blocks->places.list[index].region;
	*place = blocks->places.list[index].place;
	return 1;
}
