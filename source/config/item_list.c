#include "item_list.h"

#include <stdlib.h>
#include <string.h>

#define PAGE_ITEMS 128 /* at most in a page */
#define PAGE_FILL 96 /* in a page of a fresh list */

struct item_page {
	uint32_t references;
	uint32_t count;
	const void *items[];
};

/* A list being built. */
typedef struct builder {
	item_list_t *list;
	size_t capacity; /* of list->pages */
	const void **run; /* items not yet in a page; borrowed */
	size_t run_count;
	size_t run_capacity;
} builder_t;

static void
drop_page(msp_item_kind_t kind, item_page_t *page)
{
	uint32_t i;

	if (--page->references > 0)
		return;
	for (i = 0; i < page->count; i++)
		drop_item(kind, page->items[i]);
	free(page);
}

void
drop_item_list(item_list_t *list)
{
	size_t i;

	for (i = 0; i < list->page_count; i++)
		drop_page(list->kind, list->pages[i]);
	free(list->pages);
	list->pages = NULL;
	list->page_count = 0;
	list->count = 0;
}

static msp_status_t
append_page(builder_t *builder, item_page_t *page)
{
	item_list_t *list = builder->list;
	size_t capacity = builder->capacity;
	item_page_t **pages;

	if (list->page_count == capacity) {
		capacity = capacity == 0 ? 16 : capacity * 2;
		pages =
		    reallocarray(list->pages, capacity, sizeof(item_page_t *));
		if (pages == NULL)
			return msp_fail(MSP_E_NO_MEMORY, "no memory for pages");
		list->pages = pages;
		builder->capacity = capacity;
	}
	list->pages[list->page_count++] = page;
	list->count += page->count;
	return MSP_OK;
}

