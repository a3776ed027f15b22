#ifndef COORD_LEDGER_ROWS_H
#define COORD_LEDGER_ROWS_H

#include <stdint.h>

#include "monsoonspindle/config/note.h"
#include "monsoonspindle/platform/store.h"

#define HEAD_KEY "release/head"
#define NOTE_PREFIX "release/note/"
#define SNAPSHOT_NAME "release-snapshot"
#define LEDGER_KEY_SIZE 96 /* bytes of a row's key, with the final NUL */
#define REFUSED_VALUE "refused" /* value of a refused id's row */
#define NOTE_PART_BYTES (60 * 1024) /* of a note's text in one row */
/* Maximum rows of one note: in base64 they fit a store call of 1 MB. */
#define NOTE_PARTS_MAX 12

/* The end of the chain, as stored in the head row. */
typedef struct chain_head {
	uint64_t version;
	msp_digest_t digest;
} chain_head_t;

/* Contents of the row of a note's id. */
typedef struct id_row {
	uint64_t version; /* 0: the note was refused for good */
	msp_digest_t chain_digest; /* of the chain up to the note */
	msp_digest_t note_digest; /* msp_digest_note() */
} id_row_t;

/* An absent row stands for the empty chain. MSP_E_SYNTAX. */
msp_status_t parse_head_row(const msp_row_t *row, chain_head_t *head);

/* The row must exist. MSP_E_SYNTAX. */
msp_status_t parse_id_row(const msp_row_t *row, id_row_t *id);

/* Print the key of an id's row, and of a row with one part of a note. */
void print_id_key(const char *id, char out[LEDGER_KEY_SIZE]);
void print_part_key(
    uint64_t version, unsigned int part, char out[LEDGER_KEY_SIZE]);

/* Prints a key that sorts between the parts of `version` and of the next. */
void print_scan_start_key(uint64_t version, char out[LEDGER_KEY_SIZE]);

/* Returns the number of rows for a note's text of `len` bytes. */
size_t count_parts(size_t len);

/* The transaction that commits a note. Owns its memory. Zero-initialise. */
typedef struct commit_txn {
	char keys[NOTE_PARTS_MAX + 2][LEDGER_KEY_SIZE];
	msp_buffer_t values[NOTE_PARTS_MAX + 2];
	msp_condition_t conditions[2];
	msp_write_t writes[NOTE_PARTS_MAX + 2];
	msp_txn_t txn; /* points into this struct */
} commit_txn_t;

/*
 * Fills `commit` for a note whose canonical text is `text`. The transaction
 * requires the head row to be at version `head_row_version`, and writes
 * `new_row` as the id's row.
 */
msp_status_t fill_commit_txn(commit_txn_t *commit, const char *id,
    const msp_buffer_t *text, uint64_t head_row_version,
    const id_row_t *new_row);
void drop_commit_txn(commit_txn_t *commit);

/*
 * Appends the text of the first note in `rows` to `text`, and sets its version
 * and the number of rows used. Returns MSP_E_NOT_FOUND if the rows end before
 * the note does, MSP_E_SYNTAX if they are not parts of a note.
 */
msp_status_t join_parts(const msp_row_t *rows, size_t count, msp_buffer_t *text,
    uint64_t *version, size_t *used);

#endif
