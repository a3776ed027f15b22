#include <inttypes.h>
#include <string.h>

#include <bsd/string.h>

#include "../../platform/manifest.h"
#include "../../platform/registration.h"
#include "edge_private.h"
#include "log.h"
#include "members.h"
#include "../platform/table_follower.h"

/* Long poll of the store, shorter than TABLE_FRESH_MAX_AGE. */
#define STORE_WAIT_MS 1200
#define STORE_INTERVAL (5 * MSP_MS)
#define VM_WAIT_MS 1200 /* long poll of another VM */
#define VM_INTERVAL (5 * MSP_MS)
/* A target's row lapses after this many missed heartbeats. */
#define LAPSE_HEARTBEATS 2
#define LARGE_READ_BYTES (16 * 1024) /* reads of so much are logged */

msp_time_t
get_targets_age(const edge_t *edge)
{
	return get_table_age(edge->target_table.follower);
}

msp_time_t
get_routes_age(const edge_t *edge)
{
	return get_table_age(edge->operator_table.follower);
}

store_source_t
get_configured_store(const edge_t *edge)
{
	const msp_endpoint_t *store = &edge->daemon->settings->edge.store;
	store_source_t source = {.port = store->port};

	strlcpy(source.address, store->address, sizeof(source.address));
	return source;
}

static void
handle_new_rows(void *ctx)
{
	const edge_table_t *table = ctx;

	if (table->follower != NULL)
		answer_ready_polls(table->edge);
}

static void
count_read_bytes(
    const edge_table_t *table, const table_read_end_t *end, const char *use)
{
	msp_add_to_counter(table->edge->daemon->counters, end->reply->received,
	    "msp_table_read_bytes_total{table=\"%s\",source=\"%s\","
	    "use=\"%s\"}",
	    table->name, end->vm == NULL ? "store" : "vm", use);
}

static void
report_odd_rows(const edge_table_t *table, const store_reply_t *reply)
{
	if (reply->odd_rows == 0)
		return;
	msp_add_to_counter(table->edge->daemon->counters, reply->odd_rows,
	    "msp_table_odd_rows_total{table=\"%s\"}", table->name);
	log_warn("event=table-read table=%s state=odd-rows count=%zu "
		 "version=%" PRIu64,
	    table->name, reply->odd_rows, reply->version);
}

/* Logs large reads, which take time on a slow link. */
static void
handle_read_done(void *ctx, const table_read_end_t *end)
{
	const edge_table_t *table = ctx;
	const store_reply_t *reply = end->reply;

	count_read_bytes(table, end, "kept");
	report_odd_rows(table, reply);
	if (reply->received < LARGE_READ_BYTES)
		return;
	log_info("event=table-read table=%s state=done source=%s rows=%zu "
		 "received=%zu took_ms=%" PRIu64 " transfer_ms=%u attempt=%u",
	    table->name, end->vm == NULL ? "store" : end->vm->address,
	    reply->row_count, reply->received, end->took / MSP_MS,
	    reply->transfer_ms, end->attempt);
}

/*
 * Logs each read that ended within the response, and the first failed one since
 * the copy was fresh.
 */
static void
handle_read_failed(void *ctx, const table_read_end_t *end)
{
	const edge_table_t *table = ctx;
	const store_reply_t *reply = end->reply;

	msp_add_to_counter(table->edge->daemon->counters, 1,
	    "msp_table_reads_failed_total{table=\"%s\",source=\"%s\"}",
	    table->name, end->vm == NULL ? "store" : "vm");
	count_read_bytes(table, end, "discarded");
	if (reply->received == 0 && end->attempt > 0)
		return;
	log_warn("event=table-read table=%s state=failed source=%s error=%s "
		 "call=%s received=%zu took_ms=%" PRIu64 " attempt=%u",
	    table->name, end->vm == NULL ? "store" : end->vm->address,
	    reply->status == MSP_OK ? "older" : msp_status_name(reply->status),
	    msp_status_name(reply->call_status), reply->received,
	    end->took / MSP_MS, end->attempt);
}

static void
handle_second_read(void *ctx, const table_read_end_t *end)
{
	const edge_table_t *table = ctx;
	edge_t *edge = table->edge;

	count_read_bytes(table, end, "kept");
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_table_second_reads_total{table=\"%s\"}", table->name);
	log_info("event=table-read table=%s state=second source=%s rows=%zu "
		 "received=%zu took_ms=%" PRIu64 " attempt=%u",
	    table->name, end->vm->address, end->reply->row_count,
	    end->reply->received, end->took / MSP_MS, end->attempt);
	if (!table->asked_member)
		edge->helpful_vm = *end->vm;
}

static void
handle_store_lost(void *ctx, msp_status_t status)
{
	const edge_table_t *table = ctx;

	msp_add_to_counter(table->edge->daemon->counters, 1,
	    "msp_store_lost_total{table=\"%s\"}", table->name);
	log_warn("event=store state=lost table=%s error=%s", table->name,
	    msp_status_name(status));
}

