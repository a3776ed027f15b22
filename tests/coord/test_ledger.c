#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ledger_test.h"

static void
accepted_note_is_applied_by_all_vms(void **state)
{
	ledger_sim_t *sim = new_test_sim(1, 6, 3);
	unsigned int i;

	(void)state;
	assert_int_equal(sim->newest_version, 0);
	commit_region(sim, 0, "r1");
	commit_region(sim, 4, "r2");
	for (i = 0; i < sim->vm_count; i++) {
		msp_release_t *release = msp_ledger_release(sim->vms[i].ledger);

		assert_int_equal(release->version, 2);
		assert_non_null(msp_find_region(release, "r1"));
		assert_non_null(msp_find_region(release, "r2"));
	}
	end_test_sim(sim);
}

static void
clashing_note_is_refused_and_the_clash_named(void **state)
{
	ledger_sim_t *sim = new_test_sim(2, 4, 2);
	ledger_submit_result_t results[2];
	const ledger_submit_result_t *won = &results[0];
	const ledger_submit_result_t *lost = &results[1];

	(void)state;
	submit_note(
	    sim, 0, new_region_note(&sim->vms[0], "n0", "r"), &results[0]);
	submit_note(
	    sim, 1, new_region_note(&sim->vms[1], "n1", "r"), &results[1]);
	run_until_ended(sim, &results[0]);
	run_until_ended(sim, &results[1]);
	if (results[0].status != MSP_OK) {
		won = &results[1];
		lost = &results[0];
	}
	assert_int_equal(won->status, MSP_OK);
	assert_int_equal(lost->status, MSP_E_CONFLICT);
	assert_string_equal(lost->clashes, "region r");
	assert_string_equal(lost->other_note, won == &results[0] ? "n0" : "n1");
	assert_int_equal(sim->newest_version, 1);
	end_test_sim(sim);
}

static void
disjoint_notes_are_rebased(void **state)
{
	ledger_sim_t *sim = new_test_sim(3, 4, 2);
	ledger_submit_result_t results[4];
	unsigned int rebased = 0;
	char name[8];
	unsigned int i;

	(void)state;
	for (i = 0; i < 4; i++) {
		snprintf(name, sizeof(name), "r%u", i);
		submit_note(sim, i, new_region_note(&sim->vms[i], name, name),
		    &results[i]);
	}
	for (i = 0; i < 4; i++) {
		run_until_ended(sim, &results[i]);
		assert_int_equal(results[i].status, MSP_OK);
		rebased += results[i].rebased;
	}
	assert_int_equal(rebased, 3);
	assert_true(run_ledger_sim_to_version(sim, 4, SETTLE_TIME));
	end_test_sim(sim);
}

/* The notes name different items, but together leave a dangling reference. */
static void
rebased_note_is_validated(void **state)
{
	ledger_sim_t *sim = new_test_sim(4, 2, 1);
	ledger_submit_result_t result;
	msp_note_t *note;

	(void)state;
	commit_region(sim, 0, "r");
	note = parse_note_for_vm(&sim->vms[1],
	    "{\"id\":\"p\",\"add\":{\"places\":[{\"name\":\"p\","
	    "\"region\":\"r\"}]}}");
	submit_and_wait(sim, 0,
	    parse_note_for_vm(&sim->vms[0],
		"{\"id\":\"w\",\"withdraw\":{\"regions\":[\"r\"]}}"),
	    &result);
	assert_int_equal(result.status, MSP_OK);
	submit_and_wait(sim, 1, note, &result);
	assert_int_equal(result.status, MSP_E_INVALID_NOTE);
	assert_non_null(strstr(result.message, "add.places.p.region"));
	end_test_sim(sim);
}

static void
refused_note_changes_nothing(void **state)
{
	ledger_sim_t *sim = new_test_sim(5, 3, 1);
	const char *bad = "{\"id\":\"bad\",\"add\":{\"regions\":[{\"name\":"
			  "\"ok\"}],\"places\":[{\"name\":\"p\",\"region\":"
			  "\"no\"}]}}";
	ledger_submit_result_t result;
	msp_release_t *release;
	unsigned int i;

	(void)state;
	commit_region(sim, 0, "r");
	submit_and_wait(sim, 1, parse_note_for_vm(&sim->vms[1], bad), &result);
	assert_int_equal(result.status, MSP_E_INVALID_NOTE);
	run_ledger_sim(sim, SETTLE_TIME);
	for (i = 0; i < 3; i++) {
		release = msp_ledger_release(sim->vms[i].ledger);
		assert_int_equal(release->version, 1);
		assert_null(msp_find_region(release, "ok"));
	}
	/* Its id stays refused even when the note would be valid. */
	commit_region(sim, 2, "no");
	submit_and_wait(sim, 0, parse_note_for_vm(&sim->vms[0], bad), &result);
	assert_int_equal(result.status, MSP_E_CONFLICT);
	assert_non_null(strstr(result.message, "was refused"));
	end_test_sim(sim);
}

