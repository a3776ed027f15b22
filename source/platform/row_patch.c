#include "row_patch.h"

#include <stdbool.h>
#include <stdlib.h>

#include <zstd.h>

#define COMPRESSION_LEVEL 3
#define WINDOW_LOG_MIN 10
#define WINDOW_LOG_MAX 27 /* which decoders accept by default */

/* The window must reach from the end of the value to the start of the base. */
static int
get_window_log(size_t len)
{
	int log = WINDOW_LOG_MIN;

	while (log < WINDOW_LOG_MAX && ((size_t)1 << log) < len)
		log++;
	return log;
}

static bool
set_parameters(
    ZSTD_CCtx *context, const char *base, size_t base_len, size_t len)
{
	if (ZSTD_isError(ZSTD_CCtx_setParameter(
		context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL)) ||
	    ZSTD_isError(ZSTD_CCtx_setParameter(
		context, ZSTD_c_windowLog, get_window_log(base_len + len))) ||
	    ZSTD_isError(
		ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1)))
		return false;
	if (base == NULL)
		return true;
	return !ZSTD_isError(ZSTD_CCtx_setParameter(
		   context, ZSTD_c_enableLongDistanceMatching, 1)) &&
	    !ZSTD_isError(ZSTD_CCtx_refPrefix(context, base, base_len));
}

msp_status_t
encode_row_patch(const char *base, size_t base_len, const char *value,
    size_t len, msp_buffer_t *out)
{
	ZSTD_CCtx *context = ZSTD_createCCtx();
	size_t bound = ZSTD_compressBound(len);
	char *data = malloc(bound);
	msp_status_t status = MSP_E_NO_MEMORY;
	size_t size;

	if (context != NULL && data != NULL &&
	    set_parameters(context, base, base_len, len)) {
		size = ZSTD_compress2(context, data, bound, value, len);
		if (!ZSTD_isError(size))
			status = msp_append_data(out, data, size);
	}
	free(data);
	ZSTD_freeCCtx(context);
	return status == MSP_E_NO_MEMORY
	    ? msp_fail(MSP_E_NO_MEMORY, "no memory for a patch")
	    : status;
}

static msp_status_t
decode_patch(ZSTD_DCtx *context, const char *patch, size_t patch_len,
    size_t len, msp_buffer_t *out)
{
	char *data = malloc(len + 1);
	msp_status_t status = MSP_E_SYNTAX;
	size_t size;

	if (data == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a value");
	size = ZSTD_decompressDCtx(context, data, len, patch, patch_len);
	if (size == len)
		status = msp_append_data(out, data, len);
	else
		msp_fail(status, "a patch does not fit its base");
	free(data);
	return status;
}

msp_status_t
apply_row_patch(const char *base, size_t base_len, const char *patch,
    size_t patch_len, size_t max, msp_buffer_t *out)
{
	unsigned long long len = ZSTD_getFrameContentSize(patch, patch_len);
	ZSTD_DCtx *context;
	msp_status_t status = MSP_E_NO_MEMORY;

	if (len == ZSTD_CONTENTSIZE_UNKNOWN || len == ZSTD_CONTENTSIZE_ERROR)
		return msp_fail(MSP_E_SYNTAX, "a patch is damaged");
	if (len > max)
		return msp_fail(MSP_E_TOO_LARGE, "a value is too large");
	context = ZSTD_createDCtx();
	if (context != NULL &&
	    (base == NULL ||
		!ZSTD_isError(ZSTD_DCtx_refPrefix(context, base, base_len))))
		status =
		    decode_patch(context, patch, patch_len, (size_t)len, out);
	ZSTD_freeDCtx(context);
	return status == MSP_E_NO_MEMORY
	    ? msp_fail(MSP_E_NO_MEMORY, "no memory for a patch")
	    : status;
}
