#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/config/release.h"
#include "release_lists.h"

#define SNAPSHOT_FORMAT 1

/* The first line of a snapshot; the members are its JSON keys. */
typedef struct snapshot_header {
	uint32_t format;
	uint64_t version;
	char digest[MSP_DIGEST_TEXT_SIZE];
	char note[MSP_NOTE_ID_SIZE];
	uint64_t items;
	char check[MSP_DIGEST_TEXT_SIZE]; /* see set_checksum() */
} snapshot_header_t;

#define NUMBER(member_, min_, max_)                                           \
	{                                                                     \
		.name = #member_,                                             \
		FIELD(FIELD_UINT, snapshot_header_t, member_), .min = (min_), \
		.max = (max_), .required = true, .help = ""                   \
	}

#define STRING(member_, min_)                                         \
	{                                                             \
		.name = #member_,                                     \
		FIELD(FIELD_STRING, snapshot_header_t, member_),      \
		.min = (min_),                                        \
		.max = sizeof(((snapshot_header_t *)0)->member_) - 1, \
		.required = true, .help = ""                          \
	}

static const field_t header_fields[] = {
    NUMBER(format, SNAPSHOT_FORMAT, SNAPSHOT_FORMAT),
    NUMBER(version, 0, INT64_MAX),
    STRING(digest, MSP_DIGEST_TEXT_SIZE - 1),
    STRING(note, 0),
    NUMBER(items, 0, INT32_MAX),
    STRING(check, MSP_DIGEST_TEXT_SIZE - 1),
    {0},
};

/*
 * Sets the checksum over the header, with zeros for the checksum, and the text
 * of the items.
 */
static msp_status_t
set_checksum(snapshot_header_t *header, const char *items, size_t len)
{
	msp_buffer_t text = {0};
	msp_status_t status;

	memset(header->check, '0', sizeof(header->check) - 1);
	status = print_fields(header_fields, header, &text);
	if (status == MSP_OK)
		msp_print_digest(
		    msp_chain_digest(
			msp_digest(text.data, text.len), items, len),
		    header->check);
	msp_drop_buffer(&text);
	return status;
}

static msp_status_t
print_items(const msp_release_t *release, msp_buffer_t *out)
{
	msp_status_t status = MSP_OK;
	unsigned int kind;
	const void *item;

	for (kind = 0; kind < MSP_ITEM_KIND_COUNT; kind++) {
		msp_cursor_t cursor = {0};

		while (status == MSP_OK &&
		    (item = msp_next_item(
			 release, (msp_item_kind_t)kind, &cursor)) != NULL) {
			status = msp_append_printf(out, "{\"%s\":",
			    msp_item_kind_name((msp_item_kind_t)kind));
			if (status == MSP_OK)
				status = msp_print_item(
				    (msp_item_kind_t)kind, item, out);
			if (status == MSP_OK)
				status = msp_append_data(out, "}\n", 2);
		}
	}
	return status;
}

msp_status_t
msp_print_release(const msp_release_t *release, msp_buffer_t *out)
{
	snapshot_header_t header = {
	    .format = SNAPSHOT_FORMAT, .version = release->version};
	msp_buffer_t items = {0};
	msp_status_t status = print_items(release, &items);
	unsigned int kind;

	if (status != MSP_OK)
		goto out;
	for (kind = 0; kind < MSP_ITEM_KIND_COUNT; kind++)
		header.items += release->counts[kind];
	msp_print_digest(release->digest, header.digest);
	memcpy(header.note, release->note_id, sizeof(header.note));
	status = set_checksum(&header, msp_buffer_text(&items), items.len);
	if (status == MSP_OK)
		status = print_fields(header_fields, &header, out);
	if (status == MSP_OK)
		status = msp_append_data(out, "\n", 1);
	if (status == MSP_OK)
		status =
		    msp_append_data(out, msp_buffer_text(&items), items.len);
out:
	msp_drop_buffer(&items);
	return status;
}

static msp_status_t
read_header(
    const char *text, size_t len, const char *origin, snapshot_header_t *header)
{
	field_context_t context = {.origin = origin};
	struct json_object *object;
	msp_status_t status;

	object = parse_json_document(text, len, origin, &status);
	if (object == NULL)
		return status;
	status = read_fields(&context, object, header_fields, header);
	json_object_put(object);
	return status;
}

static msp_status_t
find_kind(field_context_t *context, struct json_object *object,
    struct json_object **value, msp_item_kind_t *kind)
{
	unsigned int i;

	for (i = 0; i < MSP_ITEM_KIND_COUNT; i++) {
		*kind = (msp_item_kind_t)i;
		if (json_object_object_get_ex(
			object, msp_item_kind_name(*kind), value) &&
		    json_object_is_type(*value, json_type_object) &&
		    json_object_object_length(object) == 1)
			return MSP_OK;
	}
	return fail_field(context, "not an item");
}

