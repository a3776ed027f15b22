#include "run_counter.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "monsoonspindle/base.h"

struct run_counter {
	msp_map_t *counts; /* key to uint64_t */
	int journal_fd; /* -1: no journal; the file survives a crash */
};

run_counter_t *
new_run_counter(const char *journal)
{
	run_counter_t *counter = calloc(1, sizeof(*counter));

	if (counter == NULL)
		abort();
	counter->counts = msp_new_map();
	if (counter->counts == NULL)
		abort();
	counter->journal_fd = -1;
	if (journal != NULL)
		counter->journal_fd = open(
		    journal, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	return counter;
}

void
drop_run_counter(run_counter_t *counter)
{
	size_t cursor = 0;
	void *count;

	while (msp_map_next(counter->counts, &cursor, NULL, &count))
		free(count);
	msp_drop_map(counter->counts);
	if (counter->journal_fd >= 0)
		close(counter->journal_fd);
	free(counter);
}

uint64_t
count_run(run_counter_t *counter, const char *key)
{
	uint64_t *count = msp_map_get(counter->counts, key);

	if (count == NULL) {
		count = calloc(1, sizeof(*count));
		if (count == NULL ||
		    msp_map_put(counter->counts, key, count) != MSP_OK)
			abort();
	}
	if (counter->journal_fd >= 0)
		dprintf(counter->journal_fd, "%s\n", key);
	return ++*count;
}

json_object *
get_run_counts_json(const run_counter_t *counter)
{
	json_object *document = json_object_new_object();
	size_t cursor = 0;
	const char *key;
	void *count;

	while (msp_map_next(counter->counts, &cursor, &key, &count))
		json_object_object_add(document, key,
		    json_object_new_int64((int64_t) * (uint64_t *)count));
	return document;
}
