#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ledger_test.h"

#define SNAPSHOT "release-snapshot"
#define OTHER_DIGEST "0123456789abcdef0123456789abcdef"

static void
put_object(ledger_sim_t *sim, const char *text)
{
	msp_store_t store = msp_memory_store(sim->store);
	msp_status_t status = MSP_E_LOST;

	store.put_object(store.ctx, SNAPSHOT, text, strlen(text), 1000,
	    handle_store_reply, &status);
	run_ledger_sim(sim, 50 * MSP_MS);
	assert_int_equal(status, MSP_OK);
}

static void
new_vm_reads_snapshot_and_later_notes(void **state)
{
	ledger_sim_t *sim = calloc(1, sizeof(*sim));

	(void)state;
	assert_non_null(sim);
	sim->options.snapshot_every = 8;
	init_ledger_sim(sim, 42, 3, 1);
	assert_true(run_ledger_sim_until_converged(sim, SETTLE_TIME));
	commit_regions(sim, 21);
	assert_int_equal(
	    *msp_get_counter(sim->counters, "msp_release_snapshots_total"), 2);
	kill_ledger_vm(sim, 1);
	kill_ledger_vm(sim, 2);
	start_ledger_vm(sim, 1);
	kill_ledger_vm(sim, 0);
	assert_true(run_ledger_sim_to_version(sim, 21, SETTLE_TIME));
	/* Five notes follow the snapshot of version 16. */
	assert_int_equal(
	    *msp_get_counter(sim->counters, "msp_release_applied_total"),
	    21 * 3 + 5);
	end_test_sim(sim);
}

static const char *const bad_snapshots[] = {
    "",
    "{}",
    "nonsense\n",
    /* An empty release that claims to be version 2 of another chain. */
    "{\"format\":1,\"version\":2,\"digest\":\"" OTHER_DIGEST
    "\",\"note\":\"n\",\"items\":0,\"check\":"
    "\"00000000000000000000000000000000\"}\n",
};

/*
 * Starts a VM that has only the store to read from. It must reject the snapshot
 * and reach version 5 from the notes.
 */
static void
start_with_snapshot(ledger_sim_t *sim, const char *snapshot)
{
	unsigned int i;

	put_object(sim, snapshot);
	for (i = 0; i < sim->vm_count; i++)
		kill_ledger_vm(sim, i);
	start_ledger_vm(sim, 0);
	assert_true(run_ledger_sim_to_version(sim, 5, SETTLE_TIME));
	assert_int_equal(sim->vms[0].version, 5);
	assert_null(
	    msp_find_region(msp_ledger_release(sim->vms[0].ledger), "x0"));
}

static void
bad_snapshot_is_not_used(void **state)
{
	ledger_sim_t *sim = new_test_sim(43, 3, 1);
	ledger_sim_t *other = new_test_sim(44, 1, 1);
	msp_buffer_t forked = {0};
	char name[16];
	size_t i;

	(void)state;
	commit_regions(sim, 5);
	for (i = 0; i < sizeof(bad_snapshots) / sizeof(bad_snapshots[0]); i++)
		start_with_snapshot(sim, bad_snapshots[i]);
	/*
	 * Snapshots of another chain, at versions below, at and above the head.
	 */
	for (i = 0; i < 6; i++) {
		snprintf(name, sizeof(name), "x%zu", i);
		commit_region(other, 0, name);
		msp_clear_buffer(&forked);
		msp_print_release(
		    msp_ledger_release(other->vms[0].ledger), &forked);
		start_with_snapshot(sim, msp_buffer_text(&forked));
	}
	msp_drop_buffer(&forked);
	end_test_sim(other);
	end_test_sim(sim);
}

/* A ready VM keeps its chain even if a peer sends a newer snapshot. */
static void
ready_vm_ignores_snapshots(void **state)
{
	ledger_sim_t *sim = new_test_sim(49, 1, 1);
	ledger_sim_t *other = calloc(1, sizeof(*other));
	msp_buffer_t answer = {0};

	(void)state;
	assert_non_null(other);
	other->options.retained_notes = 1;
	init_ledger_sim(other, 50, 1, 1);
	assert_true(run_ledger_sim_until_converged(other, SETTLE_TIME));
	commit_region(sim, 0, "r");
	commit_regions(other, 4);
	assert_int_equal(
	    msp_print_ledger_update(other->vms[0].ledger, 1, &answer), MSP_OK);
	assert_int_equal(strncmp(answer.data, "snapshot 4 ", 11), 0);
	msp_apply_ledger_update(sim->vms[0].ledger, answer.data, answer.len);
	assert_int_equal(sim->vms[0].version, 1);
	msp_drop_buffer(&answer);
	end_test_sim(other);
	end_test_sim(sim);
}

static void
new_vm_starts_from_a_peer_with_the_store_down(void **state)
{
	ledger_sim_t *sim = calloc(1, sizeof(*sim));
	size_t retained;

	(void)state;
	assert_non_null(sim);
	for (retained = 2; retained <= 100; retained += 98) {
		memset(sim, 0, sizeof(*sim));
		/* With 2 retained notes, peers send a snapshot. */
		sim->options.retained_notes = retained;
		init_ledger_sim(sim, 45, 3, 1);
		assert_true(run_ledger_sim_until_converged(sim, SETTLE_TIME));
		commit_regions(sim, 6);
		msp_memory_store_faults(sim->store)->down = true;
		kill_ledger_vm(sim, 2);
		start_ledger_vm(sim, 2);
		assert_true(run_ledger_sim_to_version(sim, 6, SETTLE_TIME));
		/* With neither a peer nor the store, the VM is not ready. */
		kill_ledger_vm(sim, 0);
		kill_ledger_vm(sim, 1);
		kill_ledger_vm(sim, 2);
		start_ledger_vm(sim, 0);
		run_ledger_sim(sim, SETTLE_TIME);
		assert_false(msp_ledger_is_ready(sim->vms[0].ledger));
		msp_memory_store_faults(sim->store)->down = false;
		assert_true(run_ledger_sim_to_version(sim, 6, SETTLE_TIME));
		assert_int_equal(sim->reverted + sim->forked, 0);
		clear_ledger_sim(sim);
	}
	free(sim);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(new_vm_reads_snapshot_and_later_notes),
	    cmocka_unit_test(bad_snapshot_is_not_used),
	    cmocka_unit_test(ready_vm_ignores_snapshots),
	    cmocka_unit_test(new_vm_starts_from_a_peer_with_the_store_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
