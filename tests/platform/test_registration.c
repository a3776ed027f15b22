#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "../../platform/registration.h"

/* A row with the given JSON values. */
#define ROW(                                                                 \
    service_, address_, zone_, version_, slots_, state_, cold_, seq_, born_) \
	"{\"service\":" service_ ",\"address\":" address_ ",\"zone\":" zone_ \
	",\"version\":" version_ ",\"slots\":" slots_ ",\"state\":" state_   \
	",\"coldRemainingMs\":" cold_ ",\"seq\":" seq_ ",\"born\":" born_ "}"
#define S "\"desk\""
#define A "\"10.0.0.9:8080\""
#define Z "\"north-a\""
#define V "\"v1\""
#define R "\"ready\""

typedef struct row_case {
	const char *text;
	bool valid;
} row_case_t;

static void
rejects_invalid_rows(void **state)
{
	static const row_case_t cases[] = {
	    {ROW(S, A, Z, V, "5", R, "0", "1", "1770930745274"), true},
	    {ROW(S, A, Z, V, "5", "\"draining\"", "0", "1", "1"), true},
	    {ROW(S, A, Z, V, "5", R, "2999", "1", "1"), true},
	    {"{\"more\":[{}],\"service\":\"desk\",\"address\":\"10.0.0.9:1\","
	     "\"zone\":\"z\",\"version\":\"v\",\"slots\":1,\"state\":\"ready\","
	     "\"coldRemainingMs\":0,\"seq\":0}",
		true},
	    {"", false},
	    {"{", false},
	    {"\xff\xfe", false},
	    {"[]", false},
	    {"{}", false},
	    {ROW("7", A, Z, V, "5", R, "0", "1", "1"), false},
	    {ROW(S, "7", Z, V, "5", R, "0", "1", "1"), false},
	    {ROW(S, "\"10.0.0.9\"", Z, V, "5", R, "0", "1", "1"), false},
	    {ROW(S, "\"10.0.0.9:0\"", Z, V, "5", R, "0", "1", "1"), false},
	    {ROW(S, "\"10.0.0.9:65536\"", Z, V, "5", R, "0", "1", "1"), false},
	    {ROW(S, "\"10.0.0.9:80x\"", Z, V, "5", R, "0", "1", "1"), false},
	    {ROW(S, "\"a.example:80\"", Z, V, "5", R, "0", "1", "1"), false},
	    {ROW(S, A, "null", V, "5", R, "0", "1", "1"), false},
	    {ROW(S, A, Z, "2", "5", R, "0", "1", "1"), false},
	    {ROW(S, A, Z, V, "\"5\"", R, "0", "1", "1"), false},
	    {ROW(S, A, Z, V, "0", R, "0", "1", "1"), false},
	    {ROW(S, A, Z, V, "-5", R, "0", "1", "1"), false},
	    {ROW(S, A, Z, V, "5.5", R, "0", "1", "1"), false},
	    {ROW(S, A, Z, V, "5", "\"asleep\"", "0", "1", "1"), false},
	    {ROW(S, A, Z, V, "5", "true", "0", "1", "1"), false},
	    {ROW(S, A, Z, V, "5", R, "\"0\"", "1", "1"), false},
	    {ROW(S, A, Z, V, "5", R, "-1", "1", "1"), false},
	    {ROW(S, A, Z, V, "5", R, "0", "\"1\"", "1"), false},
	    {ROW(S, A, Z, V, "5", R, "0", "1", "1.5"), false},
	    {ROW(S, A, Z, V, "5", R, "0", "1", "\"1\""), false},
	    {ROW(S, A, Z, V, "5", R, "0", "1", "null"), false},
	};
	msp_registration_t registration;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_status_t status = decode_registration(
		    "i-1", cases[i].text, strlen(cases[i].text), &registration);

		if ((status == MSP_OK) != cases[i].valid)
			fail_msg("case %zu: %s", i, cases[i].text);
	}
}

static void
decodes_all_fields(void **state)
{
	static const char text[] =
	    ROW(S, A, Z, V, "5", "\"draining\"", "2999", "17", "1770930745274");
	msp_registration_t registration;

	(void)state;
	assert_int_equal(
	    decode_registration("i-1", text, strlen(text), &registration),
	    MSP_OK);
	assert_string_equal(registration.id, "i-1");
	assert_string_equal(registration.service, "desk");
	assert_string_equal(registration.address, "10.0.0.9");
	assert_int_equal(registration.port, 8080);
	assert_string_equal(registration.place, "north-a");
	assert_int_equal(registration.slots, 5);
	assert_true(registration.draining);
	assert_int_equal(registration.cold_ms, 2999);
	assert_int_equal(registration.sequence, 17);
	assert_int_equal(registration.incarnation, 1770930745274);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(rejects_invalid_rows),
	    cmocka_unit_test(decodes_all_fields),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
