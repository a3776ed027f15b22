#include <stdio.h>
#include <string.h>

#include "release_lists.h"

/* A change that is being checked, with the release that it leads to. */
typedef struct item_check {
	const msp_release_t *release;
	const char *origin;
	const msp_change_t *change;
} item_check_t;

/* `key` is the invalid key of the item; "" stands for the item itself. */
static msp_status_t
fail_check(const item_check_t *check, const char *key, const char *what,
    const char *name)
{
	char item[MSP_ITEM_KEY_SIZE];

	msp_print_item_key(check->change->kind, check->change->item, item);
	return msp_fail(MSP_E_INVALID_NOTE, "%s: %s.%s.%s%s%s: %s \"%s\"",
	    check->origin, msp_change_op_name(check->change->op),
	    msp_item_section(check->change->kind), item,
	    key[0] != '\0' ? "." : "", key, what, name);
}

static msp_status_t
check_region(const item_check_t *check, const char *key, const char *name)
{
	if (msp_find_region(check->release, name) == NULL)
		return fail_check(check, key, "no region", name);
	return MSP_OK;
}

/* Fails if a client block refers to `place` but has another region. */
static msp_status_t
check_blocks_of_place(const item_check_t *check, const msp_place_t *place)
{
	char prefix[MSP_PREFIX_TEXT_SIZE];
	msp_cursor_t cursor = {0};
	const msp_release_block_t *block;

	while ((block = msp_next_item(
		    check->release, MSP_ITEM_BLOCK, &cursor)) != NULL) {
		if (strcmp(block->place, place->name) != 0 ||
		    strcmp(block->region, place->region) == 0)
			continue;
		msp_print_prefix(&block->prefix, prefix);
		return fail_check(
		    check, "region", "differs from that of block", prefix);
	}
	return MSP_OK;
}

static msp_status_t
check_place(const item_check_t *check)
{
	const msp_place_t *place = check->change->item;
	msp_status_t status = check_region(check, "region", place->region);

	if (status != MSP_OK || check->change->op == MSP_OP_ADD)
		return status;
	return check_blocks_of_place(check, place);
}

static msp_status_t
check_link(const item_check_t *check)
{
	const msp_link_t *link = check->change->item;
	msp_status_t status = check_region(check, "region_a", link->region_a);
	msp_cursor_t cursor = {0};
	const msp_link_t *other;

	if (status == MSP_OK)
		status = check_region(check, "region_b", link->region_b);
	if (status != MSP_OK)
		return status;
	if (strcmp(link->region_a, link->region_b) == 0)
		return fail_check(
		    check, "region_b", "the same as region_a", link->region_b);
	while ((other = msp_next_item(
		    check->release, MSP_ITEM_LINK, &cursor)) != NULL) {
		if (strcmp(other->name, link->name) == 0)
			continue;
		if ((strcmp(other->region_a, link->region_a) == 0 &&
			strcmp(other->region_b, link->region_b) == 0) ||
		    (strcmp(other->region_a, link->region_b) == 0 &&
			strcmp(other->region_b, link->region_a) == 0))
			return fail_check(check, "region_b",
			    "the same regions as link", other->name);
	}
	return MSP_OK;
}

static msp_status_t
check_route(
    const item_check_t *check, const msp_service_t *service, size_t index)
{
	static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
	const msp_service_route_t *route = &service->routes[index];
	size_t i;

	if (strcmp(route->method, "*") != 0 &&
	    strspn(route->method, letters) != strlen(route->method))
		return fail_check(check, "routes.method", "not an HTTP method",
		    route->method);
	if (route->prefix[0] != '/')
		return fail_check(check, "routes.prefix",
		    "does not start with /:", route->prefix);
	for (i = 0; i < index; i++) {
		if (strcmp(service->routes[i].method, route->method) == 0 &&
		    strcmp(service->routes[i].prefix, route->prefix) == 0)
			return fail_check(check, "routes",
			    "duplicate method and prefix", route->prefix);
	}
	return MSP_OK;
}

static msp_status_t
check_service(const item_check_t *check)
{
	const msp_service_t *service = check->change->item;
	msp_status_t status = MSP_OK;
	size_t i;

	if (service->load_path[0] != '\0' && service->load_path[0] != '/')
		return fail_check(check, "load_path",
		    "does not start with /:", service->load_path);
	for (i = 0; i < service->route_count && status == MSP_OK; i++)
		status = check_route(check, service, i);
	return status;
}

/* Targets with the same address and port are adjacent in this list. */
static msp_status_t
check_address(const item_check_t *check, const msp_target_t *target)
{
	const item_list_t *list = &check->release->lists->by_address;
	msp_cursor_t cursor;
	const msp_target_t *other;

	for (other = seek_item(list, target, &cursor);
	     other != NULL && list->compare(other, target) == 0;
	     other = next_list_item(list, &cursor)) {
		if (strcmp(other->name, target->name) != 0)
			return fail_check(check, "address",
			    "same address and port as target", other->name);
	}
	return MSP_OK;
}

