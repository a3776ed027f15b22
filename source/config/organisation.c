#include "monsoonspindle/config/organisation.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "growing_array.h"
#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/base/map.h"

/* Slots of the table of keys for each key; a power of two. */
#define SLOTS_PER_KEY 2

typedef struct api_key {
	msp_digest_t digest;
	size_t owner; /* index of the organisation */
	size_t offset; /* of the text in the set's texts */
	size_t len;
} api_key_t;

struct msp_organisations {
	msp_organisation_t *list; /* owned */
	size_t count;
	msp_map_t *by_name; /* organisations; borrowed from `list` */
	api_key_t *keys; /* owned */
	size_t key_count;
	char *texts; /* of all keys, one after the other; owned */
	size_t texts_len;
	size_t texts_capacity;
	uint32_t *slots; /* 1 + index of a key, or 0; open addressing; owned */
	size_t slot_count; /* a power of two */
};

msp_organisations_t *
msp_new_organisations(void)
{
	msp_organisations_t *set = calloc(1, sizeof(*set));

	if (set == NULL)
		return NULL;
	set->by_name = msp_new_map();
	if (set->by_name != NULL)
		return set;
	free(set);
	return NULL;
}

void
msp_drop_organisations(msp_organisations_t *set)
{
	size_t i;

	if (set == NULL)
		return;
	for (i = 0; i < set->count; i++)
		msp_clear_regions(&set->list[i].homes);
	msp_drop_map(set->by_name);
	free(set->list);
	free(set->keys);
	free(set->texts);
	free(set->slots);
	free(set);
}

msp_organisation_t *
msp_add_organisation(msp_organisations_t *set)
{
	return append_element(
	    (void **)&set->list, &set->count, sizeof(*set->list));
}

/* Appends a text to the set's texts. */
static msp_status_t
append_text(msp_organisations_t *set, const char *text, size_t len)
{
	size_t capacity = set->texts_capacity;
	char *texts;

	while (capacity < set->texts_len + len)
		capacity = capacity == 0 ? MSP_API_KEY_MAX : capacity * 2;
	if (capacity > set->texts_capacity) {
		texts = realloc(set->texts, capacity);
		if (texts == NULL)
			return msp_fail(
			    MSP_E_NO_MEMORY, "no memory for API keys");
		set->texts = texts;
		set->texts_capacity = capacity;
	}
	memcpy(set->texts + set->texts_len, text, len);
	set->texts_len += len;
	return MSP_OK;
}

msp_status_t
msp_add_api_key(msp_organisations_t *set, const char *key, size_t len)
{
	api_key_t *added;

	if (len == 0 || len > MSP_API_KEY_MAX)
		return msp_fail(MSP_E_INVALID_NOTE,
		    "organisation %s: a key of %zu bytes",
		    set->list[set->count - 1].name, len);
	added = append_element(
	    (void **)&set->keys, &set->key_count, sizeof(*set->keys));
	if (added == NULL)
		return MSP_E_NO_MEMORY;
	*added = (api_key_t){.digest = msp_digest(key, len),
	    .owner = set->count - 1,
	    .offset = set->texts_len,
	    .len = len};
	return append_text(set, key, len);
}

static bool
is_valid_name(const char *name)
{
	const char *at;

	for (at = name; *at != '\0'; at++) {
		if (iscntrl((unsigned char)*at))
			return false;
	}
	return *name != '\0';
}

static msp_status_t
index_names(msp_organisations_t *set)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < set->count && status == MSP_OK; i++) {
		msp_organisation_t *organisation = &set->list[i];
		const char *name = organisation->name;

		if (!is_valid_name(name))
			return msp_fail(MSP_E_INVALID_NOTE,
			    "organisation %zu has no valid name", i);
		if (msp_map_get(set->by_name, name) != NULL)
			return msp_fail(MSP_E_INVALID_NOTE,
			    "two organisations are called %s", name);
		status = msp_map_put(set->by_name, name, organisation);
	}
	return status;
}

