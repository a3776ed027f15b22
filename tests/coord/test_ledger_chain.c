#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ledger_test.h"

#define HEAD "release/head"
#define OTHER_DIGEST "0123456789abcdef0123456789abcdef"

/* Writes a row directly to the store, to simulate corrupt data. */
static void
put_row(ledger_sim_t *sim, const char *key, const char *value)
{
	msp_store_t store = msp_memory_store(sim->store);
	msp_write_t write = {
	    .key = key, .value = value, .value_len = strlen(value)};
	msp_txn_t txn = {.writes = &write, .write_count = 1};
	msp_status_t status = MSP_E_LOST;

	store.transact(store.ctx, &txn, 1000, handle_store_reply, &status);
	run_ledger_sim(sim, 50 * MSP_MS);
	assert_int_equal(status, MSP_OK);
}

/* Heads that do not continue the chain of VMs at version 3. */
static const struct {
	const char *head;
	const char *reason;
} bad_heads[] = {
    {"1 " OTHER_DIGEST " n", "stale-head"},
    {"0 00000000000000000000000000000000 n", "stale-head"},
    {"3 " OTHER_DIGEST " n", "fork"},
    {"9 " OTHER_DIGEST " n", "unconfirmed-version"},
    {"18446744073709551615 " OTHER_DIGEST " n", "unconfirmed-version"},
    {"three", "bad-rows"},
    {"3 xyz n", "bad-rows"},
};

static void
bad_heads_are_rejected(void **state)
{
	ledger_submit_result_t result;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad_heads) / sizeof(bad_heads[0]); i++) {
		ledger_sim_t *sim = new_test_sim(i, 4, 2);

		commit_regions(sim, 3);
		put_row(sim, HEAD, bad_heads[i].head);
		run_ledger_sim(sim, 5 * MSP_SECOND);
		assert_int_equal(sim->newest_version, 3);
		assert_true(sim->rejected_count > 0);
		assert_string_equal(
		    sim->last_rejected_reason, bad_heads[i].reason);
		submit_and_wait(
		    sim, 0, new_region_note(&sim->vms[0], "n", "x"), &result);
		assert_int_not_equal(result.status, MSP_OK);
		assert_int_equal(sim->newest_version, 3);
		end_test_sim(sim);
	}
}

/* Rows of version 2 that are malformed or do not continue version 1. */
static const char *const bad_rows[] = {
    "0 1\n{}",
    "0 1\n{\"id\":\"f\",\"add\":{\"regions\":[{\"name\":\"f\"}]}}",
    "0 1\n{\"id\":\"f\",\"base_version\":1,\"base_digest\":\"" OTHER_DIGEST
    "\",\"add\":{\"regions\":[{\"name\":\"f\"}]}}",
    "0 1\n{\"id\":\"f\",\"base_version\":7,\"base_digest\":\"" OTHER_DIGEST
    "\",\"add\":{\"regions\":[{\"name\":\"f\"}]}}",
    "0 2\n{\"id\":\"f\"",
    "1 1\n{}",
    "0 999\n{}",
    "{}",
    "",
};

static void
bad_notes_in_the_store_are_rejected(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad_rows) / sizeof(bad_rows[0]); i++) {
		ledger_sim_t *sim = new_test_sim(20 + i, 4, 2);

		commit_regions(sim, 1);
		put_row(sim, "release/note/0000000000000002/0000", bad_rows[i]);
		put_row(sim, HEAD, "2 " OTHER_DIGEST " f");
		run_ledger_sim(sim, 5 * MSP_SECOND);
		assert_int_equal(sim->newest_version, 1);
		assert_true(sim->rejected_count > 0);
		end_test_sim(sim);
	}
}

/* Answers to VMs at version 1 that are malformed or of another chain. */
static const char *const bad_answers[] = {
    "",
    "notes",
    "notes 2 x\n",
    "notes 2 " OTHER_DIGEST "\n{",
    "notes 2 " OTHER_DIGEST "\n{}\n",
    "notes 2 " OTHER_DIGEST
    "\n{\"id\":\"f\",\"base_version\":1,\"base_digest\":\"" OTHER_DIGEST
    "\",\"add\":{\"regions\":[{\"name\":\"f\"}]}}\n",
    "notes 1 " OTHER_DIGEST
    "\n{\"id\":\"f\",\"base_version\":0,\"base_digest\":"
    "\"00000000000000000000000000000000\",\"add\":{\"regions\":[{\"name\":"
    "\"f\"}]}}\n",
    "snapshot 7 " OTHER_DIGEST "\n{}\n",
    "digest 1 " OTHER_DIGEST "\n",
};

static void
bad_peer_answers_are_rejected(void **state)
{
	ledger_sim_t *sim = new_test_sim(40, 2, 1);
	msp_digest_t other = {1, 2};
	unsigned int before;
	size_t i;

	(void)state;
	commit_regions(sim, 1);
	for (i = 0; i < sizeof(bad_answers) / sizeof(bad_answers[0]); i++) {
		before = sim->rejected_count;
		msp_apply_ledger_update(
		    sim->vms[0].ledger, bad_answers[i], strlen(bad_answers[i]));
		if (strncmp(bad_answers[i], "snapshot", 8) != 0 &&
		    sim->rejected_count == before)
			fail_msg("answer %zu is not counted", i);
		assert_int_equal(sim->vms[0].version, 1);
	}
	before = sim->rejected_count;
	msp_observe_ledger_version(sim->vms[0].ledger, 1, &other);
	assert_int_equal(sim->rejected_count, before + 1);
	end_test_sim(sim);
}

