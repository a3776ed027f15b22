#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "../../platform/manifest.h"
#include "monsoonspindle/base.h"
#include "monsoonspindle/config.h"

#define FUZZ_SEEDS 5000

#define SERVICES "\"services\":[{\"name\":\"desk\"},{\"name\":\"vault\"}]"
#define ROUTE_HEAD                                            \
	"{\"name\":\"r\",\"host\":\"A.example\",\"prefix\":"  \
	"\"/x/\",\"kind\":\"idempotent\",\"timeoutMs\":2000," \
	"\"targetLatencyMs\":500"
#define ROUTE ROUTE_HEAD ",\"service\":\"desk\"}"
#define DOCUMENT(version_, routes_) \
	"{\"version\":" version_ ",\"routes\":[" routes_ "]," SERVICES "}"

typedef struct invalid_case {
	const char *text;
	const char *message; /* a part of the expected message */
} invalid_case_t;

static void
assert_rejected(const invalid_case_t *cases, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		assert_null(
		    decode_manifest(cases[i].text, strlen(cases[i].text)));
		if (strstr(msp_last_message(), cases[i].message) == NULL)
			fail_msg("case %zu: %s", i, msp_last_message());
	}
}

static void
rejects_invalid_documents(void **state)
{
	static const invalid_case_t cases[] = {
	    {"", "not one JSON object"},
	    {"{\"version\":\"r1\"", "not one JSON object"},
	    {"[]", "not one JSON object"},
	    {"{}", "\"version\""},
	    {DOCUMENT("7", ROUTE), "\"version\""},
	    {DOCUMENT("\"7\"", ROUTE), "version"},
	    {DOCUMENT("\"r\"", ROUTE), "version"},
	    {DOCUMENT("\"r7x\"", ROUTE), "version"},
	    {DOCUMENT("\"r-7\"", ROUTE), "version"},
	    {"{\"version\":\"r7\"," SERVICES "}", "\"routes\""},
	    {"{\"version\":\"r7\",\"routes\":[]}", "\"services\""},
	    {DOCUMENT("\"r7\"", "5"), "\"name\""},
	    {DOCUMENT("\"r7\"", ROUTE_HEAD "}"), "\"service\""},
	    {DOCUMENT("\"r7\"", ROUTE_HEAD ",\"service\":\"none\"}"),
		"no service \"none\""},
	    {DOCUMENT("\"r7\"",
		 ROUTE_HEAD ",\"backends\":[{\"service\":"
			    "\"desk\",\"weight\":0}]}"),
		"weight"},
	    {DOCUMENT("\"r7\"",
		 ROUTE_HEAD ",\"backends\":[{\"service\":"
			    "\"desk\",\"weight\":-1}]}"),
		"\"weight\""},
	    {DOCUMENT("\"r7\"", ROUTE "," ROUTE), "same prefix"},
	    {DOCUMENT("\"r7\"",
		 ROUTE_HEAD ",\"service\":\"desk\","
			    "\"homeRegions\":[7]}"),
		"homeRegions: not a region name"},
	    /* It was read as no list, which allows any region. */
	    {DOCUMENT("\"r7\"",
		 ROUTE_HEAD ",\"service\":\"desk\","
			    "\"homeRegions\":\"north\"}"),
		"homeRegions: not a list"},
	    {DOCUMENT("\"r7\"",
		 ROUTE_HEAD ",\"service\":\"desk\","
			    "\"homeRegions\":{\"0\":\"north\"}}"),
		"homeRegions: not a list"},
	};

	(void)state;
	assert_rejected(cases, sizeof(cases) / sizeof(*cases));
}

