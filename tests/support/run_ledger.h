#ifndef SUPPORT_RUN_LEDGER_H
#define SUPPORT_RUN_LEDGER_H

#include <stdbool.h>

/*
 * Records what callers and targets saw of each request, by its Request-Id.
 * Statuses 408, 421, 429 and 503 promise that the request has not run and will
 * not run.
 */
typedef struct run_ledger run_ledger_t;

typedef struct run_totals {
	unsigned int requests; /* that callers began to send */
	unsigned int runs;
	unsigned int answers;
	unsigned int promises; /* answers with one of the four statuses */
	unsigned int refused_but_run;
	unsigned int run_twice; /* requests that must not be repeated */
	unsigned int answered_twice;
	unsigned int unknown; /* runs and answers whose id no caller sent */
	char example[128]; /* of a broken rule */
} run_totals_t;

run_ledger_t *new_run_ledger(void);
void drop_run_ledger(run_ledger_t *ledger);

void record_request(run_ledger_t *ledger, const char *id, bool is_repeatable);
void record_run(run_ledger_t *ledger, const char *id);
void record_answer(run_ledger_t *ledger, const char *id, int http_status);

run_totals_t add_up_runs(const run_ledger_t *ledger);

/* Prints the totals and fails the test if any rule is broken. */
void check_run_ledger(const run_ledger_t *ledger, const char *name);

#endif
