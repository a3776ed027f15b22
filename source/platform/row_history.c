#include "row_history.h"

#include <stdlib.h>

#include "row_patch.h"

/* A patch is sent if it saves at least one byte in so many. */
#define SAVED_ONE_IN 10

void
open_row_history(row_history_t *history)
{
	TAILQ_INIT(&history->values);
	SLIST_INIT(&history->patches);
	history->value_count = 0;
}

static void
drop_patches(row_history_t *history)
{
	cached_patch_t *patch;
	cached_patch_t *next;

	SLIST_FOREACH_SAFE(patch, &history->patches, link, next) {
		msp_drop_buffer(&patch->data);
		free(patch);
	}
	SLIST_INIT(&history->patches);
}

static void
drop_value(row_history_t *history, old_value_t *old)
{
	TAILQ_REMOVE(&history->values, old, link);
	history->value_count--;
	free(old->value);
	free(old);
}

void
clear_row_history(row_history_t *history)
{
	old_value_t *old;
	old_value_t *next;

	drop_patches(history);
	TAILQ_FOREACH_SAFE(old, &history->values, link, next)
		drop_value(history, old);
}

void
replace_row_value(row_history_t *history, char *value, size_t len,
    uint64_t version, msp_time_t now)
{
	old_value_t *old = NULL;

	drop_patches(history);
	/* Without a version no reader can name it as a base. */
	if (value != NULL && len >= ROW_LARGE_BYTES && version != 0)
		old = calloc(1, sizeof(*old));
	if (old == NULL) {
		free(value);
		return;
	}
	if (history->value_count == ROW_HISTORY_VALUES_MAX)
		drop_value(
		    history, TAILQ_LAST(&history->values, old_value_list));
	*old = (old_value_t){
	    .value = value, .len = len, .version = version, .replaced_at = now};
	TAILQ_INSERT_HEAD(&history->values, old, link);
	history->value_count++;
}

void
expire_row_history(row_history_t *history, msp_time_t now)
{
	old_value_t *old;
	old_value_t *next;

	TAILQ_FOREACH_SAFE(old, &history->values, link, next) {
		if (now >= old->replaced_at + ROW_HISTORY_TIME)
			drop_value(history, old);
	}
	if (history->value_count == 0)
		drop_patches(history);
}

bool
has_row_history(const row_history_t *history)
{
	return history->value_count > 0 || !SLIST_EMPTY(&history->patches);
}

static bool
is_base(const store_patch_bases_t *bases, uint64_t version)
{
	size_t i;

	for (i = 0; i < bases->count; i++) {
		if (bases->versions[i] == version)
			return true;
	}
	return false;
}

/* Returns the newest known value of those that a reader has, or NULL. */
static const old_value_t *
find_base(const row_history_t *history, const store_patch_bases_t *bases)
{
	const old_value_t *old;

	TAILQ_FOREACH(old, &history->values, link) {
		if (is_base(bases, old->version))
			return old;
	}
	return NULL;
}

static cached_patch_t *
find_patch(const row_history_t *history, uint64_t base_version)
{
	cached_patch_t *patch;

	SLIST_FOREACH(patch, &history->patches, link) {
		if (patch->base_version == base_version)
			return patch;
	}
	return NULL;
}

static cached_patch_t *
add_patch(row_history_t *history, const old_value_t *base, const char *value,
    size_t len)
{
	cached_patch_t *patch = calloc(1, sizeof(*patch));

	if (patch == NULL)
		return NULL;
	if (encode_row_patch(base == NULL ? NULL : base->value,
		base == NULL ? 0 : base->len, value, len,
		&patch->data) != MSP_OK) {
		msp_drop_buffer(&patch->data);
		free(patch);
		return NULL;
	}
	patch->base_version = base == NULL ? 0 : base->version;
	SLIST_INSERT_HEAD(&history->patches, patch, link);
	return patch;
}

const cached_patch_t *
get_row_patch(row_history_t *history, const store_patch_bases_t *bases,
    const char *value, size_t len)
{
	const old_value_t *base = find_base(history, bases);
	cached_patch_t *patch =
	    find_patch(history, base == NULL ? 0 : base->version);

	if (patch == NULL)
		patch = add_patch(history, base, value, len);
	if (patch == NULL || patch->data.len + len / SAVED_ONE_IN > len)
		return NULL;
	return patch;
}
