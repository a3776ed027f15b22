#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "../../platform/platform_api.h"
#include "../../platform/header_fields.h"

typedef struct caller_case {
	const char *deadline; /* Deadline-Ms; NULL: none */
	const char *cookie;
	uint32_t timeout_ms;
	bool has_object;
} caller_case_t;

static void
decodes_deadline_and_affinity_key(void **state)
{
	static const caller_case_t cases[] = {
	    {NULL, NULL, 0, false},
	    {"3000", "Affinity-Key=17", 3000, true},
	    {"3000.5", "a=b; Affinity-Key=17", 3000, true},
	    {"", "Affinity-Key=", 0, false},
	    {"-5", "Affinity-Keys=17", 0, false},
	    {"soon", "affinity-key=17", 0, false},
	    {"12x", "x=Affinity-Key=17", 0, false},
	    {"99999999999", "Affinity-Key=17;", 3600000, true},
	};
	caller_fields_t fields;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_request_t request = {.method = "GET", .path = "/"};

		msp_add_header(&request.headers, "request-id", "abc");
		if (cases[i].deadline != NULL)
			msp_add_header(
			    &request.headers, "deadline-ms", cases[i].deadline);
		if (cases[i].cookie != NULL)
			msp_add_header(
			    &request.headers, "cookie", cases[i].cookie);
		decode_caller_fields(&request, &fields);
		assert_string_equal(fields.id, "abc");
		assert_int_equal(fields.timeout_ms, cases[i].timeout_ms);
		assert_int_equal(fields.has_object, cases[i].has_object);
		msp_drop_request(&request);
	}
}

static void
hashes_affinity_keys(void **state)
{
	static const char *const cookies[] = {
	    "Affinity-Key=17", "x=1; Affinity-Key=17", "Affinity-Key=18"};
	caller_fields_t fields[3];
	size_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		msp_request_t request = {.method = "GET", .path = "/"};

		msp_add_header(&request.headers, "cookie", cookies[i]);
		decode_caller_fields(&request, &fields[i]);
		msp_drop_request(&request);
	}
	assert_true(fields[0].object_hash == fields[1].object_hash);
	assert_true(fields[0].object_hash != fields[2].object_hash);
}

typedef struct key_case {
	const char *fields[2]; /* Authorization */
	key_field_t expected;
	const char *key;
} key_case_t;

static void
decodes_api_keys(void **state)
{
	static char too_long[MSP_API_KEY_MAX + 9];
	static const key_case_t cases[] = {
	    {{NULL}, KEY_FIELD_MISSING, NULL},
	    {{"Bearer abc"}, KEY_FIELD_VALID, "abc"},
	    {{"bearer abc"}, KEY_FIELD_VALID, "abc"},
	    {{"BEARER  abc  "}, KEY_FIELD_VALID, "abc"},
	    {{"Bearer a~!\"=/+"}, KEY_FIELD_VALID, "a~!\"=/+"},
	    {{""}, KEY_FIELD_MALFORMED, NULL},
	    {{"Bearer"}, KEY_FIELD_MALFORMED, NULL},
	    {{"Bearer "}, KEY_FIELD_MALFORMED, NULL},
	    {{"Bearerabc"}, KEY_FIELD_MALFORMED, NULL},
	    {{"Bearer\tabc"}, KEY_FIELD_MALFORMED, NULL},
	    {{"Bearer a b"}, KEY_FIELD_MALFORMED, NULL},
	    {{"Bearer a\xc3\xa4"}, KEY_FIELD_MALFORMED, NULL},
	    {{"Basic abc"}, KEY_FIELD_MALFORMED, NULL},
	    {{"abc"}, KEY_FIELD_MALFORMED, NULL},
	    {{too_long}, KEY_FIELD_MALFORMED, NULL},
	    {{"Bearer abc", "Bearer abc"}, KEY_FIELD_REPEATED, NULL},
	    {{"Bearer abc", "Bearer xyz"}, KEY_FIELD_REPEATED, NULL},
	};
	caller_fields_t fields;
	size_t i;
	size_t j;

	(void)state;
	snprintf(
	    too_long, sizeof(too_long), "Bearer %0*d", MSP_API_KEY_MAX + 1, 0);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_request_t request = {.method = "GET", .path = "/"};

		for (j = 0; j < 2 && cases[i].fields[j] != NULL; j++)
			msp_add_header(&request.headers, "authorization",
			    cases[i].fields[j]);
		decode_caller_fields(&request, &fields);
		if (fields.key_field != cases[i].expected)
			fail_msg("case %zu: %d", i, fields.key_field);
		if (cases[i].key != NULL) {
			assert_int_equal(fields.key_len, strlen(cases[i].key));
			assert_memory_equal(
			    fields.key, cases[i].key, fields.key_len);
		}
		msp_drop_request(&request);
	}
}

