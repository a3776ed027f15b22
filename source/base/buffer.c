#include "monsoonspindle/base/buffer.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 256
#define READ_BYTES 4096

static msp_status_t
reserve(msp_buffer_t *buffer, size_t more)
{
	size_t need = buffer->len + more + 1;
	size_t capacity = buffer->capacity;
	char *data;

	if (buffer->limit != 0 && buffer->len + more > buffer->limit)
		return msp_fail(
		    MSP_E_TOO_LARGE, "larger than %zu bytes", buffer->limit);
	if (need <= capacity)
		return MSP_OK;
	if (capacity == 0)
		capacity = INITIAL_CAPACITY;
	while (capacity < need)
		capacity *= 2;
	more = capacity - buffer->capacity;
	if (buffer->budget != NULL && !msp_take_memory(buffer->budget, more))
		return msp_fail(
		    MSP_E_NO_MEMORY, "no memory left for %zu bytes", need);
	data = realloc(buffer->data, capacity);
	if (data == NULL) {
		msp_return_memory(buffer->budget, more);
		return msp_fail(
		    MSP_E_NO_MEMORY, "no memory for %zu bytes", need);
	}
	buffer->data = data;
	buffer->capacity = capacity;
	return MSP_OK;
}

msp_status_t
msp_append_data(msp_buffer_t *buffer, const void *data, size_t len)
{
	msp_status_t status = reserve(buffer, len);

	if (status != MSP_OK)
		return status;
	if (len > 0)
		memcpy(buffer->data + buffer->len, data, len);
	buffer->len += len;
	buffer->data[buffer->len] = '\0';
	return MSP_OK;
}

msp_status_t
msp_append_stream(msp_buffer_t *buffer, FILE *file, const char *path)
{
	char part[READ_BYTES];
	msp_status_t status = MSP_OK;
	size_t len;

	while (
	    status == MSP_OK && (len = fread(part, 1, sizeof(part), file)) > 0)
		status = msp_append_data(buffer, part, len);
	if (status == MSP_OK && ferror(file))
		status = msp_fail(MSP_E_IO, "%s: read error", path);
	return status;
}

msp_status_t
msp_append_printf(msp_buffer_t *buffer, const char *fmt, ...)
{
	msp_status_t status;
	va_list args;
	int len;

	va_start(args, fmt);
	len = vsnprintf(NULL, 0, fmt, args);
	va_end(args);
	if (len < 0)
		return msp_fail(MSP_E_INTERNAL, "invalid format string");
	status = reserve(buffer, (size_t)len);
	if (status != MSP_OK)
		return status;
	va_start(args, fmt);
	vsnprintf(buffer->data + buffer->len, (size_t)len + 1, fmt, args);
	va_end(args);
	buffer->len += (size_t)len;
	return MSP_OK;
}

void
msp_clear_buffer(msp_buffer_t *buffer)
{
	buffer->len = 0;
	if (buffer->data != NULL)
		buffer->data[0] = '\0';
}

void
msp_drop_buffer(msp_buffer_t *buffer)
{
	free(buffer->data);
	msp_return_memory(buffer->budget, buffer->capacity);
	buffer->data = NULL;
	buffer->len = 0;
	buffer->capacity = 0;
}

const char *
msp_buffer_text(const msp_buffer_t *buffer)
{
	return buffer->data == NULL ? "" : buffer->data;
}
