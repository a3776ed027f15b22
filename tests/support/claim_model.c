#include <stdlib.h>

#include "claim_model.h"

#define CHOICES_MAX 64
#define STEP ((msp_time_t)10) /* time passes with each choice */
#define SETTLE_STEPS 200 /* after the depth: the first choice each time */

/* One thing that can happen next. */
typedef struct option {
	void (*apply)(model_t *walk, unsigned int index);
	unsigned int index;
} option_t;

static bool
is_gone(void *ctx, uint64_t incarnation)
{
	return ((const model_t *)ctx)->gone[incarnation - 1];
}

static msp_time_t
wall(void *ctx)
{
	return ((const model_t *)ctx)->venv.now;
}

static void
on_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	model_request_t *sent = ctx;
	model_t *walk = sent->model;

	if (verdict->kind == MSP_CLAIM_VERDICT_RUN) {
		sent->running = true;
		sent->nonce = verdict->nonce;
		return;
	}
	sent->final = true;
	if (verdict->kind == MSP_CLAIM_VERDICT_REPLAY &&
	    (walk->runs == 0 || verdict->outcome->body_len != 4))
		walk->violation = "an answer that is not the run's";
	if (verdict->kind == MSP_CLAIM_VERDICT_REFUSE &&
	    verdict->refusal.run == MSP_RUN_NO) {
		sent->not_run_reported = true;
		sent->not_run_reported_at = walk->venv.now;
	}
}

static void
send_to(model_t *walk, unsigned int vm)
{
	model_request_t *sent = &walk->requests[walk->request_count++];
	msp_claim_request_params_t params = {
	    .service = "s",
	    .key = "k",
	    .arrival = walk->venv.now,
	    .deadline = walk->venv.now + 10 * MSP_SECOND,
	};

	*sent = (model_request_t){
	    .model = walk, .vm = vm, .arrival = walk->venv.now};
	if (msp_begin_claim_request(walk->vms[vm], &params, on_verdict, sent) ==
	    NULL)
		abort();
}

/* The target runs it. */
static void
count_run(model_t *walk, model_request_t *sent)
{
	sent->running = false;
	walk->runs++;
	walk->ran_at = walk->venv.now;
	walk->ran_arrival = sent->arrival;
}

static void
run_and_answer(model_t *walk, unsigned int index)
{
	model_request_t *sent = &walk->requests[index];
	msp_claim_outcome_t outcome = {
	    .http_status = 201, .body = "done", .body_len = 4};

	count_run(walk, sent);
	msp_finish_claim(walk->vms[sent->vm], sent->nonce, &outcome);
}

static void
run_and_lose(model_t *walk, unsigned int index)
{
	model_request_t *sent = &walk->requests[index];
	msp_refusal_t refusal = {.status = MSP_E_IN_DOUBT};

	count_run(walk, sent);
	msp_mark_claim_in_doubt(walk->vms[sent->vm], sent->nonce, &refusal);
}

static void
refuse_to_run(model_t *walk, unsigned int index)
{
	model_request_t *sent = &walk->requests[index];
	msp_refusal_t refusal = {.status = MSP_E_OVERLOAD};

	sent->running = false;
	msp_release_claim(walk->vms[sent->vm], sent->nonce, &refusal);
}

static void
kill_first(model_t *walk, unsigned int index)
{
	unsigned int i;

	msp_drop_claims(walk->vms[index]);
	walk->vms[index] = NULL;
	walk->gone[index] = true;
	for (i = 0; i < walk->request_count; i++) {
		if (walk->requests[i].vm == index)
			walk->requests[i].running = false;
	}
}

static msp_time_t
next_deadline(const model_t *walk)
{
	msp_time_t next = MSP_NEVER;
	unsigned int i;

	for (i = 0; i < 2; i++) {
		if (walk->vms[i] != NULL &&
		    msp_claims_deadline(walk->vms[i]) < next)
			next = msp_claims_deadline(walk->vms[i]);
	}
	return next;
}

static void
let_time_pass(model_t *walk, unsigned int index)
{
	(void)index;
	walk->venv.now = next_deadline(walk);
}

static void
add_option(option_t *options, unsigned int *count,
    void (*apply)(model_t *walk, unsigned int index), unsigned int index)
{
	if (*count == CHOICES_MAX)
		abort();
	options[(*count)++] = (option_t){apply, index};
}

