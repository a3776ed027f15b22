#include "ledger_rows.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ROW_TEXT_SIZE 256 /* bytes of a head's or an id's row */

/* Copies a row's value as text; MSP_E_SYNTAX if it is too long. */
static msp_status_t
copy_value(const msp_row_t *row, char out[ROW_TEXT_SIZE])
{
	if (row->value_len >= ROW_TEXT_SIZE)
		return msp_fail(MSP_E_SYNTAX, "%s: over %d bytes", row->key,
		    ROW_TEXT_SIZE - 1);
	memcpy(out, row->value, row->value_len);
	out[row->value_len] = '\0';
	return MSP_OK;
}

msp_status_t
parse_head_row(const msp_row_t *row, chain_head_t *head)
{
	char digest[MSP_DIGEST_TEXT_SIZE];
	char text[ROW_TEXT_SIZE];

	*head = (chain_head_t){0};
	if (row->value == NULL)
		return MSP_OK;
	if (copy_value(row, text) != MSP_OK)
		return MSP_E_SYNTAX;
	if (sscanf(text, "%" SCNu64 " %32s", &head->version, digest) != 2 ||
	    msp_parse_digest(digest, &head->digest) != 0)
		return msp_fail(MSP_E_SYNTAX, "%s: no head", row->key);
	return MSP_OK;
}

msp_status_t
parse_id_row(const msp_row_t *row, id_row_t *id)
{
	char contents[MSP_DIGEST_TEXT_SIZE];
	char digest[MSP_DIGEST_TEXT_SIZE];
	char text[ROW_TEXT_SIZE];

	*id = (id_row_t){0};
	if (copy_value(row, text) != MSP_OK)
		return MSP_E_SYNTAX;
	if (strcmp(text, REFUSED_VALUE) == 0)
		return MSP_OK;
	if (sscanf(text, "%" SCNu64 " %32s %32s", &id->version, digest,
		contents) != 3 ||
	    msp_parse_digest(digest, &id->chain_digest) != 0 ||
	    msp_parse_digest(contents, &id->note_digest) != 0)
		return msp_fail(MSP_E_SYNTAX, "%s: no id", row->key);
	return MSP_OK;
}

void
print_id_key(const char *id, char out[LEDGER_KEY_SIZE])
{
	snprintf(out, LEDGER_KEY_SIZE, "release/id/%s", id);
}

void
print_part_key(uint64_t version, unsigned int part, char out[LEDGER_KEY_SIZE])
{
	snprintf(out, LEDGER_KEY_SIZE, NOTE_PREFIX "%016" PRIx64 "/%04x",
	    version, part);
}

void
print_scan_start_key(uint64_t version, char out[LEDGER_KEY_SIZE])
{
	snprintf(out, LEDGER_KEY_SIZE, NOTE_PREFIX "%016" PRIx64 "/~", version);
}

size_t
count_parts(size_t len)
{
	return len == 0 ? 1 : (len + NOTE_PART_BYTES - 1) / NOTE_PART_BYTES;
}

static msp_status_t
fill_part(commit_txn_t *commit, size_t part, size_t parts,
    const msp_buffer_t *text, uint64_t version)
{
	size_t at = part * NOTE_PART_BYTES;
	size_t len = text->len - at;
	msp_status_t status;

	if (len > NOTE_PART_BYTES)
		len = NOTE_PART_BYTES;
	print_part_key(version, (unsigned int)part, commit->keys[part]);
	status =
	    msp_append_printf(&commit->values[part], "%zu %zu\n", part, parts);
	if (status != MSP_OK)
		return status;
	return msp_append_data(&commit->values[part], text->data + at, len);
}