static msp_status_t
read_line(
    const char *text, size_t len, const char *origin, msp_change_t *change)
{
	field_context_t context = {.origin = origin};
	struct json_object *object;
	struct json_object *value;
	msp_status_t status;
	void *item;

	object = parse_json_document(text, len, origin, &status);
	if (object == NULL)
		return status;
	status = find_kind(&context, object, &value, &change->kind);
	if (status != MSP_OK)
		goto out;
	item = new_item(change->kind);
	if (item == NULL) {
		status = MSP_E_NO_MEMORY;
		goto out;
	}
	push_field_path(&context, msp_item_kind_name(change->kind), 0);
	status = read_fields(
	    &context, value, get_item_descriptor(change->kind)->fields, item);
	change->item = item;
	if (status != MSP_OK)
		drop_item(change->kind, item);
out:
	json_object_put(object);
	return status;
}

static int
is_less(const msp_change_t *a, const msp_change_t *b)
{
	if (a->kind != b->kind)
		return a->kind < b->kind;
	return compare_items(a->kind, a->item, b->item) < 0;
}

/*
 * Reads `count` items, which must be in the order of print_items(). Sets
 * *parsed to the number of items that the caller must drop, also on failure.
 */
static msp_status_t
read_lines(const char *text, size_t len, const char *origin,
    msp_change_t *changes, size_t count, size_t *parsed)
{
	const char *end = text + len;
	msp_status_t status;
	const char *next;

	for (*parsed = 0; *parsed < count; (*parsed)++) {
		next = memchr(text, '\n', (size_t)(end - text));
		if (next == NULL)
			return msp_fail(MSP_E_SYNTAX,
			    "%s: items: %zu of %zu lines", origin, *parsed,
			    count);
		status = read_line(
		    text, (size_t)(next - text), origin, &changes[*parsed]);
		if (status != MSP_OK)
			return status;
		text = next + 1;
		if (*parsed == 0 ||
		    is_less(&changes[*parsed - 1], &changes[*parsed]))
			continue;
		drop_item(changes[*parsed].kind, changes[*parsed].item);
		return msp_fail(MSP_E_SYNTAX,
		    "%s: items: not sorted at item %zu", origin, *parsed);
	}
	if (text != end)
		return msp_fail(MSP_E_SYNTAX, "%s: items: more than %zu lines",
		    origin, count);
	return MSP_OK;
}

static msp_status_t
read_items(const char *text, size_t len, const char *origin, size_t count,
    msp_release_t **out)
{
	msp_change_t *changes = calloc(count + 1, sizeof(*changes));
	msp_release_t *empty = msp_new_release();
	msp_status_t status = MSP_E_NO_MEMORY;
	size_t parsed = 0;

	if (changes != NULL && empty != NULL)
		status = read_lines(text, len, origin, changes, count, &parsed);
	if (status == MSP_OK)
		status = build_release(empty, changes, count, origin, out);
	while (parsed > 0) {
		parsed--;
		drop_item(changes[parsed].kind, changes[parsed].item);
	}
	free(changes);
	msp_drop_release(empty);
	return status;
}

msp_status_t
msp_parse_release(
    const char *text, size_t len, const char *origin, msp_release_t **out)
{
	char checksum[MSP_DIGEST_TEXT_SIZE]; /* as given in the header */
	snapshot_header_t header = {0};
	msp_digest_t digest;
	msp_status_t status;
	const char *items = memchr(text, '\n', len);

	if (items == NULL)
		return msp_fail(
		    MSP_E_SYNTAX, "%s: document: not a snapshot", origin);
	status = read_header(text, (size_t)(items - text), origin, &header);
	if (status != MSP_OK)
		return status;
	items++;
	len -= (size_t)(items - text);
	memcpy(checksum, header.check, sizeof(checksum));
	status = set_checksum(&header, items, len);
	if (status != MSP_OK)
		return status;
	if (strcmp(checksum, header.check) != 0)
		return msp_fail(
		    MSP_E_SYNTAX, "%s: check: checksum mismatch", origin);
	if (msp_parse_digest(header.digest, &digest) != 0)
		return msp_fail(
		    MSP_E_SYNTAX, "%s: digest: not 32 hex digits", origin);
	if (header.items > len)
		return msp_fail(MSP_E_SYNTAX,
		    "%s: items: more than the bytes that follow", origin);
	status = read_items(items, len, origin, (size_t)header.items, out);
	if (status != MSP_OK)
		return status;
	(*out)->version = header.version;
	(*out)->digest = digest;
	memcpy((*out)->note_id, header.note, sizeof(header.note));
	return MSP_OK;
}
