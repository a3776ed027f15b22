#include <stdio.h>

#include "../../platform/strike_row.h"
#include "edge_private.h"
#include "log.h"

/*
 * Strikes of quarantined requests in the platform's store, so that they outlive
 * the loss of all VMs at once. Only a VM that has found a strike itself writes
 * its row; all VMs read the rows together with the list of VMs.
 */

#define CHECK_INTERVAL MSP_SECOND
#define ROWS_MAX 64 /* of all VMs; further ones are not written */

/* Now, by the store's clock; 0: not known. */
static uint64_t
get_store_time_ms(const edge_t *edge)
{
	if (edge->store_time_ms == 0)
		return 0;
	return edge->store_time_ms +
	    (msp_now(&edge->daemon->env) - edge->store_time_read_at) / MSP_MS;
}

void
begin_strike_rows(edge_t *edge, uint64_t store_time_ms)
{
	edge->store_time_ms = store_time_ms;
	edge->store_time_read_at = msp_now(&edge->daemon->env);
	edge->strike_row_count = 0;
	edge->old_strike_row[0] = '\0';
}

void
load_strike_row(edge_t *edge, const store_row_t *row)
{
	strike_row_t strikes = {0};
	msp_time_t age = 0;
	size_t new_count = 0;
	msp_status_t status =
	    decode_strike_row(row->value, row->value_len, &strikes);

	edge->strike_row_count++;
	if (status == MSP_OK && strikes.at_ms < edge->store_time_ms)
		age = (edge->store_time_ms - strikes.at_ms) * MSP_MS;
	if (status == MSP_OK && age <= MSP_QUARANTINE_TIME)
		status = msp_receive_stored_strikes(edge->strike_sync,
		    msp_buffer_text(&strikes.lines), age, &new_count);
	if (status != MSP_OK)
		log_warn("event=strike-row key=%.60s error=%s", row->key,
		    msp_last_message());
	/* What can't be read may be a later build's. */
	if (status == MSP_OK && age > MSP_QUARANTINE_TIME) {
		snprintf(edge->old_strike_row, sizeof(edge->old_strike_row),
		    "%s", row->key);
		edge->old_strike_row_version = row->version;
	}
	count_heard_strikes(edge, new_count);
	msp_drop_buffer(&strikes.lines);
}

/* Removes a row whose strikes are over. */
static bool
remove_old_row(edge_t *edge)
{
	msp_condition_t condition = {.key = edge->old_strike_row,
	    .version = edge->old_strike_row_version};
	msp_write_t write = {.key = edge->old_strike_row};
	msp_txn_t txn = {.conditions = &condition,
	    .condition_count = 1,
	    .writes = &write,
	    .write_count = 1};

	if (edge->old_strike_row[0] == '\0' || !keeps_roster(edge))
		return false;
	log_info(
	    "event=strike-row key=%.60s state=removed", edge->old_strike_row);
	return change_vm_rows(edge, &txn);
}

static bool
write_row(edge_t *edge, const msp_buffer_t *lines)
{
	strike_row_t row = {.at_ms = get_store_time_ms(edge), .lines = *lines};
	char key[STRIKE_ROW_KEY_SIZE];
	msp_buffer_t text = {0};
	msp_write_t write = {.key = key};
	msp_txn_t txn = {.writes = &write, .write_count = 1};
	bool has_begun = false;

	print_strike_row_key(key, edge->daemon->settings->vm);
	if (encode_strike_row(&row, &text) == MSP_OK) {
		write.value = text.data;
		write.value_len = text.len;
		has_begun = change_vm_rows(edge, &txn);
	}
	msp_drop_buffer(&text);
	return has_begun;
}

/* Writes this VM's row if it has found a strike of a quarantined request. */
static bool
store_strikes(edge_t *edge)
{
	msp_buffer_t lines = {.limit = MSP_STRIKE_MESSAGE_MAX};
	size_t count;

	if (!edge->has_new_strikes || edge->store_time_ms == 0 ||
	    !msp_has_suspicion(edge->quarantine, MSP_SUSPICION_QUARANTINED))
		return false;
	if (edge->strike_row_count >= ROWS_MAX) {
		msp_add_to_counter(
		    edge->daemon->counters, 1, "msp_strikes_not_stored_total");
		log_warn("event=strike-row error=too-many rows=%zu",
		    edge->strike_row_count);
		edge->has_new_strikes = false;
		return false;
	}
	count = msp_encode_known_strikes(edge->strike_sync,
	    MSP_SUSPICION_QUARANTINED, MSP_STRIKES_PER_MESSAGE_MAX, &lines);
	if (count > 0 && write_row(edge, &lines)) {
		edge->has_new_strikes = false;
		edge->is_storing_strikes = true;
		log_info("event=strike-row state=written count=%zu", count);
	}
	msp_drop_buffer(&lines);
	return edge->is_storing_strikes;
}

void
end_strike_row_change(edge_t *edge, bool is_done)
{
	if (edge->is_storing_strikes && !is_done)
		edge->has_new_strikes = true;
	edge->is_storing_strikes = false;
}

bool
change_strike_rows(edge_t *edge)
{
	return store_strikes(edge) || remove_old_row(edge);
}

void
tick_strike_rows(edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);

	if (!edge->has_new_strikes || edge->vm_call != NULL ||
	    edge->must_announce ||
	    now < edge->strike_rows_checked_at + CHECK_INTERVAL)
		return;
	edge->strike_rows_checked_at = now;
	store_strikes(edge);
}