/* All VMs read from a replica of the store that lacks the latest writes. */
static void
stale_replica_reverts_no_vm(void **state)
{
	ledger_sim_t *sim = new_test_sim(41, 4, 1);
	ledger_submit_result_t result;
	unsigned int i;

	(void)state;
	commit_regions(sim, 2);
	for (i = 0; i < 4; i++)
		set_store_link_stale(sim->vms[i].link, true);
	run_ledger_sim(sim, 5 * MSP_SECOND);
	submit_and_wait(
	    sim, 0, new_region_note(&sim->vms[0], "n", "x"), &result);
	for (i = 0; i < 4; i++)
		set_store_link_stale(sim->vms[i].link, false);
	if (result.status != MSP_OK)
		assert_int_equal(sim->newest_version, 2);
	assert_true(run_ledger_sim_until_converged(sim, SETTLE_TIME));
	end_test_sim(sim);
}

static void
partitioned_place_stays_ready_and_catches_up(void **state)
{
	ledger_sim_t *sim = new_test_sim(46, 6, 3);
	ledger_submit_result_t result;
	unsigned int i;

	(void)state;
	commit_regions(sim, 2);
	set_place_isolated(sim, 1, true, true);
	for (i = 0; i < 200; i++) {
		char name[16];

		snprintf(name, sizeof(name), "c%u", i);
		submit_and_wait(
		    sim, 0, new_region_note(&sim->vms[0], name, name), &result);
		assert_int_equal(result.status, MSP_OK);
	}
	assert_int_equal(sim->vms[1].version, 2);
	assert_true(msp_ledger_is_ready(sim->vms[1].ledger));
	submit_and_wait(
	    sim, 1, new_region_note(&sim->vms[1], "n", "x"), &result);
	assert_int_equal(result.status, MSP_E_STORE_DOWN);
	set_place_isolated(sim, 1, false, false);
	assert_true(run_ledger_sim_to_version(sim, 202, SETTLE_TIME));
	end_test_sim(sim);
}

/* A note whose text needs several rows is committed and read by a new VM. */
static void
large_note_is_stored_in_several_rows(void **state)
{
	ledger_sim_t *sim = new_test_sim(47, 2, 1);
	msp_buffer_t text = {0};
	ledger_submit_result_t result;
	unsigned int i;

	(void)state;
	commit_region(sim, 0, "r");
	msp_append_printf(&text, "{\"id\":\"large\",\"add\":{\"blocks\":[");
	for (i = 0; i < 5000; i++)
		msp_append_printf(&text,
		    "%s{\"prefix\":\"10.%u.%u.0/24\",\"region\":\"r\"}",
		    i > 0 ? "," : "", i / 256, i % 256);
	msp_append_printf(&text, "]}}");
	submit_and_wait(sim, 0,
	    parse_note_for_vm(&sim->vms[0], msp_buffer_text(&text)), &result);
	assert_int_equal(result.status, MSP_OK);
	assert_true(msp_memory_store_stats(sim->store)->rows_written > 3 + 4);
	kill_ledger_vm(sim, 1);
	start_ledger_vm(sim, 1);
	assert_true(run_ledger_sim_to_version(sim, 2, SETTLE_TIME));
	assert_int_equal(
	    msp_ledger_release(sim->vms[1].ledger)->counts[MSP_ITEM_BLOCK],
	    5000);
	msp_drop_buffer(&text);
	end_test_sim(sim);
}

static void
too_old_base_is_refused(void **state)
{
	ledger_sim_t *sim = new_test_sim(48, 2, 1);
	msp_note_t *old = new_region_note(&sim->vms[0], "old", "x");
	ledger_submit_result_t result;
	unsigned int i;

	(void)state;
	for (i = 0; i <= MSP_REBASE_NOTES_MAX; i++) {
		char name[16];

		snprintf(name, sizeof(name), "%u", i);
		submit_and_wait(
		    sim, 0, new_region_note(&sim->vms[0], name, "r"), &result);
		assert_int_equal(result.status, MSP_OK);
	}
	assert_true(sim->newest_version > MSP_REBASE_NOTES_MAX);
	submit_and_wait(sim, 1, old, &result);
	assert_int_equal(result.status, MSP_E_CONFLICT);
	assert_non_null(strstr(result.message, "over 256 notes old"));
	end_test_sim(sim);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(bad_heads_are_rejected),
	    cmocka_unit_test(bad_notes_in_the_store_are_rejected),
	    cmocka_unit_test(bad_peer_answers_are_rejected),
	    cmocka_unit_test(stale_replica_reverts_no_vm),
	    cmocka_unit_test(partitioned_place_stays_ready_and_catches_up),
	    cmocka_unit_test(large_note_is_stored_in_several_rows),
	    cmocka_unit_test(too_old_base_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