/* Compares without an early end, so that the time tells nothing. */
static bool
is_same_text(const char *a, const char *b, size_t len)
{
	volatile unsigned char difference = 0;
	size_t i;

	for (i = 0; i < len; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	return difference == 0;
}

/* Returns the slot of the key, or the empty one where it would be. */
static size_t
find_slot(const msp_organisations_t *set, const char *text, size_t len,
    msp_digest_t digest)
{
	size_t slot = digest.low & (set->slot_count - 1);

	while (set->slots[slot] != 0) {
		const api_key_t *key = &set->keys[set->slots[slot] - 1];

		if (msp_digest_equal(key->digest, digest) && key->len == len &&
		    is_same_text(set->texts + key->offset, text, len))
			break;
		slot = (slot + 1) & (set->slot_count - 1);
	}
	return slot;
}

static msp_status_t
index_keys(msp_organisations_t *set)
{
	size_t slot;
	size_t i;

	set->slot_count = 1;
	while (set->slot_count < set->key_count * SLOTS_PER_KEY)
		set->slot_count *= 2;
	if (set->key_count >= UINT32_MAX)
		return msp_fail(MSP_E_INVALID_NOTE, "too many keys");
	/* At least one slot stays empty, where a search ends. */
	set->slots = calloc(set->slot_count, sizeof(*set->slots));
	if (set->slots == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for API keys");
	for (i = 0; i < set->key_count; i++) {
		const api_key_t *key = &set->keys[i];

		slot = find_slot(
		    set, set->texts + key->offset, key->len, key->digest);
		if (set->slots[slot] != 0 &&
		    set->keys[set->slots[slot] - 1].owner != key->owner)
			return msp_fail(MSP_E_INVALID_NOTE,
			    "organisations %s and %s have the same key",
			    set->list[set->keys[set->slots[slot] - 1].owner]
				.name,
			    set->list[key->owner].name);
		set->slots[slot] = (uint32_t)i + 1;
	}
	return MSP_OK;
}

msp_status_t
msp_finish_organisations(msp_organisations_t *set)
{
	msp_status_t status = index_names(set);

	return status == MSP_OK ? index_keys(set) : status;
}

const msp_organisation_t *
msp_find_key_holder(const msp_organisations_t *set, const char *key, size_t len)
{
	size_t slot;

	if (len == 0 || len > MSP_API_KEY_MAX || set->slots == NULL)
		return NULL;
	slot = find_slot(set, key, len, msp_digest(key, len));
	return set->slots[slot] == 0
	    ? NULL
	    : &set->list[set->keys[set->slots[slot] - 1].owner];
}

const msp_organisation_t *
msp_find_organisation(const msp_organisations_t *set, const char *name)
{
	return msp_map_get(set->by_name, name);
}

void
msp_visit_organisations(const msp_organisations_t *set,
    void (*visit)(
	void *ctx, const msp_organisation_t *organisation, size_t key_count),
    void *ctx)
{
	size_t at = 0; /* keys stand in the order of their organisations */
	size_t count;
	size_t i;

	for (i = 0; i < set->count; i++) {
		for (count = 0; at < set->key_count && set->keys[at].owner == i;
		     at++)
			count++;
		visit(ctx, &set->list[i], count);
	}
}

void
msp_visit_api_keys(const msp_organisations_t *set,
    void (*visit)(void *ctx, const msp_organisation_t *organisation,
	const char *key, size_t len),
    void *ctx)
{
	size_t i;

	for (i = 0; i < set->key_count; i++)
		visit(ctx, &set->list[set->keys[i].owner],
		    set->texts + set->keys[i].offset, set->keys[i].len);
}

size_t
msp_count_organisations(const msp_organisations_t *set)
{
	return set->count;
}

size_t
msp_count_api_keys(const msp_organisations_t *set)
{
	return set->key_count;
}

size_t
msp_organisations_size(const msp_organisations_t *set)
{
	size_t size = sizeof(*set) + set->count * sizeof(*set->list) +
	    set->key_count * sizeof(*set->keys) + set->texts_capacity +
	    set->slot_count * sizeof(*set->slots);
	size_t i;

	for (i = 0; i < set->count; i++)
		size += set->list[i].homes.count *
		    sizeof(*set->list[i].homes.names);
	return size;
}
