#include "monsoonspindle/base/decimal.h"

#include <stdlib.h>
#include <string.h>

#define DECIMAL_CHARACTERS "0123456789."

bool
msp_parse_decimal(const char *text, double *out)
{
	size_t len = strlen(text);
	double number;
	char *end;

	if (len == 0 || len > MSP_DECIMAL_LEN_MAX || text[0] == '.' ||
	    strspn(text, DECIMAL_CHARACTERS) != len)
		return false;
	number = strtod(text, &end);
	if (*end != '\0')
		return false;
	*out = number;
	return true;
}
