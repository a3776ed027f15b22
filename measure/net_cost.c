/*
 * net_cost: what the package net costs on the loopback, client and server on
 * one loop in one thread: HTTP requests/s at 9 in flight, RPC calls/s.
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

typedef struct cost {
	msp_loop_t *loop;
	msp_http_server_t *server;
	msp_http_client_t *client;
	msp_rpc_t *rpc;
	struct sockaddr_in to;
	msp_env_t env;
	msp_call_options_t options;
	const char *method;
	unsigned int started;
	unsigned int ended;
	unsigned int failed;
	unsigned int bound;
	msp_histogram_t latency; /* us */
} cost_t;

typedef struct one {
	cost_t *cost;
	msp_time_t start;
} one_t;

static void
on_request(void *ctx, msp_exchange_t *exchange)
{
	msp_response_t response = {.status = 200};
	char body[BODY_SIZE];

	(void)ctx;
	memset(body, 'x', sizeof(body));
	msp_add_header(&response.headers, "content-type", "text/plain");
	msp_append_data(&response.body, body, sizeof(body));
	msp_answer_exchange(exchange, &response);
}

static void start_http(one_t *one);
static void start_rpc(one_t *one);

static bool
count_end(one_t *one, bool good)
{
	cost_t *cost = one->cost;

	msp_record_value(&cost->latency, msp_now(&cost->env) - one->start);
	cost->failed += good ? 0 : 1;
	if (++cost->ended == cost->bound)
		msp_stop_loop(cost->loop);
	return cost->started < cost->bound;
}

static void
on_http_done(void *ctx, msp_call_result_t *result)
{
	if (count_end(ctx, result->status == MSP_OK))
		start_http(ctx);
}

static void
start_http(one_t *one)
{
	cost_t *cost = one->cost;
	msp_request_t request = {.path = "/v1/services/proofroom/a"};
	char body[BODY_SIZE];

	snprintf(request.method, sizeof(request.method), "%s", cost->method);
	msp_add_header(&request.headers, "x-request-id", "0123456789abcdef");
	if (strcmp(cost->method, "POST") == 0) {
		memset(body, 'x', sizeof(body));
		msp_append_data(&request.body, body, sizeof(body));
	}
	cost->started++;
	one->start = msp_now(&cost->env);
	if (msp_start_call(cost->client, &cost->options, &request, on_http_done,
		one) == NULL)
		abort();
}

static void
on_rpc_done(void *ctx, msp_status_t status, void *result)
{
	(void)result;
	if (count_end(ctx, status == MSP_OK))
		start_rpc(ctx);
}

static void
start_rpc(one_t *one)
{
	cost_t *cost = one->cost;
	uint32_t number = cost->started++;

	one->start = msp_now(&cost->env);
	if (msp_call_rpc(cost->rpc, &cost->to, 1, (xdrproc_t)xdr_uint32_t,
		&number, (xdrproc_t)xdr_uint32_t, sizeof(uint32_t), MSP_SECOND,
		on_rpc_done, one) != MSP_OK)
		abort();
}

static void
measure(cost_t *cost, const char *name, unsigned int bound,
    void (*start)(one_t *one))
{
	one_t ones[IN_FLIGHT];
	msp_time_t begin = msp_now(&cost->env);
	clock_t cpu = clock();
	double seconds;
	int i;

	cost->started = 0;
	cost->ended = 0;
	cost->failed = 0;
	cost->bound = bound;
	cost->latency = (msp_histogram_t){0};
	for (i = 0; i < IN_FLIGHT; i++) {
		ones[i].cost = cost;
		start(&ones[i]);
	}
	msp_run_loop(cost->loop);
	seconds = (double)(msp_now(&cost->env) - begin) / (double)MSP_SECOND;
	printf("%-10s %8.0f/s  p50 %4llu us  p99 %4llu us  "
	       "%5.1f us of processor each  failed %u\n",
	    name, bound / seconds,
	    (unsigned long long)msp_quantile(&cost->latency, 0.5),
	    (unsigned long long)msp_quantile(&cost->latency, 0.99),
	    (double)(clock() - cpu) * 1e6 / CLOCKS_PER_SEC / bound,
	    cost->failed);
}

int
main(void)
{
	cost_t cost = {.env = msp_system_env()};
	msp_http_server_options_t server = {
	    .address = ADDRESS,
	    .handler = {.on_request = on_request},
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

	cost.loop = msp_new_loop(256);
	cost.server = msp_new_http_server(cost.loop, &server);
	cost.client = msp_new_http_client(cost.loop, &client);
	cost.rpc = msp_new_rpc(cost.loop, &rpc);
	if (cost.server == NULL || cost.client == NULL || cost.rpc == NULL)
		return 1;
	cost.options = (msp_call_options_t){
	    .address = ADDRESS,
	    .port = msp_http_server_port(cost.server),
	    .timeout_ms = 5000,
	};
	cost.to.sin_family = AF_INET;
	cost.to.sin_port = htons(msp_rpc_port(cost.rpc));
	inet_pton(AF_INET, ADDRESS, &cost.to.sin_addr);
	cost.method = "GET";
	measure(&cost, "HTTP GET", HTTP_CALLS, start_http);
	cost.method = "POST";
	measure(&cost, "HTTP POST", HTTP_CALLS, start_http);
	measure(&cost, "RPC", RPC_CALLS, start_rpc);
	msp_drop_rpc(cost.rpc);
	msp_drop_http_client(cost.client);
	msp_drop_http_server(cost.server);
	msp_drop_loop(cost.loop);
	return cost.failed == 0 ? 0 : 1;
}
