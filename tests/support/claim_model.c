#include <stdlib.h>

#include "claim_model.h"

#define CHOICES_MAX 64
#define STEP ((msp_time_t)10) /* microseconds, twice after each choice */
#define FINAL_STEPS 200 /* after the path, with the first choice each time */

/* An event that can happen next. */
typedef struct event {
	void (*apply)(model_t *model, unsigned int index);
	unsigned int index;
} event_t;

static bool
has_ended(void *ctx, uint64_t incarnation)
{
	return ((const model_t *)ctx)->gone[incarnation - 1];
}

static msp_time_t
wall_time(void *ctx)
{
	return ((const model_t *)ctx)->venv.now;
}

static void
handle_verdict(void *ctx, const msp_claim_verdict_t *verdict)
{
	model_request_t *request = ctx;
	model_t *model = request->model;

	if (verdict->kind == MSP_CLAIM_VERDICT_RUN) {
		request->running = true;
		request->nonce = verdict->nonce;
		return;
	}
	request->final = true;
	if (verdict->kind == MSP_CLAIM_VERDICT_REPLAY &&
	    (model->runs == 0 || verdict->outcome->body_len != 4))
		model->violation = "replayed an outcome that is not the run's";
	if (verdict->kind == MSP_CLAIM_VERDICT_REFUSE &&
	    verdict->refusal.run == MSP_RUN_NOT_EXECUTED) {
		request->not_run_reported = true;
		request->not_run_reported_at = model->venv.now;
	}
}

static void
send_request(model_t *model, unsigned int vm)
{
	model_request_t *request = &model->requests[model->request_count++];
	msp_claim_request_params_t params = {
	    .service = "s",
	    .key = "k",
	    .arrival = model->venv.now,
	    .deadline = model->venv.now + 10 * MSP_SECOND,
	};

	*request = (model_request_t){
	    .model = model, .vm = vm, .arrival = model->venv.now};
	if (msp_begin_claim_request(
		model->vms[vm], &params, handle_verdict, request) == NULL)
		abort();
}

static void
count_run(model_t *model, model_request_t *request)
{
	request->running = false;
	model->runs++;
	model->ran_at = model->venv.now;
	model->ran_arrival = request->arrival;
}

static void
run_and_respond(model_t *model, unsigned int index)
{
	model_request_t *request = &model->requests[index];
	msp_claim_outcome_t outcome = {
	    .http_status = 201, .body = "done", .body_len = 4};

	count_run(model, request);
	msp_finish_claim(model->vms[request->vm], request->nonce, &outcome);
}

static void
run_and_lose_response(model_t *model, unsigned int index)
{
	model_request_t *request = &model->requests[index];
	msp_refusal_t refusal = {.status = MSP_E_IN_DOUBT};

	count_run(model, request);
	msp_mark_claim_in_doubt(
	    model->vms[request->vm], request->nonce, &refusal);
}

static void
release_request(model_t *model, unsigned int index)
{
	model_request_t *request = &model->requests[index];
	msp_refusal_t refusal = {.status = MSP_E_OVERLOAD};

	request->running = false;
	msp_release_claim(model->vms[request->vm], request->nonce, &refusal);
}

static void
kill_vm(model_t *model, unsigned int index)
{
	unsigned int i;

	msp_drop_claims(model->vms[index]);
	model->vms[index] = NULL;
	model->gone[index] = true;
	for (i = 0; i < model->request_count; i++) {
		if (model->requests[i].vm == index)
			model->requests[i].running = false;
	}
}

static msp_time_t
next_deadline(const model_t *model)
{
	msp_time_t next = MSP_NEVER;
	unsigned int i;

	for (i = 0; i < 2; i++) {
		if (model->vms[i] != NULL &&
		    msp_claims_deadline(model->vms[i]) < next)
			next = msp_claims_deadline(model->vms[i]);
	}
	return next;
}

static void
advance_clock(model_t *model, unsigned int index)
{
	(void)index;
	model->venv.now = next_deadline(model);
}

static void
add_event(event_t *events, unsigned int *count,
    void (*apply)(model_t *model, unsigned int index), unsigned int index)
{
	if (*count == CHOICES_MAX)
		abort();
	events[(*count)++] = (event_t){apply, index};
}

/*
 * Lists the events that can happen next. The model ends if the first one is
 * chosen each time.
 */
