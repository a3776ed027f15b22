#include <stdio.h>
#include <string.h>

#include "ctl.h"

static const char op_signs[MSP_OP_COUNT] = {
    [MSP_OP_ADD] = '+',
    [MSP_OP_CHANGE] = '~',
    [MSP_OP_WITHDRAW] = '-',
};

/* Finds the item of the same kind and key in the release. */
static const void *
find_current_item(const msp_release_t *release, const msp_change_t *change)
{
	switch (change->kind) {
	case MSP_ITEM_REGION:
		return msp_find_region(release, change->item);
	case MSP_ITEM_PLACE:
		return msp_find_place(release, change->item);
	case MSP_ITEM_SERVICE:
		return msp_find_service(release, change->item);
	case MSP_ITEM_TARGET:
		return msp_find_target(release, change->item);
	case MSP_ITEM_BLOCK:
		return msp_find_block(release, change->item);
	case MSP_ITEM_LINK:
		return msp_find_link_by_name(release, change->item);
	case MSP_ITEM_KIND_COUNT:
		break;
	}
	return NULL;
}

static json_object *
get_item_json(const msp_change_t *change, const void *item)
{
	msp_buffer_t text = {0};
	json_object *object = NULL;

	if (msp_print_item(change->kind, item, &text) == MSP_OK)
		object = json_tokener_parse(msp_buffer_text(&text));
	msp_drop_buffer(&text);
	return object;
}

/* Prints each changed key as "key: before -> after". */
static void
print_changed_keys(const msp_change_t *change, const void *current)
{
	json_object *before = get_item_json(change, current);
	json_object *after = get_item_json(change, change->item);
	json_object *old = NULL;

	json_object_object_foreach(after, key, value)
	{
		json_object_object_get_ex(before, key, &old);
		if (json_object_equal(old, value))
			continue;
		printf("    %s: %s -> ", key, json_object_to_json_string(old));
		printf("%s\n", json_object_to_json_string(value));
	}
	json_object_put(before);
	json_object_put(after);
}

static void
print_change(const msp_release_t *release, const msp_change_t *change)
{
	const void *current = find_current_item(release, change);
	char key[MSP_ITEM_KEY_SIZE];
	msp_buffer_t text = {0};

	msp_print_item_key(change->kind, change->item, key);
	printf("%c %s %s\n", op_signs[change->op],
	    msp_item_kind_name(change->kind), key);
	if (change->op == MSP_OP_ADD && current != NULL)
		printf("    already exists\n");
	if (change->op != MSP_OP_ADD && current == NULL)
		printf("    does not exist\n");
	if (change->op == MSP_OP_CHANGE && current != NULL)
		print_changed_keys(change, current);
	if (change->op == MSP_OP_ADD &&
	    msp_print_item(change->kind, change->item, &text) == MSP_OK)
		printf("    %s\n", msp_buffer_text(&text));
	msp_drop_buffer(&text);
}

static void
print_json_change(
    const msp_release_t *release, const msp_change_t *change, bool first)
{
	const void *current = find_current_item(release, change);
	char key[MSP_ITEM_KEY_SIZE];
	msp_buffer_t text = {0};

	msp_print_item_key(change->kind, change->item, key);
	msp_append_printf(&text,
	    "%s{\"op\":\"%s\",\"kind\":\"%s\",\"key\":\"%s\",\"before\":",
	    first ? "" : ",\n", msp_change_op_name(change->op),
	    msp_item_kind_name(change->kind), key);
	if (current == NULL)
		msp_append_printf(&text, "null");
	else
		msp_print_item(change->kind, current, &text);
	msp_append_printf(&text, ",\"after\":");
	if (change->op == MSP_OP_WITHDRAW)
		msp_append_printf(&text, "null");
	else
		msp_print_item(change->kind, change->item, &text);
	printf("%s}", msp_buffer_text(&text));
	msp_drop_buffer(&text);
}

ctl_exit_t
run_diff(ctl_t *ctl)
{
	msp_release_t *release;
	msp_note_t *note;
	ctl_exit_t code;
	size_t i;

	note = read_note_file(ctl->options.args[0], &code);
	if (note == NULL)
		return code;
	release = fetch_release(ctl, &code);
	if (release != NULL && ctl->options.json)
		printf("[");
	for (i = 0; release != NULL && i < note->change_count; i++) {
		if (ctl->options.json)
			print_json_change(release, &note->changes[i], i == 0);
		else
			print_change(release, &note->changes[i]);
	}
	if (release != NULL && ctl->options.json)
		printf("]\n");
	msp_drop_release(release);
	msp_drop_note(note);
	return code;
}
