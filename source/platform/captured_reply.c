#include "captured_reply.h"

#include <stdlib.h>
#include <string.h>

static msp_status_t
fail_no_memory(void)
{
	return msp_fail(MSP_E_NO_MEMORY, "no memory for a reply");
}

static char *
copy_bytes(const void *data, size_t len)
{
	char *copy = malloc(len + 1);

	if (copy == NULL)
		return NULL;
	if (len > 0)
		memcpy(copy, data, len);
	copy[len] = '\0';
	return copy;
}

void
msp_drop_captured_reply(msp_captured_reply_t *captured)
{
	size_t i;

	for (i = 0; i < captured->reply.row_count; i++) {
		free((char *)captured->rows[i].key);
		free((char *)captured->rows[i].value);
	}
	free(captured->rows);
	free(captured->object);
	free(captured->vms);
	*captured = (msp_captured_reply_t){0};
}

static msp_status_t
grow_rows(msp_captured_reply_t *captured)
{
	size_t capacity =
	    captured->row_capacity == 0 ? 4 : captured->row_capacity * 2;
	msp_row_t *rows;

	if (captured->reply.row_count < captured->row_capacity)
		return MSP_OK;
	rows = realloc(captured->rows, capacity * sizeof(*rows));
	if (rows == NULL)
		return fail_no_memory();
	captured->rows = rows;
	captured->row_capacity = capacity;
	captured->reply.rows = rows;
	return MSP_OK;
}

msp_status_t
msp_capture_row(msp_captured_reply_t *captured, const char *key,
    const char *value, size_t value_len, uint64_t version)
{
	msp_row_t row = {.value_len = value_len, .version = version};
	msp_status_t status = grow_rows(captured);

	if (status != MSP_OK)
		return status;
	row.key = copy_bytes(key, strlen(key));
	if (row.key == NULL)
		return fail_no_memory();
	if (value != NULL) {
		row.value = copy_bytes(value, value_len);
		if (row.value == NULL) {
			free((char *)row.key);
			return fail_no_memory();
		}
	}
	captured->rows[captured->reply.row_count++] = row;
	return MSP_OK;
}

msp_status_t
msp_capture_object(msp_captured_reply_t *captured, const void *data, size_t len)
{
	captured->object = copy_bytes(data, len);
	if (captured->object == NULL)
		return fail_no_memory();
	captured->reply.object = captured->object;
	captured->reply.object_len = len;
	return MSP_OK;
}

msp_status_t
msp_capture_vms(
    msp_captured_reply_t *captured, const msp_vm_t *vms, size_t count)
{
	captured->vms = calloc(count + 1, sizeof(*vms));
	if (captured->vms == NULL)
		return fail_no_memory();
	if (count > 0)
		memcpy(captured->vms, vms, count * sizeof(*vms));
	captured->reply.vms = captured->vms;
	captured->reply.vm_count = count;
	return MSP_OK;
}
