#ifndef MONSOONSPINDLE_STANDINS_RUN_COUNTER_H
#define MONSOONSPINDLE_STANDINS_RUN_COUNTER_H

#include <stdint.h>

#include <json-c/json.h>

/* Counts how often the request of each idempotency key has run. */
typedef struct run_counter run_counter_t;

/* `journal`: a file to which the key of each run is appended, or NULL. */
run_counter_t *new_run_counter(const char *journal);
void drop_run_counter(run_counter_t *counter);

/* Counts a run of `key` and returns the new count. */
uint64_t count_run(run_counter_t *counter, const char *key);

/* Returns a new JSON object with the count of each key. */
json_object *get_run_counts_json(const run_counter_t *counter);

#endif
