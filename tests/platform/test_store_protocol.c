#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "net_fixture.h"
#include "store_fixture.h"

/* Malformed requests to the store service, and responses to the HTTP store. */

typedef struct request_case {
	const char *method;
	const char *path;
	const char *body;
	int status;
} request_case_t;

static int
call_service(store_fixture_t *store, const request_case_t *test)
{
	msp_call_options_t options = {.address = TEST_ADDRESS,
	    .port = msp_http_server_port(store->server),
	    .timeout_ms = TEST_TIMEOUT_MS};
	msp_request_t request =
	    new_request(test->method, test->path, test->body);
	test_outcome_t outcome = {0};
	int status;

	msp_start_call(
	    store->client, &options, &request, store_outcome, &outcome);
	while (outcome.done_count == 0) {
		msp_step_memory_store(store->memory);
		msp_step_loop(store->loop, 1);
	}
	assert_int_equal(outcome.status, MSP_OK);
	status = outcome.http_status;
	drop_outcome(&outcome);
	return status;
}

#define ROW(key_) \
	"{\"table\":\"monsoonspindle\",\"part\":\"\",\"key\":\"" key_ "\""

static void
service_rejects_malformed_requests(void **state)
{
	static const request_case_t cases[] = {
	    {"POST", "/api/rows-tx", "", 400},
	    {"POST", "/api/rows-tx", "{", 400},
	    {"POST", "/api/rows-tx", "[]", 400},
	    {"POST", "/api/rows-tx", "{}", 400},
	    {"POST", "/api/rows-tx", "{} {}", 400},
	    {"POST", "/api/rows-tx",
		"{\"precondition\":[],\"writes\":5,\"remove\":[]}", 400},
	    {"POST", "/api/rows-tx", "{\"precondition\":[],\"writes\":[]}",
		400},
	    {"POST", "/api/rows-tx",
		"{\"precondition\":[" ROW("k") ",\"ver\":-1}],"
					       "\"writes\":[],\"remove\":[]}",
		400},
	    {"POST", "/api/rows-tx",
		"{\"precondition\":[" ROW("k") "}],"
					       "\"writes\":[],\"remove\":[]}",
		400},
	    {"POST", "/api/rows-tx",
		"{\"precondition\":[],\"writes\":[" ROW(
		    "k") ","
			 "\"value\":\"a\"}],\"remove\":[]}",
		400},
	    {"POST", "/api/rows-tx",
		"{\"precondition\":[],\"writes\":[" ROW(
		    "k\\u0000") ","
				"\"value\":\"\"}],\"remove\":[]}",
		400},
	    {"POST", "/api/rows-tx",
		"{\"precondition\":[],\"writes\":[" ROW(
		    "k") "}],\"remove\":[]}",
		400},
	    {"POST", "/api/rows-tx",
		"{\"precondition\":[],\"writes\":[],\"remove\":[5]}", 400},
	    {"POST", "/api/rows-tx",
		"{\"precondition\":[],\"writes\":[],\"remove\":["
		"{\"table\":\"monsoonspindle\",\"part\":\"p\","
		"\"key\":\"k\"}]}",
		400},
	    {"POST", "/api/rows-tx",
		"{\"precondition\":[],\"writes\":[" ROW(
		    "a b") ","
			   "\"value\":\"\"}],\"remove\":[]}",
		400},
	    {"POST", "/api/rows-tx",
		"{\"a\":[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]}", 400},
	    {"GET", "/api/rows-get", "", 400},
	    {"GET", "/api/rows-get?table=t&limit=x", "", 400},
	    {"GET", "/api/rows-get?table=", "", 400},
	    {"GET", "/api/rows-feed?table=t&after=-1", "", 400},
	    {"GET", "/api/rows-feed?table=t&after=0&waitMs=soon", "", 400},
	    {"GET", "/api/rows-feed?table=t&after=0", "", 200},
	    {"GET", "/api/rows-get?table=t&part=", "", 200},
	    {"GET", "/api/nothing", "", 404},
	    {"DELETE", "/api/rows-get", "", 404},
	    {"PUT", "/v1/vms", "{\"vms\":[{\"name\":\"x\"}]}", 400},
	    {"PUT", "/api/blob-put/", "x", 400},
	    {"GET", "/api/blob-get/a", "", 404},
	    {"POST", "/v1/control", "{\"dwon\":true}", 400},
	    {"POST", "/v1/control", "{\"down\":1}", 400},
	    {"POST", "/v1/control", "{\"lose_call_pct\":101}", 400},
	    {"POST", "/v1/control", "{\"down\":true,\"latency_ms\":\"\"}", 400},
	    {"POST", "/v1/control", "{\"writes_per_second\":300}", 200},
	};
	store_fixture_t *store = new_store_fixture(STORE_HTTP);
	unsigned int i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int status = call_service(store, &cases[i]);

		if (status != cases[i].status)
			printf("case %u: %s %s %s\n", i, cases[i].method,
			    cases[i].path, cases[i].body);
		assert_int_equal(status, cases[i].status);
	}
	assert_false(store->faults->down);
	assert_int_equal(store->faults->writes_per_second, 300);
	assert_int_equal(get_row(store, "k"), MSP_OK);
	assert_int_equal(store->reply.versions[0], 0);
	drop_store_fixture(store);
}

