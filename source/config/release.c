#include "monsoonspindle/config/release.h"

#include <stdlib.h>
#include <string.h>

#include "release_lists.h"

#define COMPARE_BY_KEY(name_, kind_)                   \
	static int name_(const void *a, const void *b) \
	{                                              \
		return compare_items((kind_), a, b);   \
	}

COMPARE_BY_KEY(compare_regions, MSP_ITEM_REGION)
COMPARE_BY_KEY(compare_places, MSP_ITEM_PLACE)
COMPARE_BY_KEY(compare_links, MSP_ITEM_LINK)
COMPARE_BY_KEY(compare_services, MSP_ITEM_SERVICE)
COMPARE_BY_KEY(compare_targets, MSP_ITEM_TARGET)
COMPARE_BY_KEY(compare_blocks, MSP_ITEM_BLOCK)

static item_compare_t *const comparisons[MSP_ITEM_KIND_COUNT] = {
    [MSP_ITEM_REGION] = compare_regions,
    [MSP_ITEM_PLACE] = compare_places,
    [MSP_ITEM_LINK] = compare_links,
    [MSP_ITEM_SERVICE] = compare_services,
    [MSP_ITEM_TARGET] = compare_targets,
    [MSP_ITEM_BLOCK] = compare_blocks,
};

static int
compare_by_service(const void *a, const void *b)
{
	const msp_target_t *one = a;
	const msp_target_t *other = b;
	int order = strcmp(one->service, other->service);

	if (order == 0)
		order = strcmp(one->place, other->place);
	if (order == 0)
		order = strcmp(one->name, other->name);
	return order;
}

static int
compare_by_address(const void *a, const void *b)
{
	const msp_target_t *one = a;
	const msp_target_t *other = b;
	int order = strcmp(one->address, other->address);

	if (order != 0)
		return order;
	return (one->port > other->port) - (one->port < other->port);
}

msp_release_t *
msp_new_release(void)
{
	msp_release_t *release = calloc(1, sizeof(*release));
	release_lists_t *lists = calloc(1, sizeof(*lists));
	unsigned int kind;

	if (release == NULL || lists == NULL) {
		free(release);
		free(lists);
		msp_fail(MSP_E_NO_MEMORY, "no memory for a release");
		return NULL;
	}
	release->lists = lists;
	lists->ref_count = 1;
	for (kind = 0; kind < MSP_ITEM_KIND_COUNT; kind++) {
		lists->by_key[kind].kind = (msp_item_kind_t)kind;
		lists->by_key[kind].compare = comparisons[kind];
	}
	lists->by_service.kind = MSP_ITEM_TARGET;
	lists->by_service.compare = compare_by_service;
	lists->by_address.kind = MSP_ITEM_TARGET;
	lists->by_address.compare = compare_by_address;
	return release;
}

msp_release_t *
msp_keep_release(msp_release_t *release)
{
	release->lists->ref_count++;
	return release;
}

void
msp_drop_release(msp_release_t *release)
{
	unsigned int kind;

	if (release == NULL || --release->lists->ref_count > 0)
		return;
	for (kind = 0; kind < MSP_ITEM_KIND_COUNT; kind++)
		drop_item_list(&release->lists->by_key[kind]);
	drop_item_list(&release->lists->by_service);
	drop_item_list(&release->lists->by_address);
	free(release->lists);
	free(release);
}

const void *
msp_next_item(
    const msp_release_t *release, msp_item_kind_t kind, msp_cursor_t *cursor)
{
	return next_list_item(&release->lists->by_key[kind], cursor);
}

static const void *
find_by_name(
    const msp_release_t *release, msp_item_kind_t kind, const char *name)
{
	return find_list_item(&release->lists->by_key[kind], name);
}

const msp_region_t *
msp_find_region(const msp_release_t *release, const char *name)
{
	return find_by_name(release, MSP_ITEM_REGION, name);
}

const msp_place_t *
msp_find_place(const msp_release_t *release, const char *name)
{
	return find_by_name(release, MSP_ITEM_PLACE, name);
}

const msp_link_t *
msp_find_link_by_name(const msp_release_t *release, const char *name)
{
	return find_by_name(release, MSP_ITEM_LINK, name);
}

const msp_service_t *
msp_find_service(const msp_release_t *release, const char *name)
{
	return find_by_name(release, MSP_ITEM_SERVICE, name);
}

const msp_target_t *
msp_find_target(const msp_release_t *release, const char *name)
{
	return find_by_name(release, MSP_ITEM_TARGET, name);
}

const msp_release_block_t *
msp_find_block(const msp_release_t *release, const msp_prefix_t *prefix)
{
	msp_release_block_t key = {.prefix = *prefix};

	return find_list_item(&release->lists->by_key[MSP_ITEM_BLOCK], &key);
}

static bool
connects(const msp_link_t *link, const char *region, const char *other)
{
	return strcmp(link->region_a, region) == 0 &&
	    strcmp(link->region_b, other) == 0;
}

