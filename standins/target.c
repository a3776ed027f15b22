/*
 * target: a stand-in for a target.
 *
 * Serves any path with a limited number of slots. The response to a GET has the
 * target's name, the path and the request id, and with "?bytes=N" N bytes of
 * padding; a POST also counts a run of its Idempotency-Key and returns the
 * count. GET /load is the load report, GET /runs has the count of each key,
 * POST /control injects faults (shared/target_faults.h). On SIGTERM the target
 * reports that it is leaving, and exits with 0 when it is idle, or at once on a
 * second one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>

#include "shared/raw_response.h"
#include "shared/reply.h"
#include "shared/run_counter.h"
#include "shared/target_faults.h"

#define COLD_FACTOR 4 /* of the service time while the target is cold */
#define PAD_MAX (4 * 1024 * 1024) /* bytes of padding */
#define STOP_CHECK_INTERVAL (20 * MSP_MS)

typedef struct target {
	msp_loop_t *loop;
	msp_http_server_t *server;
	msp_env_t env;
	const char *name;
	int slots;
	int in_use; /* slots */
	msp_time_t service_time;
	msp_time_t warm_at; /* the target is cold until then */
	target_faults_t faults;
	run_counter_t *run_counter;
	bool stopping;
	msp_timer_t *stop_timer;
} target_t;

/* A request that occupies a slot. */
typedef struct active_request {
	target_t *target;
	msp_exchange_t *exchange;
	msp_timer_t *timer; /* end of the service time; NULL if none is due */
	uint64_t run_count; /* runs of its key; 0 unless it is a POST */
} active_request_t;

static bool
is_cold(const target_t *target)
{
	return msp_now(&target->env) < target->warm_at;
}

static const char *
get_state_name(const target_t *target)
{
	if (target->faults.leaving || target->stopping)
		return "leaving";
	return is_cold(target) ? "cold" : "ready";
}

static void
reply_load(target_t *target, msp_exchange_t *exchange)
{
	json_object *load = json_object_new_object();
	int in_use = target->faults.overrides_in_use
	    ? target->faults.reported_in_use
	    : target->in_use;

	json_object_object_add(
	    load, "name", json_object_new_string(target->name));
	json_object_object_add(
	    load, "slots", json_object_new_int(target->slots));
	json_object_object_add(load, "in_use", json_object_new_int(in_use));
	json_object_object_add(
	    load, "state", json_object_new_string(get_state_name(target)));
	reply_json(exchange, 200, load);
}

static void
reply_control(target_t *target, msp_exchange_t *exchange)
{
	json_object *control = parse_json_body(exchange);
	msp_status_t status = MSP_E_BAD_REQUEST;

	if (control != NULL)
		status = apply_control(
		    &target->faults, control, msp_now(&target->env));
	json_object_put(control);
	if (status == MSP_OK)
		reply_load(target, exchange);
	else
		reply_problem(exchange, status);
}

static json_object *
new_response_body(const active_request_t *active)
{
	const msp_request_t *request = msp_exchange_request(active->exchange);
	const char *id = msp_find_header(&request->headers, "x-request-id");
	long long bytes = get_query_number(request->path, "bytes", 0);
	json_object *body = json_object_new_object();
	char *pad;

	json_object_object_add(
	    body, "target", json_object_new_string(active->target->name));
	json_object_object_add(
	    body, "path", json_object_new_string(request->path));
	json_object_object_add(
	    body, "request_id", id == NULL ? NULL : json_object_new_string(id));
	if (active->run_count != 0)
		json_object_object_add(body, "runs",
		    json_object_new_int64((int64_t)active->run_count));
	if (bytes <= 0 || bytes > PAD_MAX)
		return body;
	pad = malloc((size_t)bytes);
	if (pad == NULL)
		return body;
	memset(pad, 'x', (size_t)bytes);
	json_object_object_add(
	    body, "pad", json_object_new_string_len(pad, (int)bytes));
	free(pad);
	return body;
}

static void
free_request(active_request_t *active)
{
	active->target->in_use--;
	msp_drop_timer(active->timer);
	free(active);
}

static bool
withholds_response(const target_t *target, const msp_exchange_t *exchange)
{
	return target->faults.mode == MODE_SILENT ||
	    (target->faults.mode == MODE_SILENT_OLD &&
		is_connection_opened_before(
		    exchange, target->faults.mode_set_at));
}

/* Sends the response, with the fault that the target's mode asks for. */
static void
handle_service_end(void *ctx)
{
	active_request_t *active = ctx;
	target_t *target = active->target;
	msp_exchange_t *exchange = active->exchange;
	json_object *body;

	msp_drop_timer(active->timer);
	active->timer = NULL;
	if (target->faults.mode == MODE_CHUNKED) {
		send_chunked_response(exchange, target->faults.chunk_bytes);
		return;
	}
	body = new_response_body(active);
	if (target->faults.mode == MODE_CUT) {
		send_truncated_response(
		    exchange, json_object_to_json_string(body));
		json_object_put(body);
		return;
	}
	msp_set_exchange_data(exchange, NULL);
	free_request(active);
	reply_json(exchange, 200, body);
}

