#ifndef MONSOONSPINDLE_STANDINS_RUN_COUNTER_H
#define MONSOONSPINDLE_STANDINS_RUN_COUNTER_H

#include <stdint.h>

#include <json-c/json.h>

/* Counts how often the request of each key has run. */
typedef struct run_counter run_counter_t;

/* `journal`: a file that each run's key is appended to, or NULL. */
run_counter_t *new_run_counter(const char *journal);
void drop_run_counter(run_counter_t *runs);

/* Returns the count of `key` with this run. */
uint64_t count_run(run_counter_t *runs, const char *key);

/* An object of key to count. */
json_object *get_run_counts_json(const run_counter_t *runs);

#endif
