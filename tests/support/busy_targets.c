#include "busy_targets.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static void
send_answer(target_job_t *job, int http_status)
{
	msp_response_t response = {.status = http_status};

	msp_add_header(&response.headers, "Request-Id", job->id);
	if (http_status == 503)
		msp_add_header(&response.headers, "Not-Executed", "1");
	else
		msp_add_header(
		    &response.headers, "Response-Signature", job->target->id);
	msp_append_printf(&response.body, "of %s", job->id);
	msp_send_exchange_response(job->exchange, &response);
}

static unsigned int
count_jobs(
    const busy_targets_t *targets, const edge_target_t *target, bool running)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < TARGET_JOBS_MAX; i++) {
		const target_job_t *job = &targets->jobs[i];

		count += job->target == target && (job->end != 0) == running;
	}
	return count;
}

static void
start_job(busy_targets_t *targets, target_job_t *job, msp_time_t now)
{
	const msp_env_t *env = &targets->fixture->env;
	msp_time_t spread = targets->service_max - targets->service_min;

	record_run(targets->ledger, job->id);
	job->end = now + targets->service_min + 1 +
	    msp_random_below(env, (uint64_t)spread + 1);
}

static bool
is_body_of_path(const msp_request_t *request)
{
	const char *number = strrchr(request->path, '/') + 1;
	const char *body = msp_buffer_text(&request->body);
	size_t len = strlen(number);

	return request->body.len == BUSY_TARGET_BODY_LEN &&
	    strspn(body, "0") >= BUSY_TARGET_BODY_LEN - len &&
	    strcmp(body + BUSY_TARGET_BODY_LEN - len, number) == 0;
}

static target_job_t *
new_job(busy_targets_t *targets)
{
	unsigned int i;

	for (i = 0; i < TARGET_JOBS_MAX; i++) {
		if (targets->jobs[i].target == NULL)
			return &targets->jobs[i];
	}
	fail_msg("more than %d requests at the targets", TARGET_JOBS_MAX);
	return NULL;
}

static void
handle_request(void *ctx, edge_target_t *target, msp_exchange_t *exchange)
{
	busy_targets_t *targets = ctx;
	const msp_headers_t *headers = &msp_exchange_request(exchange)->headers;
	const char *id = msp_find_header(headers, "Request-Id");
	const char *deadline_ms = msp_find_header(headers, "Deadline-Ms");
	bool has_slot = count_jobs(targets, target, true) < targets->slots;
	bool has_room = count_jobs(targets, target, false) < targets->queue_max;
	msp_time_t now = msp_now(&targets->fixture->env);
	target_job_t *job = new_job(targets);

	targets->changed_count +=
	    !is_body_of_path(msp_exchange_request(exchange));
	*job = (target_job_t){.target = target, .exchange = exchange};
	snprintf(job->id, sizeof(job->id), "%s", id == NULL ? "-" : id);
	job->due = deadline_ms == NULL
	    ? MSP_NEVER
	    : now + strtoul(deadline_ms, NULL, 10) * MSP_MS;
	if (has_slot) {
		start_job(targets, job, now);
	} else if (!has_room) {
		send_answer(job, 503);
		job->target = NULL;
	}
}

static void
handle_disconnect(void *ctx, msp_exchange_t *exchange)
{
	busy_targets_t *targets = ctx;
	unsigned int i;

	for (i = 0; i < TARGET_JOBS_MAX; i++) {
		if (targets->jobs[i].exchange == exchange)
			targets->jobs[i] = (target_job_t){0};
	}
}

void
attach_busy_targets(busy_targets_t *targets)
{
	targets->fixture->handle_request = handle_request;
	targets->fixture->handle_disconnect = handle_disconnect;
	targets->fixture->handler_ctx = targets;
}

static void
step_job(busy_targets_t *targets, target_job_t *job, msp_time_t now)
{
	bool is_over = job->end != 0 && now >= job->end;

	if (is_over || now >= job->due) {
		send_answer(job, is_over ? 200 : job->end == 0 ? 503 : 504);
		*job = (target_job_t){0};
	} else if (job->end == 0 &&
	    count_jobs(targets, job->target, true) < targets->slots) {
		start_job(targets, job, now);
	}
}

void
step_busy_targets(busy_targets_t *targets)
{
	msp_time_t now = msp_now(&targets->fixture->env);
	unsigned int i;

	for (i = 0; i < TARGET_JOBS_MAX; i++) {
		if (targets->jobs[i].target != NULL)
			step_job(targets, &targets->jobs[i], now);
	}
}

bool
have_busy_targets_jobs(const busy_targets_t *targets)
{
	unsigned int i;

	for (i = 0; i < TARGET_JOBS_MAX; i++) {
		if (targets->jobs[i].target != NULL)
			return true;
	}
	return false;
}

void
detach_busy_targets(busy_targets_t *targets)
{
	targets->fixture->handle_request = NULL;
	targets->fixture->handle_disconnect = NULL;
}
