#ifndef MONSOONSPINDLE_CONFIG_RELEASE_H
#define MONSOONSPINDLE_CONFIG_RELEASE_H

#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/config/item.h"

#define MSP_NOTE_ID_SIZE 48 /* bytes of a note's id with its final 0 */

/*
 * The complete configuration after a release note. Immutable and reference-
 * counted; it shares unchanged items with the releases before and after it. Not
 * thread-safe.
 */
typedef struct msp_release {
	uint64_t version; /* number of notes applied since the empty release */
	msp_digest_t digest; /* hash chain over all notes */
	char note_id[MSP_NOTE_ID_SIZE]; /* of the last note; "": none */
	size_t counts[MSP_ITEM_KIND_COUNT]; /* items of each kind */
	struct msp_release_lists *lists; /* private */
} msp_release_t;

/* Returns the empty release, version 0; NULL if memory is exhausted. */
msp_release_t *msp_new_release(void);

/* Adds a reference; returns `release`. */
msp_release_t *msp_keep_release(msp_release_t *release);

/* Releases a reference; NULL is allowed. */
void msp_drop_release(msp_release_t *release);

/* Iterator over the items of a release. Zero-initialise it. */
typedef struct msp_cursor {
	size_t page;
	size_t index;
	bool started;
} msp_cursor_t;

/*
 * Returns the next item of a kind in key order, NULL at the end. It points to
 * the kind's struct and is owned by the release.
 */
const void *msp_next_item(
    const msp_release_t *release, msp_item_kind_t kind, msp_cursor_t *cursor);

/* Find an item by its key in logarithmic time; NULL if there is none. */
const msp_region_t *msp_find_region(
    const msp_release_t *release, const char *name);
const msp_place_t *msp_find_place(
    const msp_release_t *release, const char *name);
const msp_link_t *msp_find_link_by_name(
    const msp_release_t *release, const char *name);
const msp_service_t *msp_find_service(
    const msp_release_t *release, const char *name);
const msp_target_t *msp_find_target(
    const msp_release_t *release, const char *name);
const msp_release_block_t *msp_find_block(
    const msp_release_t *release, const msp_prefix_t *prefix);

/* Finds the link between two regions, in either order, in linear time. */
const msp_link_t *msp_find_link(
    const msp_release_t *release, const char *region, const char *other);

/*
 * Iterates over the targets of a service in one place, or in all if `place` is
 * NULL, ordered by place and name. Start with a zeroed cursor; NULL at the end.
 */
const msp_target_t *msp_next_target(const msp_release_t *release,
    const char *service, const char *place, msp_cursor_t *cursor);

/*
 * Appends a snapshot: one JSON object per line, first a header with version,
 * digest and checksum, then the items.
 */
msp_status_t msp_print_release(const msp_release_t *release, msp_buffer_t *out);

/*
 * Parses a snapshot and validates it like a note. The caller has to compare
 * version and digest with the hash chain. MSP_E_SYNTAX, MSP_E_RANGE,
 * MSP_E_INVALID_NOTE, MSP_E_NO_MEMORY.
 */
msp_status_t msp_parse_release(
    const char *text, size_t len, const char *origin, msp_release_t **release);

#endif
