#include "monsoonspindle/base/base64.h"

#include <stdlib.h>
#include <string.h>

#include <libwebsockets.h>

#define ALPHABET \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"

#define LWS_PADDING 8 /* bytes that libwebsockets needs after the output */

msp_status_t
msp_encode_base64(msp_buffer_t *out, const void *data, size_t len)
{
	size_t text_len = (len + 2) / 3 * 4;
	size_t size = text_len + LWS_PADDING;
	char *text;
	msp_status_t status;

	if (len == 0)
		return MSP_OK;
	text = malloc(size);
	if (text == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for base64");
	if (lws_b64_encode_string(data, (int)len, text, (int)size) < 0)
		status = msp_fail(MSP_E_INTERNAL, "base64 encoding failed");
	else
		status = msp_append_data(out, text, text_len);
	free(text);
	return status;
}

static bool
is_padded_base64(const char *text, size_t len)
{
	size_t digits = strspn(text, ALPHABET);

	if (len % 4 != 0 || digits > len || len - digits > 2)
		return false;
	return strspn(text + digits, "=") == len - digits &&
	    strlen(text) == len;
}

msp_status_t
msp_decode_base64(msp_buffer_t *out, const char *text, size_t len)
{
	size_t size = len / 4 * 3 + LWS_PADDING;
	msp_status_t status;
	char *data;
	int count;

	if (len == 0)
		return MSP_OK;
	if (!is_padded_base64(text, len))
		return msp_fail(MSP_E_SYNTAX, "not valid base64");
	data = malloc(size);
	if (data == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for base64");
	count = lws_b64_decode_string_len(text, (int)len, data, (int)size);
	if (count < 0)
		status = msp_fail(MSP_E_SYNTAX, "not valid base64");
	else
		status = msp_append_data(out, data, (size_t)count);
	free(data);
	return status;
}