/* What can happen next; the first of them leads on to the end. */
static unsigned int
list_options(const model_t *walk, option_t *options)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < CALLS_MAX; i++) {
		const model_call_t *call = &walk->calls[i];

		if (call->args == NULL)
			continue;
		if (!call->applied)
			add_option(options, &count, apply_model_call, i);
		else
			add_option(options, &count, answer_model_call, i);
		if (!call->answered && walk->lost_count < 2)
			add_option(options, &count, lose_model_answer, i);
	}
	for (i = 0; i < CALLS_MAX; i++) {
		if (walk->queries[i].used)
			add_option(options, &count, answer_model_query, i);
	}
	for (i = 0; i < walk->request_count; i++) {
		if (!walk->requests[i].running)
			continue;
		add_option(options, &count, run_and_answer, i);
		add_option(options, &count, refuse_to_run, i);
		add_option(options, &count, run_and_lose, i);
	}
	if (walk->request_count < TRIES_MAX) {
		for (i = 0; i < 2; i++) {
			if (walk->vms[i] != NULL)
				add_option(options, &count, send_to, i);
		}
	}
	if (walk->vms[0] != NULL && walk->request_count > 1)
		add_option(options, &count, kill_first, 0);
	if (next_deadline(walk) != MSP_NEVER)
		add_option(options, &count, let_time_pass, 0);
	return count;
}

static void
step_vms(model_t *walk)
{
	unsigned int i;
	unsigned int k;

	for (k = 0; k < 2; k++) {
		walk->venv.now += STEP;
		for (i = 0; i < 2; i++) {
			if (walk->vms[i] != NULL)
				msp_step_claims(walk->vms[i]);
		}
	}
}

static void
open_walk(model_t *walk)
{
	msp_claims_options_t options = {
	    .store = model_store(walk),
	    .hooks = {.ctx = walk,
		.query_owner = query_model_owner,
		.is_gone = is_gone,
		.wall_time = wall},
	    .address = "",
	    .batch_window = 1,
	};
	unsigned int i;

	walk->venv = (msp_virtual_env_t){.now = MSP_MINUTE};
	options.env = msp_virtual_env(&walk->venv);
	msp_init_table(&walk->table);
	for (i = 0; i < 2; i++) {
		options.incarnation = i + 1;
		walk->vms[i] = msp_new_claims(&options);
		if (walk->vms[i] == NULL)
			abort();
	}
	send_to(walk, 0);
	step_vms(walk);
}

static void
check_walk(model_t *walk)
{
	unsigned int i;

	if (walk->runs > 1)
		walk->violation = "ran more than once";
	for (i = 0; i < walk->request_count; i++) {
		const model_request_t *sent = &walk->requests[i];

		if (sent->not_run_reported && walk->runs > 0 &&
		    (walk->ran_at <= sent->not_run_reported_at ||
			walk->ran_arrival <= sent->not_run_reported_at))
			walk->violation = "a false \"run: no\"";
	}
}

static void
close_walk(model_t *walk)
{
	static const msp_store_reply_t lost = {.status = MSP_E_LOST};
	static const msp_owner_reply_t silent = {.status = MSP_OWNER_NO_ANSWER};
	unsigned int i;

	msp_drop_claims(walk->vms[0]);
	msp_drop_claims(walk->vms[1]);
	for (i = 0; i < CALLS_MAX; i++) {
		if (walk->queries[i].used)
			walk->queries[i].done(walk->queries[i].ctx, &silent);
		if (walk->calls[i].args == NULL)
			continue;
		if (!walk->calls[i].answered)
			walk->calls[i].done(walk->calls[i].ctx, &lost);
		msp_drop_store_call(walk->calls[i].args);
	}
	msp_clear_table(&walk->table);
}

/* Runs the path, and on to the end; fills in the options along it. */
const char *
run_model_path(
    const unsigned int *choices, unsigned int *options, unsigned int depth)
{
	static model_t walk;
	option_t list[CHOICES_MAX];
	unsigned int i;

	walk = (model_t){0};
	open_walk(&walk);
	for (i = 0; i < depth + SETTLE_STEPS; i++) {
		unsigned int count = list_options(&walk, list);
		unsigned int choice = i < depth ? choices[i] : 0;

		if (i < depth)
			options[i] = count;
		if (count == 0 || (i >= depth && list[0].apply == send_to))
			break;
		list[choice].apply(&walk, list[choice].index);
		step_vms(&walk);
	}
	for (; i < depth; i++)
		options[i] = 1;
	check_walk(&walk);
	close_walk(&walk);
	return walk.violation;
}
