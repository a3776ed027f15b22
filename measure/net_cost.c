/*
 * Throughput, latency and CPU time of HTTP requests and RPC calls over
 * loopback, 9 in flight, with client and server on one event loop in one
 * thread.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <arpa/inet.h>

#include "monsoonspindle/base.h"
#include "net_fixture.h"

#define ADDRESS "127.0.0.1"
#define IN_FLIGHT 9
#define HTTP_CALLS 50000
#define RPC_CALLS 200000
#define BODY_SIZE 200 /* bytes */
#define PROGRAM 0x20001234

typedef struct benchmark {
	msp_loop_t *loop;
	msp_http_server_t *server;
	msp_http_client_t *client;
	msp_rpc_t *rpc;
	struct sockaddr_in server_address; /* of the RPC server */
	msp_env_t env;
	msp_call_options_t options;
	const char *method;
	unsigned int started;
	unsigned int ended;
	unsigned int failed;
	unsigned int call_count; /* calls to start in all */
	msp_histogram_t latency; /* us */
} benchmark_t;

typedef struct pending_call {
	benchmark_t *benchmark;
	msp_time_t start;
} pending_call_t;

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	msp_response_t response = {.status = 200};
	char body[BODY_SIZE];

	(void)ctx;
	memset(body, 'x', sizeof(body));
	msp_add_header(&response.headers, "content-type", "text/plain");
	msp_append_data(&response.body, body, sizeof(body));
	msp_send_exchange_response(exchange, &response);
}

static void start_http(pending_call_t *call);
static void start_rpc(pending_call_t *call);

/* Records the end of a call; returns true if another one is to be started. */
static bool
record_end(pending_call_t *call, bool ok)
{
	benchmark_t *benchmark = call->benchmark;

	msp_record_value(
	    &benchmark->latency, msp_now(&benchmark->env) - call->start);
	benchmark->failed += ok ? 0 : 1;
	if (++benchmark->ended == benchmark->call_count)
		msp_stop_loop(benchmark->loop);
	return benchmark->started < benchmark->call_count;
}

static void
handle_http_done(void *ctx, msp_call_result_t *result)
{
	if (record_end(ctx, result->status == MSP_OK))
		start_http(ctx);
}

static void
start_http(pending_call_t *call)
{
	benchmark_t *benchmark = call->benchmark;
	msp_request_t request = {.path = "/v1/services/proofroom/a"};
	char body[BODY_SIZE];

	snprintf(
	    request.method, sizeof(request.method), "%s", benchmark->method);
	msp_add_header(&request.headers, "x-request-id", "0123456789abcdef");
	if (strcmp(benchmark->method, "POST") == 0) {
		memset(body, 'x', sizeof(body));
		msp_append_data(&request.body, body, sizeof(body));
	}
	benchmark->started++;
	call->start = msp_now(&benchmark->env);
	if (msp_start_call(benchmark->client, &benchmark->options, &request,
		handle_http_done, call) == NULL)
		abort();
}

static void
handle_rpc_done(void *ctx, msp_status_t status, void *result)
{
	(void)result;
	if (record_end(ctx, status == MSP_OK))
		start_rpc(ctx);
}

static void
start_rpc(pending_call_t *call)
{
	benchmark_t *benchmark = call->benchmark;
	uint32_t number = benchmark->started++;

	call->start = msp_now(&benchmark->env);
	if (msp_call_rpc(benchmark->rpc, &benchmark->server_address, 1,
		(xdrproc_t)xdr_uint32_t, &number, (xdrproc_t)xdr_uint32_t,
		sizeof(uint32_t), MSP_SECOND, handle_rpc_done, call) != MSP_OK)
		abort();
}

static void
measure(benchmark_t *benchmark, const char *name, unsigned int call_count,
    void (*start)(pending_call_t *call))
{
	pending_call_t calls[IN_FLIGHT];
	msp_time_t begin = msp_now(&benchmark->env);
	clock_t cpu = clock();
	double seconds;
	int i;

	benchmark->started = 0;
	benchmark->ended = 0;
	benchmark->failed = 0;
	benchmark->call_count = call_count;
	benchmark->latency = (msp_histogram_t){0};
	for (i = 0; i < IN_FLIGHT; i++) {
		calls[i].benchmark = benchmark;
		start(&calls[i]);
	}
	msp_run_loop(benchmark->loop);
	seconds =
	    (double)(msp_now(&benchmark->env) - begin) / (double)MSP_SECOND;
	printf("%-10s %8.0f/s  p50 %4llu us  p99 %4llu us  "
	       "%5.1f us of CPU each  failed %u\n",
	    name, call_count / seconds,
	    (unsigned long long)msp_quantile(&benchmark->latency, 0.5),
	    (unsigned long long)msp_quantile(&benchmark->latency, 0.99),
	    (double)(clock() - cpu) * 1e6 / CLOCKS_PER_SEC / call_count,
	    benchmark->failed);
}

int
main(void)
{
	benchmark_t benchmark = {.env = msp_system_env()};
	msp_http_server_options_t server = {
	    .address = ADDRESS,
	    .handler = {.on_request = handle_request},
	};
	msp_http_client_options_t client = {
	    .max_connections_per_server = IN_FLIGHT};
	msp_rpc_options_t rpc = {
	    .address = ADDRESS,
	    .program = PROGRAM,
	    .version = 1,
	    .procedures = &successor_procedure,
	    .procedure_count = 1,
	};

	benchmark.loop = msp_new_loop(256);
	benchmark.server = msp_new_http_server(benchmark.loop, &server);
	benchmark.client = msp_new_http_client(benchmark.loop, &client);
	benchmark.rpc = msp_new_rpc(benchmark.loop, &rpc);
	if (benchmark.server == NULL || benchmark.client == NULL ||
	    benchmark.rpc == NULL)
		return 1;
	benchmark.options = (msp_call_options_t){
	    .address = ADDRESS,
	    .port = msp_http_server_port(benchmark.server),
	    .timeout_ms = 5000,
	};
	benchmark.server_address.sin_family = AF_INET;
	benchmark.server_address.sin_port = htons(msp_rpc_port(benchmark.rpc));
	inet_pton(AF_INET, ADDRESS, &benchmark.server_address.sin_addr);
	benchmark.method = "GET";
	measure(&benchmark, "HTTP GET", HTTP_CALLS, start_http);
	benchmark.method = "POST";
	measure(&benchmark, "HTTP POST", HTTP_CALLS, start_http);
	measure(&benchmark, "RPC", RPC_CALLS, start_rpc);
	msp_drop_rpc(benchmark.rpc);
	msp_drop_http_client(benchmark.client);
	msp_drop_http_server(benchmark.server);
	msp_drop_loop(benchmark.loop);
	return benchmark.failed == 0 ? 0 : 1;
}