typedef struct organisation_case {
	bool has_organisations;
	const char *organisation; /* of the caller; NULL: none */
	const char *key_seen; /* by the target; NULL: none */
	const char *name_seen;
} organisation_case_t;

/* The key stays here, and only this system names the organisation. */
static void
target_gets_the_organisation_and_no_key(void **state)
{
	static const organisation_case_t cases[] = {
	    {false, NULL, "Bearer abc", "forged"},
	    {true, "north", NULL, "north"},
	    {true, NULL, NULL, NULL},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_request_t request = {.method = "GET", .path = "/"};
		target_terms_t terms = {.target_id = "i-1",
		    .time_left_ms = 10,
		    .has_organisations = cases[i].has_organisations,
		    .organisation = cases[i].organisation};
		const char *key;
		const char *name;
		msp_request_t out;

		msp_add_header(&request.headers, "authorization", "Bearer abc");
		msp_add_header(&request.headers, "tenant", "forged");
		assert_int_equal(
		    encode_target_request(&request, &terms, &out), MSP_OK);
		key = msp_find_header(&out.headers, "Authorization");
		name = msp_find_header(&out.headers, "Tenant");
		assert_int_equal(key == NULL, cases[i].key_seen == NULL);
		assert_int_equal(name == NULL, cases[i].name_seen == NULL);
		if (key != NULL)
			assert_string_equal(key, cases[i].key_seen);
		if (name != NULL)
			assert_string_equal(name, cases[i].name_seen);
		strip_organisation_fields(&request.headers);
		assert_int_equal(request.headers.count, 0);
		msp_drop_request(&out);
		msp_drop_request(&request);
	}
}

static void
target_request_has_time_left_and_target_id(void **state)
{
	target_terms_t terms = {.target_id = "i-1", .time_left_ms = 1234};

	msp_request_t request = {
	    .method = "POST", .path = "/x/1?q=2", .host = "a.example"};
	msp_request_t out;

	(void)state;
	msp_add_header(&request.headers, "Request-Id", "abc");
	msp_add_header(&request.headers, "Deadline-Ms", "3000");
	msp_add_header(&request.headers, "Target-Instance", "forged");
	msp_add_header(&request.headers, "cookie", "Affinity-Key=17");
	msp_append_data(&request.body, "body", 4);
	assert_int_equal(encode_target_request(&request, &terms, &out), MSP_OK);
	assert_string_equal(out.method, "POST");
	assert_string_equal(out.path, "/x/1?q=2");
	assert_string_equal(out.host, "a.example");
	assert_string_equal(
	    msp_find_header(&out.headers, "Deadline-Ms"), "1234");
	assert_string_equal(
	    msp_find_header(&out.headers, "Target-Instance"), "i-1");
	assert_string_equal(msp_find_header(&out.headers, "Request-Id"), "abc");
	assert_string_equal(
	    msp_find_header(&out.headers, "cookie"), "Affinity-Key=17");
	assert_int_equal(out.headers.count, 4);
	assert_int_equal(out.body.len, 4);
	msp_drop_request(&out);
	msp_drop_request(&request);
}

typedef struct response_case {
	int status;
	const char *names[4];
	const char *values[4];
	bool not_run;
	bool has_signature;
	bool id_matches;
	bool wrong_target;
	bool has_load;
	bool unconfirmed_refusal;
	const char *other_id; /* NULL: none */
} response_case_t;