static void
decodes_all_fields(void **state)
{
	static const char text[] =
	    "{\"version\":\"r12\",\"new\":{},\"routes\":[{\"name\":\"a\","
	    "\"host\":\"A.Example\",\"prefix\":\"/x/\",\"kind\":"
	    "\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":300,"
	    "\"priority\":1,\"backends\":[{\"service\":\"desk\",\"weight\":90},"
	    "{\"service\":\"vault\",\"weight\":10}],\"maxAttempts\":2,"
	    "\"stickySessions\":true,\"homeRegions\":[\"north\"],\"more\":1},"
	    "{\"name\":\"b\",\"host\":\"a.example\",\"prefix\":\"/y/\","
	    "\"kind\":\"something else\",\"timeoutMs\":1,"
	    "\"targetLatencyMs\":1,\"service\":\"vault\"}],\"services\":["
	    "{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":815,"
	    "\"coldStartS\":3.0,\"coldPerS\":3.4},{\"name\":\"vault\"}]}";
	msp_route_table_t *table = decode_manifest(text, strlen(text));
	const msp_path_route_t *route;
	const msp_service_config_t *config;

	(void)state;
	assert_non_null(table);
	assert_int_equal(table->version, 12);
	route = msp_match_path_route(table, "a.example", "/x/1");
	assert_non_null(route);
	assert_false(route->idempotent);
	assert_true(route->sticky);
	assert_int_equal(route->timeout_ms, 1500);
	assert_int_equal(route->goal_ms, 300);
	assert_int_equal(route->priority, 1);
	assert_int_equal(route->max_attempts, 2);
	assert_int_equal(route->service_count, 2);
	assert_int_equal(route->services[0].weight, 90);
	assert_string_equal(route->services[1].service, "vault");
	assert_false(
	    msp_homes_allow(&(msp_homes_t){.route = &route->homes}, "south"));
	route = msp_match_path_route(table, "a.example", "/y/");
	assert_non_null(route);
	assert_false(route->idempotent);
	assert_int_equal(route->max_attempts, 1);
	config = msp_find_service_config(table, "desk");
	assert_non_null(config);
	assert_string_equal(config->health_path, "/health");
	assert_int_equal(config->max_connections, 815);
	assert_int_equal(config->cold_ms, 3000);
	assert_true(config->cold_requests_per_s > 3.39 &&
	    config->cold_requests_per_s < 3.41);
	msp_drop_route_table(table);
}

#define ORGANISATIONS(text_)                                   \
	"{\"version\":\"r7\",\"routes\":[" ROUTE "]," SERVICES \
	",\"tenants\":" text_ "}"

static void
decodes_organisations(void **state)
{
	static const char text[] =
	    ORGANISATIONS("[{\"name\":\"north\",\"apiKeys\":[\"k1\",\"k2\"],"
			  "\"priority\":1,\"ratePerS\":12.5,\"burst\":30,"
			  "\"homeRegions\":[\"n\"]},{\"name\":\"south\","
			  "\"apiKeys\":[]}]");
	msp_route_table_t *table = decode_manifest(text, strlen(text));
	const msp_organisation_t *found;

	(void)state;
	assert_non_null(table);
	assert_non_null(table->organisations);
	found = msp_find_key_holder(table->organisations, "k2", 2);
	assert_string_equal(found->name, "north");
	assert_true(found->has_priority);
	assert_int_equal(found->priority, 1);
	assert_true(found->limit.per_second == 12.5);
	assert_true(found->limit.burst == 30);
	assert_string_equal(found->homes.names[0].name, "n");
	found = msp_find_organisation(table->organisations, "south");
	assert_false(found->has_priority);
	assert_true(found->limit.per_second == 0);
	assert_int_equal(found->homes.count, 0);
	msp_drop_route_table(table);
}

static void
only_a_list_switches_organisations_on(void **state)
{
	static const char without[] = DOCUMENT("\"r7\"", ROUTE);
	static const char none[] = ORGANISATIONS("[]");
	msp_route_table_t *table = decode_manifest(without, strlen(without));

	(void)state;
	assert_null(table->organisations);
	msp_drop_route_table(table);
	table = decode_manifest(none, strlen(none));
	assert_non_null(table->organisations);
	assert_null(msp_find_key_holder(table->organisations, "k", 1));
	msp_drop_route_table(table);
}

static void
rejects_invalid_organisations(void **state)
{
	static const invalid_case_t cases[] = {
	    {ORGANISATIONS("7"), "\"tenants\""},
	    {ORGANISATIONS("[7]"), "\"name\""},
	    {ORGANISATIONS("[{\"name\":\"a\"}]"), "\"apiKeys\""},
	    {ORGANISATIONS("[{\"name\":\"a\",\"apiKeys\":[7]}]"), "apiKeys"},
	    {ORGANISATIONS("[{\"name\":\"a\",\"apiKeys\":[\"\"]}]"),
		"a key of 0 bytes"},
	    /* Each would lift the limit. */
	    {ORGANISATIONS("[{\"name\":\"a\",\"apiKeys\":[],"
			   "\"ratePerS\":\"5\"}]"),
		"\"ratePerS\""},
	    {ORGANISATIONS("[{\"name\":\"a\",\"apiKeys\":[],"
			   "\"ratePerS\":-1}]"),
		"\"ratePerS\""},
	    {ORGANISATIONS("[{\"name\":\"a\",\"apiKeys\":[],"
			   "\"homeRegions\":\"n\"}]"),
		"homeRegions"},
	    {ORGANISATIONS("[{\"name\":\"a\",\"apiKeys\":[\"k\"]},"
			   "{\"name\":\"b\",\"apiKeys\":[\"k\"]}]"),
		"same key"},
	    {ORGANISATIONS("[{\"name\":\"a\",\"apiKeys\":[]},"
			   "{\"name\":\"a\",\"apiKeys\":[]}]"),
		"two organisations"},
	};

	(void)state;
	assert_rejected(cases, sizeof(cases) / sizeof(*cases));
}

