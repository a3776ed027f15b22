#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/histogram.h"
#include "monsoonspindle/coord.h"
#include "monsoonspindle/platform/memory_store.h"

/*
 * Commits through the claims of a deployment's VMs against one store that
 * takes 300 writes a second, on the virtual clock. A commit's target works
 * 50 ms. Latency is from arrival to the target's answer; refused commits are
 * counted apart. Store writes are given both ways: transactions and rows.
 */

#define SEED 20240611
#define VMS 20
#define WRITES_PER_SECOND 300
#define WARM_UP (3 * MSP_SECOND)
#define MEASURED (10 * MSP_SECOND)
#define TARGET_WORK (50 * MSP_MS)
#define STORE_LATENCY (16 * MSP_MS)
#define STORE_JITTER (8 * MSP_MS)
#define SLOW_LATENCY (600 * MSP_MS)
#define TRY_DEADLINE (10 * MSP_SECOND)
#define BODY "printed: one letter, second class, tray 4\n"

typedef enum store_state {
	STORE_UP,
	STORE_SLOW,
	STORE_DOWN
} store_state_t;

typedef struct run_options {
	bool issued; /* keys decided by memory */
	msp_time_t window; /* 0: each write in a transaction of its own */
	double rate; /* commits a second, of all VMs */
	store_state_t state;
	bool cap_rows; /* the store's cap counts rows */
} run_options_t;

struct bench;

typedef struct commit {
	struct bench *bench;
	unsigned int vm;
	msp_time_t arrival;
	msp_time_t answer_at;
	msp_nonce_t nonce;
	struct commit *next; /* in order of answer_at */
} commit_t;

typedef struct bench {
	const run_options_t *options;
	msp_virtual_env_t venv;
	msp_memory_store_t *store;
	msp_claims_t *vms[VMS];
	commit_t *first;
	commit_t **last;
	uint64_t sent;
	msp_time_t measure_from;
	uint64_t answered;
	uint64_t refused;
	uint64_t arrived;
	msp_histogram_t latency;
} bench_t;

static void
ask(void *ctx, const msp_owner_query_t *question, msp_owner_query_done_t *done,
    void *done_ctx)
{
	(void)ctx;
	(void)question;
	(void)done;
	(void)done_ctx;
	abort(); /* each key has one VM here */
}

static bool
is_gone(void *ctx, uint64_t incarnation)
{
	(void)ctx;
	(void)incarnation;
	return false;
}

static msp_time_t
wall(void *ctx)
{
	return ((const bench_t *)ctx)->venv.now;
}

static void
open_bench(bench_t *bench, const run_options_t *options)
{
	msp_claims_options_t claims = {
	    .hooks = {.ctx = bench,
		.query_owner = ask,
		.is_gone = is_gone,
		.wall_time = wall},
	    .address = "vm",
	    .batch_window = options->window,
	    .max_batch_rows = options->window == 0 ? 1 : 256,
	    .max_batches = options->window == 0 ? 64 : 0,
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
is_measured(const commit_t *commit)
{
	const bench_t *bench = commit->bench;

	return commit->arrival >= bench->measure_from &&
	    commit->arrival < bench->measure_from + MEASURED;
}

static void
on_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	commit_t *commit = ctx;
	bench_t *bench = commit->bench;

	if (verdict->kind == MSP_CLAIM_VERDICT_RUN) {
		commit->nonce = verdict->nonce;
		commit->answer_at = bench->venv.now + TARGET_WORK;
		*bench->last = commit;
		bench->last = &commit->next;
		return;
	}
	if (is_measured(commit) && verdict->kind == MSP_CLAIM_VERDICT_REPLAY) {
		bench->answered++;
		msp_record_value(
		    &bench->latency, bench->venv.now - commit->arrival);
	} else if (is_measured(commit)) {
		bench->refused++;
	}
	free(commit);
}

static void
send_commit(bench_t *bench)
{
	commit_t *commit = calloc(1, sizeof(*commit));
	char prefix[MSP_ISSUED_PREFIX_SIZE] = "";
	char key[96];
	msp_claim_request_params_t params = {
	    .service = "mergedesk", .key = key};

	if (commit == NULL)
		abort();
	commit->bench = bench;
	commit->vm = (unsigned int)(msp_next_random(&bench->venv.rng) % VMS);
	commit->arrival = bench->venv.now;
	if (is_measured(commit))
		bench->arrived++;
	if (bench->options->issued)
		msp_issue_key_prefix(commit->vm + 1, bench->venv.now, prefix);
	snprintf(key, sizeof(key), "%s%" PRIu64, prefix, bench->sent++);
	params.digest = msp_digest(key, strlen(key));
	params.arrival = commit->arrival;
	params.deadline = commit->arrival + TRY_DEADLINE;
	if (msp_begin_claim_request(
		bench->vms[commit->vm], &params, on_verdict, commit) == NULL)
		abort();
}

static void
answer_commits(bench_t *bench)
{
	msp_claim_outcome_t outcome = {
	    .http_status = 201, .body = BODY, .body_len = sizeof(BODY) - 1};
	commit_t *commit;

	while ((commit = bench->first) != NULL &&
	    commit->answer_at <= bench->venv.now) {
		bench->first = commit->next;
		if (bench->first == NULL)
			bench->last = &bench->first;
		commit->next = NULL;
		msp_finish_claim(
		    bench->vms[commit->vm], commit->nonce, &outcome);
	}
}

/* Exponential gaps: commits arrive by themselves. */
static msp_time_t
next_gap(bench_t *bench)
{
	double u = ((double)(msp_next_random(&bench->venv.rng) >> 11) + 1) /
	    9007199254740993.0;

	return (
	    msp_time_t)(-log(u) * (double)MSP_SECOND / bench->options->rate);
}

static void
earlier(msp_time_t *next, msp_time_t at)
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
	answer_commits(bench);
	for (i = 0; i < VMS; i++)
		msp_step_claims(bench->vms[i]);
	next = msp_memory_store_deadline(bench->store);
	for (i = 0; i < VMS; i++)
		earlier(&next, msp_claims_deadline(bench->vms[i]));
	if (bench->first != NULL)
		earlier(&next, bench->first->answer_at);
	return next;
}