static void
classifies_target_responses(void **state)
{
	static const response_case_t cases[] = {
	    {200, {"request-id", "response-signature", "server-load"},
		{"abc", "s", "3,0,8"}, false, true, true, false, true, false,
		NULL},
	    {200, {"request-id", "response-signature"}, {"abd", "s"}, false,
		true, false, false, false, false, "abd"},
	    {503, {"request-id", "not-executed"}, {"ab", "1"}, true, false,
		false, false, false, false, "ab"},
	    {200, {"request-id"}, {"abc"}, false, false, true, false, false,
		false, NULL},
	    {503, {"request-id", "not-executed"}, {"abc", "1"}, true, false,
		true, false, false, false, NULL},
	    {503, {"request-id"}, {"abc"}, false, false, true, false, false,
		true, NULL},
	    {429, {"request-id"}, {"abc"}, false, false, true, false, false,
		true, NULL},
	    {408, {"request-id"}, {"abc"}, false, false, true, false, false,
		true, NULL},
	    {429, {"request-id", "not-executed"}, {"abc", "1"}, true, false,
		true, false, false, false, NULL},
	    {500, {"request-id"}, {"abc"}, false, false, true, false, false,
		false, NULL},
	    /* "Not executed" that contradicts the rest of the response. */
	    {200, {"request-id", "response-signature", "not-executed"},
		{"abc", "s", "1"}, false, true, true, false, false, true, NULL},
	    /* A negation claims nothing. */
	    {200, {"request-id", "response-signature", "not-executed"},
		{"abc", "s", "0"}, false, true, true, false, false, false,
		NULL},
	    {500, {"request-id", "response-signature", "not-executed"},
		{"abc", "s", "0"}, false, true, true, false, false, false,
		NULL},
	    {302, {"request-id", "not-executed"}, {"abc", "1"}, false, false,
		true, false, false, true, NULL},
	    {500, {"request-id", "not-executed"}, {"abc", "1"}, false, false,
		true, false, false, true, NULL},
	    {504, {"request-id", "not-executed"}, {"abc", "1"}, false, false,
		true, false, false, true, NULL},
	    {503, {"request-id", "not-executed"}, {"abc", "0"}, false, false,
		true, false, false, true, NULL},
	    {503, {"request-id", "not-executed"}, {"abc", ""}, false, false,
		true, false, false, true, NULL},
	    {503, {"request-id", "not-executed"}, {"abc", "No"}, false, false,
		true, false, false, true, NULL},
	    /* Any value but a negation states it. */
	    {503, {"request-id", "not-executed"}, {"abc", "true"}, true, false,
		true, false, false, false, NULL},
	    /* Signed: the target has executed the request. */
	    {503, {"request-id", "response-signature", "not-executed"},
		{"abc", "s", "1"}, false, true, true, false, false, true, NULL},
	    {421, {"request-id", "response-signature", "instance-id"},
		{"abc", "s", "i-2"}, false, true, true, true, false, true,
		NULL},
	    {421, {"request-id", "not-executed"}, {"abc", "0"}, false, false,
		true, true, false, true, NULL},
	    {503, {"request-id", "not-executed", "not-executed"},
		{"abc", "1", "0"}, false, false, true, false, false, true,
		NULL},
	    {400, {"request-id", "not-executed"}, {"abc", "1"}, true, false,
		true, false, false, false, NULL},
	    {503, {"request-id", "request-id", "not-executed"},
		{"abc", "abd", "1"}, true, false, false, false, false, false,
		"abc"},
	    {421, {"instance-id"}, {"i-2"}, true, false, false, true, false,
		false, NULL},
	    {200, {"request-id", "instance-id"}, {"abc", "i-1"}, false, false,
		true, false, false, false, NULL},
	    {200, {"server-load"}, {"3,0"}, false, false, false, false, false,
		false, NULL},
	    {200, {"server-load"}, {"many"}, false, false, false, false, false,
		false, NULL},
	};
	const sent_request_t request = {.caller_id = "abc", .target_id = "i-1"};
	target_fields_t fields;
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const response_case_t *c = &cases[i];
		msp_response_t response = {.status = c->status};

		for (k = 0; k < 4 && c->names[k] != NULL; k++)
			msp_add_header(
			    &response.headers, c->names[k], c->values[k]);
		decode_target_fields(&response, &request, &fields);
		assert_int_equal(fields.not_run, c->not_run);
		assert_int_equal(fields.has_signature, c->has_signature);
		assert_int_equal(fields.id_matches, c->id_matches);
		assert_int_equal(fields.wrong_target, c->wrong_target);
		assert_int_equal(fields.has_load, c->has_load);
		assert_int_equal(
		    fields.unconfirmed_refusal, c->unconfirmed_refusal);
		assert_string_equal(
		    fields.other_id, c->other_id == NULL ? "" : c->other_id);
		msp_drop_response(&response);
	}
}