static void
start_request(target_t *target, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *key = msp_find_header(&request->headers, "idempotency-key");
	msp_time_t service_time = target->service_time;
	active_request_t *active = calloc(1, sizeof(*active));

	if (active == NULL)
		abort();
	active->target = target;
	active->exchange = exchange;
	msp_set_exchange_data(exchange, active);
	target->in_use++;
	if (strcmp(request->method, "POST") == 0)
		active->run_count =
		    count_run(target->run_counter, key == NULL ? "" : key);
	if (target->faults.crash_path[0] != '\0' &&
	    strncmp(request->path, target->faults.crash_path,
		strlen(target->faults.crash_path)) == 0)
		_exit(1);
	if (withholds_response(target, exchange))
		return;
	if (is_cold(target))
		service_time *= COLD_FACTOR;
	service_time += target->faults.slow_ms * MSP_MS;
	active->timer = msp_new_timer(
	    target->loop, service_time, 0, handle_service_end, active);
}

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	target_t *target = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	bool is_get = strcmp(request->method, "GET") == 0;

	if (is_get && strcmp(request->path, "/load") == 0)
		reply_load(target, exchange);
	else if (is_get && strcmp(request->path, "/runs") == 0)
		reply_json(
		    exchange, 200, get_run_counts_json(target->run_counter));
	else if (!is_get && strcmp(request->path, "/control") == 0)
		reply_control(target, exchange);
	else if (target->faults.mode == MODE_SHED ||
	    target->in_use >= target->slots)
		reply_problem(exchange, MSP_E_OVERLOAD);
	else
		start_request(target, exchange);
}

static void
handle_disconnect(void *ctx, msp_exchange_t *exchange)
{
	active_request_t *active = msp_exchange_data(exchange);

	(void)ctx;
	if (active != NULL)
		free_request(active);
}

static void
handle_stop_timer(void *ctx)
{
	target_t *target = ctx;

	if (target->in_use == 0 &&
	    msp_count_open_exchanges(target->server) == 0)
		msp_stop_loop(target->loop);
}

static void
handle_stop_signal(void *ctx)
{
	target_t *target = ctx;

	if (target->stopping) {
		msp_stop_loop(target->loop);
		return;
	}
	target->stopping = true;
	msp_close_http_listener(target->server);
	target->stop_timer = msp_new_timer(target->loop, STOP_CHECK_INTERVAL,
	    STOP_CHECK_INTERVAL, handle_stop_timer, target);
}

static int
run_target(target_t *target, const char *address, int port, int connections)
{
	msp_http_server_options_t options = {
	    .address = address,
	    .port = (uint16_t)port,
	    .limits = {.max_connections = (unsigned int)connections},
	    .handler =
		{
		    .on_request = handle_request,
		    .on_disconnect = handle_disconnect,
		    .ctx = target,
		},
	};

	target->loop = msp_new_loop((unsigned int)connections + 200);
	if (target->loop == NULL)
		return 1;
	target->server = msp_new_http_server(target->loop, &options);
	if (target->server == NULL ||
	    msp_watch_stop_signals(target->loop, handle_stop_signal, target) !=
		MSP_OK) {
		print_last_error("target");
		return 1;
	}
	printf("target %s %s %u\n", target->name, address,
	    msp_http_server_port(target->server));
	fflush(stdout);
	msp_run_loop(target->loop);
	msp_drop_timer(target->stop_timer);
	msp_drop_http_server(target->server);
	msp_drop_loop(target->loop);
	drop_run_counter(target->run_counter);
	return 0;
}

int
main(int argc, char **argv)
{
	struct arg_str *address = arg_str0(
	    NULL, "address", "IP", "IP address to listen on (127.0.0.1)");
	struct arg_int *port = arg_int0(
	    NULL, "port", "N", "port to listen on (0: any free one, printed)");
	struct arg_str *name =
	    arg_str0(NULL, "name", "NAME", "name in responses (target)");
	struct arg_int *slots =
	    arg_int0(NULL, "slots", "N", "concurrent requests (4)");
	struct arg_int *service = arg_int0(
	    NULL, "service-time-ms", "N", "service time of a request (5)");
	struct arg_int *cold = arg_int0(NULL, "cold-ms", "N",
	    "four times the service time for this long at first (0)");
	struct arg_int *connections = arg_int0(NULL, "connections", "N",
	    "maximum number of open connections (1000)");
	struct arg_str *journal = arg_str0(
	    NULL, "journal", "FILE", "append the key of each run to FILE");
	struct arg_lit *help = arg_lit0("h", "help", "print this");
	struct arg_end *end = arg_end(10);
	void *table[] = {address, port, name, slots, service, cold, connections,
	    journal, help, end};
	target_t target = {.env = msp_system_env()};
	int errors;
	int code;

	address->sval[0] = "127.0.0.1";
	port->ival[0] = 0;
	name->sval[0] = "target";
	slots->ival[0] = 4;
	service->ival[0] = 5;
	cold->ival[0] = 0;
	connections->ival[0] = 1000;
	journal->sval[0] = NULL;
	errors = arg_parse(argc, argv, table);
	if (help->count > 0 || errors > 0) {
		arg_print_errors(stderr, end, "target");
		arg_print_glossary(stdout, table, "%-24s %s\n");
		return help->count > 0 ? 0 : 2;
	}
	target.name = name->sval[0];
	target.slots = slots->ival[0];
	target.service_time = (msp_time_t)service->ival[0] * MSP_MS;
	target.warm_at =
	    msp_now(&target.env) + (msp_time_t)cold->ival[0] * MSP_MS;
	target.run_counter = new_run_counter(journal->sval[0]);
	code = run_target(
	    &target, address->sval[0], port->ival[0], connections->ival[0]);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
