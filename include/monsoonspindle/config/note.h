#ifndef MONSOONSPINDLE_CONFIG_NOTE_H
#define MONSOONSPINDLE_CONFIG_NOTE_H

#include "monsoonspindle/config/release.h"

#define MSP_NOTE_BYTES_MAX (4 << 20) /* of a note's JSON text */
#define MSP_NOTE_CHANGES_MAX 50000
#define MSP_NOTE_COMMENT_SIZE 256

typedef enum msp_change_op {
	MSP_OP_ADD,
	MSP_OP_CHANGE,
	MSP_OP_WITHDRAW,
	MSP_OP_COUNT
} msp_change_op_t;

/* Returns "add", "change" or "withdraw". */
const char *msp_change_op_name(msp_change_op_t op);

/* One change of a note. For MSP_OP_WITHDRAW only the key of `item` is set. */
typedef struct msp_change {
	msp_change_op_t op;
	msp_item_kind_t kind;
	const void *item;
} msp_change_t;

/*
 * A release note: items to add, to change (replaced as a whole) and to
 * withdraw, and the version it was written against. Reference-counted. Its text
 * form is a JSON object:
 *
 *	{"id": "...", "base_version": 4, "base_digest": "...", "comment": "...",
 *	 "add": {"targets": [{...}]}, "change": {"places": [{...}]},
 *	 "withdraw": {"targets": ["name"], "blocks": ["192.0.2.0/24"]}}
 */
typedef struct msp_note {
	char id[MSP_NOTE_ID_SIZE]; /* "" if absent */
	bool has_base; /* base_version and base_digest are set */
	uint64_t base_version;
	msp_digest_t base_digest;
	char comment[MSP_NOTE_COMMENT_SIZE];
	msp_change_t *changes; /* owned; sorted by kind, then key */
	size_t change_count;
	unsigned int ref_count; /* private */
} msp_note_t;

/*
 * Parses a note; every key is checked as in settings. An item may occur only
 * once. On MSP_E_INVALID_NOTE the message contains `origin`, the key and the
 * allowed range; MSP_E_NO_MEMORY.
 */
msp_status_t msp_parse_note(
    const char *text, size_t len, const char *origin, msp_note_t **note);

msp_note_t *msp_keep_note(msp_note_t *note);
void msp_drop_note(msp_note_t *note);

/* Sets the version that the note applies to. */
void msp_set_note_base(
    msp_note_t *note, uint64_t base_version, msp_digest_t base_digest);

/* Appends the canonical text: one line with keys and items in fixed order. */
msp_status_t msp_print_note(const msp_note_t *note, msp_buffer_t *out);

/*
 * Computes the digest of the canonical text without the base, so that a rebase
 * doesn't change it.
 */
msp_status_t msp_digest_note(const msp_note_t *note, msp_digest_t *digest);

/*
 * Applies a note written against `base` and validates the result. `base` is
 * unchanged; the caller owns *next.
 *
 * MSP_E_CONFLICT     the note's base has another version or digest
 * MSP_E_INVALID_NOTE the message contains the item, the key and the range
 * MSP_E_NO_MEMORY
 */
msp_status_t msp_apply_note(
    const msp_release_t *base, const msp_note_t *note, msp_release_t **next);

/*
 * Returns the number of items that both notes change, and appends "kind key" of
 * each to `conflicts`, separated by ", ".
 */
size_t msp_find_note_conflicts(
    const msp_note_t *a, const msp_note_t *b, msp_buffer_t *conflicts);

#endif