/* Guards against a response of another request that is taken for this one's. */
static void
response_without_id_is_own_only_on_a_new_connection(void **state)
{
	static const struct {
		const char *id; /* NULL: none */
		bool first_on_connection;
		bool is_own;
	} cases[] = {
	    {"abc", true, true},
	    {"abc", false, true},
	    {"abd", true, false},
	    {"abd", false, false},
	    {"", true, false},
	    {NULL, true, true},
	    {NULL, false, false},
	};
	target_fields_t fields;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		sent_request_t request = {.caller_id = "abc",
		    .target_id = "i-1",
		    .first_on_connection = cases[i].first_on_connection};
		msp_response_t response = {.status = 503};

		if (cases[i].id != NULL)
			msp_add_header(
			    &response.headers, "request-id", cases[i].id);
		decode_target_fields(&response, &request, &fields);
		assert_int_equal(fields.is_own, cases[i].is_own);
		msp_drop_response(&response);
	}
}

/*
 * What cannot be read must neither name a limit nor lift one. Guards against
 * values that a number parser accepts, such as "inf", "0x10" and "1e9".
 */
static void
reads_only_decimal_limits(void **state)
{
	static const struct {
		const char *values[2]; /* NULL: missing */
		limit_field_t field;
		double per_second;
	} cases[] = {
	    {{NULL, NULL}, LIMIT_FIELD_MISSING, 0},
	    {{"13", NULL}, LIMIT_FIELD_VALID, 13},
	    {{"12.5", NULL}, LIMIT_FIELD_VALID, 12.5},
	    {{"0.25", NULL}, LIMIT_FIELD_VALID, 0.25},
	    {{"0", NULL}, LIMIT_FIELD_VALID, 0},
	    {{"7.", NULL}, LIMIT_FIELD_VALID, 7},
	    {{"5000", NULL}, LIMIT_FIELD_VALID, 5000},
	    {{"99999999999999999999999999999999", NULL}, LIMIT_FIELD_VALID,
		1e9},
	    {{"13", "13"}, LIMIT_FIELD_VALID, 13},
	    {{"13", "14"}, LIMIT_FIELD_MALFORMED, 0},
	    {{"", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"-3", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"+3", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{".5", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"1.2.3", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"1e9", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"0x10", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"inf", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"nan", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"13/s", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"13, 14", NULL}, LIMIT_FIELD_MALFORMED, 0},
	    {{"111111111111111111111111111111111", NULL}, LIMIT_FIELD_MALFORMED,
		0},
	};
	const sent_request_t request = {.caller_id = "abc", .target_id = "i-1"};
	target_fields_t fields;
	health_fields_t health;
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_response_t response = {.status = 200};

		for (k = 0; k < 2 && cases[i].values[k] != NULL; k++)
			msp_add_header(&response.headers, "server-limit",
			    cases[i].values[k]);
		decode_target_fields(&response, &request, &fields);
		decode_health_fields(&response, "i-1", &health);
		assert_int_equal(fields.limit_field, cases[i].field);
		assert_int_equal(health.limit_field, cases[i].field);
		if (cases[i].field == LIMIT_FIELD_VALID)
			assert_float_equal(
			    fields.limit_per_second, cases[i].per_second, 1e-9);
		msp_drop_response(&response);
	}
}

/*
 * Guards against a target that gets requests all through a pause that it asked
 * for, and against nonsense that is taken for a pause.
 */