static void
handle_store_recovered(void *ctx, msp_time_t lost_for)
{
	const edge_table_t *table = ctx;

	log_info("event=store state=back table=%s lost_ms=%" PRIu64,
	    table->name, lost_for / MSP_MS);
}

static void
handle_newer_era(void *ctx, uint64_t era, uint64_t before, bool from_vm)
{
	const edge_table_t *table = ctx;

	msp_add_to_counter(table->edge->daemon->counters, 1,
	    "msp_store_eras_total{table=\"%s\"}", table->name);
	log_warn("event=store state=newer-era table=%s era=%" PRIu64
		 " before=%" PRIu64 " source=%s",
	    table->name, era, before, from_vm ? "vm" : "store");
}

static void
handle_table_stale(void *ctx)
{
	const edge_table_t *table = ctx;

	msp_add_to_counter(table->edge->daemon->counters, 1,
	    "msp_table_stale_total{table=\"%s\"}", table->name);
	log_warn("event=table table=%s state=stale", table->name);
	answer_all_long_polls(table->edge, table->follower);
}

static void
handle_table_fresh(void *ctx, msp_time_t stale_for, bool was_down)
{
	const edge_table_t *table = ctx;

	log_info("event=table table=%s state=fresh stale_ms=%" PRIu64
		 " store_was_down=%d",
	    table->name, stale_for / MSP_MS, was_down);
}

/* The operator's table: routes and evacuations. */

static void
apply_manifest(edge_t *edge, const store_row_t *row)
{
	msp_route_table_t *routes = decode_manifest(row->value, row->value_len);

	if (routes == NULL) {
		log_error("event=routes state=unusable row_version=%" PRIu64
			  " error=%s",
		    row->version, msp_last_message());
		return;
	}
	if (edge->routes != NULL && routes->version <= edge->routes->version) {
		if (routes->version < edge->routes->version)
			log_warn("event=routes state=older version=%" PRIu64
				 " in_force=%" PRIu64,
			    routes->version, edge->routes->version);
		msp_drop_route_table(routes);
		return;
	}
	log_info("event=routes state=in-force version=%" PRIu64
		 " before=%" PRIu64 " routes=%zu services=%zu "
		 "row_version=%" PRIu64,
	    routes->version, get_routes_version(edge), routes->route_count,
	    routes->service_count, row->version);
	msp_drop_route_table(edge->routes);
	edge->routes = routes;
	edge->routes_since = msp_now(&edge->daemon->env);
	msp_set_member_release(
	    get_membership(edge->daemon->members), routes->version);
}

static void
handle_operator_row(void *ctx, const store_row_t *row)
{
	const edge_table_t *table = ctx;
	edge_t *edge = table->edge;
	const char *place = NULL;

	switch (classify_operator_row(row->key, &place)) {
	case OPERATOR_ROW_MANIFEST:
		if (row->value != NULL)
			apply_manifest(edge, row);
		break;
	case OPERATOR_ROW_EVACUATION:
		if (msp_set_evacuation(
			edge->evacuations, place, row->value != NULL))
			log_info("event=evacuation place=%s state=%s", place,
			    row->value != NULL ? "begun" : "ended");
		break;
	case OPERATOR_ROW_OTHER:
		break;
	}
}

/*
 * The store may have forgotten evacuations. They stay until the operator has
 * had time to write them again, and the row of this VM is written again, too.
 */
static void
handle_operator_era(void *ctx, uint64_t era)
{
	const edge_table_t *table = ctx;
	edge_t *edge = table->edge;

	(void)era;
	msp_hold_evacuations(edge->evacuations);
	announce_vm_again(edge);
}

/* Evacuations still in force follow as rows; the others have ended. */
static void
handle_operator_snapshot_begin(void *ctx)
{
	const edge_table_t *table = ctx;

	msp_list_evacuations_anew(table->edge->evacuations);
}

static void
handle_operator_snapshot_end(void *ctx, uint64_t version)
{
	const edge_table_t *table = ctx;
	const edge_t *edge = table->edge;

	log_info("event=table table=operator state=whole version=%" PRIu64
		 " evacuated=%zu",
	    version, msp_count_evacuations(edge->evacuations));
}

/* The table of targets: a row for each, written with its heartbeats. */

static void
handle_target_row(void *ctx, const store_row_t *row)
{
	const edge_table_t *table = ctx;
	edge_t *edge = table->edge;
	msp_registration_t registration;

	if (row->value == NULL) {
		msp_remove_registration(edge->view, row->key, row->version);
		return;
	}
	if (decode_registration(row->key, row->value, row->value_len,
		&registration) == MSP_OK) {
		msp_apply_registration(
		    edge->view, row->key, row->version, &registration);
		return;
	}
	msp_add_to_counter(
	    edge->daemon->counters, 1, "msp_target_rows_unusable_total");
	log_warn("event=target-row state=unusable key=%.40s "
		 "row_version=%" PRIu64 " error=%s",
	    row->key, row->version, msp_last_message());
	msp_apply_registration(edge->view, row->key, row->version, NULL);
}