static unsigned int
list_events(const model_t *model, event_t *events)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < CALLS_MAX; i++) {
		const model_call_t *call = &model->calls[i];

		if (call->args == NULL)
			continue;
		if (!call->applied)
			add_event(events, &count, apply_model_call, i);
		else
			add_event(events, &count, answer_model_call, i);
		if (!call->answered && model->lost_count < 2)
			add_event(events, &count, lose_model_reply, i);
	}
	for (i = 0; i < CALLS_MAX; i++) {
		if (model->queries[i].used)
			add_event(events, &count, answer_model_query, i);
	}
	for (i = 0; i < model->request_count; i++) {
		if (!model->requests[i].running)
			continue;
		add_event(events, &count, run_and_respond, i);
		add_event(events, &count, release_request, i);
		add_event(events, &count, run_and_lose_response, i);
	}
	if (model->request_count < REQUESTS_MAX) {
		for (i = 0; i < 2; i++) {
			if (model->vms[i] != NULL)
				add_event(events, &count, send_request, i);
		}
	}
	if (model->vms[0] != NULL && model->request_count > 1)
		add_event(events, &count, kill_vm, 0);
	if (next_deadline(model) != MSP_NEVER)
		add_event(events, &count, advance_clock, 0);
	return count;
}

static void
step_vms(model_t *model)
{
	unsigned int i;
	unsigned int k;

	for (k = 0; k < 2; k++) {
		model->venv.now += STEP;
		for (i = 0; i < 2; i++) {
			if (model->vms[i] != NULL)
				msp_step_claims(model->vms[i]);
		}
	}
}

static void
init_model(model_t *model)
{
	msp_claims_options_t options = {
	    .store = model_store(model),
	    .hooks = {.ctx = model,
		.query_owner = query_model_owner,
		.has_ended = has_ended,
		.wall_time = wall_time},
	    .address = "",
	    .batch_window = 1,
	};
	unsigned int i;

	model->venv = (msp_virtual_env_t){.now = MSP_MINUTE};
	options.env = msp_virtual_env(&model->venv);
	msp_init_table(&model->table);
	for (i = 0; i < 2; i++) {
		options.incarnation = i + 1;
		model->vms[i] = msp_new_claims(&options);
		if (model->vms[i] == NULL)
			abort();
	}
	send_request(model, 0);
	step_vms(model);
}

static void
check_model(model_t *model)
{
	unsigned int i;

	if (model->runs > 1)
		model->violation = "ran more than once";
	for (i = 0; i < model->request_count; i++) {
		const model_request_t *request = &model->requests[i];

		if (request->not_run_reported && model->runs > 0 &&
		    (model->ran_at <= request->not_run_reported_at ||
			model->ran_arrival <= request->not_run_reported_at))
			model->violation =
			    "reported \"run: no\" of a request that ran";
	}
}

static void
close_model(model_t *model)
{
	static const msp_store_reply_t lost = {.status = MSP_E_LOST};
	static const msp_owner_reply_t no_answer = {
	    .status = MSP_OWNER_NO_ANSWER};
	unsigned int i;

	msp_drop_claims(model->vms[0]);
	msp_drop_claims(model->vms[1]);
	for (i = 0; i < CALLS_MAX; i++) {
		if (model->queries[i].used)
			model->queries[i].done(
			    model->queries[i].ctx, &no_answer);
		if (model->calls[i].args == NULL)
			continue;
		if (!model->calls[i].answered)
			model->calls[i].done(model->calls[i].ctx, &lost);
		msp_drop_store_call(model->calls[i].args);
	}
	msp_clear_table(&model->table);
}

const char *
run_model_path(
    const unsigned int *choices, unsigned int *options, unsigned int depth)
{
	static model_t model;
	event_t list[CHOICES_MAX];
	unsigned int i;

	model = (model_t){0};
	init_model(&model);
	for (i = 0; i < depth + FINAL_STEPS; i++) {
		unsigned int count = list_events(&model, list);
		unsigned int choice = i < depth ? choices[i] : 0;

		if (i < depth)
			options[i] = count;
		if (count == 0 || (i >= depth && list[0].apply == send_request))
			break;
		list[choice].apply(&model, list[choice].index);
		step_vms(&model);
	}
	for (; i < depth; i++)
		options[i] = 1;
	check_model(&model);
	close_model(&model);
	return model.violation;
}
