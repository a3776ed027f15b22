#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "store_fixture.h"

/* Tests of the contract of msp_store_t, run with each implementation. */

static void
conditional_writes(store_fixture_t *store)
{
	uint64_t first;

	assert_int_equal(put_row(store, "k", 0, "one", 3), MSP_OK);
	first = store->reply.version;
	assert_true(first > 0);
	assert_int_equal(put_row(store, "k", 0, "two", 3), MSP_E_CONFLICT);
	assert_int_equal(store->reply.row_count, 1);
	assert_string_equal(store->reply.keys[0], "k");
	assert_int_equal(store->reply.versions[0], first);
	assert_string_equal(msp_buffer_text(&store->reply.values[0]), "one");
	assert_int_equal(put_row(store, "k", first, "two", 3), MSP_OK);
	assert_true(store->reply.version > first);
	assert_int_equal(put_row(store, "k", first, "3", 1), MSP_E_CONFLICT);
	assert_int_equal(get_row(store, "k"), MSP_OK);
	assert_string_equal(msp_buffer_text(&store->reply.values[0]), "two");
}

static void
row_versions_are_unique(store_fixture_t *store)
{
	uint64_t first;

	assert_int_equal(put_row(store, "k", 0, "one", 3), MSP_OK);
	first = store->reply.version;
	assert_int_equal(put_row(store, "k", first, NULL, 0), MSP_OK);
	assert_int_equal(get_row(store, "k"), MSP_OK);
	assert_int_equal(store->reply.versions[0], 0);
	assert_null(store->reply.values[0].data);
	assert_int_equal(put_row(store, "k", 0, "one", 3), MSP_OK);
	assert_true(store->reply.version > first);
}

static void
transactions_are_atomic(store_fixture_t *store)
{
	msp_condition_t conditions[] = {{"a", 0}, {"b", 0}};
	msp_write_t writes[] = {{"a", "1", 1}, {"b", "2", 1}};
	msp_txn_t txn = {conditions, 2, writes, 2};
	static const char *const keys[] = {"b", "c", "a"};

	assert_int_equal(put_row(store, "b", 0, "old", 3), MSP_OK);
	assert_int_equal(transact(store, &txn), MSP_E_CONFLICT);
	assert_int_equal(store->reply.row_count, 2);
	assert_int_equal(store->reply.versions[0], 0);
	assert_string_equal(store->reply.keys[1], "b");
	conditions[1].version = store->reply.versions[1];
	assert_int_equal(get_row(store, "a"), MSP_OK);
	assert_int_equal(store->reply.versions[0], 0);
	assert_int_equal(transact(store, &txn), MSP_OK);
	assert_int_equal(get_rows(store, keys, 3), MSP_OK);
	assert_int_equal(store->reply.row_count, 3);
	assert_string_equal(msp_buffer_text(&store->reply.values[0]), "2");
	assert_int_equal(store->reply.versions[1], 0);
	assert_string_equal(msp_buffer_text(&store->reply.values[2]), "1");
	assert_int_equal(store->reply.versions[0], store->reply.versions[2]);
}

static void
scans_are_sorted_by_key(store_fixture_t *store)
{
	static const char *const keys[] = {"a/3", "a/1", "b/1", "a", "a/2"};
	unsigned int i;

	for (i = 0; i < 5; i++)
		assert_int_equal(put_row(store, keys[i], 0, "x", 1), MSP_OK);
	assert_int_equal(scan_rows(store, "a/", "", 2), MSP_OK);
	assert_int_equal(store->reply.row_count, 2);
	assert_string_equal(store->reply.keys[0], "a/1");
	assert_string_equal(store->reply.keys[1], "a/2");
	assert_int_equal(scan_rows(store, "a/", "a/2", 10), MSP_OK);
	assert_int_equal(store->reply.row_count, 1);
	assert_string_equal(store->reply.keys[0], "a/3");
	assert_int_equal(scan_rows(store, "a/", "a/3", 10), MSP_OK);
	assert_int_equal(store->reply.row_count, 0);
	assert_int_equal(scan_rows(store, "a", "", 10), MSP_OK);
	assert_int_equal(store->reply.row_count, 4);
	assert_int_equal(scan_rows(store, "zz", "", 10), MSP_OK);
	assert_int_equal(store->reply.row_count, 0);
}

