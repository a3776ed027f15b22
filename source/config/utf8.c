#include "utf8.h"

#include <stdint.h>

/* The least code point of a sequence of each length. */
static const uint32_t least[5] = {0, 0, 0x80, 0x800, 0x10000};

static size_t
announced_length(unsigned char lead)
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
	size_t need = announced_length(lead);
	uint32_t point;
	size_t i;

	if (need <= 1 || need > len)
		return need <= len ? need : 0;
	point = lead & (0x7fU >> need);
	for (i = 1; i < need; i++) {
		if (((unsigned char)text[i] & 0xc0) != 0x80)
			return 0;
		point = point << 6 | ((unsigned char)text[i] & 0x3f);
	}
	if (point < least[need] || point > 0x10ffff)
		return 0;
	if (point >= 0xd800 && point <= 0xdfff)
		return 0;
	return need;
}
