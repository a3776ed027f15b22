#ifndef MONSOONSPINDLE_STANDINS_RUNS_H
#define MONSOONSPINDLE_STANDINS_RUNS_H

#include <stdint.h>

#include <json-c/json.h>

/* Counts how often the request of each key has run. */
typedef struct runs runs_t;

/* `journal`: a file that each run's key is appended to, or NULL. */
runs_t *new_runs(const char *journal);
void drop_runs(runs_t *runs);

/* Returns the count of `key` with this run. */
uint64_t count_run(runs_t *runs, const char *key);

/* An object of key to count. */
json_object *runs_document(const runs_t *runs);

#endif
