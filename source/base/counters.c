#include "monsoonspindle/base/counters.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/map.h"

#define NAME_SIZE 256

struct msp_counters {
	msp_map_t *cells;
	uint64_t spare;
};

typedef struct counter_line {
	const char *name;
	uint64_t value;
} counter_line_t;

msp_counters_t *
msp_new_counters(void)
{
	msp_counters_t *counters = calloc(1, sizeof(*counters));

	if (counters == NULL)
		return NULL;
	counters->cells = msp_new_map();
	if (counters->cells == NULL) {
		free(counters);
		return NULL;
	}
	return counters;
}

void
msp_drop_counters(msp_counters_t *counters)
{
	size_t cursor = 0;
	void *cell;

	if (counters == NULL)
		return;
	while (msp_map_next(counters->cells, &cursor, NULL, &cell))
		free(cell);
	msp_drop_map(counters->cells);
	free(counters);
}

uint64_t *
msp_get_counter(msp_counters_t *counters, const char *name)
{
	uint64_t *cell = msp_map_get(counters->cells, name);

	if (cell != NULL)
		return cell;
	cell = calloc(1, sizeof(*cell));
	if (cell == NULL)
		return &counters->spare;
	if (msp_map_put(counters->cells, name, cell) != MSP_OK) {
		free(cell);
		return &counters->spare;
	}
	return cell;
}

void
msp_add_to_counter(msp_counters_t *counters, uint64_t add, const char *fmt, ...)
{
	char name[NAME_SIZE];
	va_list args;

	va_start(args, fmt);
	vsnprintf(name, sizeof(name), fmt, args);
	va_end(args);
	*msp_get_counter(counters, name) += add;
}

static int
compare_lines(const void *a, const void *b)
{
	return strcmp(((const counter_line_t *)a)->name,
	    ((const counter_line_t *)b)->name);
}

msp_status_t
msp_print_counters(const msp_counters_t *counters, msp_buffer_t *out)
{
	size_t count = msp_map_count(counters->cells);
	size_t cursor = 0;
	size_t i = 0;
	counter_line_t *lines;
	msp_status_t status = MSP_OK;
	void *cell;

	if (count == 0)
		return MSP_OK;
	lines = calloc(count, sizeof(*lines));
	if (lines == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for the counters");
	while (i < count &&
	    msp_map_next(counters->cells, &cursor, &lines[i].name, &cell))
		lines[i++].value = *(uint64_t *)cell;
	qsort(lines, count, sizeof(*lines), compare_lines);
	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_append_printf(
		    out, "%s %" PRIu64 "\n", lines[i].name, lines[i].value);
	free(lines);
	return status;
}