static void
reads_pauses_of_refusals_only(void **state)
{
	static const struct {
		int http_status;
		const char *values[3];
		msp_retry_after_form_t form;
		uint32_t ms;
	} cases[] = {
	    {503, {NULL}, MSP_RETRY_AFTER_MISSING, 0},
	    {503, {"3"}, MSP_RETRY_AFTER_VALID, 3000},
	    {503, {"0.25"}, MSP_RETRY_AFTER_VALID, 250},
	    {503, {"0.0001"}, MSP_RETRY_AFTER_VALID, 1},
	    {503, {"0"}, MSP_RETRY_AFTER_VALID, 0},
	    {503, {"3600"}, MSP_RETRY_AFTER_VALID, 3600000},
	    {503, {"3601"}, MSP_RETRY_AFTER_CUT, 3600000},
	    {503, {"31536000"}, MSP_RETRY_AFTER_CUT, 3600000},
	    {503, {""}, MSP_RETRY_AFTER_MALFORMED, 0},
	    {503, {"-3"}, MSP_RETRY_AFTER_MALFORMED, 0},
	    {503, {"1e3"}, MSP_RETRY_AFTER_MALFORMED, 0},
	    {503, {"nan"}, MSP_RETRY_AFTER_MALFORMED, 0},
	    {503, {"3 s"}, MSP_RETRY_AFTER_MALFORMED, 0},
	    {503, {"Sun, 06 Nov 1994 08:49:37 GMT"}, MSP_RETRY_AFTER_MALFORMED,
		0},
	    {503, {"2", "3"}, MSP_RETRY_AFTER_VALID, 3000},
	    {503, {"3", "2"}, MSP_RETRY_AFTER_VALID, 3000},
	    {503, {"soon", "2"}, MSP_RETRY_AFTER_VALID, 2000},
	    {503, {"2", "soon"}, MSP_RETRY_AFTER_VALID, 2000},
	    {503, {"4000", "2"}, MSP_RETRY_AFTER_CUT, 3600000},
	    {200, {"3"}, MSP_RETRY_AFTER_MISSING, 0},
	    {429, {"3"}, MSP_RETRY_AFTER_MISSING, 0},
	    {500, {"3"}, MSP_RETRY_AFTER_MISSING, 0},
	};
	const sent_request_t sent = {.caller_id = "a", .target_id = "i-1"};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_response_t response = {.status = cases[i].http_status};
		target_fields_t fields;
		health_fields_t health;

		for (k = 0; cases[i].values[k] != NULL; k++)
			msp_add_header(&response.headers, "retry-after",
			    cases[i].values[k]);
		decode_target_fields(&response, &sent, &fields);
		decode_health_fields(&response, "i-1", &health);
		assert_int_equal(fields.pause.form, cases[i].form);
		assert_int_equal(fields.pause.ms, cases[i].ms);
		assert_int_equal(health.pause.form, cases[i].form);
		assert_int_equal(health.pause.ms, cases[i].ms);
		msp_drop_response(&response);
	}
}

/*
 * Guards against a target that says in its responses that it leaves, and gets
 * requests until its row says so too.
 */
static void
reads_whether_a_target_leaves(void **state)
{
	static const struct {
		const char *values[2];
		bool leaving;
	} cases[] = {
	    {{NULL, NULL}, false},
	    {{"1", NULL}, true},
	    {{"true", NULL}, true},
	    {{"1", "1"}, true},
	    {{"0", NULL}, false},
	    {{"", NULL}, false},
	    {{"1", "0"}, false},
	};
	const sent_request_t sent = {.caller_id = "a", .target_id = "i-1"};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_response_t response = {.status = 200};
		target_fields_t fields;
		health_fields_t health;

		for (k = 0; k < 2 && cases[i].values[k] != NULL; k++)
			msp_add_header(&response.headers, "server-leaving",
			    cases[i].values[k]);
		decode_target_fields(&response, &sent, &fields);
		decode_health_fields(&response, "i-1", &health);
		assert_int_equal(fields.leaving, cases[i].leaving);
		assert_int_equal(health.leaving, cases[i].leaving);
		strip_target_fields(&response);
		assert_int_equal(response.headers.count, 0);
		msp_drop_response(&response);
	}
}

static void
strips_fields_meant_for_the_vm(void **state)
{
	msp_response_t response = {.status = 200};

	(void)state;
	msp_add_header(&response.headers, "server-load", "1,2,3");
	msp_add_header(&response.headers, "response-signature", "s");
	msp_add_header(&response.headers, "cold-ms", "5");
	strip_target_fields(&response);
	assert_int_equal(response.headers.count, 1);
	assert_non_null(
	    msp_find_header(&response.headers, "response-signature"));
	msp_drop_response(&response);
}