static void
id_is_accepted_once(void **state)
{
	ledger_sim_t *sim = new_test_sim(6, 3, 1);
	msp_note_t *note = new_region_note(&sim->vms[0], "same", "r");
	ledger_submit_result_t result;

	(void)state;
	submit_and_wait(sim, 0, msp_keep_note(note), &result);
	assert_int_equal(result.version, 1);
	commit_region(sim, 1, "r2");
	submit_and_wait(sim, 2, note, &result);
	assert_int_equal(result.status, MSP_OK);
	assert_int_equal(result.version, 1);
	submit_and_wait(
	    sim, 2, new_region_note(&sim->vms[2], "same", "r3"), &result);
	assert_int_equal(result.status, MSP_E_CONFLICT);
	assert_non_null(strstr(result.message, "used for another note"));
	assert_int_equal(sim->newest_version, 2);
	end_test_sim(sim);
}

#define ADD_X "\"add\":{\"regions\":[{\"name\":\"x\"}]}}"
#define ZEROS "\"base_digest\":\"00000000000000000000000000000000\","

static const struct {
	const char *text;
	msp_status_t status;
	const char *message;
} bad_bases[] = {
    {"{\"id\":\"n0\",\"base_version\":9," ZEROS ADD_X, MSP_E_CONFLICT,
	"base_version: above the newest"},
    {"{\"id\":\"n1\",\"base_version\":1," ZEROS ADD_X, MSP_E_CONFLICT,
	"base_digest"},
    {"{\"id\":\"n2\",\"base_version\":2," ZEROS ADD_X, MSP_E_CONFLICT,
	"base_digest"},
    {"{" ADD_X, MSP_E_INVALID_NOTE, "id: missing"},
};

static void
bases_off_the_chain_are_refused(void **state)
{
	ledger_sim_t *sim = new_test_sim(7, 2, 1);
	ledger_submit_result_t result;
	size_t i;

	(void)state;
	commit_region(sim, 0, "r1");
	commit_region(sim, 0, "r2");
	for (i = 0; i < sizeof(bad_bases) / sizeof(bad_bases[0]); i++) {
		submit_and_wait(sim, 1,
		    parse_note_for_vm(&sim->vms[1], bad_bases[i].text),
		    &result);
		if (result.status != bad_bases[i].status ||
		    strstr(result.message, bad_bases[i].message) == NULL)
			fail_msg("case %zu: %s", i, result.message);
	}
	assert_int_equal(sim->newest_version, 2);
	end_test_sim(sim);
}

/* Injects a fault into one store call; resends the note until accepted. */
static void
check_fault(unsigned int call, link_fault_t fault)
{
	ledger_sim_t *sim = new_test_sim(100 + 10 * fault + call, 3, 1);
	msp_note_t *note = new_region_note(&sim->vms[0], "n", "r");
	ledger_submit_result_t result;
	unsigned int resends;

	msp_set_ledger_poller(sim->vms[0].ledger, false);
	run_ledger_sim(sim, MSP_SECOND);
	inject_link_fault(sim->vms[0].link, call, fault);
	submit_and_wait(sim, 0, msp_keep_note(note), &result);
	for (resends = 0; result.status != MSP_OK && resends < 5; resends++)
		submit_and_wait(sim, 1, msp_keep_note(note), &result);
	if (result.status != MSP_OK || result.version != 1)
		fail_msg(
		    "fault %d at call %u: %s", fault, call, result.message);
	msp_drop_note(note);
	assert_true(run_ledger_sim_to_version(sim, 1, SETTLE_TIME));
	run_ledger_sim(sim, 2 * MSP_SECOND);
	assert_int_equal(sim->newest_version, 1);
	end_test_sim(sim);
}

static void
commit_recovers_from_a_fault_at_each_call(void **state)
{
	enum {
		CALLS = 4
	};
	unsigned int call;
	unsigned int fault;

	(void)state;
	for (fault = LINK_REFUSE_CALL; fault < LINK_FAULT_COUNT; fault++) {
		for (call = 0; call < CALLS; call++)
			check_fault(call, (link_fault_t)fault);
	}
}

static void
store_down_is_reported_at_once_without_a_write(void **state)
{
	ledger_sim_t *sim = new_test_sim(8, 3, 1);
	msp_time_t start = sim->clock.now;
	ledger_submit_result_t result;

	(void)state;
	msp_memory_store_faults(sim->store)->down = true;
	submit_and_wait(
	    sim, 0, new_region_note(&sim->vms[0], "n", "r"), &result);
	assert_int_equal(result.status, MSP_E_STORE_DOWN);
	assert_true(sim->clock.now - start < MSP_SECOND);
	msp_memory_store_faults(sim->store)->down = false;
	run_ledger_sim(sim, SETTLE_TIME);
	assert_int_equal(sim->newest_version, 0);
	end_test_sim(sim);
}

