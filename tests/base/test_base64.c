#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base/base64.h"

#define LENGTH_MAX 300

/* Each length comes back as it was, also those that need no padding. */
static void
each_length_comes_back(void **state)
{
	char data[LENGTH_MAX];
	size_t len;
	size_t i;

	(void)state;
	for (i = 0; i < LENGTH_MAX; i++)
		data[i] = (char)(i * 7);
	for (len = 0; len < LENGTH_MAX; len++) {
		msp_buffer_t text = {0};
		msp_buffer_t back = {0};

		assert_int_equal(msp_encode_base64(&text, data, len), MSP_OK);
		assert_int_equal(text.len, (len + 2) / 3 * 4);
		assert_int_equal(
		    msp_decode_base64(&back, msp_buffer_text(&text), text.len),
		    MSP_OK);
		assert_int_equal(back.len, len);
		if (len > 0)
			assert_memory_equal(back.data, data, len);
		msp_drop_buffer(&text);
		msp_drop_buffer(&back);
	}
}

static const char *const malformed[] = {
    "A", "AB", "ABC", "A===", "====", "AB=C", "AB*=", "ABCD=", "AB C"};

static void
malformed_text_is_refused(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		msp_buffer_t back = {0};

		assert_int_equal(msp_decode_base64(
				     &back, malformed[i], strlen(malformed[i])),
		    MSP_E_SYNTAX);
		msp_drop_buffer(&back);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(each_length_comes_back),
	    cmocka_unit_test(malformed_text_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