static msp_status_t
check_target(const item_check_t *check)
{
	const msp_target_t *target = check->change->item;

	if (msp_find_service(check->release, target->service) == NULL)
		return fail_check(
		    check, "service", "no service", target->service);
	if (msp_find_place(check->release, target->place) == NULL)
		return fail_check(check, "place", "no place", target->place);
	return check_address(check, target);
}

static msp_status_t
check_block(const item_check_t *check)
{
	const msp_release_block_t *block = check->change->item;
	msp_status_t status = check_region(check, "region", block->region);
	const msp_place_t *place;

	if (status != MSP_OK || block->place[0] == '\0')
		return status;
	place = msp_find_place(check->release, block->place);
	if (place == NULL)
		return fail_check(check, "place", "no place", block->place);
	if (strcmp(place->region, block->region) != 0)
		return fail_check(check, "place",
		    "in another region than the block:", place->region);
	return MSP_OK;
}

/* Whether `item` refers to the withdrawn item called `name`. */
static bool
refers_to(msp_item_kind_t kind, const void *item, msp_item_kind_t withdrawn,
    const char *name)
{
	const msp_link_t *link = item;
	const msp_target_t *target = item;
	const msp_release_block_t *block = item;

	if (kind == MSP_ITEM_PLACE)
		return withdrawn == MSP_ITEM_REGION &&
		    strcmp(((const msp_place_t *)item)->region, name) == 0;
	if (kind == MSP_ITEM_LINK)
		return withdrawn == MSP_ITEM_REGION &&
		    (strcmp(link->region_a, name) == 0 ||
			strcmp(link->region_b, name) == 0);
	if (kind == MSP_ITEM_TARGET && withdrawn == MSP_ITEM_PLACE)
		return strcmp(target->place, name) == 0;
	if (kind == MSP_ITEM_TARGET && withdrawn == MSP_ITEM_SERVICE)
		return strcmp(target->service, name) == 0;
	if (kind == MSP_ITEM_BLOCK && withdrawn == MSP_ITEM_PLACE)
		return strcmp(block->place, name) == 0;
	if (kind == MSP_ITEM_BLOCK && withdrawn == MSP_ITEM_REGION)
		return strcmp(block->region, name) == 0;
	return false;
}

static msp_status_t
check_withdrawn(const item_check_t *check)
{
	msp_item_kind_t withdrawn = check->change->kind;
	char key[MSP_ITEM_KEY_SIZE];
	char what[32];
	unsigned int kind;
	const void *item;

	if (withdrawn > MSP_ITEM_SERVICE || withdrawn == MSP_ITEM_LINK)
		return MSP_OK;
	for (kind = 0; kind < MSP_ITEM_KIND_COUNT; kind++) {
		msp_cursor_t cursor = {0};

		while ((item = msp_next_item(check->release,
			    (msp_item_kind_t)kind, &cursor)) != NULL) {
			if (!refers_to((msp_item_kind_t)kind, item, withdrawn,
				check->change->item))
				continue;
			msp_print_item_key((msp_item_kind_t)kind, item, key);
			snprintf(what, sizeof(what), "still used by %s",
			    msp_item_kind_name((msp_item_kind_t)kind));
			return fail_check(check, "", what, key);
		}
	}
	return MSP_OK;
}

static msp_status_t
check_change(const item_check_t *check)
{
	if (check->change->op == MSP_OP_WITHDRAW)
		return check_withdrawn(check);
	switch (check->change->kind) {
	case MSP_ITEM_PLACE:
		return check_place(check);
	case MSP_ITEM_LINK:
		return check_link(check);
	case MSP_ITEM_SERVICE:
		return check_service(check);
	case MSP_ITEM_TARGET:
		return check_target(check);
	case MSP_ITEM_BLOCK:
		return check_block(check);
	case MSP_ITEM_REGION:
	case MSP_ITEM_KIND_COUNT:
		break;
	}
	return MSP_OK;
}

static msp_status_t
check_counts(const msp_release_t *next, const char *origin)
{
	unsigned int kind;
	size_t max;

	for (kind = 0; kind < MSP_ITEM_KIND_COUNT; kind++) {
		max = get_item_descriptor((msp_item_kind_t)kind)->count_max;
		if (next->counts[kind] > max)
			return msp_fail(MSP_E_INVALID_NOTE,
			    "%s: %s: %zu would exceed the limit of %zu", origin,
			    msp_item_section((msp_item_kind_t)kind),
			    next->counts[kind], max);
	}
	return MSP_OK;
}

/* The previous release was valid, so only the changes need to be checked. */
msp_status_t
check_release(const msp_release_t *next, const msp_change_t *changes,
    size_t count, const char *origin)
{
	item_check_t check = {.release = next, .origin = origin};
	msp_status_t status = check_counts(next, origin);
	size_t i;

	for (i = 0; i < count && status == MSP_OK; i++) {
		check.change = &changes[i];
		status = check_change(&check);
	}
	return status;
}