static void
values_hold_any_bytes(store_fixture_t *store)
{
	static const size_t sizes[] = {0, 1, 2, 3, 255, MSP_ROW_VALUE_MAX};
	char *value = malloc(MSP_ROW_VALUE_MAX);
	char key[16];
	size_t i;

	assert_non_null(value);
	for (i = 0; i < MSP_ROW_VALUE_MAX; i++)
		value[i] = (char)(i * 7 + i / 256);
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		snprintf(key, sizeof(key), "k%zu", i);
		assert_int_equal(
		    put_row(store, key, 0, value, sizes[i]), MSP_OK);
		assert_int_equal(get_row(store, key), MSP_OK);
		assert_int_equal(store->reply.values[0].len, sizes[i]);
		assert_non_null(store->reply.values[0].data);
		assert_memory_equal(
		    store->reply.values[0].data, value, sizes[i]);
	}
	free(value);
}

static void
operator_writes_rows_of_any_size(store_fixture_t *store)
{
	size_t len = 16 * MSP_ROW_VALUE_MAX;
	char *value = malloc(len);
	uint64_t before = msp_memory_store_version(store->memory);

	assert_non_null(value);
	memset(value, 'v', len);
	store->faults->down = true;
	assert_int_equal(
	    msp_put_memory_store_row(store->memory, "k", value, len), MSP_OK);
	store->faults->down = false;
	assert_true(msp_memory_store_version(store->memory) > before);
	assert_int_equal(get_row(store, "k"), MSP_OK);
	assert_int_equal(store->reply.values[0].len, len);
	assert_memory_equal(store->reply.values[0].data, value, len);
	assert_int_equal(
	    msp_put_memory_store_row(store->memory, "k", NULL, 0), MSP_OK);
	assert_int_equal(get_row(store, "k"), MSP_OK);
	assert_null(store->reply.values[0].data);
	free(value);
}

static void
limits_are_enforced(store_fixture_t *store)
{
	static const char *const keys[] = {"", "a b", "a\n", "\xc3\xa6"};
	static const char *const names[] = {"", "a/b", "a%20", "a b", "a?b"};
	char long_key[MSP_ROW_KEY_MAX + 2];
	char *value = calloc(1, MSP_ROW_VALUE_MAX + 1);
	msp_write_t *writes = calloc(MSP_TXN_ITEMS_MAX + 1, sizeof(*writes));
	msp_txn_t txn = {.writes = writes};
	unsigned int i;

	assert_non_null(value);
	assert_non_null(writes);
	for (i = 0; i < 4; i++) {
		assert_int_equal(
		    put_row(store, keys[i], 0, "x", 1), MSP_E_BAD_REQUEST);
		assert_int_equal(get_row(store, keys[i]), MSP_E_BAD_REQUEST);
	}
	memset(long_key, 'k', sizeof(long_key));
	long_key[MSP_ROW_KEY_MAX + 1] = '\0';
	assert_int_equal(
	    put_row(store, long_key, 0, "x", 1), MSP_E_BAD_REQUEST);
	long_key[MSP_ROW_KEY_MAX] = '\0';
	assert_int_equal(put_row(store, long_key, 0, "x", 1), MSP_OK);
	assert_int_equal(put_row(store, "k", 0, value, MSP_ROW_VALUE_MAX + 1),
	    MSP_E_BAD_REQUEST);
	for (i = 0; i <= MSP_TXN_ITEMS_MAX; i++)
		writes[i] = (msp_write_t){"k", "x", 1};
	txn.write_count = MSP_TXN_ITEMS_MAX + 1;
	assert_int_equal(transact(store, &txn), MSP_E_BAD_REQUEST);
	for (i = 0; i < 5; i++)
		assert_int_equal(
		    put_object(store, names[i], "x", 1), MSP_E_BAD_REQUEST);
	assert_int_equal(get_row(store, "k"), MSP_OK);
	assert_int_equal(store->reply.versions[0], 0);
	free(writes);
	free(value);
}

static void
objects_are_stored_unchanged(store_fixture_t *store)
{
	size_t len = 1024 * 1024 + 1;
	char *data = malloc(len);

	assert_non_null(data);
	memset(data, '\n', len);
	assert_int_equal(get_object(store, "o"), MSP_E_NOT_FOUND);
	assert_int_equal(put_object(store, "o", data, len), MSP_OK);
	assert_int_equal(get_object(store, "o"), MSP_OK);
	assert_int_equal(store->reply.object.len, len);
	assert_memory_equal(store->reply.object.data, data, len);
	assert_int_equal(put_object(store, "o", "ab", 2), MSP_OK);
	assert_int_equal(get_object(store, "o"), MSP_OK);
	assert_int_equal(store->reply.object.len, 2);
	assert_int_equal(put_object(store, "o", "", 0), MSP_OK);
	assert_int_equal(get_object(store, "o"), MSP_OK);
	assert_int_equal(store->reply.object.len, 0);
	free(data);
}