static void
run_until(bench_t *bench, msp_time_t end)
{
	msp_time_t arrival = bench->venv.now;
	msp_time_t next;

	while (bench->venv.now < end) {
		while (arrival <= bench->venv.now) {
			send_commit(bench);
			arrival += next_gap(bench);
		}
		next = step_bench(bench);
		earlier(&next, arrival);
		earlier(&next, end);
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

	/* Lets what is under way end: each try has its verdict by then. */
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
	double seconds = (double)MEASURED / (double)MSP_SECOND;
	double answered = (double)bench->answered;
	double transactions =
	    (double)(after->transactions - before->transactions);
	double rows = (double)(after->rows_written - before->rows_written);
	char window[16] = "none";

	if (options->window > 0)
		snprintf(window, sizeof(window), "%u ms",
		    (unsigned int)(options->window / MSP_MS));
	printf("| %s | %s | %s | %s | %.0f | %.1f | %.1f | %.1f | %.1f | "
	       "%.2f | %.2f | %zu |\n",
	    options->issued ? "memory" : "store", states[options->state],
	    options->cap_rows ? "rows" : "transactions", window, options->rate,
	    answered / seconds, (double)bench->refused / seconds,
	    (double)msp_quantile(&bench->latency, 0.5) / MSP_MS,
	    (double)msp_quantile(&bench->latency, 0.99) / MSP_MS,
	    answered > 0 ? transactions / answered : 0.0,
	    answered > 0 ? rows / answered : 0.0, unrecorded);
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
	run_until(&bench, bench.measure_from + MEASURED);
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
	    VMS, WRITES_PER_SECOND, SEED, (double)MEASURED / MSP_SECOND,
	    (double)WARM_UP / MSP_SECOND);
	printf("| authority | store | cap counts | batch window | offered/s | "
	       "answered/s | refused/s | p50 ms | p99 ms | transactions per "
	       "commit | rows per commit | unrecorded at the end |\n"
	       "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
	for (issued = 0; issued < 2; issued++)
		for (r = 0; r < 4; r++)
			for (w = 0; w < 5; w++)
				measure(&(run_options_t){.issued = issued == 1,
				    .window = windows[w],
				    .rate = rates[r]});
	for (issued = 0; issued < 2; issued++)
		for (r = 0; r < 3; r++)
			for (w = 0; w < 3; w += 2)
				measure(&(run_options_t){.issued = issued == 1,
				    .window = windows[w],
				    .rate = rates[r],
				    .cap_rows = true});
	for (issued = 0; issued < 2; issued++)
		for (s = STORE_SLOW; s <= STORE_DOWN; s++)
			for (w = 0; w < 3; w += 2)
				measure(&(run_options_t){.issued = issued == 1,
				    .window = windows[w],
				    .rate = rates[1],
				    .state = (store_state_t)s});
	return 0;
}
