#include "monsoonspindle/net/query.h"

#include <ctype.h>
#include <string.h>

static int
hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static msp_status_t
decode_percent(const char *text, size_t len, char *out, size_t size)
{
	size_t used = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		char c = text[i];

		if (c == '%') {
			int high = i + 2 < len ? hex_digit(text[i + 1]) : -1;
			int low = i + 2 < len ? hex_digit(text[i + 2]) : -1;

			if (high < 0 || low < 0 || (high == 0 && low == 0))
				return MSP_E_BAD_REQUEST;
			c = (char)(high * 16 + low);
			i += 2;
		} else if (c == '+') {
			c = ' ';
		}
		if (used + 1 >= size)
			return MSP_E_BAD_REQUEST;
		out[used++] = c;
	}
	out[used] = '\0';
	return MSP_OK;
}

msp_status_t
msp_get_query_param(const char *path, const char *name, char *out, size_t size)
{
	const char *at = strchr(path, '?');
	size_t name_len = strlen(name);
	size_t len;

	out[0] = '\0';
	while (at != NULL) {
		at++;
		len = strcspn(at, "&");
		if (len > name_len && strncmp(at, name, name_len) == 0 &&
		    at[name_len] == '=') {
			if (decode_percent(at + name_len + 1,
				len - name_len - 1, out, size) != MSP_OK)
				return msp_fail(MSP_E_BAD_REQUEST,
				    "query parameter \"%s\" is malformed or "
				    "too long",
				    name);
			return MSP_OK;
		}
		at = strchr(at, '&');
	}
	return MSP_OK;
}