/*
 * The answer to the write is lost and the store goes down, so the result is in
 * doubt. Once the store is back, sending the note again gives its version.
 */
static void
sending_again_resolves_doubt(void **state)
{
	ledger_sim_t *sim = new_test_sim(9, 3, 1);
	msp_note_t *note = new_region_note(&sim->vms[0], "n", "r");
	ledger_submit_result_t result;

	(void)state;
	msp_set_ledger_poller(sim->vms[0].ledger, false);
	run_ledger_sim(sim, MSP_SECOND);
	inject_link_fault(sim->vms[0].link, 1, LINK_LOSE_REPLY);
	submit_note(sim, 0, msp_keep_note(note), &result);
	run_ledger_sim(sim, 100 * MSP_MS);
	msp_memory_store_faults(sim->store)->down = true;
	run_until_ended(sim, &result);
	assert_int_equal(result.status, MSP_E_IN_DOUBT);
	msp_memory_store_faults(sim->store)->down = false;
	submit_and_wait(sim, 1, note, &result);
	assert_int_equal(result.status, MSP_OK);
	assert_int_equal(result.version, 1);
	assert_true(run_ledger_sim_to_version(sim, 1, SETTLE_TIME));
	end_test_sim(sim);
}

/*
 * The answer to the write is lost, and the next read comes from a replica
 * without the write. The second write then conflicts with the first one.
 */
static void
conflict_with_own_write_is_success(void **state)
{
	ledger_sim_t *sim = new_test_sim(10, 1, 1);
	ledger_submit_result_t result;

	(void)state;
	msp_set_ledger_poller(sim->vms[0].ledger, false);
	run_ledger_sim(sim, MSP_SECOND);
	inject_link_fault(sim->vms[0].link, 1, LINK_LOSE_REPLY);
	submit_note(sim, 0, new_region_note(&sim->vms[0], "n", "r"), &result);
	run_ledger_sim(sim, 100 * MSP_MS);
	set_store_link_stale(sim->vms[0].link, true);
	run_until_ended(sim, &result);
	assert_int_equal(result.status, MSP_OK);
	assert_int_equal(result.version, 1);
	end_test_sim(sim);
}

/*
 * One VM refuses a note and its write of the refusal is slow. Meanwhile the
 * note becomes valid, and another VM, which read the id before the refusal was
 * written, tries to commit it.
 */
static void
refused_id_is_not_committed(void **state)
{
	ledger_sim_t *sim = new_test_sim(11, 2, 1);
	const char *text = "{\"id\":\"late\",\"add\":{\"places\":[{\"name\":"
			   "\"p\",\"region\":\"r\"}]}}";
	msp_store_faults_t *faults = msp_memory_store_faults(sim->store);
	msp_time_t quick = faults->latency;
	ledger_submit_result_t refused;
	ledger_submit_result_t other;

	(void)state;
	submit_note(sim, 0, parse_note_for_vm(&sim->vms[0], text), &refused);
	run_ledger_sim(sim, sim->step);
	faults->latency = 600 * MSP_MS; /* of the refusal, after a fast read */
	run_ledger_sim(sim, 50 * MSP_MS);
	faults->latency = quick;
	commit_region(sim, 1, "r");
	submit_note(sim, 1, parse_note_for_vm(&sim->vms[1], text), &other);
	run_ledger_sim(sim, sim->step);
	faults->latency = 900 * MSP_MS; /* of the commit, after a fast read */
	run_until_ended(sim, &refused);
	faults->latency = quick;
	run_until_ended(sim, &other);
	assert_int_equal(refused.status, MSP_E_INVALID_NOTE);
	assert_int_equal(other.status, MSP_E_CONFLICT);
	assert_int_equal(sim->newest_version, 1);
	end_test_sim(sim);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(accepted_note_is_applied_by_all_vms),
	    cmocka_unit_test(clashing_note_is_refused_and_the_clash_named),
	    cmocka_unit_test(disjoint_notes_are_rebased),
	    cmocka_unit_test(rebased_note_is_validated),
	    cmocka_unit_test(refused_note_changes_nothing),
	    cmocka_unit_test(id_is_accepted_once),
	    cmocka_unit_test(bases_off_the_chain_are_refused),
	    cmocka_unit_test(commit_recovers_from_a_fault_at_each_call),
	    cmocka_unit_test(store_down_is_reported_at_once_without_a_write),
	    cmocka_unit_test(sending_again_resolves_doubt),
	    cmocka_unit_test(conflict_with_own_write_is_success),
	    cmocka_unit_test(refused_id_is_not_committed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
