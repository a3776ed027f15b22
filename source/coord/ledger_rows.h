#ifndef COORD_LEDGER_ROWS_H
#define COORD_LEDGER_ROWS_H

#include <stdint.h>

#include "monsoonspindle/config/note.h"
#include "monsoonspindle/platform/store.h"

#define HEAD_KEY "release/head"
#define NOTE_PREFIX "release/note/"
#define SNAPSHOT_NAME "release-snapshot"
#define LEDGER_KEY_SIZE 96 /* bytes of a row's key */
#define REFUSED_VALUE "refused" /* value of a refused id's row */
#define NOTE_PART_BYTES (60 * 1024) /* of a note's text in one row */
#define NOTE_PARTS_MAX                                         \
	12 /* rows of one note: a store call of 1 MB in base64 \
	    */

/* The chain's end, as the head row has it. */
typedef struct chain_head {
	uint64_t version;
	msp_digest_t digest;
} chain_head_t;

/* What is kept of a note under its id. */
typedef struct id_row {
	uint64_t version; /* 0: it was refused, and will never be accepted */
	msp_digest_t chain_digest; /* of the chain with it */
	msp_digest_t note_digest; /* msp_digest_note() */
} id_row_t;

/* An absent row is the empty chain. MSP_E_SYNTAX. */
msp_status_t parse_head_row(const msp_row_t *row, chain_head_t *head);
msp_status_t parse_id_row(const msp_row_t *row, id_row_t *id);

/* The key of an id's row, and of the part of a note. */
void print_id_key(const char *id, char out[LEDGER_KEY_SIZE]);
void print_part_key(
    uint64_t version, unsigned int part, char out[LEDGER_KEY_SIZE]);

/* A key that sorts after all parts of `version` and before those above. */
void print_scan_start_key(uint64_t version, char out[LEDGER_KEY_SIZE]);

/* Returns the number of rows that a note's text takes. */
size_t count_parts(size_t len);

/* The transaction that commits a note. Zero-initialise. */
typedef struct commit_txn {
	char keys[NOTE_PARTS_MAX + 2][LEDGER_KEY_SIZE];
	msp_buffer_t values[NOTE_PARTS_MAX + 2];
	msp_condition_t conditions[2];
	msp_write_t writes[NOTE_PARTS_MAX + 2];
	msp_txn_t txn; /* points into this struct */
} commit_txn_t;

/*
 * Fills `commit` for a note whose canonical text is `text`. `head_row` is the
 * version of the head's row that it requires, `next` the chain with it.
 */
msp_status_t fill_commit_txn(commit_txn_t *commit, const char *id,
    const msp_buffer_t *text, uint64_t head_row, const id_row_t *next);
void drop_commit_txn(commit_txn_t *commit);

/*
 * Joins the parts of the first note in `rows` to `text`, and sets its version
 * and how many rows it took. Returns MSP_E_NOT_FOUND if the rows end before the
 * note does, MSP_E_SYNTAX if they are no parts of a note.
 */
msp_status_t join_parts(const msp_row_t *rows, size_t count, msp_buffer_t *text,
    uint64_t *version, size_t *taken);

#endif
