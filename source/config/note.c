#include "monsoonspindle/config/note.h"

#include <stdlib.h>
#include <string.h>

#include "release_lists.h"

static const char *const op_names[MSP_OP_COUNT] = {
    [MSP_OP_ADD] = "add",
    [MSP_OP_CHANGE] = "change",
    [MSP_OP_WITHDRAW] = "withdraw",
};

const char *
msp_change_op_name(msp_change_op_t op)
{
	return op_names[op];
}

msp_note_t *
msp_keep_note(msp_note_t *note)
{
	note->ref_count++;
	return note;
}

void
msp_drop_note(msp_note_t *note)
{
	size_t i;

	if (note == NULL || --note->ref_count > 0)
		return;
	for (i = 0; i < note->change_count; i++)
		drop_item(note->changes[i].kind, note->changes[i].item);
	free(note->changes);
	free(note);
}

void
msp_set_note_base(
    msp_note_t *note, uint64_t base_version, msp_digest_t base_digest)
{
	note->has_base = true;
	note->base_version = base_version;
	note->base_digest = base_digest;
}

static msp_status_t
print_change(const msp_change_t *change, msp_buffer_t *out)
{
	char key[MSP_ITEM_KEY_SIZE];

	if (change->op != MSP_OP_WITHDRAW)
		return msp_print_item(change->kind, change->item, out);
	msp_print_item_key(change->kind, change->item, key);
	return print_json_string(key, out);
}

/* Appends ,"add":{"regions":[...],...} with the kinds that have changes. */
static msp_status_t
print_changes(const msp_note_t *note, msp_change_op_t op, msp_buffer_t *out)
{
	unsigned int last_kind = MSP_ITEM_KIND_COUNT;
	msp_status_t status;
	const msp_change_t *change;
	size_t i;

	status = msp_append_printf(out, ",\"%s\":{", op_names[op]);
	for (i = 0; i < note->change_count && status == MSP_OK; i++) {
		change = &note->changes[i];
		if (change->op != op)
			continue;
		if (change->kind == last_kind)
			status = msp_append_data(out, ",", 1);
		else
			status = msp_append_printf(out, "%s\"%s\":[",
			    last_kind == MSP_ITEM_KIND_COUNT ? "" : "],",
			    msp_item_section(change->kind));
		last_kind = change->kind;
		if (status == MSP_OK)
			status = print_change(change, out);
	}
	if (status != MSP_OK)
		return status;
	return msp_append_printf(
	    out, last_kind == MSP_ITEM_KIND_COUNT ? "}" : "]}");
}

static msp_status_t
print_contents(const msp_note_t *note, msp_buffer_t *out)
{
	msp_status_t status = msp_append_data(out, ",\"comment\":", 11);
	unsigned int op;

	if (status == MSP_OK)
		status = print_json_string(note->comment, out);
	for (op = 0; op < MSP_OP_COUNT && status == MSP_OK; op++)
		status = print_changes(note, (msp_change_op_t)op, out);
	return status == MSP_OK ? msp_append_data(out, "}", 1) : status;
}

msp_status_t
msp_print_note(const msp_note_t *note, msp_buffer_t *out)
{
	char digest[MSP_DIGEST_TEXT_SIZE];
	msp_status_t status;

	status = msp_append_printf(out, "{\"id\":\"%s\"", note->id);
	if (status == MSP_OK && note->has_base) {
		msp_print_digest(note->base_digest, digest);
		status = msp_append_printf(out,
		    ",\"base_version\":%llu,\"base_digest\":\"%s\"",
		    (unsigned long long)note->base_version, digest);
	}
	return status == MSP_OK ? print_contents(note, out) : status;
}

msp_status_t
msp_digest_note(const msp_note_t *note, msp_digest_t *digest)
{
	msp_buffer_t text = {0};
	msp_status_t status =
	    msp_append_printf(&text, "{\"id\":\"%s\"", note->id);

	if (status == MSP_OK)
		status = print_contents(note, &text);
	if (status == MSP_OK)
		*digest = msp_digest(text.data, text.len);
	msp_drop_buffer(&text);
	return status;
}

static msp_status_t
check_base(const msp_release_t *base, const msp_note_t *note)
{
	if (!note->has_base || note->base_version != base->version)
		return msp_fail(MSP_E_CONFLICT,
		    "%s: base_version: %llu, but the release is at %llu",
		    note->id, (unsigned long long)note->base_version,
		    (unsigned long long)base->version);
	if (!msp_digest_equal(note->base_digest, base->digest))
		return msp_fail(MSP_E_CONFLICT,
		    "%s: base_digest: differs from that of version %llu",
		    note->id, (unsigned long long)base->version);
	return MSP_OK;
}

msp_status_t
msp_apply_note(
    const msp_release_t *base, const msp_note_t *note, msp_release_t **next)
{
	msp_buffer_t text = {0};
	msp_release_t *release;
	msp_status_t status = check_base(base, note);

	if (status != MSP_OK)
		return status;
	status = build_release(
	    base, note->changes, note->change_count, note->id, &release);
	if (status != MSP_OK)
		return status;
	status = msp_print_note(note, &text);
	if (status != MSP_OK) {
		msp_drop_release(release);
		goto out;
	}
	release->version = base->version + 1;
	release->digest = msp_chain_digest(base->digest, text.data, text.len);
	memcpy(release->note_id, note->id, sizeof(release->note_id));
	*next = release;
out:
	msp_drop_buffer(&text);
	return status;
}

static int
compare_changes(const msp_change_t *a, const msp_change_t *b)
{
	if (a->kind != b->kind)
		return a->kind < b->kind ? -1 : 1;
	return compare_items(a->kind, a->item, b->item);
}

/* Both lists are sorted, so one pass over both finds the common items. */
size_t
msp_find_note_conflicts(
    const msp_note_t *a, const msp_note_t *b, msp_buffer_t *conflicts)
{
	char key[MSP_ITEM_KEY_SIZE];
	size_t count = 0;
	size_t i = 0;
	size_t j = 0;
	int order;

	while (i < a->change_count && j < b->change_count) {
		order = compare_changes(&a->changes[i], &b->changes[j]);
		if (order < 0)
			i++;
		if (order > 0)
			j++;
		if (order != 0)
			continue;
		msp_print_item_key(a->changes[i].kind, a->changes[i].item, key);
		msp_append_printf(conflicts, "%s%s %s", count > 0 ? ", " : "",
		    msp_item_kind_name(a->changes[i].kind), key);
		count++;
		i++;
		j++;
	}
	return count;
}