static msp_status_t
append_fresh_page(builder_t *builder, const void *const *items, size_t count)
{
	item_page_t *page = malloc(sizeof(*page) + count * sizeof(*items));
	msp_status_t status;
	size_t i;

	if (page == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a page");
	page->references = 1;
	page->count = (uint32_t)count;
	for (i = 0; i < count; i++)
		page->items[i] = keep_item(items[i]);
	status = append_page(builder, page);
	if (status != MSP_OK)
		drop_page(builder->list->kind, page);
	return status;
}

/* Makes pages of the items in the run. */
static msp_status_t
flush_run(builder_t *builder)
{
	msp_status_t status = MSP_OK;
	size_t left = builder->run_count;
	size_t take;
	size_t at = 0;

	while (left > 0 && status == MSP_OK) {
		take = left <= PAGE_ITEMS ? left : PAGE_FILL;
		status = append_fresh_page(builder, builder->run + at, take);
		at += take;
		left -= take;
	}
	builder->run_count = 0;
	return status;
}

static msp_status_t
append_item(builder_t *builder, const void *item)
{
	size_t capacity = builder->run_capacity;
	const void **run;

	if (builder->run_count == capacity) {
		capacity = capacity == 0 ? PAGE_ITEMS : capacity * 2;
		run = realloc(builder->run, capacity * sizeof(*run));
		if (run == NULL)
			return msp_fail(MSP_E_NO_MEMORY, "no memory for items");
		builder->run = run;
		builder->run_capacity = capacity;
	}
	builder->run[builder->run_count++] = item;
	return MSP_OK;
}

/* Merges the items of one page, which may be NULL, with its operations. */
static msp_status_t
merge_page(builder_t *builder, const item_page_t *page, const item_op_t *ops,
    size_t count)
{
	item_compare_t *order = builder->list->compare;
	uint32_t have = page == NULL ? 0 : page->count;
	msp_status_t status = MSP_OK;
	uint32_t i = 0;
	size_t j;

	for (j = 0; j < count && status == MSP_OK; j++) {
		while (i < have && status == MSP_OK &&
		    order(page->items[i], ops[j].item) < 0)
			status = append_item(builder, page->items[i++]);
		if (status != MSP_OK)
			break;
		if (ops[j].is_removal)
			i++;
		else
			status = append_item(builder, ops[j].item);
	}
	while (i < have && status == MSP_OK)
		status = append_item(builder, page->items[i++]);
	return status == MSP_OK ? flush_run(builder) : status;
}

/* Returns how many of the operations come before the first item of `page`. */
static size_t
count_ops_before(const item_list_t *base, const item_page_t *page,
    const item_op_t *ops, size_t count)
{
	size_t low = 0;
	size_t high = count;
	size_t middle;

	if (page == NULL)
		return count;
	while (low < high) {
		middle = low + (high - low) / 2;
		if (base->compare(ops[middle].item, page->items[0]) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static msp_status_t
merge_pages(builder_t *builder, const item_list_t *base, const item_op_t *ops,
    size_t count)
{
	msp_status_t status = MSP_OK;
	item_page_t *following;
	item_page_t *page;
	size_t mine;
	size_t i;

	for (i = 0; i < base->page_count && status == MSP_OK; i++) {
		page = base->pages[i];
		following =
		    i + 1 < base->page_count ? base->pages[i + 1] : NULL;
		mine = count == 0
		    ? 0
		    : count_ops_before(base, following, ops, count);
		if (mine > 0) {
			status = merge_page(builder, page, ops, mine);
			ops += mine;
			count -= mine;
			continue;
		}
		status = append_page(builder, page);
		if (status == MSP_OK)
			page->references++;
	}
	if (status == MSP_OK && count > 0)
		status = merge_page(builder, NULL, ops, count);
	return status;
}

msp_status_t
merge_item_list(const item_list_t *base, const item_op_t *ops, size_t count,
    item_list_t *next)
{
	builder_t builder = {.list = next};
	msp_status_t status;

	*next = (item_list_t){.kind = base->kind, .compare = base->compare};
	status = merge_pages(&builder, base, ops, count);
	free(builder.run);
	if (status != MSP_OK)
		drop_item_list(next);
	return status;
}

/* Sorts by merging, since qsort() takes no context. */
static void
merge_ops(item_op_t *ops, item_op_t *spare, size_t left, size_t count,
    item_compare_t *order)
{
	size_t i = 0;
	size_t j = left;
	size_t k = 0;
	int before;

	while (i < left && j < count) {
		before = order(ops[i].item, ops[j].item);
		if (before == 0)
			before =
			    ops[j].is_removal && !ops[i].is_removal ? 1 : -1;
		spare[k++] = before < 0 ? ops[i++] : ops[j++];
	}
	while (i < left)
		spare[k++] = ops[i++];
	while (j < count)
		spare[k++] = ops[j++];
	memcpy(ops, spare, count * sizeof(*ops));
}

static void
sort_range(
    item_op_t *ops, item_op_t *spare, size_t count, item_compare_t *order)
{
	size_t left = count / 2;

	if (count < 2)
		return;
	sort_range(ops, spare, left, order);
	sort_range(ops + left, spare, count - left, order);
	merge_ops(ops, spare, left, count, order);
}

msp_status_t
sort_item_ops(item_op_t *ops, size_t count, item_compare_t *order)
{
	item_op_t *spare;

	if (count < 2)
		return MSP_OK;
	spare = malloc(count * sizeof(*spare));
	if (spare == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory to sort");
	sort_range(ops, spare, count, order);
	free(spare);
	return MSP_OK;
}

const void *
next_list_item(const item_list_t *list, msp_cursor_t *cursor)
{
	const item_page_t *page;

	cursor->started = true;
	while (cursor->page < list->page_count) {
		page = list->pages[cursor->page];
		if (cursor->index < page->count)
			return page->items[cursor->index++];
		cursor->page++;
		cursor->index = 0;
	}
	return NULL;
}

/* Sets the page to the last whose first item is not above `key`. */
static void
seek_page(const item_list_t *list, const void *key, msp_cursor_t *cursor)
{
	size_t low = 0;
	size_t high = list->page_count;
	size_t middle;

	while (high - low > 1) {
		middle = low + (high - low) / 2;
		if (list->compare(list->pages[middle]->items[0], key) < 0)
			low = middle;
		else
			high = middle;
	}
	cursor->page = low;
}

const void *
seek_item(const item_list_t *list, const void *key, msp_cursor_t *cursor)
{
	const item_page_t *page;
	size_t low = 0;
	size_t high;
	size_t middle;

	*cursor = (msp_cursor_t){.started = true};
	if (list->page_count == 0)
		return NULL;
	seek_page(list, key, cursor);
	page = list->pages[cursor->page];
	high = page->count;
	while (low < high) {
		middle = low + (high - low) / 2;
		if (list->compare(page->items[middle], key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	cursor->index = low;
	return next_list_item(list, cursor);
}

const void *
find_list_item(const item_list_t *list, const void *key)
{
	msp_cursor_t cursor;
	const void *item = seek_item(list, key, &cursor);

	if (item == NULL || list->compare(item, key) != 0)
		return NULL;
	return item;
}
