#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/histogram.h"
#include "monsoonspindle/coord.h"
#include "monsoonspindle/platform/memory_store.h"

/*
 * Throughput and latency of requests of class commit, which need a claim, on 20
 * VMs on the virtual clock. The VMs share one store that accepts 300 writes per
 * second; a target runs each request for 50 ms. Latency is from the arrival of
 * the request to the target's response; refused requests are counted
 * separately. Store writes are reported both as transactions and as rows.
 */

#define SEED 20240611
#define VMS 20
#define WRITES_PER_SECOND 300
#define WARM_UP (3 * MSP_SECOND)
#define MEASURED_TIME (10 * MSP_SECOND)
#define SERVICE_TIME (50 * MSP_MS)
#define STORE_LATENCY (16 * MSP_MS)
#define STORE_JITTER (8 * MSP_MS)
#define SLOW_LATENCY (600 * MSP_MS)
#define ATTEMPT_TIMEOUT (10 * MSP_SECOND)
#define BODY "printed: one letter, second class, tray 4\n"

typedef enum store_state {
	STORE_UP,
	STORE_SLOW,
	STORE_DOWN
} store_state_t;

typedef struct run_options {
	bool issued; /* issued keys, whose claims are decided in memory */
	msp_time_t batch_window; /* 0: one write per transaction */
	double rate; /* requests per second, of all VMs */
	store_state_t state;
	bool cap_rows; /* the store limits rows, not transactions */
} run_options_t;

struct bench;

typedef struct request {
	struct bench *bench;
	unsigned int vm;
	msp_time_t arrival;
	msp_time_t response_at;
	msp_nonce_t nonce;
	struct request *next; /* in order of response_at */
} request_t;

typedef struct bench {
	const run_options_t *options;
	msp_virtual_env_t venv;
	msp_memory_store_t *store;
	msp_claims_t *vms[VMS];
	request_t *first; /* queue of requests that run on targets */
	request_t **last; /* where the next one is appended */
	uint64_t sent;
	msp_time_t measure_from;
	uint64_t completed;
	uint64_t refused;
	uint64_t arrived;
	msp_histogram_t latency;
} bench_t;

static void
query_owner(void *ctx, const msp_owner_query_t *query,
    msp_owner_query_done_t *done, void *done_ctx)
{
	(void)ctx;
	(void)query;
	(void)done;
	(void)done_ctx;
	abort(); /* not called: each key is sent to one VM only */
}

static bool
has_ended(void *ctx, uint64_t incarnation)
{
	(void)ctx;
	(void)incarnation;
	return false;
}

static msp_time_t
get_wall_time(void *ctx)
{
	return ((const bench_t *)ctx)->venv.now;
}

static void
open_bench(bench_t *bench, const run_options_t *options)
{
	msp_claims_options_t claims = {
	    .hooks = {.ctx = bench,
		.query_owner = query_owner,
		.has_ended = has_ended,
		.wall_time = get_wall_time},
	    .address = "vm",
	    .batch_window = options->batch_window,
	    .max_batch_rows = options->batch_window == 0 ? 1 : 256,
	    .max_batches = options->batch_window == 0 ? 64 : 0,
	};
	msp_store_faults_t *faults;
	unsigned int i;

	*bench = (bench_t){.options = options};
	bench->last = &bench->first;
	bench->venv.now = MSP_MINUTE;
	bench->venv.rng.state = SEED;
	claims.env = msp_virtual_env(&bench->venv);
	bench->store = msp_new_memory_store(&claims.env);
	if (bench->store == NULL)
		abort();
	claims.store = msp_memory_store(bench->store);
	faults = msp_memory_store_faults(bench->store);
	faults->latency =
	    options->state == STORE_SLOW ? SLOW_LATENCY : STORE_LATENCY;
	faults->jitter = STORE_JITTER;
	faults->down = options->state == STORE_DOWN;
	faults->writes_per_second = WRITES_PER_SECOND;
	faults->count_rows = options->cap_rows;
	for (i = 0; i < VMS; i++) {
		claims.incarnation = i + 1;
		bench->vms[i] = msp_new_claims(&claims);
		if (bench->vms[i] == NULL)
			abort();
	}
	bench->measure_from = bench->venv.now + WARM_UP;
}

