/*
 * target: a stand-in for a target.
 *
 * Serves any path with a bounded number of slots. GET names target, path and
 * request id (with "?bytes=N" N bytes more); POST counts a run of its
 * Idempotency-Key and answers with that count. GET /load is the load report,
 * GET /runs the count of each key, POST /control sets faults
 * (shared/target_faults.h). SIGTERM: leaving, then exit 0 when idle.
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

#define COLD_FACTOR 4 /* service time of a cold target */
#define PAD_MAX (4 * 1024 * 1024) /* bytes */
#define STOP_CHECK (20 * MSP_MS)

typedef struct target {
	msp_loop_t *loop;
	msp_http_server_t *server;
	msp_env_t env;
	const char *name;
	int slots;
	int in_use;
	msp_time_t service_time;
	msp_time_t warm_at;
	target_faults_t faults;
	run_counter_t *runs;
	bool stopping;
	msp_timer_t *stop_timer;
} target_t;

/* A request in a slot. */
typedef struct work {
	target_t *target;
	msp_exchange_t *exchange;
	msp_timer_t *timer; /* NULL once the service time is over */
	uint64_t run;
} work_t;

static bool
is_cold(const target_t *target)
{
	return msp_now(&target->env) < target->warm_at;
}

static const char *
state_name(const target_t *target)
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
	    load, "state", json_object_new_string(state_name(target)));
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
new_answer(const work_t *work)
{
	const msp_request_t *request = msp_exchange_request(work->exchange);
	const char *id = msp_find_header(&request->headers, "x-request-id");
	long long bytes = get_query_number(request->path, "bytes", 0);
	json_object *answer = json_object_new_object();
	char *pad;

	json_object_object_add(
	    answer, "target", json_object_new_string(work->target->name));
	json_object_object_add(
	    answer, "path", json_object_new_string(request->path));
	json_object_object_add(answer, "request_id",
	    id == NULL ? NULL : json_object_new_string(id));
	if (work->run != 0)
		json_object_object_add(
		    answer, "runs", json_object_new_int64((int64_t)work->run));
	if (bytes <= 0 || bytes > PAD_MAX)
		return answer;
	pad = malloc((size_t)bytes);
	if (pad == NULL)
		return answer;
	memset(pad, 'x', (size_t)bytes);
	json_object_object_add(
	    answer, "pad", json_object_new_string_len(pad, (int)bytes));
	free(pad);
	return answer;
}

static void
free_work(work_t *work)
{
	work->target->in_use--;
	msp_drop_timer(work->timer);
	free(work);
}

static bool
is_silent(const target_t *target, const msp_exchange_t *exchange)
{
	return target->faults.mode == MODE_SILENT ||
	    (target->faults.mode == MODE_SILENT_OLD &&
		is_connection_opened_before(
		    exchange, target->faults.mode_set_at));
}

/* The service time is over. */
static void
finish_work(void *ctx)
{
	work_t *work = ctx;
	target_t *target = work->target;
	msp_exchange_t *exchange = work->exchange;
	json_object *answer;

	msp_drop_timer(work->timer);
	work->timer = NULL;
	if (target->faults.mode == MODE_CHUNKED) {
		send_chunked_response(exchange, target->faults.chunk_bytes);
		return;
	}
	answer = new_answer(work);
	if (target->faults.mode == MODE_CUT) {
		send_truncated_response(
		    exchange, json_object_to_json_string(answer));
		json_object_put(answer);
		return;
	}
	msp_set_exchange_data(exchange, NULL);
	free_work(work);
	reply_json(exchange, 200, answer);
}

static void
start_work(target_t *target, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const char *key = msp_find_header(&request->headers, "idempotency-key");
	msp_time_t time = target->service_time;
	work_t *work = calloc(1, sizeof(*work));

	if (work == NULL)
		abort();
	work->target = target;
	work->exchange = exchange;
	msp_set_exchange_data(exchange, work);
	target->in_use++;
	if (strcmp(request->method, "POST") == 0)
		work->run = count_run(target->runs, key == NULL ? "" : key);
	if (target->faults.crash_path[0] != '\0' &&
	    strncmp(request->path, target->faults.crash_path,
		strlen(target->faults.crash_path)) == 0)
		_exit(1);
	if (is_silent(target, exchange))
		return;
	if (is_cold(target))
		time *= COLD_FACTOR;
	time += target->faults.slow_ms * MSP_MS;
	work->timer = msp_new_timer(target->loop, time, 0, finish_work, work);
}

static void
on_request(void *ctx, msp_exchange_t *exchange)
{
	target_t *target = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	bool get = strcmp(request->method, "GET") == 0;

	if (get && strcmp(request->path, "/load") == 0)
		reply_load(target, exchange);
	else if (get && strcmp(request->path, "/runs") == 0)
		reply_json(exchange, 200, get_run_counts_json(target->runs));
	else if (!get && strcmp(request->path, "/control") == 0)
		reply_control(target, exchange);
	else if (target->faults.mode == MODE_SHED ||
	    target->in_use >= target->slots)
		reply_problem(exchange, MSP_E_OVERLOAD);
	else
		start_work(target, exchange);
}

static void
on_gone(void *ctx, msp_exchange_t *exchange)
{
	work_t *work = msp_exchange_data(exchange);

	(void)ctx;
	if (work != NULL)
		free_work(work);
}

static void
check_stop(void *ctx)
{
	target_t *target = ctx;

	if (target->in_use == 0 &&
	    msp_count_open_exchanges(target->server) == 0)
		msp_stop_loop(target->loop);
}

static void
on_stop_signal(void *ctx)
{
	target_t *target = ctx;

	if (target->stopping) {
		msp_stop_loop(target->loop);
		return;
	}
	target->stopping = true;
	msp_close_http_listener(target->server);
	target->stop_timer = msp_new_timer(
	    target->loop, STOP_CHECK, STOP_CHECK, check_stop, target);
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
		    .on_request = on_request,
		    .on_disconnect = on_gone,
		    .ctx = target,
		},
	};

	target->loop = msp_new_loop((unsigned int)connections + 200);
	if (target->loop == NULL)
		return 1;
	target->server = msp_new_http_server(target->loop, &options);
	if (target->server == NULL ||
	    msp_watch_stop_signals(target->loop, on_stop_signal, target) !=
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
	drop_run_counter(target->runs);
	return 0;
}

int
main(int argc, char **argv)
{
	struct arg_str *address = arg_str0(
	    NULL, "address", "IP", "IP number to listen on (127.0.0.1)");
	struct arg_int *port = arg_int0(
	    NULL, "port", "N", "port to listen on (0: any free one, printed)");
	struct arg_str *name =
	    arg_str0(NULL, "name", "NAME", "name in answers (target)");
	struct arg_int *slots =
	    arg_int0(NULL, "slots", "N", "requests at a time (4)");
	struct arg_int *service = arg_int0(
	    NULL, "service-time-ms", "N", "time that a request takes (5)");
	struct arg_int *cold = arg_int0(
	    NULL, "cold-ms", "N", "four times slower this long at first (0)");
	struct arg_int *connections =
	    arg_int0(NULL, "connections", "N", "open connections (1000)");
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
	target.runs = new_run_counter(journal->sval[0]);
	code = run_target(
	    &target, address->sval[0], port->ival[0], connections->ival[0]);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
