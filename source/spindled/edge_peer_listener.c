#include <stdlib.h>
#include <string.h>

#include "../../platform/row_service.h"
#include "edge_private.h"
#include "forward_codec.h"
#include "monsoonspindle/steer/limit_sync.h"
#include "log.h"
#include "problem.h"
#include "../platform/table_follower.h"

#define PEER_CONNECTIONS 1024
/* Bytes of the fields that are added to a caller's when it is forwarded. */
#define FORWARD_HEADERS_MAX 1024
#define PEER_IDLE_MS 60000
#define WAIT_MIN_MS 50 /* shortest long poll, to limit the rate of reads */
#define BULK_BYTES 8192 /* values of a response that is paced */
/* How long such a response may wait for others, at least. */
#define BULK_WAIT_MS 300
/* How long a read waits, at least, while the table is being read anew. */
#define WHOLE_WAIT_MS 300
#define BITS_PER_BYTE 8
#define BITS_PER_MBIT 1e6

/*
 * Another VM's read that is answered when the table changes, or when large
 * responses before it have been sent.
 */
struct long_poll {
	TAILQ_ENTRY(long_poll) link;
	edge_t *edge;
	msp_exchange_t *exchange;
	const table_follower_t *table;
	row_query_t query;
	msp_timer_t *timer;
};

/* A response under construction. */
typedef struct rows_response {
	row_response_t body;
	const row_query_t *query;
	table_copy_t *copy;
	store_patch_bases_t bases; /* those of the reader that mean something */
	msp_status_t status;
} rows_response_t;

static void
add_row(void *ctx, const store_row_t *row)
{
	rows_response_t *rows = ctx;
	const row_query_t *query = rows->query;
	store_row_t out = *row;

	if (query->accepts_patches)
		get_copy_patch(rows->copy, &rows->bases, &out);
	if (rows->status == MSP_OK)
		rows->status =
		    add_response_row(&rows->body, query->table, &out);
}

static uint32_t
to_ms(msp_time_t span)
{
	return span / MSP_MS > UINT32_MAX ? UINT32_MAX
					  : (uint32_t)(span / MSP_MS);
}

static bool
is_bulk_query(const table_copy_t *copy, const row_query_t *query)
{
	return get_copy_bytes(copy, query->is_range, query->after) >=
	    BULK_BYTES;
}

static const char *
get_table_name(const edge_t *edge, const table_follower_t *table)
{
	return table == edge->operator_table.follower
	    ? edge->operator_table.name
	    : edge->target_table.name;
}

/* Whether the reader's versions are of another era than this VM's. */
static bool
is_of_other_era(const table_copy_t *copy, const row_query_t *query)
{
	uint64_t era = get_copy_era(copy);

	return query->era != 0 && era != 0 && query->era != era;
}

/* Whether this VM has not heard of the reader's era yet. */
static bool
is_of_newer_era(const table_copy_t *copy, const row_query_t *query)
{
	return is_of_other_era(copy, query) && query->era > get_copy_era(copy);
}

/* Versions of another era name other values. */
static store_patch_bases_t
get_reader_bases(const table_copy_t *copy, const row_query_t *query)
{
	static const store_patch_bases_t none;

	return is_of_other_era(copy, query) ? none : query->bases;
}

/* Answers that the changes after the reader's version can't be had here. */
static void
answer_history_gone(msp_exchange_t *exchange, const table_copy_t *copy)
{
	msp_response_t response = {0};

	mark_history_gone(&response);
	if (add_response_era(&response, get_copy_era(copy)) == MSP_OK)
		msp_send_exchange_response(exchange, &response);
	else
		answer_error(exchange, MSP_E_NO_MEMORY);
	msp_drop_response(&response);
}

static void
answer_query(edge_t *edge, msp_exchange_t *exchange,
    const table_follower_t *table, const row_query_t *query)
{
	table_copy_t *copy = get_table_copy(table);
	rows_response_t rows = {.query = query,
	    .copy = copy,
	    .bases = get_reader_bases(copy, query)};
	table_state_t end = {.version = get_copy_version(copy),
	    .era = get_copy_era(copy),
	    .age_ms = to_ms(get_table_age(table)),
	    .fresh_for_ms = to_ms(get_table_fresh_time(table))};
	msp_response_t response = {0};

	if (!is_copy_whole(table)) {
		msp_fail(MSP_E_NOT_READY, "the table is being read anew");
		answer_error(exchange, MSP_E_NOT_READY);
		return;
	}
	if (is_of_newer_era(copy, query) ||
	    (!query->is_range &&
		(is_of_other_era(copy, query) ||
		    !has_changes_since(copy, query->after)))) {
		answer_history_gone(exchange, copy);
		return;
	}
	visit_copy_rows(copy, query->is_range, query->after, add_row, &rows);
	if (rows.status == MSP_OK)
		rows.status = end_row_response(&rows.body, &end, &response);
	if (rows.status != MSP_OK) {
		msp_drop_buffer(&rows.body.text);
		msp_drop_response(&response);
		answer_error(exchange, rows.status);
		return;
	}
	if (is_bulk_query(copy, query))
		msp_record_bulk_sent(&edge->bulk_pacer,
		    msp_now(&edge->daemon->env), response.body.len);
	msp_add_to_counter(edge->daemon->counters, response.body.len,
	    "msp_table_served_bytes_total{table=\"%s\"}",
	    get_table_name(edge, table));
	msp_send_exchange_response(exchange, &response);
}

