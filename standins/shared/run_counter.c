#include "run_counter.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "monsoonspindle/base.h"

struct run_counter {
	msp_map_t *counts; /* key to uint64_t */
	int journal; /* outlives a crash; -1 without one */
};

run_counter_t *
new_run_counter(const char *journal)
{
	run_counter_t *runs = calloc(1, sizeof(*runs));

	if (runs == NULL)
		abort();
	runs->counts = msp_new_map();
	if (runs->counts == NULL)
		abort();
	runs->journal = -1;
	if (journal != NULL)
		runs->journal = open(
		    journal, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	return runs;
}

void
drop_run_counter(run_counter_t *runs)
{
	size_t cursor = 0;
	void *count;

	while (msp_map_next(runs->counts, &cursor, NULL, &count))
		free(count);
	msp_drop_map(runs->counts);
	if (runs->journal >= 0)
		close(runs->journal);
	free(runs);
}

uint64_t
count_run(run_counter_t *runs, const char *key)
{
	uint64_t *count = msp_map_get(runs->counts, key);

	if (count == NULL) {
		count = calloc(1, sizeof(*count));
		if (count == NULL ||
		    msp_map_put(runs->counts, key, count) != MSP_OK)
			abort();
	}
	if (runs->journal >= 0)
		dprintf(runs->journal, "%s\n", key);
	return ++*count;
}

json_object *
get_run_counts_json(const run_counter_t *runs)
{
	json_object *document = json_object_new_object();
	size_t cursor = 0;
	const char *key;
	void *count;

	while (msp_map_next(runs->counts, &cursor, &key, &count))
		json_object_object_add(document, key,
		    json_object_new_int64((int64_t) * (uint64_t *)count));
	return document;
}
