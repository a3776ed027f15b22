/*
 * load: sends requests and reports what they came to.
 *
 * Closed loop: --connections requests are in flight, each next one starts when
 * one ends. Open loop: --rate requests a second start whatever the others do.
 * With --service the entry VMs are looked up first at --address and --port, and
 * again when the answer has expired or an entry does not answer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>

#include "shared/lookup.h"
#include "shared/reply.h"
#include "shared/request_stats.h"

#define OPEN_LOOP_LANES 1024
#define RESEND_DELAY (100 * MSP_MS)

typedef struct load {
	msp_loop_t *loop;
	msp_http_client_t *client;
	lookup_t *lookup;
	msp_env_t env;
	request_stats_t tally;
	msp_timer_t *pace; /* of the open loop */
	msp_timer_t *stop; /* at the end of the time */
	msp_time_t next; /* start of the next request, open loop */
	msp_time_t gap; /* between two, open loop; 0: closed loop */
	msp_time_t end;
	const char *method;
	const char *path;
	const char *key_prefix;
	const char *body;
	uint32_t timeout_ms;
	unsigned int connections;
	unsigned int retries;
	uint64_t count; /* 0: no bound */
	unsigned int in_flight;
	bool started;
} load_t;

/* One request over all its tries. */
typedef struct item {
	load_t *load;
	uint64_t number;
	unsigned int attempt; /* from 1 */
	msp_time_t start;
	msp_timer_t *resend;
} item_t;

static void send_item(item_t *item);
static void fill(load_t *load);

static bool
is_over(const load_t *load)
{
	return (load->count != 0 && load->tally.requests >= load->count) ||
	    msp_now(&load->env) >= load->end;
}

static void
end_item(item_t *item)
{
	load_t *load = item->load;

	load->in_flight--;
	free(item);
	if (is_over(load) && load->in_flight == 0)
		msp_stop_loop(load->loop);
	else if (load->gap == 0)
		fill(load);
}

static void
on_resend(void *ctx)
{
	item_t *item = ctx;

	msp_drop_timer(item->resend);
	item->resend = NULL;
	item->attempt++;
	item->load->tally.retries++;
	send_item(item);
}

static void
on_done(void *ctx, msp_call_result_t *result)
{
	item_t *item = ctx;
	load_t *load = item->load;
	msp_time_t latency = msp_now(&load->env) - item->start;
	char kind[FAILURE_KIND_SIZE];

	name_outcome(result, kind);
	if (result->status != MSP_OK)
		refresh_lookup(load->lookup);
	if (kind[0] == '\0') {
		count_whole(&load->tally, latency);
		end_item(item);
		return;
	}
	if (item->attempt <= load->retries) {
		item->resend =
		    msp_new_timer(load->loop, RESEND_DELAY, 0, on_resend, item);
		return;
	}
	record_failed_request(&load->tally, kind, latency);
	end_item(item);
}

static void
send_item(item_t *item)
{
	load_t *load = item->load;
	const entry_vm_t *entry = get_entry_vm(
	    load->lookup, (unsigned int)item->number + item->attempt - 1);
	msp_request_t request = {0};
	msp_call_options_t options = {
	    .address = entry->address,
	    .port = entry->port,
	    .timeout_ms = load->timeout_ms,
	};

	snprintf(request.method, sizeof(request.method), "%s", load->method);
	snprintf(request.path, sizeof(request.path), "%s", load->path);
	msp_print_header(&request.headers, "X-Request-ID", "%s-%llu",
	    load->key_prefix, (unsigned long long)item->number);
	msp_print_header(
	    &request.headers, "Request-Timeout", "%u", load->timeout_ms);
	if (strcmp(load->method, "GET") != 0) {
		msp_print_header(&request.headers, "Idempotency-Key", "%s-%llu",
		    load->key_prefix, (unsigned long long)item->number);
		msp_print_header(
		    &request.headers, "Request-Attempt", "%u", item->attempt);
		msp_append_data(&request.body, load->body, strlen(load->body));
	}
	if (msp_start_call(load->client, &options, &request, on_done, item) ==
	    NULL)
		abort();
}

static void
start_item(load_t *load)
{
	item_t *item = calloc(1, sizeof(*item));

	if (item == NULL)
		abort();
	item->load = load;
	item->number = load->tally.requests++;
	item->attempt = 1;
	item->start = msp_now(&load->env);
	load->in_flight++;
	send_item(item);
}

/* Closed loop: keeps all connections busy. */
static void
fill(load_t *load)
{
	while (load->in_flight < load->connections && !is_over(load))
		start_item(load);
}

/* Open loop: starts what is due. */
static void
on_pace(void *ctx)
{
	load_t *load = ctx;

	while (load->next <= msp_now(&load->env) && !is_over(load)) {
		start_item(load);
		load->next += load->gap;
	}
}

static void
on_entries(void *ctx)
{
	load_t *load = ctx;

	if (load->started || get_entry_vm(load->lookup, 0) == NULL)
		return;
	load->started = true;
	init_request_stats(&load->tally, msp_now(&load->env));
	load->next = msp_now(&load->env);
	if (load->gap == 0)
		fill(load);
	else
		load->pace =
		    msp_new_timer(load->loop, MSP_MS, MSP_MS, on_pace, load);
}