static void
free_long_poll(long_poll_t *poll)
{
	TAILQ_REMOVE(&poll->edge->long_polls, poll, link);
	msp_drop_timer(poll->timer);
	free(poll);
}

static void
answer_long_poll(long_poll_t *poll)
{
	edge_t *edge = poll->edge;
	msp_exchange_t *exchange = poll->exchange;
	const table_follower_t *table = poll->table;
	row_query_t query = poll->query;

	free_long_poll(poll);
	answer_query(edge, exchange, table, &query);
}

static void
handle_long_poll_timeout(void *ctx)
{
	answer_long_poll(ctx);
}

/* Limits a wait so that it ends before this VM's copy becomes stale. */
static uint32_t
limit_wait(const table_follower_t *table, uint32_t wait_ms)
{
	msp_time_t age = get_table_age(table);
	uint32_t limit = WAIT_MIN_MS;

	if (age + WAIT_MIN_MS * MSP_MS < TABLE_FRESH_MAX_AGE)
		limit = to_ms(TABLE_FRESH_MAX_AGE - age);
	return wait_ms < limit ? wait_ms : limit;
}

static void
start_long_poll(edge_t *edge, msp_exchange_t *exchange, table_follower_t *table,
    const row_query_t *query, uint32_t wait_ms)
{
	long_poll_t *poll = calloc(1, sizeof(*poll));

	if (poll == NULL) {
		answer_query(edge, exchange, table, query);
		return;
	}
	poll->edge = edge;
	poll->exchange = exchange;
	poll->table = table;
	poll->query = *query;
	poll->timer = msp_new_timer(edge->daemon->loop, wait_ms * MSP_MS, 0,
	    handle_long_poll_timeout, poll);
	msp_set_exchange_data(exchange, poll);
	TAILQ_INSERT_TAIL(&edge->long_polls, poll, link);
}

/* Whether there is something to answer other than that nothing has changed. */
static bool
has_answer(const table_follower_t *table, const row_query_t *query)
{
	const table_copy_t *copy = get_table_copy(table);

	if (!is_copy_whole(table))
		return false;
	return query->is_range || is_of_other_era(copy, query) ||
	    get_copy_version(copy) > query->after;
}

/* Whether the response is large, and others are still being sent. */
static bool
must_wait(
    const edge_t *edge, const table_follower_t *table, const row_query_t *query)
{
	return !msp_bulk_may_be_sent(
		   &edge->bulk_pacer, msp_now(&edge->daemon->env)) &&
	    is_bulk_query(get_table_copy(table), query);
}

static void
handle_bulk_timer(void *ctx)
{
	edge_t *edge = ctx;

	msp_drop_timer(edge->bulk_timer);
	edge->bulk_timer = NULL;
	answer_ready_polls(edge);
}

/* Answers the next poll once the link is free. */
static void
schedule_bulk(edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);
	msp_time_t free_at = edge->bulk_pacer.free_at;

	if (edge->bulk_timer == NULL)
		edge->bulk_timer = msp_new_timer(edge->daemon->loop,
		    free_at > now ? free_at - now : 0, 0, handle_bulk_timer,
		    edge);
}

void
answer_ready_polls(edge_t *edge)
{
	long_poll_t *poll;
	long_poll_t *next;

	TAILQ_FOREACH_SAFE(poll, &edge->long_polls, link, next) {
		if (!has_answer(poll->table, &poll->query))
			continue;
		if (must_wait(edge, poll->table, &poll->query))
			schedule_bulk(edge);
		else
			answer_long_poll(poll);
	}
}

void
answer_all_long_polls(edge_t *edge, const table_follower_t *table)
{
	long_poll_t *poll;
	long_poll_t *next;

	TAILQ_FOREACH_SAFE(poll, &edge->long_polls, link, next) {
		if (poll->table == table)
			answer_long_poll(poll);
	}
}

static void
serve_query(edge_t *edge, msp_exchange_t *exchange, table_follower_t *table,
    const row_query_t *query)
{
	uint32_t wait_ms = limit_wait(table, query->wait_ms);

	if (!is_copy_whole(table) && wait_ms < WHOLE_WAIT_MS) {
		start_long_poll(edge, exchange, table, query, WHOLE_WAIT_MS);
		return;
	}
	if (has_answer(table, query) && must_wait(edge, table, query)) {
		if (wait_ms < BULK_WAIT_MS)
			wait_ms = BULK_WAIT_MS;
		start_long_poll(edge, exchange, table, query, wait_ms);
		schedule_bulk(edge);
	} else if (has_answer(table, query) || query->wait_ms == 0) {
		answer_query(edge, exchange, table, query);
	} else {
		start_long_poll(edge, exchange, table, query, wait_ms);
	}
}

