#ifndef LEDGER_TEST_H
#define LEDGER_TEST_H

/* Helpers shared by the tests of the ledger; include after <cmocka.h>. */

#include <stdlib.h>
#include <string.h>

#include "ledger_sim.h"

#define SETTLE_TIME (20 * MSP_SECOND)

/* Returns a simulation whose VMs are ready; end it with end_test_sim(). */
static inline ledger_sim_t *
new_test_sim(uint64_t seed, unsigned int vms, unsigned int places)
{
	ledger_sim_t *sim = calloc(1, sizeof(*sim));

	assert_non_null(sim);
	init_ledger_sim(sim, seed, vms, places);
	assert_true(run_ledger_sim_until_converged(sim, SETTLE_TIME));
	return sim;
}

/* Checks that no VM reverted to an older version or forked, and frees `sim`. */
static inline void
end_test_sim(ledger_sim_t *sim)
{
	assert_int_equal(sim->reverted, 0);
	assert_int_equal(sim->forked, 0);
	clear_ledger_sim(sim);
	free(sim);
}

static inline void
submit_note(ledger_sim_t *sim, unsigned int vm, msp_note_t *note,
    ledger_submit_result_t *result)
{
	memset(result, 0, sizeof(*result));
	msp_submit_note(sim->vms[vm].ledger, note, copy_submit_result, result);
	msp_drop_note(note);
}

static inline void
run_until_ended(ledger_sim_t *sim, const ledger_submit_result_t *result)
{
	msp_time_t end = sim->clock.now + MSP_MINUTE;

	while (!result->ended && sim->clock.now < end)
		run_ledger_sim(sim, sim->step);
	assert_true(result->ended);
}

/* Submits the note and waits for the result. */
static inline void
submit_and_wait(ledger_sim_t *sim, unsigned int vm, msp_note_t *note,
    ledger_submit_result_t *result)
{
	submit_note(sim, vm, note, result);
	run_until_ended(sim, result);
}

/* Commits a note that adds the region `name`, until all VMs have applied it. */
static inline void
commit_region(ledger_sim_t *sim, unsigned int vm, const char *name)
{
	ledger_submit_result_t result;

	submit_and_wait(
	    sim, vm, new_region_note(&sim->vms[vm], name, name), &result);
	if (result.status != MSP_OK)
		fail_msg("%s: %s", name, result.message);
	assert_true(
	    run_ledger_sim_to_version(sim, result.version, SETTLE_TIME));
}

/* Submits a note that was sent to no VM before. */
static inline void
submit_new_note(ledger_sim_t *sim, unsigned int vm, msp_note_t *note,
    ledger_submit_result_t *result)
{
	memset(result, 0, sizeof(*result));
	msp_submit_new_note(
	    sim->vms[vm].ledger, note, copy_submit_result, result);
	msp_drop_note(note);
}

/* Stores the status of the reply in `ctx`. */
static inline void
handle_store_reply(void *ctx, const msp_store_reply_t *reply)
{
	*(msp_status_t *)ctx = reply->status;
}

/* Commits regions r0, r1, ..., each by the next VM. */
static inline void
commit_regions(ledger_sim_t *sim, unsigned int count)
{
	char name[16];
	unsigned int i;

	for (i = 0; i < count; i++) {
		snprintf(name, sizeof(name), "r%u", i);
		commit_region(sim, i % sim->vm_count, name);
	}
}

#endif