static bool
is_measured(const request_t *request)
{
	const bench_t *bench = request->bench;

	return request->arrival >= bench->measure_from &&
	    request->arrival < bench->measure_from + MEASURED_TIME;
}

static void
handle_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	request_t *request = ctx;
	bench_t *bench = request->bench;

	if (verdict->kind == MSP_CLAIM_VERDICT_RUN) {
		request->nonce = verdict->nonce;
		request->response_at = bench->venv.now + SERVICE_TIME;
		*bench->last = request;
		bench->last = &request->next;
		return;
	}
	if (is_measured(request) && verdict->kind == MSP_CLAIM_VERDICT_REPLAY) {
		bench->completed++;
		msp_record_value(
		    &bench->latency, bench->venv.now - request->arrival);
	} else if (is_measured(request)) {
		bench->refused++;
	}
	free(request);
}

static void
send_request(bench_t *bench)
{
	request_t *request = calloc(1, sizeof(*request));
	char prefix[MSP_ISSUED_PREFIX_SIZE] = "";
	char key[96];
	msp_claim_request_params_t params = {
	    .service = "mergedesk", .key = key};

	if (request == NULL)
		abort();
	request->bench = bench;
	request->vm = (unsigned int)(msp_next_random(&bench->venv.rng) % VMS);
	request->arrival = bench->venv.now;
	if (is_measured(request))
		bench->arrived++;
	if (bench->options->issued)
		msp_issue_key_prefix(request->vm + 1, bench->venv.now, prefix);
	snprintf(key, sizeof(key), "%s%" PRIu64, prefix, bench->sent++);
	params.digest = msp_digest(key, strlen(key));
	params.arrival = request->arrival;
	params.deadline = request->arrival + ATTEMPT_TIMEOUT;
	if (msp_begin_claim_request(bench->vms[request->vm], &params,
		handle_verdict, request) == NULL)
		abort();
}

static void
finish_requests(bench_t *bench)
{
	msp_claim_outcome_t outcome = {
	    .http_status = 201, .body = BODY, .body_len = sizeof(BODY) - 1};
	request_t *request;

	while ((request = bench->first) != NULL &&
	    request->response_at <= bench->venv.now) {
		bench->first = request->next;
		if (bench->first == NULL)
			bench->last = &bench->first;
		request->next = NULL;
		msp_finish_claim(
		    bench->vms[request->vm], request->nonce, &outcome);
	}
}

/* Draws from an exponential distribution: requests are independent. */
static msp_time_t
draw_arrival_interval(bench_t *bench)
{
	double u = ((double)(msp_next_random(&bench->venv.rng) >> 11) + 1) /
	    9007199254740993.0;

	return (
	    msp_time_t)(-log(u) * (double)MSP_SECOND / bench->options->rate);
}

static void
lower_time(msp_time_t *next, msp_time_t at)
{
	if (at < *next)
		*next = at;
}

static msp_time_t
step_bench(bench_t *bench)
{
	msp_time_t next;
	unsigned int i;

	msp_step_memory_store(bench->store);
	finish_requests(bench);
	for (i = 0; i < VMS; i++)
		msp_step_claims(bench->vms[i]);
	next = msp_memory_store_deadline(bench->store);
	for (i = 0; i < VMS; i++)
		lower_time(&next, msp_claims_deadline(bench->vms[i]));
	if (bench->first != NULL)
		lower_time(&next, bench->first->response_at);
	return next;
}

static void
run_until(bench_t *bench, msp_time_t end)
{
	msp_time_t arrival = bench->venv.now;
	msp_time_t next;

	while (bench->venv.now < end) {
		while (arrival <= bench->venv.now) {
			send_request(bench);
			arrival += draw_arrival_interval(bench);
		}
		next = step_bench(bench);
		lower_time(&next, arrival);
		lower_time(&next, end);
		if (next > bench->venv.now)
			bench->venv.now = next;
	}
}