static void
local_replies_have_retry_after(void **state)
{
	msp_response_t response = {0};

	(void)state;
	encode_local_reply(&response, 503, "abc", 250, "overload");
	assert_int_equal(response.status, 503);
	assert_string_equal(
	    msp_find_header(&response.headers, "Retry-After"), "0.250");
	assert_string_equal(
	    msp_find_header(&response.headers, "Request-Id"), "abc");
	assert_null(msp_find_header(&response.headers, "Response-Signature"));
	msp_drop_response(&response);
	response = (msp_response_t){0};
	encode_local_reply(&response, 502, "", 0, NULL);
	assert_int_equal(response.headers.count, 0);
	msp_drop_response(&response);
}

typedef struct query_case {
	const char *method;
	const char *path;
	msp_status_t status;
	const char *place;
} query_case_t;

static void
decodes_directory_queries(void **state)
{
	static const query_case_t cases[] = {
	    {"GET", "/api/resolve?name=a.example&region=north&zone=north-a",
		MSP_OK, "north-a"},
	    {"GET", "/api/resolve?name=a.example", MSP_OK, ""},
	    {"GET", "/api/resolve", MSP_OK, ""},
	    {"POST", "/api/resolve", MSP_E_NOT_FOUND, ""},
	    {"GET", "/api/resolver", MSP_E_NOT_FOUND, ""},
	    {"GET", "/api/resolve?zone=%", MSP_E_BAD_REQUEST, ""},
	};
	directory_query_t query;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_request_t request = {0};

		strcpy(request.method, cases[i].method);
		strcpy(request.path, cases[i].path);
		assert_int_equal(
		    decode_directory_query(&request, &query), cases[i].status);
		if (cases[i].status == MSP_OK)
			assert_string_equal(query.place, cases[i].place);
	}
}

static void
encodes_directory_responses(void **state)
{
	static const directory_entry_t entries[] = {
	    {"10.1.0.35", 8144}, {"10.1.0.36", 8144}};
	msp_response_t response = {0};

	(void)state;
	assert_int_equal(
	    encode_directory_response(entries, 2, 2000, &response), MSP_OK);
	assert_string_equal(msp_buffer_text(&response.body),
	    "{\"addresses\":[\"10.1.0.35:8144\",\"10.1.0.36:8144\"],"
	    "\"ttlS\":2}");
	msp_drop_response(&response);
}

typedef struct row_case {
	const char *key;
	operator_row_kind_t kind;
	const char *place;
} row_case_t;

static void
classifies_operator_rows(void **state)
{
	static const row_case_t cases[] = {
	    {"config", OPERATOR_ROW_MANIFEST, NULL},
	    {"config2", OPERATOR_ROW_OTHER, NULL},
	    {"evacuate/north-a", OPERATOR_ROW_EVACUATION, "north-a"},
	    {"evacuate/", OPERATOR_ROW_OTHER, NULL},
	    {"evacuate", OPERATOR_ROW_OTHER, NULL},
	    {"", OPERATOR_ROW_OTHER, NULL},
	};
	const char *place;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		place = NULL;
		assert_int_equal(
		    classify_operator_row(cases[i].key, &place), cases[i].kind);
		if (cases[i].place != NULL)
			assert_string_equal(place, cases[i].place);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(decodes_deadline_and_affinity_key),
	    cmocka_unit_test(hashes_affinity_keys),
	    cmocka_unit_test(decodes_api_keys),
	    cmocka_unit_test(target_gets_the_organisation_and_no_key),
	    cmocka_unit_test(target_request_has_time_left_and_target_id),
	    cmocka_unit_test(classifies_target_responses),
	    cmocka_unit_test(
		response_without_id_is_own_only_on_a_new_connection),
	    cmocka_unit_test(reads_only_decimal_limits),
	    cmocka_unit_test(reads_pauses_of_refusals_only),
	    cmocka_unit_test(reads_whether_a_target_leaves),
	    cmocka_unit_test(strips_fields_meant_for_the_vm),
	    cmocka_unit_test(local_replies_have_retry_after),
	    cmocka_unit_test(decodes_directory_queries),
	    cmocka_unit_test(encodes_directory_responses),
	    cmocka_unit_test(classifies_operator_rows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