/* The rows of the id and of the head follow those of the note. */
static msp_status_t
fill_pointers(
    commit_txn_t *commit, size_t parts, const char *id, const id_row_t *next)
{
	char contents[MSP_DIGEST_TEXT_SIZE];
	char digest[MSP_DIGEST_TEXT_SIZE];
	msp_status_t status;

	msp_print_digest(next->chain_digest, digest);
	msp_print_digest(next->note_digest, contents);
	print_id_key(id, commit->keys[parts]);
	snprintf(commit->keys[parts + 1], LEDGER_KEY_SIZE, HEAD_KEY);
	status = msp_append_printf(&commit->values[parts], "%" PRIu64 " %s %s",
	    next->version, digest, contents);
	if (status != MSP_OK)
		return status;
	return msp_append_printf(&commit->values[parts + 1],
	    "%" PRIu64 " %s %s", next->version, digest, id);
}

msp_status_t
fill_commit_txn(commit_txn_t *commit, const char *id, const msp_buffer_t *text,
    uint64_t head_row, const id_row_t *next)
{
	size_t parts = count_parts(text->len);
	msp_status_t status = MSP_OK;
	size_t i;

	if (parts > NOTE_PARTS_MAX)
		return msp_fail(MSP_E_INVALID_NOTE,
		    "%s: document: %zu bytes with all defaults, over %d", id,
		    text->len, NOTE_PARTS_MAX * NOTE_PART_BYTES);
	for (i = 0; i < parts && status == MSP_OK; i++)
		status = fill_part(commit, i, parts, text, next->version);
	if (status == MSP_OK)
		status = fill_pointers(commit, parts, id, next);
	if (status != MSP_OK)
		return status;
	for (i = 0; i < parts + 2; i++)
		commit->writes[i] = (msp_write_t){.key = commit->keys[i],
		    .value = commit->values[i].data,
		    .value_len = commit->values[i].len};
	commit->conditions[0] =
	    (msp_condition_t){.key = HEAD_KEY, .version = head_row};
	commit->conditions[1] = (msp_condition_t){.key = commit->keys[parts]};
	commit->txn = (msp_txn_t){.conditions = commit->conditions,
	    .condition_count = 2,
	    .writes = commit->writes,
	    .write_count = parts + 2};
	return MSP_OK;
}

void
drop_commit_txn(commit_txn_t *commit)
{
	size_t i;

	for (i = 0; i < NOTE_PARTS_MAX + 2; i++)
		msp_drop_buffer(&commit->values[i]);
}

/* Reads "part parts\n" before the text of a part. */
static msp_status_t
read_part(const msp_row_t *row, uint64_t *version, size_t *part, size_t *parts,
    size_t *text_at)
{
	const char *end = row->value == NULL
	    ? NULL
	    : memchr(row->value, '\n', row->value_len);
	char line[48];

	if (end == NULL || (size_t)(end - row->value) >= sizeof(line))
		return msp_fail(MSP_E_SYNTAX, "%s: no part", row->key);
	*text_at = (size_t)(end - row->value) + 1;
	memcpy(line, row->value, *text_at - 1);
	line[*text_at - 1] = '\0';
	if (sscanf(line, "%zu %zu", part, parts) != 2 || *parts == 0 ||
	    *parts > NOTE_PARTS_MAX || *part >= *parts ||
	    sscanf(row->key, NOTE_PREFIX "%16" SCNx64, version) != 1)
		return msp_fail(MSP_E_SYNTAX, "%s: no part", row->key);
	return MSP_OK;
}

msp_status_t
join_parts(const msp_row_t *rows, size_t count, msp_buffer_t *text,
    uint64_t *version, size_t *taken)
{
	uint64_t row_version = 0;
	size_t parts = 1;
	size_t text_at = 0;
	size_t part = 0;
	size_t i;

	for (i = 0; i < parts; i++) {
		if (i == count)
			return MSP_E_NOT_FOUND;
		if (read_part(&rows[i], &row_version, &part, &parts,
			&text_at) != MSP_OK)
			return MSP_E_SYNTAX;
		if (i == 0)
			*version = row_version;
		if (part != i || row_version != *version)
			return msp_fail(MSP_E_SYNTAX, "%s: not the part wanted",
			    rows[i].key);
		if (msp_append_data(text, rows[i].value + text_at,
			rows[i].value_len - text_at) != MSP_OK)
			return MSP_E_NO_MEMORY;
	}
	*taken = parts;
	return MSP_OK;
}