static void
on_end(void *ctx)
{
	load_t *load = ctx;

	if (load->in_flight == 0)
		msp_stop_loop(load->loop);
}

static int
run_load(
    load_t *load, const char *address, int port, const char *service, bool json)
{
	msp_http_client_options_t options = {
	    .max_connections_per_server =
		load->gap == 0 ? load->connections : OPEN_LOOP_LANES,
	};

	load->loop = msp_new_loop(options.max_connections_per_server * 4 + 100);
	load->client = msp_new_http_client(load->loop, &options);
	if (load->loop == NULL || load->client == NULL) {
		print_last_error("load");
		return 1;
	}
	if (service != NULL) {
		load->lookup = new_lookup(load->loop, load->client, address,
		    (uint16_t)port, service, on_entries, load);
	} else {
		load->lookup = new_fixed_lookup(address, (uint16_t)port);
		on_entries(load);
	}
	load->stop = msp_new_timer(load->loop, load->end - msp_now(&load->env),
	    100 * MSP_MS, on_end, load);
	msp_run_loop(load->loop);
	if (load->started)
		print_request_stats(
		    &load->tally, msp_now(&load->env), json, stdout);
	else
		fprintf(stderr, "load: no entry VM found\n");
	drop_lookup(load->lookup);
	msp_drop_timer(load->pace);
	msp_drop_timer(load->stop);
	msp_drop_http_client(load->client);
	msp_drop_loop(load->loop);
	if (load->started)
		drop_request_stats(&load->tally);
	return load->started ? 0 : 1;
}

int
main(int argc, char **argv)
{
	struct arg_str *address = arg_str0(
	    NULL, "address", "IP", "IP number of the server (127.0.0.1)");
	struct arg_int *port =
	    arg_int1(NULL, "port", "N", "port of the server");
	struct arg_str *service = arg_str0(NULL, "service", "NAME",
	    "look up the entry VMs of this service at the server");
	struct arg_str *path =
	    arg_str0(NULL, "path", "PATH", "path to ask for (/)");
	struct arg_str *method =
	    arg_str0(NULL, "method", "NAME", "GET, or POST with keys (GET)");
	struct arg_str *body =
	    arg_str0(NULL, "body", "TEXT", "body of a POST (\"commit\")");
	struct arg_str *prefix = arg_str0(
	    NULL, "key-prefix", "TEXT", "start of the keys (load-PID)");
	struct arg_int *connections = arg_int0(
	    NULL, "connections", "N", "requests in flight, closed loop (9)");
	struct arg_dbl *rate =
	    arg_dbl0(NULL, "rate", "N", "requests a second, open loop");
	struct arg_int *count =
	    arg_int0(NULL, "count", "N", "requests in all (no bound)");
	struct arg_dbl *seconds =
	    arg_dbl0(NULL, "seconds", "N", "length of the run (10)");
	struct arg_int *timeout =
	    arg_int0(NULL, "timeout-ms", "N", "for one answer (5000)");
	struct arg_int *retries = arg_int0(NULL, "retries", "N",
	    "send a request again, with its key, at the next entry (0)");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this");
	struct arg_end *end = arg_end(10);
	void *table[] = {address, port, service, path, method, body, prefix,
	    connections, rate, count, seconds, timeout, retries, json, help,
	    end};
	char default_prefix[32];
	load_t load = {.env = msp_system_env()};
	int errors;
	int code;

	snprintf(
	    default_prefix, sizeof(default_prefix), "load-%d", (int)getpid());
	address->sval[0] = "127.0.0.1";
	service->sval[0] = NULL;
	path->sval[0] = "/";
	method->sval[0] = "GET";
	body->sval[0] = "commit";
	prefix->sval[0] = default_prefix;
	connections->ival[0] = 9;
	rate->dval[0] = 0;
	count->ival[0] = 0;
	seconds->dval[0] = 10;
	timeout->ival[0] = 5000;
	retries->ival[0] = 0;
	errors = arg_parse(argc, argv, table);
	if (help->count > 0 || errors > 0) {
		arg_print_errors(stderr, end, "load");
		arg_print_glossary(stdout, table, "%-24s %s\n");
		return help->count > 0 ? 0 : 2;
	}
	load.method = method->sval[0];
	load.path = path->sval[0];
	load.body = body->sval[0];
	load.key_prefix = prefix->sval[0];
	load.connections = (unsigned int)connections->ival[0];
	load.retries = (unsigned int)retries->ival[0];
	load.timeout_ms = (uint32_t)timeout->ival[0];
	load.count = (uint64_t)count->ival[0];
	if (rate->dval[0] > 0)
		load.gap = (msp_time_t)((double)MSP_SECOND / rate->dval[0]);
	load.end = msp_now(&load.env) +
	    (msp_time_t)(seconds->dval[0] * (double)MSP_SECOND);
	code = run_load(&load, address->sval[0], port->ival[0],
	    service->sval[0], json->count > 0);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