static void
handle_targets_era(void *ctx, uint64_t era)
{
	const edge_table_t *table = ctx;

	(void)era;
	msp_begin_store_era(table->edge->view);
}

static void
handle_targets_snapshot_begin(void *ctx)
{
	const edge_table_t *table = ctx;
	const edge_t *edge = table->edge;

	msp_begin_snapshot(edge->view);
}

static void
handle_targets_snapshot_end(void *ctx, uint64_t version)
{
	const edge_table_t *table = ctx;
	const edge_t *edge = table->edge;

	msp_end_snapshot(edge->view, version);
	log_info(
	    "event=table table=targets state=whole version=%" PRIu64, version);
}

static void
handle_targets_stale(void *ctx)
{
	const edge_table_t *table = ctx;

	msp_record_store_lost(table->edge->view);
	handle_table_stale(ctx);
}

static void
handle_targets_fresh(void *ctx, msp_time_t stale_for, bool was_down)
{
	const edge_table_t *table = ctx;

	msp_record_store_recovered(table->edge->view, was_down);
	handle_table_fresh(ctx, stale_for, was_down);
}

static msp_status_t
follow_table(edge_table_t *table, const table_follower_options_t *options,
    table_follower_callbacks_t *callbacks)
{
	const edge_t *edge = table->edge;

	callbacks->ctx = table;
	table->follower = new_table_follower(edge->daemon->loop,
	    &edge->daemon->env, edge->store, options, callbacks);
	return table->follower == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}

static msp_status_t
follow_tables(edge_t *edge)
{
	msp_time_t heartbeat =
	    edge->daemon->settings->edge.heartbeat_ms * MSP_MS;
	table_follower_options_t options = {.table = OPERATOR_TABLE,
	    .store_wait_ms = STORE_WAIT_MS,
	    .store_interval = STORE_INTERVAL,
	    .vm_wait_ms = VM_WAIT_MS,
	    .vm_interval = VM_INTERVAL,
	    .outage_threshold = MSP_NEVER};
	table_follower_callbacks_t callbacks = {
	    .choose_source = choose_store_source,
	    .choose_vm = choose_vm_source,
	    .choose_second_vm = choose_second_vm,
	    .on_second_read = handle_second_read,
	    .on_newer_era = handle_newer_era,
	    .on_era_begin = handle_operator_era,
	    .on_snapshot_begin = handle_operator_snapshot_begin,
	    .on_row = handle_operator_row,
	    .on_snapshot_end = handle_operator_snapshot_end,
	    .on_update = handle_new_rows,
	    .on_read_done = handle_read_done,
	    .on_read_failed = handle_read_failed,
	    .on_store_lost = handle_store_lost,
	    .on_store_recovered = handle_store_recovered,
	    .on_stale = handle_table_stale,
	    .on_fresh = handle_table_fresh};
	msp_status_t status;

	edge->operator_table = (edge_table_t){
	    .edge = edge, .name = "operator", .kind = MSP_READER_LARGE_ROWS};
	status = follow_table(&edge->operator_table, &options, &callbacks);
	if (status != MSP_OK)
		return status;
	options.table = TARGETS_TABLE;
	options.outage_threshold = heartbeat * LAPSE_HEARTBEATS;
	callbacks.on_era_begin = handle_targets_era;
	callbacks.on_snapshot_begin = handle_targets_snapshot_begin;
	callbacks.on_row = handle_target_row;
	callbacks.on_snapshot_end = handle_targets_snapshot_end;
	callbacks.on_stale = handle_targets_stale;
	callbacks.on_fresh = handle_targets_fresh;
	edge->target_table = (edge_table_t){
	    .edge = edge, .name = "targets", .kind = MSP_READER_URGENT_ROWS};
	return follow_table(&edge->target_table, &options, &callbacks);
}

msp_status_t
open_edge_store(edge_t *edge)
{
	store_source_t store = get_configured_store(edge);
	msp_status_t status;

	edge->store = new_store_client(edge->store_http, &store);
	if (edge->store == NULL)
		return MSP_E_NO_MEMORY;
	status = follow_tables(edge);
	return status == MSP_OK ? open_edge_vms(edge) : status;
}

void
check_table_reads(edge_t *edge)
{
	check_slow_read(edge->operator_table.follower, are_routes_late(edge));
	check_slow_read(edge->target_table.follower, false);
}

void
close_edge_store(edge_t *edge)
{
	close_edge_vms(edge);
	drop_table_follower(edge->operator_table.follower);
	drop_table_follower(edge->target_table.follower);
	drop_store_client(edge->store);
}
