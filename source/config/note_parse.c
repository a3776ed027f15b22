#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/config/note.h"
#include "release_lists.h"

typedef struct note_header {
	char id[MSP_NOTE_ID_SIZE];
	uint64_t base_version;
	char base_digest[MSP_DIGEST_TEXT_SIZE];
	char comment[MSP_NOTE_COMMENT_SIZE];
} note_header_t;

static const field_t header_fields[] = {
    {
	.name = "id",
	FIELD(FIELD_NAME, note_header_t, id),
	.min = 1,
	.max = MSP_NOTE_ID_SIZE - 1,
	.help = "id of the note",
    },
    {
	.name = "base_version",
	FIELD(FIELD_UINT, note_header_t, base_version),
	.max = INT64_MAX,
	.help = "version that the note was written against",
    },
    {
	.name = "base_digest",
	FIELD(FIELD_STRING, note_header_t, base_digest),
	.min = MSP_DIGEST_TEXT_SIZE - 1,
	.max = MSP_DIGEST_TEXT_SIZE - 1,
	.help = "digest of that version",
    },
    {
	.name = "comment",
	FIELD(FIELD_STRING, note_header_t, comment),
	.max = MSP_NOTE_COMMENT_SIZE - 1,
	.help = "for the history",
    },
    {0},
};

/* State while a note is parsed. */
typedef struct note_reader {
	field_context_t context;
	msp_note_t *note;
	size_t capacity; /* allocated note->changes */
} note_reader_t;

/* Takes ownership of `item`, also on failure. */
static msp_status_t
append_change(note_reader_t *reader, msp_change_op_t op, msp_item_kind_t kind,
    const void *item)
{
	msp_note_t *note = reader->note;
	size_t capacity = reader->capacity;
	msp_change_t *changes;

	if (note->change_count == capacity) {
		capacity = capacity == 0 ? 16 : capacity * 2;
		changes = realloc(note->changes, capacity * sizeof(*changes));
		if (changes == NULL) {
			drop_item(kind, item);
			return msp_fail(
			    MSP_E_NO_MEMORY, "no memory for changes");
		}
		note->changes = changes;
		reader->capacity = capacity;
	}
	note->changes[note->change_count++] =
	    (msp_change_t){.op = op, .kind = kind, .item = item};
	return MSP_OK;
}

/* Reads an item, or only its key for MSP_OP_WITHDRAW. */
static msp_status_t
read_item(note_reader_t *reader, msp_change_op_t op, msp_item_kind_t kind,
    struct json_object *value)
{
	const item_descriptor_t *descriptor = get_item_descriptor(kind);
	msp_status_t status;
	void *item;

	if (op != MSP_OP_WITHDRAW &&
	    !json_object_is_type(value, json_type_object))
		return fail_field(
		    &reader->context, "wrong type, object expected");
	item = new_item(kind);
	if (item == NULL)
		return MSP_E_NO_MEMORY;
	if (op == MSP_OP_WITHDRAW)
		status = read_field(
		    &reader->context, value, &descriptor->fields[0], item);
	else
		status = read_fields(
		    &reader->context, value, descriptor->fields, item);
	if (status != MSP_OK) {
		drop_item(kind, item);
		return status;
	}
	return append_change(reader, op, kind, item);
}

static msp_status_t
read_section(note_reader_t *reader, msp_change_op_t op, msp_item_kind_t kind,
    struct json_object *list)
{
	msp_status_t status = MSP_OK;
	size_t count;
	size_t old_len;
	size_t i;

	if (!json_object_is_type(list, json_type_array))
		return fail_field(
		    &reader->context, "wrong type, list expected");
	count = json_object_array_length(list);
	if (reader->note->change_count + count > MSP_NOTE_CHANGES_MAX)
		return fail_field(&reader->context,
		    "more than %d items in one note", MSP_NOTE_CHANGES_MAX);
	for (i = 0; i < count && status == MSP_OK; i++) {
		old_len = push_field_path(&reader->context, NULL, i);
		status = read_item(
		    reader, op, kind, json_object_array_get_idx(list, i));
		if (status == MSP_OK)
			pop_field_path(&reader->context, old_len);
	}
	return status;
}

static msp_status_t
find_section(field_context_t *context, const char *name, msp_item_kind_t *kind)
{
	unsigned int i;

	for (i = 0; i < MSP_ITEM_KIND_COUNT; i++) {
		if (strcmp(msp_item_section((msp_item_kind_t)i), name) != 0)
			continue;
		*kind = (msp_item_kind_t)i;
		return MSP_OK;
	}
	return fail_field(context, "unknown key");
}

