#include <stdlib.h>

#include "claim_walk.h"

#define CHOICES_MAX 64
#define STEP ((msp_time_t)10) /* time passes with each choice */
#define SETTLE_STEPS 200 /* after the depth: the first choice each time */

/* One thing that can happen next. */
typedef struct option {
	void (*apply)(walk_t *walk, unsigned int index);
	unsigned int index;
} option_t;

static bool
is_gone(void *ctx, uint64_t incarnation)
{
	return ((const walk_t *)ctx)->gone[incarnation - 1];
}

static msp_time_t
wall(void *ctx)
{
	return ((const walk_t *)ctx)->venv.now;
}

static void
on_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	walk_try_t *sent = ctx;
	walk_t *walk = sent->walk;

	if (verdict->kind == MSP_CLAIM_VERDICT_RUN) {
		sent->running = true;
		sent->nonce = verdict->nonce;
		return;
	}
	sent->final = true;
	if (verdict->kind == MSP_CLAIM_VERDICT_REPLAY &&
	    (walk->runs == 0 || verdict->outcome->body_len != 4))
		walk->broken = "an answer that is not the run's";
	if (verdict->kind == MSP_CLAIM_VERDICT_REFUSE &&
	    verdict->refusal.run == MSP_RUN_NO) {
		sent->said_no = true;
		sent->said_at = walk->venv.now;
	}
}

static void
send_to(walk_t *walk, unsigned int vm)
{
	walk_try_t *sent = &walk->tries[walk->try_count++];
	msp_try_params_t params = {
	    .service = "s",
	    .key = "k",
	    .arrival = walk->venv.now,
	    .deadline = walk->venv.now + 10 * MSP_SECOND,
	};

	*sent = (walk_try_t){.walk = walk, .vm = vm, .arrival = walk->venv.now};
	if (msp_begin_try(walk->vms[vm], &params, on_verdict, sent) == NULL)
		abort();
}

/* The target runs it. */
static void
count_run(walk_t *walk, walk_try_t *sent)
{
	sent->running = false;
	walk->runs++;
	walk->ran_at = walk->venv.now;
	walk->ran_arrival = sent->arrival;
}

static void
run_and_answer(walk_t *walk, unsigned int index)
{
	walk_try_t *sent = &walk->tries[index];
	msp_claim_outcome_t outcome = {
	    .http_status = 201, .body = "done", .body_len = 4};

	count_run(walk, sent);
	msp_finish_claim(walk->vms[sent->vm], sent->nonce, &outcome);
}

static void
run_and_lose(walk_t *walk, unsigned int index)
{
	walk_try_t *sent = &walk->tries[index];
	msp_refusal_t refusal = {.status = MSP_E_IN_DOUBT};

	count_run(walk, sent);
	msp_doubt_claim(walk->vms[sent->vm], sent->nonce, &refusal);
}

static void
refuse_to_run(walk_t *walk, unsigned int index)
{
	walk_try_t *sent = &walk->tries[index];
	msp_refusal_t refusal = {.status = MSP_E_OVERLOAD};

	sent->running = false;
	msp_release_claim(walk->vms[sent->vm], sent->nonce, &refusal);
}

static void
kill_first(walk_t *walk, unsigned int index)
{
	unsigned int i;

	msp_drop_claims(walk->vms[index]);
	walk->vms[index] = NULL;
	walk->gone[index] = true;
	for (i = 0; i < walk->try_count; i++) {
		if (walk->tries[i].vm == index)
			walk->tries[i].running = false;
	}
}

static msp_time_t
next_deadline(const walk_t *walk)
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
let_time_pass(walk_t *walk, unsigned int index)
{
	(void)index;
	walk->venv.now = next_deadline(walk);
}

static void
add_option(option_t *options, unsigned int *count,
    void (*apply)(walk_t *walk, unsigned int index), unsigned int index)
{
	if (*count == CHOICES_MAX)
		abort();
	options[(*count)++] = (option_t){apply, index};
}

/* What can happen next; the first of them leads on to the end. */
static unsigned int
list_options(const walk_t *walk, option_t *options)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < CALLS_MAX; i++) {
		const walk_call_t *call = &walk->calls[i];

		if (call->args == NULL)
			continue;
		if (!call->effected)
			add_option(options, &count, walk_take_effect, i);
		else
			add_option(options, &count, walk_answer_call, i);
		if (!call->answered && walk->losses < 2)
			add_option(options, &count, walk_lose_answer, i);
	}
	for (i = 0; i < CALLS_MAX; i++) {
		if (walk->asks[i].used)
			add_option(options, &count, walk_answer_ask, i);
	}
	for (i = 0; i < walk->try_count; i++) {
		if (!walk->tries[i].running)
			continue;
		add_option(options, &count, run_and_answer, i);
		add_option(options, &count, refuse_to_run, i);
		add_option(options, &count, run_and_lose, i);
	}
	if (walk->try_count < TRIES_MAX) {
		for (i = 0; i < 2; i++) {
			if (walk->vms[i] != NULL)
				add_option(options, &count, send_to, i);
		}
	}
	if (walk->vms[0] != NULL && walk->try_count > 1)
		add_option(options, &count, kill_first, 0);
	if (next_deadline(walk) != MSP_NEVER)
		add_option(options, &count, let_time_pass, 0);
	return count;
}

static void
step_vms(walk_t *walk)
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
open_walk(walk_t *walk)
{
	msp_claims_options_t options = {
	    .store = walk_store(walk),
	    .hooks = {.ctx = walk,
		.ask = walk_ask_owner,
		.is_gone = is_gone,
		.wall = wall},
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
check_walk(walk_t *walk)
{
	unsigned int i;

	if (walk->runs > 1)
		walk->broken = "ran more than once";
	for (i = 0; i < walk->try_count; i++) {
		const walk_try_t *sent = &walk->tries[i];

		if (sent->said_no && walk->runs > 0 &&
		    (walk->ran_at <= sent->said_at ||
			walk->ran_arrival <= sent->said_at))
			walk->broken = "a false \"run: no\"";
	}
}

static void
close_walk(walk_t *walk)
{
	static const msp_store_reply_t lost = {.status = MSP_E_LOST};
	static const msp_ask_reply_t silent = {.status = MSP_ASK_NO_ANSWER};
	unsigned int i;

	msp_drop_claims(walk->vms[0]);
	msp_drop_claims(walk->vms[1]);
	for (i = 0; i < CALLS_MAX; i++) {
		if (walk->asks[i].used)
			walk->asks[i].done(walk->asks[i].ctx, &silent);
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
run_walk_path(
    const unsigned int *choices, unsigned int *options, unsigned int depth)
{
	static walk_t walk;
	option_t list[CHOICES_MAX];
	unsigned int i;

	walk = (walk_t){0};
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
	return walk.broken;
}