const msp_link_t *
msp_find_link(
    const msp_release_t *release, const char *region, const char *other)
{
	msp_cursor_t cursor = {0};
	const msp_link_t *link;

	while (
	    (link = msp_next_item(release, MSP_ITEM_LINK, &cursor)) != NULL) {
		if (connects(link, region, other) ||
		    connects(link, other, region))
			return link;
	}
	return NULL;
}

const msp_target_t *
msp_next_target(const msp_release_t *release, const char *service,
    const char *place, msp_cursor_t *cursor)
{
	const item_list_t *list = &release->lists->by_service;
	const msp_target_t *target;
	msp_target_t key = {0};

	if (cursor->started) {
		target = next_list_item(list, cursor);
	} else {
		strncpy(key.service, service, sizeof(key.service) - 1);
		if (place != NULL)
			strncpy(key.place, place, sizeof(key.place) - 1);
		target = seek_item(list, &key, cursor);
	}
	if (target == NULL || strcmp(target->service, service) != 0)
		return NULL;
	if (place != NULL && strcmp(target->place, place) != 0)
		return NULL;
	return target;
}

/* Checks that an item to add is new and that any other item exists. */
static msp_status_t
check_change(
    const msp_release_t *base, const msp_change_t *change, const char *origin)
{
	const item_list_t *list = &base->lists->by_key[change->kind];
	const void *existing = find_list_item(list, change->item);
	char key[MSP_ITEM_KEY_SIZE];

	if ((change->op == MSP_OP_ADD) == (existing == NULL))
		return MSP_OK;
	msp_print_item_key(change->kind, change->item, key);
	return msp_fail(MSP_E_INVALID_NOTE, "%s: %s.%s.%s: %s", origin,
	    msp_change_op_name(change->op), msp_item_section(change->kind), key,
	    existing == NULL ? "no such item" : "already exists");
}

/* Writes the list operations of `changes` and returns their number. */
static size_t
list_ops(const msp_release_t *base, const msp_change_t *changes, size_t count,
    item_op_t *ops)
{
	const void *existing;
	size_t i;
	size_t n = 0;

	for (i = 0; i < count; i++) {
		existing = find_list_item(
		    &base->lists->by_key[changes[i].kind], changes[i].item);
		if (existing != NULL)
			ops[n++] = (item_op_t){existing, true};
		if (changes[i].op != MSP_OP_WITHDRAW)
			ops[n++] = (item_op_t){changes[i].item, false};
	}
	return n;
}

static msp_status_t
derive_list(
    const item_list_t *base, item_op_t *ops, size_t count, item_list_t *next)
{
	msp_status_t status = sort_item_ops(ops, count, base->compare);

	if (status != MSP_OK)
		return status;
	return merge_item_list(base, ops, count, next);
}

static msp_status_t
apply_kind_changes(const msp_release_t *base, msp_item_kind_t kind,
    const msp_change_t *changes, size_t count, msp_release_t *next)
{
	item_op_t *ops = malloc((count * 2 + 1) * sizeof(*ops));
	release_lists_t *base_lists = base->lists;
	release_lists_t *next_lists = next->lists;
	msp_status_t status;
	size_t n;

	if (ops == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for changes");
	n = list_ops(base, changes, count, ops);
	status = derive_list(
	    &base_lists->by_key[kind], ops, n, &next_lists->by_key[kind]);
	if (status == MSP_OK && kind == MSP_ITEM_TARGET)
		status = derive_list(
		    &base_lists->by_service, ops, n, &next_lists->by_service);
	if (status == MSP_OK && kind == MSP_ITEM_TARGET)
		status = derive_list(
		    &base_lists->by_address, ops, n, &next_lists->by_address);
	free(ops);
	next->counts[kind] = next_lists->by_key[kind].count;
	return status;
}

static msp_status_t
apply_changes(const msp_release_t *base, const msp_change_t *changes,
    size_t count, msp_release_t *next)
{
	msp_status_t status = MSP_OK;
	unsigned int kind;
	size_t n;

	for (kind = 0; kind < MSP_ITEM_KIND_COUNT && status == MSP_OK; kind++) {
		for (n = 0; n < count && changes[n].kind == kind;)
			n++;
		status = apply_kind_changes(
		    base, (msp_item_kind_t)kind, changes, n, next);
		changes += n;
		count -= n;
	}
	return status;
}

msp_status_t
build_release(const msp_release_t *base, const msp_change_t *changes,
    size_t count, const char *origin, msp_release_t **next)
{
	msp_release_t *release;
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++)
		status = check_change(base, &changes[i], origin);
	if (status != MSP_OK)
		return status;
	release = msp_new_release();
	if (release == NULL)
		return MSP_E_NO_MEMORY;
	status = apply_changes(base, changes, count, release);
	if (status == MSP_OK)
		status = check_release(release, changes, count, origin);
	if (status != MSP_OK) {
		msp_drop_release(release);
		return status;
	}
	*next = release;
	return MSP_OK;
}