static msp_status_t
read_sections(
    note_reader_t *reader, msp_change_op_t op, struct json_object *object)
{
	size_t old_root_len =
	    push_field_path(&reader->context, msp_change_op_name(op), 0);
	msp_item_kind_t kind = MSP_ITEM_REGION;
	msp_status_t status;
	size_t old_len;

	if (!json_object_is_type(object, json_type_object))
		return fail_field(
		    &reader->context, "wrong type, object expected");
	json_object_object_foreach(object, key, list)
	{
		old_len = push_field_path(&reader->context, key, 0);
		status = find_section(&reader->context, key, &kind);
		if (status == MSP_OK)
			status = read_section(reader, op, kind, list);
		if (status != MSP_OK)
			return status;
		pop_field_path(&reader->context, old_len);
	}
	pop_field_path(&reader->context, old_root_len);
	return MSP_OK;
}

static msp_status_t
read_header(note_reader_t *reader, struct json_object *object)
{
	bool has_version =
	    json_object_object_get_ex(object, "base_version", NULL);
	bool has_digest =
	    json_object_object_get_ex(object, "base_digest", NULL);
	msp_note_t *note = reader->note;
	note_header_t header = {0};
	msp_status_t status;

	status = read_fields(&reader->context, object, header_fields, &header);
	if (status != MSP_OK)
		return status;
	if (has_version != has_digest) {
		push_field_path(&reader->context,
		    has_version ? "base_digest" : "base_version", 0);
		return fail_field(&reader->context,
		    "missing; base_version and base_digest go together");
	}
	note->has_base = has_version;
	note->base_version = header.base_version;
	memcpy(note->id, header.id, sizeof(note->id));
	memcpy(note->comment, header.comment, sizeof(note->comment));
	if (has_digest &&
	    msp_parse_digest(header.base_digest, &note->base_digest) != 0) {
		push_field_path(&reader->context, "base_digest", 0);
		return fail_field(&reader->context, "not 32 hex digits");
	}
	return MSP_OK;
}

static int
compare_changes(const void *a, const void *b)
{
	const msp_change_t *left = a;
	const msp_change_t *right = b;

	if (left->kind != right->kind)
		return left->kind < right->kind ? -1 : 1;
	return compare_items(left->kind, left->item, right->item);
}

/* Sorts by kind and key; fails if an item occurs twice. */
static msp_status_t
sort_changes(note_reader_t *reader)
{
	msp_note_t *note = reader->note;
	char key[MSP_ITEM_KEY_SIZE];
	size_t i;

	if (note->change_count == 0)
		return fail_field(&reader->context,
		    "no changes; add, change or withdraw at least 1 item");
	qsort(note->changes, note->change_count, sizeof(*note->changes),
	    compare_changes);
	for (i = 1; i < note->change_count; i++) {
		const msp_change_t *change = &note->changes[i];

		if (compare_changes(change - 1, change) != 0)
			continue;
		msp_print_item_key(change->kind, change->item, key);
		push_field_path(
		    &reader->context, msp_change_op_name(change->op), 0);
		push_field_path(
		    &reader->context, msp_item_section(change->kind), 0);
		push_field_path(&reader->context, key, 0);
		return fail_field(
		    &reader->context, "occurs more than once in the note");
	}
	return MSP_OK;
}

static msp_status_t
read_note(note_reader_t *reader, struct json_object *object)
{
	struct json_object *sections[MSP_OP_COUNT] = {NULL};
	bool present[MSP_OP_COUNT];
	msp_status_t status;
	unsigned int op;

	for (op = 0; op < MSP_OP_COUNT; op++) {
		const char *name = msp_change_op_name((msp_change_op_t)op);

		present[op] =
		    json_object_object_get_ex(object, name, &sections[op]);
		json_object_get(sections[op]);
		json_object_object_del(object, name);
	}
	status = read_header(reader, object);
	for (op = 0; op < MSP_OP_COUNT && status == MSP_OK; op++) {
		if (present[op])
			status = read_sections(
			    reader, (msp_change_op_t)op, sections[op]);
	}
	for (op = 0; op < MSP_OP_COUNT; op++)
		json_object_put(sections[op]);
	return status == MSP_OK ? sort_changes(reader) : status;
}

/* Any error in the document makes the note invalid. */
static msp_status_t
to_note_status(msp_status_t status)
{
	if (status == MSP_E_SYNTAX || status == MSP_E_RANGE)
		return MSP_E_INVALID_NOTE;
	return status;
}

msp_status_t
msp_parse_note(
    const char *text, size_t len, const char *origin, msp_note_t **out)
{
	note_reader_t reader = {.context = {.origin = origin}};
	struct json_object *object;
	msp_status_t status;

	if (len > MSP_NOTE_BYTES_MAX)
		return msp_fail(MSP_E_INVALID_NOTE,
		    "%s: document: larger than %d bytes", origin,
		    MSP_NOTE_BYTES_MAX);
	object = parse_json_document(text, len, origin, &status);
	if (object == NULL)
		return to_note_status(status);
	reader.note = calloc(1, sizeof(*reader.note));
	if (reader.note == NULL) {
		json_object_put(object);
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a note");
	}
	reader.note->ref_count = 1;
	status = read_note(&reader, object);
	json_object_put(object);
	if (status != MSP_OK) {
		msp_drop_note(reader.note);
		return to_note_status(status);
	}
	*out = reader.note;
	return MSP_OK;
}
