#include "monsoonspindle/base/counters.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/map.h"

#define NAME_SIZE 256

struct msp_counters {
	msp_map_t *values; /* of uint64_t, owned */
	uint64_t fallback; /* used for new names if memory is exhausted */
};

typedef struct counter_entry {
	const char *name;
	uint64_t value;
} counter_entry_t;

msp_counters_t *
msp_new_counters(void)
{
	msp_counters_t *counters = calloc(1, sizeof(*counters));

	if (counters == NULL)
		return NULL;
	counters->values = msp_new_map();
	if (counters->values == NULL) {
		free(counters);
		return NULL;
	}
	return counters;
}

void
msp_drop_counters(msp_counters_t *counters)
{
	if (counters == NULL)
		return;
	msp_drop_map_and_values(counters->values);
	free(counters);
}

uint64_t *
msp_get_counter(msp_counters_t *counters, const char *name)
{
	uint64_t *value =
	    msp_map_get_or_add(counters->values, name, sizeof(*value));

	return value != NULL ? value : &counters->fallback;
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
compare_entries(const void *a, const void *b)
{
	return strcmp(((const counter_entry_t *)a)->name,
	    ((const counter_entry_t *)b)->name);
}

msp_status_t
msp_print_counters(const msp_counters_t *counters, msp_buffer_t *out)
{
	size_t count = msp_map_count(counters->values);
	size_t cursor = 0;
	size_t i = 0;
	counter_entry_t *entries;
	msp_status_t status = MSP_OK;
	void *value;

	if (count == 0)
		return MSP_OK;
	entries = calloc(count, sizeof(*entries));
	if (entries == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for the counters");
	while (i < count &&
	    msp_map_next(counters->values, &cursor, &entries[i].name, &value))
		entries[i++].value = *(uint64_t *)value;
	qsort(entries, count, sizeof(*entries), compare_entries);
	for (i = 0; i < count && status == MSP_OK; i++)
		status = msp_append_printf(
		    out, "%s %" PRIu64 "\n", entries[i].name, entries[i].value);
	free(entries);
	return status;
}