/* A response to every request, and the status that each call ends with. */
typedef struct canned_response {
	int http_status;
	const char *body;
	msp_status_t transact;
	msp_status_t get;
	msp_status_t scan;
	msp_status_t vms;
} canned_response_t;

static void
send_canned_response(void *ctx, msp_exchange_t *exchange)
{
	const canned_response_t *const *canned = ctx;
	msp_response_t response = {.status = (*canned)->http_status};

	msp_append_data(
	    &response.body, (*canned)->body, strlen((*canned)->body));
	msp_send_exchange_response(exchange, &response);
}

static void
ignore_disconnect(void *ctx, msp_exchange_t *exchange)
{
	(void)ctx;
	(void)exchange;
}

static void
malformed_responses_are_lost(void **state)
{
	static const canned_response_t cases[] = {
	    {200, "", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {200, "{", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {200, "{}", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {200, "{\"ver\":\"7\"}", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST,
		MSP_E_LOST},
	    {200, "{\"ver\":-7}", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST,
		MSP_E_LOST},
	    {200, "{\"ver\":7}", MSP_OK, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {200, "{\"rows\":[]}", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST,
		MSP_E_LOST},
	    {200, "{\"ver\":7,\"rows\":[]}", MSP_OK, MSP_OK, MSP_OK, MSP_OK},
	    {200,
		"{\"ver\":7,\"rows\":[{\"key\":\"x\",\"ver\":1,"
		"\"value\":\"\"}]}",
		MSP_OK, MSP_E_LOST, MSP_E_LOST, MSP_OK},
	    {200,
		"{\"ver\":7,\"rows\":[{\"key\":\"k\",\"ver\":1,"
		"\"value\":\"*\"}]}",
		MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {200, "{\"ver\":7,\"rows\":[{\"key\":\"k\",\"value\":\"\"}]}",
		MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {412, "{\"ver\":7,\"rows\":[]}", MSP_E_CONFLICT, MSP_OK, MSP_E_LOST,
		MSP_E_LOST},
	    {412, "{\"ver\":7}", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST,
		MSP_E_LOST},
	    {412,
		"{\"ver\":7,\"rows\":[{\"key\":\"x\",\"ver\":1,"
		"\"value\":\"\"}]}",
		MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {302, "", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {404, "", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {500, "", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {502, "", MSP_E_LOST, MSP_E_LOST, MSP_E_LOST, MSP_E_LOST},
	    {429, "", MSP_E_STORE_DOWN, MSP_E_STORE_DOWN, MSP_E_STORE_DOWN,
		MSP_E_STORE_DOWN},
	    {503, "", MSP_E_STORE_DOWN, MSP_E_STORE_DOWN, MSP_E_STORE_DOWN,
		MSP_E_STORE_DOWN},
	    {400, "", MSP_E_BAD_REQUEST, MSP_E_BAD_REQUEST, MSP_E_BAD_REQUEST,
		MSP_E_BAD_REQUEST},
	};
	store_fixture_t *store = new_store_fixture(STORE_HTTP);
	const canned_response_t *current = &cases[0];
	msp_http_server_options_t options = {.address = TEST_ADDRESS,
	    .handler = {.on_request = send_canned_response,
		.on_disconnect = ignore_disconnect,
		.ctx = &current}};
	msp_http_server_t *server = msp_new_http_server(store->loop, &options);
	unsigned int i;

	(void)state;
	assert_non_null(server);
	msp_drop_http_store(store->http_store);
	store->http_store = msp_new_http_store(store->loop, store->client,
	    TEST_ADDRESS, msp_http_server_port(server));
	store->store = msp_http_store(store->http_store);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		current = &cases[i];
		assert_int_equal(
		    put_row(store, "k", 0, "x", 1), cases[i].transact);
		assert_int_equal(get_row(store, "k"), cases[i].get);
		assert_int_equal(scan_rows(store, "k", "", 10), cases[i].scan);
		assert_int_equal(list_vms(store), cases[i].vms);
	}
	msp_drop_http_server(server);
	drop_store_fixture(store);
}

/* Without a listener nothing was sent, so nothing can have been applied. */
static void
refused_connection_is_store_down(void **state)
{
	store_fixture_t *store = new_store_fixture(STORE_HTTP);

	(void)state;
	msp_drop_http_server(store->server);
	store->server = NULL;
	assert_int_equal(put_row(store, "k", 0, "x", 1), MSP_E_STORE_DOWN);
	assert_int_equal(get_row(store, "k"), MSP_E_STORE_DOWN);
	drop_store_fixture(store);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(service_rejects_malformed_requests),
	    cmocka_unit_test(malformed_responses_are_lost),
	    cmocka_unit_test(refused_connection_is_store_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