static void
vm_list_lags(store_fixture_t *store)
{
	msp_vm_t vm = {.name = "rey-1",
	    .place = "reykjavik-a",
	    .address = "10.0.0.1",
	    .caller_port = 8080,
	    .peer_port = 9090};

	assert_int_equal(list_vms(store), MSP_OK);
	assert_int_equal(store->reply.vm_count, 0);
	assert_int_equal(
	    msp_set_memory_store_vms(store->memory, &vm, 1, 0), MSP_OK);
	vm.leaving = 1;
	assert_int_equal(
	    msp_set_memory_store_vms(store->memory, &vm, 1, MSP_MINUTE),
	    MSP_OK);
	assert_int_equal(list_vms(store), MSP_OK);
	assert_int_equal(store->reply.vm_count, 1);
	assert_string_equal(store->reply.vm.name, "rey-1");
	assert_string_equal(store->reply.vm.place, "reykjavik-a");
	assert_string_equal(store->reply.vm.address, "10.0.0.1");
	assert_int_equal(store->reply.vm.caller_port, 8080);
	assert_int_equal(store->reply.vm.peer_port, 9090);
	assert_int_equal(store->reply.vm.leaving, 0);
}

typedef struct fault_case {
	const char *name;
	msp_store_faults_t faults;
	msp_status_t status; /* of a write and of a read */
	bool takes_effect; /* the write is applied */
} fault_case_t;

/* Checks the status of a write under a fault, and whether it was applied. */
static void
fault_status_matches_effect(store_fixture_t *store)
{
	static const fault_case_t cases[] = {
	    {"down", {.down = true}, MSP_E_STORE_DOWN, false},
	    {"call lost", {.lose_call_pct = 100}, MSP_E_LOST, false},
	    {"reply lost", {.lose_reply_pct = 100}, MSP_E_LOST, true},
	    {"slow", {.latency = 400 * MSP_MS}, MSP_E_LOST, true},
	    {"in time", {.latency = 20 * MSP_MS}, MSP_OK, true},
	};
	char key[16];
	unsigned int i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		msp_time_t end;

		snprintf(key, sizeof(key), "k%u", i);
		*store->faults = cases[i].faults;
		store->timeout_ms = 100;
		assert_int_equal(
		    put_row(store, key, 0, "x", 1), cases[i].status);
		assert_int_equal(get_row(store, key), cases[i].status);
		*store->faults = (msp_store_faults_t){0};
		store->timeout_ms = 10000;
		end = msp_now(&store->env) + 500 * MSP_MS;
		do {
			assert_int_equal(get_row(store, key), MSP_OK);
		} while (store->reply.versions[0] == 0 &&
		    msp_now(&store->env) < end);
		assert_int_equal(
		    store->reply.versions[0] != 0, cases[i].takes_effect);
	}
}

typedef struct contract_case {
	const char *name;
	void (*run)(store_fixture_t *store);
} contract_case_t;

static void
run_contract(void **state)
{
	static const contract_case_t cases[] = {
	    {"conditional writes", conditional_writes},
	    {"row versions are unique", row_versions_are_unique},
	    {"transactions are atomic", transactions_are_atomic},
	    {"scans are sorted by key", scans_are_sorted_by_key},
	    {"values hold any bytes", values_hold_any_bytes},
	    {"operator writes any size", operator_writes_rows_of_any_size},
	    {"limits are enforced", limits_are_enforced},
	    {"objects stored unchanged", objects_are_stored_unchanged},
	    {"VM list lags", vm_list_lags},
	    {"fault status", fault_status_matches_effect},
	};
	const store_kind_t *kind = *state;
	unsigned int i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		store_fixture_t *store = new_store_fixture(*kind);

		cases[i].run(store);
		drop_store_fixture(store);
		printf("  %-28s passed\n", cases[i].name);
	}
}

static store_kind_t memory_kind = STORE_MEMORY;
static store_kind_t http_kind = STORE_HTTP;

static void
memory_store_meets_the_contract(void **state)
{
	*state = &memory_kind;
	run_contract(state);
}

static void
http_store_meets_the_contract(void **state)
{
	*state = &http_kind;
	run_contract(state);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(memory_store_meets_the_contract),
	    cmocka_unit_test(http_store_meets_the_contract),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
