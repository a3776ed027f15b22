/*
 * load: a load generator. Sends requests and reports how they ended.
 *
 * Closed loop: --connections requests are in flight; as soon as one ends the
 * next one starts. Open loop: --rate requests per second are started,
 * independent of those in flight. With --service the entry VMs are first looked
 * up at --address and --port, and again when the result has expired or an entry
 * VM does not respond.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>

#include "shared/lookup.h"
#include "shared/reply.h"
#include "shared/request_stats.h"

#define OPEN_LOOP_CONNECTIONS 1024
#define RETRY_DELAY (100 * MSP_MS)

typedef struct generator {
	msp_loop_t *loop;
	msp_http_client_t *client;
	lookup_t *lookup;
	msp_env_t env;
	request_stats_t stats; /* valid once started */
	msp_timer_t *start_timer; /* open loop: starts due requests */
	msp_timer_t *end_timer; /* from end_time on, every 100 ms */
	msp_time_t next_start; /* open loop: of the next request */
	msp_time_t interval; /* open loop: between starts; 0: closed loop */
	msp_time_t end_time; /* no request starts after it */
	const char *method;
	const char *path;
	const char *key_prefix;
	const char *body;
	uint32_t timeout_ms;
	unsigned int connections; /* closed loop: requests in flight */
	unsigned int retries; /* maximum per request */
	uint64_t max_requests; /* 0: unlimited */
	unsigned int in_flight;
	bool started; /* an entry VM is known */
} generator_t;

/* A request with all its attempts. */
typedef struct load_request {
	generator_t *generator;
	uint64_t number; /* counted from 0; part of its id and key */
	unsigned int attempt; /* from 1 */
	msp_time_t start_time;
	msp_timer_t *retry_timer;
} load_request_t;

static void send_request(load_request_t *request);
static void fill_connections(generator_t *generator);

/* Whether no more requests are started. */
static bool
is_run_over(const generator_t *generator)
{
	return (generator->max_requests != 0 &&
		   generator->stats.requests >= generator->max_requests) ||
	    msp_now(&generator->env) >= generator->end_time;
}

static void
end_request(load_request_t *request)
{
	generator_t *generator = request->generator;

	generator->in_flight--;
	free(request);
	if (is_run_over(generator) && generator->in_flight == 0)
		msp_stop_loop(generator->loop);
	else if (generator->interval == 0)
		fill_connections(generator);
}

static void
handle_retry_timer(void *ctx)
{
	load_request_t *request = ctx;

	msp_drop_timer(request->retry_timer);
	request->retry_timer = NULL;
	request->attempt++;
	request->generator->stats.retries++;
	send_request(request);
}

static void
handle_call_done(void *ctx, msp_call_result_t *result)
{
	load_request_t *request = ctx;
	generator_t *generator = request->generator;
	msp_time_t latency = msp_now(&generator->env) - request->start_time;
	char kind[FAILURE_KIND_SIZE];

	get_failure_kind(result, kind);
	if (result->status != MSP_OK)
		refresh_lookup(generator->lookup);
	if (kind[0] == '\0') {
		record_successful_request(&generator->stats, latency);
		end_request(request);
		return;
	}
	if (request->attempt <= generator->retries) {
		request->retry_timer = msp_new_timer(generator->loop,
		    RETRY_DELAY, 0, handle_retry_timer, request);
		return;
	}
	record_failed_request(&generator->stats, kind, latency);
	end_request(request);
}

static void
send_request(load_request_t *request)
{
	generator_t *generator = request->generator;
	const entry_vm_t *entry = get_entry_vm(generator->lookup,
	    (unsigned int)request->number + request->attempt - 1);
	msp_request_t http_request = {0};
	msp_call_options_t options = {
	    .address = entry->address,
	    .port = entry->port,
	    .timeout_ms = generator->timeout_ms,
	};

	snprintf(http_request.method, sizeof(http_request.method), "%s",
	    generator->method);
	snprintf(http_request.path, sizeof(http_request.path), "%s",
	    generator->path);
	msp_print_header(&http_request.headers, "X-Request-ID", "%s-%llu",
	    generator->key_prefix, (unsigned long long)request->number);
	msp_print_header(&http_request.headers, "Request-Timeout", "%u",
	    generator->timeout_ms);
	if (strcmp(generator->method, "GET") != 0) {
		msp_print_header(&http_request.headers, "Idempotency-Key",
		    "%s-%llu", generator->key_prefix,
		    (unsigned long long)request->number);
		msp_print_header(&http_request.headers, "Request-Attempt", "%u",
		    request->attempt);
		msp_append_data(&http_request.body, generator->body,
		    strlen(generator->body));
	}
	if (msp_start_call(generator->client, &options, &http_request,
		handle_call_done, request) == NULL)
		abort();
}

static void
start_request(generator_t *generator)
{
	load_request_t *request = calloc(1, sizeof(*request));

	if (request == NULL)
		abort();
	request->generator = generator;
	request->number = generator->stats.requests++;
	request->attempt = 1;
	request->start_time = msp_now(&generator->env);
	generator->in_flight++;
	send_request(request);
}

/* Closed loop: starts requests until all connections are in use. */
static void
fill_connections(generator_t *generator)
{
	while (generator->in_flight < generator->connections &&
	    !is_run_over(generator))
		start_request(generator);
}

