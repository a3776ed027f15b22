#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/base/base64.h"

#define LENGTH_MAX 300

/* Covers lengths that need 0, 1 and 2 bytes of padding. */
static void
decoding_reverses_encoding(void **state)
{
	char data[LENGTH_MAX];
	size_t len;
	size_t i;

	(void)state;
	for (i = 0; i < LENGTH_MAX; i++)
		data[i] = (char)(i * 7);
	for (len = 0; len < LENGTH_MAX; len++) {
		msp_buffer_t text = {0};
		msp_buffer_t decoded = {0};

		assert_int_equal(msp_encode_base64(&text, data, len), MSP_OK);
		assert_int_equal(text.len, (len + 2) / 3 * 4);
		assert_int_equal(msp_decode_base64(&decoded,
				     msp_buffer_text(&text), text.len),
		    MSP_OK);
		assert_int_equal(decoded.len, len);
		if (len > 0)
			assert_memory_equal(decoded.data, data, len);
		msp_drop_buffer(&text);
		msp_drop_buffer(&decoded);
	}
}

static const char *const malformed[] = {
    "A", "AB", "ABC", "A===", "====", "AB=C", "AB*=", "ABCD=", "AB C"};

static void
malformed_text_is_rejected(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		msp_buffer_t decoded = {0};

		assert_int_equal(msp_decode_base64(&decoded, malformed[i],
				     strlen(malformed[i])),
		    MSP_E_SYNTAX);
		msp_drop_buffer(&decoded);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(decoding_reverses_encoding),
	    cmocka_unit_test(malformed_text_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
