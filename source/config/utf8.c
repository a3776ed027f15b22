#include "utf8.h"

#include <stdint.h>

/* Smallest code point per sequence length; lower ones are overlong. */
static const uint32_t min_code_point[5] = {0, 0, 0x80, 0x800, 0x10000};

static size_t
sequence_length(unsigned char lead)
{
	if (lead < 0x80)
		return 1;
	if (lead >= 0xc0 && lead < 0xe0)
		return 2;
	if (lead >= 0xe0 && lead < 0xf0)
		return 3;
	if (lead >= 0xf0 && lead < 0xf8)
		return 4;
	return 0;
}

size_t
utf8_length(const char *text, size_t len)
{
	unsigned char lead = (unsigned char)text[0];
	size_t length = sequence_length(lead);
	uint32_t code_point;
	size_t i;

	if (length <= 1 || length > len)
		return length <= len ? length : 0;
	code_point = lead & (0x7fU >> length);
	for (i = 1; i < length; i++) {
		if (((unsigned char)text[i] & 0xc0) != 0x80)
			return 0;
		code_point = code_point << 6 | ((unsigned char)text[i] & 0x3f);
	}
	if (code_point < min_code_point[length] || code_point > 0x10ffff)
		return 0;
	if (code_point >= 0xd800 && code_point <= 0xdfff)
		return 0;
	return length;
}