/* A message of another VM, other than a read of rows. */
typedef struct vm_message {
	const char *path; /* its beginning */
	void (*serve)(edge_t *edge, msp_exchange_t *exchange);
} vm_message_t;

static const vm_message_t vm_messages[] = {
    {STRIKES_PATH, serve_strikes},
    {LIMITS_PATH, serve_limits},
    {RATE_ASK_PATH, serve_rate_asks},
    {RATE_DEMAND_PATH, serve_rate_demand},
};

/* Returns false if it is none of these. */
static bool
serve_vm_message(edge_t *edge, msp_exchange_t *exchange)
{
	const char *path = msp_exchange_request(exchange)->path;
	size_t i;

	for (i = 0; i < sizeof(vm_messages) / sizeof(*vm_messages); i++) {
		if (strncmp(path, vm_messages[i].path,
			strlen(vm_messages[i].path)) == 0) {
			vm_messages[i].serve(edge, exchange);
			return true;
		}
	}
	return false;
}

static void
handle_peer_request(void *ctx, msp_exchange_t *exchange)
{
	edge_t *edge = ctx;
	table_follower_t *table = NULL;
	const msp_request_t *request = msp_exchange_request(exchange);
	row_query_t query;
	msp_status_t status;

	if (is_forwarded_request(request)) {
		serve_edge_forward(edge, exchange);
		return;
	}
	if (serve_vm_message(edge, exchange))
		return;
	status = decode_row_query(request, &query);
	if (status == MSP_E_NOT_FOUND)
		count_unknown_message(edge);
	if (status == MSP_OK) {
		if (strcmp(query.table, OPERATOR_TABLE) == 0)
			table = edge->operator_table.follower;
		else if (strcmp(query.table, TARGETS_TABLE) == 0)
			table = edge->target_table.follower;
		if (table == NULL || !is_table_loaded(table))
			status = msp_fail(MSP_E_NOT_READY,
			    "this VM has not read the table yet");
	}
	if (status != MSP_OK) {
		answer_error(exchange, status);
		return;
	}
	msp_add_to_counter(
	    edge->daemon->counters, 1, "msp_relayed_reads_total");
	serve_query(edge, exchange, table, &query);
}

static void
handle_peer_disconnect(void *ctx, msp_exchange_t *exchange)
{
	long_poll_t *poll = msp_exchange_data(exchange);

	if (is_forwarded_request(msp_exchange_request(exchange))) {
		handle_edge_caller_disconnect(ctx, exchange);
		return;
	}
	if (poll != NULL)
		free_long_poll(poll);
}

size_t
count_open_peer_answers(const edge_t *edge)
{
	size_t count = msp_count_open_exchanges(edge->peer_listener);
	const long_poll_t *poll;

	TAILQ_FOREACH(poll, &edge->long_polls, link)
		count--;
	return count;
}

/* Messages of other VMs are of any kind, and callers' requests among them. */
static size_t
get_body_limit(const msp_settings_limits_t *limits)
{
	return limits->max_body_bytes > MSP_LIMIT_MESSAGE_MAX
	    ? limits->max_body_bytes
	    : MSP_LIMIT_MESSAGE_MAX;
}

msp_status_t
open_edge_peer_listener(edge_t *edge)
{
	const msp_settings_t *settings = edge->daemon->settings;
	msp_http_server_options_t options = {.address = settings->address,
	    .port = settings->peer_port,
	    .limits = {.max_connections = PEER_CONNECTIONS,
		.max_body = get_body_limit(&settings->limits),
		.max_headers =
		    settings->limits.max_header_bytes + FORWARD_HEADERS_MAX,
		.body_timeout_ms = settings->limits.body_timeout_ms,
		.body_budget = &edge->request_memory,
		.idle_timeout_ms = PEER_IDLE_MS},
	    .handler = {.on_request = handle_peer_request,
		.on_disconnect = handle_peer_disconnect,
		.ctx = edge}};

	edge->bulk_pacer.bytes_per_second =
	    settings->edge.link_mbps * BITS_PER_MBIT / BITS_PER_BYTE;
	edge->peer_listener = msp_new_http_server(edge->daemon->loop, &options);
	return edge->peer_listener == NULL ? MSP_E_IO : MSP_OK;
}

void
close_edge_peer_listener(edge_t *edge)
{
	long_poll_t *poll;
	long_poll_t *next;

	msp_drop_timer(edge->bulk_timer);
	msp_drop_http_server(edge->peer_listener);
	TAILQ_FOREACH_SAFE(poll, &edge->long_polls, link, next)
		free_long_poll(poll);
}
