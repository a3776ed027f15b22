#include "table_follower_private.h"

static void
apply_row(table_follower_t *follower, const store_row_t *row)
{
	put_copy_row(follower->copy, row);
	follower->callbacks.on_row(follower->callbacks.ctx, row);
}

static msp_status_t
apply_patched_row(table_follower_t *follower, const store_row_t *patched)
{
	store_row_t row = *patched;
	msp_buffer_t value = {0};
	msp_status_t status = apply_copy_patch(follower->copy, patched, &value);

	if (status == MSP_OK) {
		row.patch = NULL;
		row.value = msp_buffer_text(&value);
		row.value_len = value.len;
		apply_row(follower, &row);
	}
	msp_drop_buffer(&value);
	return status;
}

/* Whether another source has brought the row, or a newer one. */
static bool
is_known_row(const table_follower_t *follower, const store_row_t *row)
{
	return row->version <= get_copy_row_version(follower->copy, row->key);
}

msp_status_t
apply_table_rows(table_follower_t *follower, const store_reply_t *reply)
{
	msp_status_t status = MSP_OK;
	size_t i;

	for (i = 0; i < reply->row_count && status == MSP_OK; i++) {
		const store_row_t *row = &reply->rows[i];

		if (row->patch != NULL && is_known_row(follower, row))
			put_copy_row(follower->copy, row);
		else if (row->patch != NULL)
			status = apply_patched_row(follower, row);
		else
			apply_row(follower, row);
	}
	return status;
}

void
advance_table_version(
    table_follower_t *follower, const store_reply_t *reply, uint64_t version)
{
	/* The rows are as of the start of the response. */
	advance_copy(follower->copy, version,
	    msp_now(&follower->env) -
		((msp_time_t)reply->age_ms + reply->transfer_ms) * MSP_MS);
	follower->callbacks.on_update(follower->callbacks.ctx);
}

msp_status_t
apply_table_changes(table_follower_t *follower, const store_reply_t *reply)
{
	msp_status_t status = apply_table_rows(follower, reply);

	if (status == MSP_OK)
		advance_table_version(follower, reply, reply->version);
	return status;
}