static void
kinds_say_what_may_be_repeated(void **state)
{
	static const struct {
		const char *kind;
		bool idempotent;
	} cases[] = {
	    {"idempotent", true},
	    {"download", true},
	    {"non_idempotent", false},
	    {"Download", false},
	    {"", false},
	    {"stream", false},
	};
	char text[1024];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_route_table_t *table;

		snprintf(text, sizeof(text),
		    "{\"version\":\"r7\",\"routes\":[{\"name\":\"r\","
		    "\"host\":\"a\",\"prefix\":\"/\",\"kind\":\"%s\","
		    "\"timeoutMs\":1,\"targetLatencyMs\":1,"
		    "\"service\":\"desk\"}]," SERVICES "}",
		    cases[i].kind);
		table = decode_manifest(text, strlen(text));
		assert_non_null(table);
		assert_int_equal(
		    table->routes[0].idempotent, cases[i].idempotent);
		assert_false(table->routes[0].is_public);
		msp_drop_route_table(table);
	}
}

static void
count_unreadable(void *ctx, const char *path, const char *message)
{
	assert_non_null(path);
	assert_non_null(message);
	(*(unsigned int *)ctx)++;
}

static void
ignore_finding(void *ctx, const msp_finding_t *finding)
{
	(void)ctx;
	assert_non_null(finding->text);
}

/*
 * Documents with bytes that are changed, cut or doubled, by seed: whatever the
 * decoder takes, the check of its parts finds readable, and none does harm.
 */
static void
broken_documents_do_no_harm(void **state)
{
	static const char valid[] = ORGANISATIONS(
	    "[{\"name\":\"north\",\"apiKeys\":[\"k1\",\"k2\"],"
	    "\"ratePerS\":12.5,\"burst\":30,\"homeRegions\":[\"n\"]}]");
	const msp_finding_callback_t ignore = {.report = ignore_finding};
	char text[2 * sizeof(valid)];
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= FUZZ_SEEDS; seed++) {
		msp_rng_t rng = {.state = seed};
		size_t len = sizeof(valid) - 1;
		unsigned int unreadable = 0;
		manifest_error_callback_t callback = {
		    .report = count_unreadable, .ctx = &unreadable};
		msp_route_table_t *table;
		msp_route_table_t *parts;
		unsigned int i;

		memcpy(text, valid, sizeof(valid));
		for (i = 0; i < 1 + seed % 3; i++)
			text[msp_next_random(&rng) % len] =
			    (char)msp_next_random(&rng);
		if (seed % 5 == 0)
			len = msp_next_random(&rng) % len;
		table = decode_manifest(text, len);
		parts = decode_manifest_parts(text, len, &callback);
		if (table != NULL)
			assert_int_equal(unreadable, 0);
		if (parts != NULL) {
			msp_check_route_table(
			    parts, &(msp_check_options_t){0}, &ignore);
			msp_compare_route_tables(parts, parts, &ignore);
		}
		msp_drop_route_table(table);
		msp_drop_route_table(parts);
	}
}

/* The operator may add this many routes in one change. */
static void
decodes_hundreds_of_routes(void **state)
{
	msp_buffer_t text = {0};
	msp_route_table_t *table;
	unsigned int i;

	(void)state;
	msp_append_printf(
	    &text, "{\"version\":\"r9\"," SERVICES ",\"routes\":[");
	for (i = 0; i < 600; i++)
		msp_append_printf(&text,
		    "%s{\"name\":\"r%u\",\"host\":\"h%u\",\"prefix\":\"/p%u/\","
		    "\"kind\":\"idempotent\",\"timeoutMs\":9,"
		    "\"targetLatencyMs\":9,\"service\":\"desk\"}",
		    i == 0 ? "" : ",", i, i % 7, i);
	msp_append_printf(&text, "]}");
	table = decode_manifest(text.data, text.len);
	assert_non_null(table);
	assert_int_equal(table->route_count, 600);
	assert_string_equal(
	    msp_match_path_route(table, "h4", "/p599/x")->name, "r599");
	msp_drop_route_table(table);
	msp_drop_buffer(&text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(rejects_invalid_documents),
	    cmocka_unit_test(decodes_all_fields),
	    cmocka_unit_test(decodes_organisations),
	    cmocka_unit_test(only_a_list_switches_organisations_on),
	    cmocka_unit_test(rejects_invalid_organisations),
	    cmocka_unit_test(kinds_say_what_may_be_repeated),
	    cmocka_unit_test(broken_documents_do_no_harm),
	    cmocka_unit_test(decodes_hundreds_of_routes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