/* Open loop: starts the requests that are due. */
static void
handle_start_timer(void *ctx)
{
	generator_t *generator = ctx;

	while (generator->next_start <= msp_now(&generator->env) &&
	    !is_run_over(generator)) {
		start_request(generator);
		generator->next_start += generator->interval;
	}
}

static void
handle_entries_changed(void *ctx)
{
	generator_t *generator = ctx;

	if (generator->started || get_entry_vm(generator->lookup, 0) == NULL)
		return;
	generator->started = true;
	init_request_stats(&generator->stats, msp_now(&generator->env));
	generator->next_start = msp_now(&generator->env);
	if (generator->interval == 0)
		fill_connections(generator);
	else
		generator->start_timer = msp_new_timer(generator->loop, MSP_MS,
		    MSP_MS, handle_start_timer, generator);
}

static void
handle_end_timer(void *ctx)
{
	generator_t *generator = ctx;

	if (generator->in_flight == 0)
		msp_stop_loop(generator->loop);
}

static int
run_load(generator_t *generator, const char *address, int port,
    const char *service, bool json)
{
	msp_http_client_options_t options = {
	    .max_connections_per_server = generator->interval == 0
		? generator->connections
		: OPEN_LOOP_CONNECTIONS,
	};

	generator->loop =
	    msp_new_loop(options.max_connections_per_server * 4 + 100);
	generator->client = msp_new_http_client(generator->loop, &options);
	if (generator->loop == NULL || generator->client == NULL) {
		print_last_error("load");
		return 1;
	}
	if (service != NULL) {
		generator->lookup = new_lookup(generator->loop,
		    generator->client, address, (uint16_t)port, service,
		    handle_entries_changed, generator);
	} else {
		generator->lookup = new_fixed_lookup(address, (uint16_t)port);
		handle_entries_changed(generator);
	}
	generator->end_timer = msp_new_timer(generator->loop,
	    generator->end_time - msp_now(&generator->env), 100 * MSP_MS,
	    handle_end_timer, generator);
	msp_run_loop(generator->loop);
	if (generator->started)
		print_request_stats(
		    &generator->stats, msp_now(&generator->env), json, stdout);
	else
		fprintf(stderr, "load: no entry VM found\n");
	drop_lookup(generator->lookup);
	msp_drop_timer(generator->start_timer);
	msp_drop_timer(generator->end_timer);
	msp_drop_http_client(generator->client);
	msp_drop_loop(generator->loop);
	if (generator->started)
		drop_request_stats(&generator->stats);
	return generator->started ? 0 : 1;
}

int
main(int argc, char **argv)
{
	struct arg_str *address = arg_str0(
	    NULL, "address", "IP", "IP address of the server (127.0.0.1)");
	struct arg_int *port =
	    arg_int1(NULL, "port", "N", "port of the server");
	struct arg_str *service = arg_str0(NULL, "service", "NAME",
	    "look up the entry VMs of this service at the server");
	struct arg_str *path =
	    arg_str0(NULL, "path", "PATH", "path of the requests (/)");
	struct arg_str *method =
	    arg_str0(NULL, "method", "NAME", "GET, or POST with keys (GET)");
	struct arg_str *body =
	    arg_str0(NULL, "body", "TEXT", "body of a POST (\"commit\")");
	struct arg_str *prefix = arg_str0(
	    NULL, "key-prefix", "TEXT", "prefix of the keys (load-PID)");
	struct arg_int *connections = arg_int0(
	    NULL, "connections", "N", "requests in flight, closed loop (9)");
	struct arg_dbl *rate =
	    arg_dbl0(NULL, "rate", "N", "requests per second, open loop");
	struct arg_int *count = arg_int0(
	    NULL, "count", "N", "total number of requests (unlimited)");
	struct arg_dbl *seconds =
	    arg_dbl0(NULL, "seconds", "N", "duration of the run (10)");
	struct arg_int *timeout =
	    arg_int0(NULL, "timeout-ms", "N", "timeout of one attempt (5000)");
	struct arg_int *retries = arg_int0(NULL, "retries", "N",
	    "retries of a request, with its key, at the next entry VM (0)");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this");
	struct arg_end *end = arg_end(10);
	void *table[] = {address, port, service, path, method, body, prefix,
	    connections, rate, count, seconds, timeout, retries, json, help,
	    end};
	char default_prefix[32];
	generator_t generator = {.env = msp_system_env()};
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
	generator.method = method->sval[0];
	generator.path = path->sval[0];
	generator.body = body->sval[0];
	generator.key_prefix = prefix->sval[0];
	generator.connections = (unsigned int)connections->ival[0];
	generator.retries = (unsigned int)retries->ival[0];
	generator.timeout_ms = (uint32_t)timeout->ival[0];
	generator.max_requests = (uint64_t)count->ival[0];
	if (rate->dval[0] > 0)
		generator.interval =
		    (msp_time_t)((double)MSP_SECOND / rate->dval[0]);
	generator.end_time = msp_now(&generator.env) +
	    (msp_time_t)(seconds->dval[0] * (double)MSP_SECOND);
	code = run_load(&generator, address->sval[0], port->ival[0],
	    service->sval[0], json->count > 0);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
