#include "run_ledger.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "monsoonspindle/base/map.h"

typedef struct run_record {
	bool is_repeatable;
	bool is_known; /* a caller sent it */
	unsigned int runs;
	unsigned int answers;
	int promise; /* the status that promised that it does not run; or 0 */
} run_record_t;

struct run_ledger {
	msp_map_t *records;
};

run_ledger_t *
new_run_ledger(void)
{
	run_ledger_t *ledger = calloc(1, sizeof(*ledger));

	assert_non_null(ledger);
	ledger->records = msp_new_map();
	assert_non_null(ledger->records);
	return ledger;
}

void
drop_run_ledger(run_ledger_t *ledger)
{
	msp_drop_map_and_values(ledger->records);
	free(ledger);
}

static run_record_t *
open_record(run_ledger_t *ledger, const char *id)
{
	run_record_t *record =
	    msp_map_get_or_add(ledger->records, id, sizeof(*record));

	assert_non_null(record);
	return record;
}

void
record_request(run_ledger_t *ledger, const char *id, bool is_repeatable)
{
	run_record_t *record = open_record(ledger, id);

	record->is_known = true;
	record->is_repeatable = is_repeatable;
}

void
record_run(run_ledger_t *ledger, const char *id)
{
	open_record(ledger, id)->runs++;
}

static bool
is_promise(int http_status)
{
	return http_status == 408 || http_status == 421 || http_status == 429 ||
	    http_status == 503;
}

void
record_answer(run_ledger_t *ledger, const char *id, int http_status)
{
	run_record_t *record = open_record(ledger, id);

	record->answers++;
	if (is_promise(http_status))
		record->promise = http_status;
}

static void
add_record(run_totals_t *totals, const char *id, const run_record_t *record)
{
	bool refused_but_run = record->promise != 0 && record->runs > 0;
	bool run_twice = record->runs > 1 && !record->is_repeatable;

	totals->requests += record->is_known;
	totals->runs += record->runs;
	totals->answers += record->answers;
	totals->promises += record->promise != 0;
	totals->refused_but_run += refused_but_run;
	totals->run_twice += run_twice;
	totals->answered_twice += record->answers > 1;
	totals->unknown += !record->is_known;
	if (refused_but_run || run_twice || record->answers > 1 ||
	    !record->is_known)
		snprintf(totals->example, sizeof(totals->example),
		    "%s: promised by %d, run %u times, answered %u times", id,
		    record->promise, record->runs, record->answers);
}

run_totals_t
add_up_runs(const run_ledger_t *ledger)
{
	run_totals_t totals = {0};
	size_t cursor = 0;
	const char *id;
	void *record;

	while (msp_map_next(ledger->records, &cursor, &id, &record))
		add_record(&totals, id, record);
	return totals;
}

void
check_run_ledger(const run_ledger_t *ledger, const char *name)
{
	run_totals_t totals = add_up_runs(ledger);

	print_message("%s: %u requests, %u runs, %u answers, %u promises, "
		      "%u refused but run, %u run twice\n",
	    name, totals.requests, totals.runs, totals.answers, totals.promises,
	    totals.refused_but_run, totals.run_twice);
	if (totals.refused_but_run + totals.run_twice + totals.answered_twice +
		totals.unknown >
	    0)
		fail_msg("%s: %u refused but run, %u run twice, %u answered "
			 "twice, %u not sent; %s",
		    name, totals.refused_but_run, totals.run_twice,
		    totals.answered_twice, totals.unknown, totals.example);
}
