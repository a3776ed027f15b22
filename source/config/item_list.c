#include "item_list.h"

#include <stdlib.h>
#include <string.h>

#define PAGE_ITEMS_MAX 128
#define PAGE_ITEMS_FILL 96 /* of new pages if items don't fit in one page */

struct item_page {
	uint32_t ref_count;
	uint32_t count;
	const void *items[];
};

/* A list being built. */
typedef struct builder {
	item_list_t *list;
	size_t capacity; /* of list->pages */
	const void **pending; /* items without a page yet; not owned */
	size_t pending_count;
	size_t pending_capacity;
} builder_t;

static void
drop_page(msp_item_kind_t kind, item_page_t *page)
{
	uint32_t i;

	if (--page->ref_count > 0)
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
append_new_page(builder_t *builder, const void *const *items, size_t count)
{
	item_page_t *page = malloc(sizeof(*page) + count * sizeof(*items));
	msp_status_t status;
	size_t i;

	if (page == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a page");
	page->ref_count = 1;
	page->count = (uint32_t)count;
	for (i = 0; i < count; i++)
		page->items[i] = keep_item(items[i]);
	status = append_page(builder, page);
	if (status != MSP_OK)
		drop_page(builder->list->kind, page);
	return status;
}

/* Moves the pending items to new pages. */
static msp_status_t
flush_pending(builder_t *builder)
{
	msp_status_t status = MSP_OK;
	size_t remaining = builder->pending_count;
	size_t count;
	size_t start = 0;

	while (remaining > 0 && status == MSP_OK) {
		count =
		    remaining <= PAGE_ITEMS_MAX ? remaining : PAGE_ITEMS_FILL;
		status =
		    append_new_page(builder, builder->pending + start, count);
		start += count;
		remaining -= count;
	}
	builder->pending_count = 0;
	return status;
}

static msp_status_t
append_item(builder_t *builder, const void *item)
{
	size_t capacity = builder->pending_capacity;
	const void **pending;

	if (builder->pending_count == capacity) {
		capacity = capacity == 0 ? PAGE_ITEMS_MAX : capacity * 2;
		pending =
		    realloc(builder->pending, capacity * sizeof(*pending));
		if (pending == NULL)
			return msp_fail(MSP_E_NO_MEMORY, "no memory for items");
		builder->pending = pending;
		builder->pending_capacity = capacity;
	}
	builder->pending[builder->pending_count++] = item;
	return MSP_OK;
}

/* Appends the items of a page, which may be NULL, merged with operations. */
static msp_status_t
merge_page(builder_t *builder, const item_page_t *page, const item_op_t *ops,
    size_t count)
{
	item_compare_t *compare = builder->list->compare;
	uint32_t page_items = page == NULL ? 0 : page->count;
	msp_status_t status = MSP_OK;
	uint32_t i = 0;
	size_t j;

	for (j = 0; j < count && status == MSP_OK; j++) {
		while (i < page_items && status == MSP_OK &&
		    compare(page->items[i], ops[j].item) < 0)
			status = append_item(builder, page->items[i++]);
		if (status != MSP_OK)
			break;
		if (ops[j].is_removal)
			i++;
		else
			status = append_item(builder, ops[j].item);
	}
	while (i < page_items && status == MSP_OK)
		status = append_item(builder, page->items[i++]);
	return status == MSP_OK ? flush_pending(builder) : status;
}

/* Returns the number of operations before the first item of `page`. */
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
	item_page_t *next_page;
	item_page_t *page;
	size_t page_ops;
	size_t i;

	for (i = 0; i < base->page_count && status == MSP_OK; i++) {
		page = base->pages[i];
		next_page =
		    i + 1 < base->page_count ? base->pages[i + 1] : NULL;
		page_ops = count == 0
		    ? 0
		    : count_ops_before(base, next_page, ops, count);
		if (page_ops > 0) {
			status = merge_page(builder, page, ops, page_ops);
			ops += page_ops;
			count -= page_ops;
			continue;
		}
		status = append_page(builder, page);
		if (status == MSP_OK)
			page->ref_count++;
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
	free(builder.pending);
	if (status != MSP_OK)
		drop_item_list(next);
	return status;
}

/* One step of a merge sort, as qsort() has no context argument. */
static void
merge_ops(item_op_t *ops, item_op_t *scratch, size_t left, size_t count,
    item_compare_t *compare)
{
	size_t i = 0;
	size_t j = left;
	size_t k = 0;
	int order;

	while (i < left && j < count) {
		order = compare(ops[i].item, ops[j].item);
		if (order == 0)
			order =
			    ops[j].is_removal && !ops[i].is_removal ? 1 : -1;
		scratch[k++] = order < 0 ? ops[i++] : ops[j++];
	}
	while (i < left)
		scratch[k++] = ops[i++];
	while (j < count)
		scratch[k++] = ops[j++];
	memcpy(ops, scratch, count * sizeof(*ops));
}

static void
sort_range(
    item_op_t *ops, item_op_t *scratch, size_t count, item_compare_t *compare)
{
	size_t left = count / 2;

	if (count < 2)
		return;
	sort_range(ops, scratch, left, compare);
	sort_range(ops + left, scratch, count - left, compare);
	merge_ops(ops, scratch, left, count, compare);
}

msp_status_t
sort_item_ops(item_op_t *ops, size_t count, item_compare_t *compare)
{
	item_op_t *scratch;

	if (count < 2)
		return MSP_OK;
	scratch = malloc(count * sizeof(*scratch));
	if (scratch == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory to sort");
	sort_range(ops, scratch, count, compare);
	free(scratch);
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

/*
 * Sets the cursor to the last page whose first item is less than `key`, or to
 * the first page.
 */
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