static void
close_bench(bench_t *bench)
{
	msp_time_t end = bench->venv.now + 20 * MSP_SECOND;
	msp_time_t next;
	unsigned int i;

	/* Each request in flight has its verdict within ATTEMPT_TIMEOUT. */
	while ((next = step_bench(bench)) < end) {
		if (next > bench->venv.now)
			bench->venv.now = next;
	}
	for (i = 0; i < VMS; i++)
		msp_drop_claims(bench->vms[i]);
	while ((next = msp_memory_store_deadline(bench->store)) != MSP_NEVER) {
		if (next > bench->venv.now)
			bench->venv.now = next;
		msp_step_memory_store(bench->store);
	}
	msp_drop_memory_store(bench->store);
}

static void
print_row(const bench_t *bench, const msp_store_stats_t *before,
    const msp_store_stats_t *after, size_t unrecorded)
{
	static const char *const states[] = {"up", "slow", "down"};
	const run_options_t *options = bench->options;
	double seconds = (double)MEASURED_TIME / (double)MSP_SECOND;
	double completed = (double)bench->completed;
	double transactions =
	    (double)(after->transactions - before->transactions);
	double rows = (double)(after->rows_written - before->rows_written);
	char window[16] = "none";

	if (options->batch_window > 0)
		snprintf(window, sizeof(window), "%u ms",
		    (unsigned int)(options->batch_window / MSP_MS));
	printf("| %s | %s | %s | %s | %.0f | %.1f | %.1f | %.1f | %.1f | "
	       "%.2f | %.2f | %zu |\n",
	    options->issued ? "memory" : "store", states[options->state],
	    options->cap_rows ? "rows" : "transactions", window, options->rate,
	    completed / seconds, (double)bench->refused / seconds,
	    (double)msp_quantile(&bench->latency, 0.5) / MSP_MS,
	    (double)msp_quantile(&bench->latency, 0.99) / MSP_MS,
	    completed > 0 ? transactions / completed : 0.0,
	    completed > 0 ? rows / completed : 0.0, unrecorded);
}

static void
measure(const run_options_t *options)
{
	static bench_t bench;
	msp_store_stats_t before;
	msp_store_stats_t after;
	size_t unrecorded = 0;
	unsigned int i;

	open_bench(&bench, options);
	run_until(&bench, bench.measure_from);
	before = *msp_memory_store_stats(bench.store);
	run_until(&bench, bench.measure_from + MEASURED_TIME);
	after = *msp_memory_store_stats(bench.store);
	for (i = 0; i < VMS; i++)
		unrecorded += msp_get_claims_stats(bench.vms[i]).unrecorded;
	close_bench(&bench);
	fflush(stdout);
	print_row(&bench, &before, &after, unrecorded);
}

int
main(void)
{
	static const msp_time_t windows[] = {
	    0, 1 * MSP_MS, 4 * MSP_MS, 16 * MSP_MS, 64 * MSP_MS};
	static const double rates[] = {50, 140, 300, 1000};
	unsigned int issued;
	unsigned int w;
	unsigned int r;
	unsigned int s;

	printf("claims: %d VMs, store capped at %d writes/s, seed %d, "
	       "%.0f s measured after %.0f s\n\n",
	    VMS, WRITES_PER_SECOND, SEED, (double)MEASURED_TIME / MSP_SECOND,
	    (double)WARM_UP / MSP_SECOND);
	printf("| authority | store | cap counts | batch window | offered/s | "
	       "completed/s | refused/s | p50 ms | p99 ms | transactions per "
	       "commit | rows per commit | unrecorded at the end |\n"
	       "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
	for (issued = 0; issued < 2; issued++)
		for (r = 0; r < 4; r++)
			for (w = 0; w < 5; w++)
				measure(&(run_options_t){.issued = issued == 1,
				    .batch_window = windows[w],
				    .rate = rates[r]});
	for (issued = 0; issued < 2; issued++)
		for (r = 0; r < 3; r++)
			for (w = 0; w < 3; w += 2)
				measure(&(run_options_t){.issued = issued == 1,
				    .batch_window = windows[w],
				    .rate = rates[r],
				    .cap_rows = true});
	for (issued = 0; issued < 2; issued++)
		for (s = STORE_SLOW; s <= STORE_DOWN; s++)
			for (w = 0; w < 3; w += 2)
				measure(&(run_options_t){.issued = issued == 1,
				    .batch_window = windows[w],
				    .rate = rates[1],
				    .state = (store_state_t)s});
	return 0;
}
