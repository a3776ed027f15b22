#include "soak_ledger.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/hash.h"
#include "soak_loop.h"

#define HTTP_OK 200
#define HTTP_MULTIPLE_CHOICES 300
#define HTTP_REQUEST_TIMEOUT 408
#define HTTP_MISDIRECTED 421
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_UNAVAILABLE 503
#define SERVICE_AT 2 /* in a path */
#define BASE_HEX 16
/* A request that crosses the end of its connection is not lost. */
#define LOSS_SLACK (200 * MSP_MS)

bool
is_soak_promise(int status)
{
	return status == HTTP_REQUEST_TIMEOUT || status == HTTP_MISDIRECTED ||
	    status == HTTP_TOO_MANY_REQUESTS || status == HTTP_UNAVAILABLE;
}

static bool
is_success(int status)
{
	return status >= HTTP_OK && status < HTTP_MULTIPLE_CHOICES;
}

int
open_soak_ledger(soak_ledger_t *ledger, soak_result_t *result)
{
	char path[128];

	ledger->result = result;
	ledger->started = soak_now();
	ledger->requests = msp_new_map();
	snprintf(path, sizeof(path), "%s/violations", result->folder);
	ledger->report = fopen(path, "w");
	return ledger->requests == NULL || ledger->report == NULL ? -1 : 0;
}

void
close_soak_ledger(soak_ledger_t *ledger)
{
	size_t cursor = 0;
	void *request;

	while (ledger->requests != NULL &&
	    msp_map_next(ledger->requests, &cursor, NULL, &request))
		free(request);
	msp_drop_map(ledger->requests);
	if (ledger->report != NULL)
		fclose(ledger->report);
}

soak_request_t *
new_soak_request(soak_ledger_t *ledger, uint64_t number)
{
	soak_request_t *request = calloc(1, sizeof(*request));

	if (request == NULL)
		abort();
	snprintf(request->id, sizeof(request->id), "%016" PRIx64, number);
	request->sent_at = soak_now();
	if (msp_map_put(ledger->requests, request->id, request) != MSP_OK)
		abort();
	return request;
}

void
count_soak_request(soak_ledger_t *ledger, const soak_request_t *request)
{
	/* Services are named by letters, from 'a' on. */
	size_t service = (size_t)(request->path[SERVICE_AT] - 'a');

	count_budget_request(&ledger->budgets[service], soak_now());
}

void
report_soak(soak_ledger_t *ledger, const char *rule, const char *format, ...)
{
	va_list args;

	fprintf(ledger->report, "%.3f %s ",
	    (double)(soak_now() - ledger->started) / MSP_SECOND, rule);
	va_start(args, format);
	vfprintf(ledger->report, format, args);
	va_end(args);
	fputc('\n', ledger->report);
}

soak_request_t *
check_soak_request(soak_ledger_t *ledger, const soak_message_t *message,
    bool has_body, const char *ran_by)
{
	char id[64] = "";
	soak_request_t *request;
	uint64_t hash = msp_hash(message->body.data, message->body.len, 0);

	get_soak_field(message, "Request-Id", id, sizeof(id));
	request = msp_map_get(ledger->requests, id);
	if (request != NULL && strcmp(request->method, message->method) == 0 &&
	    strcmp(request->path, message->path) == 0 &&
	    (!has_body || request->body_hash == hash))
		return request;
	ledger->result->unasked++;
	report_soak(ledger, "UNASKED", "id=%s %s %s body=%zu by=%s", id,
	    message->method, message->path, message->body.len, ran_by);
	return NULL;
}

void
record_soak_run(soak_ledger_t *ledger, const soak_message_t *message,
    bool has_body, const char *service, const char *ran_by)
{
	soak_request_t *request =
	    check_soak_request(ledger, message, has_body, ran_by);

	ledger->result->runs++;
	if (request == NULL)
		return;
	if (request->path[SERVICE_AT] != service[0]) {
		ledger->result->misrouted++;
		report_soak(ledger, "ROUTE", "id=%s %s by=%s", request->id,
		    request->path, ran_by);
	}
	if (request->runs++ == 0) {
		request->ran_at = soak_now();
		snprintf(
		    request->ran_by, sizeof(request->ran_by), "%s", ran_by);
	} else if (!request->safe) {
		report_soak(ledger, "TWICE", "id=%s %s run=%u by=%s first=%s",
		    request->id, request->path, request->runs, ran_by,
		    request->ran_by);
	}
}

uint64_t
sign_soak_response(const char *id, int status, const msp_buffer_t *body)
{
	uint64_t hash = msp_hash_text(id, (uint64_t)status);

	return msp_hash(body->data, body->len, hash);
}

/* Returns what is wrong with a response, or NULL. */
static const char *
find_fault(const soak_request_t *request, const soak_message_t *message)
{
	char id[64];
	char signature[64];
	bool is_signed = get_soak_field(
	    message, "Response-Signature", signature, sizeof(signature));

	if (request == NULL)
		return is_success(message->status) ? "no request" : NULL;
	if (get_soak_field(message, "Request-Id", id, sizeof(id)) &&
	    strcmp(id, request->id) != 0)
		return "other id";
	if (!is_signed)
		return is_success(message->status) ? "no signature" : NULL;
	if (strtoull(signature, NULL, BASE_HEX) !=
	    sign_soak_response(request->id, message->status, &message->body))
		return "wrong signature";
	return NULL;
}

void
record_soak_end(soak_request_t *request, int answer)
{
	if (request->answer != SOAK_NO_ANSWER)
		return;
	request->answer = answer;
	request->answered_at = soak_now();
}

void
record_soak_answer(soak_ledger_t *ledger, soak_request_t *request,
    const soak_message_t *message)
{
	const char *fault = find_fault(request, message);

	if (fault != NULL) {
		ledger->result->mixed++;
		report_soak(ledger, "MIXED", "id=%s status=%d vm=%u ran=%s: %s",
		    request == NULL ? "-" : request->id, message->status,
		    request == NULL ? 0 : request->vm,
		    request == NULL ? "-" : request->ran_by, fault);
	}
	if (request == NULL)
		return;
	record_soak_end(request, message->status);
	snprintf(request->answered_with, sizeof(request->answered_with), "%.*s",
	    (int)strcspn(msp_buffer_text(&message->body), "\n"),
	    msp_buffer_text(&message->body));
}

static void
note_unanswered(soak_ledger_t *ledger, const soak_request_t *request)
{
	ledger->result->unanswered++;
	fprintf(ledger->report,
	    "not answered: id=%s %s %s vm=%u sent=%.3f ran=%.3f by=%s\n",
	    request->id, request->method, request->path, request->vm,
	    (double)(request->sent_at - ledger->started) / MSP_SECOND,
	    request->runs == 0
		? 0
		: (double)(request->ran_at - ledger->started) / MSP_SECOND,
	    request->ran_by);
}

static void
report_run(
    soak_ledger_t *ledger, const char *rule, const soak_request_t *request)
{
	report_soak(ledger, rule, "id=%s %s %s vm=%u sent=%.3f ran=%.3f by=%s",
	    request->id, request->method, request->path, request->vm,
	    (double)(request->sent_at - ledger->started) / MSP_SECOND,
	    (double)(request->ran_at - ledger->started) / MSP_SECOND,
	    request->ran_by);
}

/* Judges a request on a connection that ended before its response. */
static void
judge_cut_request(soak_ledger_t *ledger, const soak_request_t *request)
{
	bool is_owed = ledger->owed == SOAK_OWES_ALL ||
	    (ledger->owed == SOAK_OWES_LATE && request->to_stopping_vm);

	if (request->arrivals == 0 && request->answer == SOAK_CUT &&
	    ledger->owed != SOAK_OWES_NOTHING && request->whole_at != 0 &&
	    request->answered_at > request->whole_at + LOSS_SLACK) {
		ledger->result->dropped++;
		report_run(ledger, "DROPPED", request);
	}
	if (request->runs == 0)
		return;
	if (request->answer == SOAK_UNREAD) {
		ledger->result->unread_but_run++;
		report_run(ledger, "UNREAD", request);
	} else if (request->answer == SOAK_CUT && is_owed) {
		ledger->result->lost++;
		report_run(ledger, "LOST", request);
	}
}

static void
judge_request(soak_ledger_t *ledger, const soak_request_t *request)
{
	soak_result_t *result = ledger->result;

	result->requests++;
	if (!request->safe)
		result->unsafe++;
	if (is_success(request->answer))
		result->served++;
	else if (is_soak_promise(request->answer))
		result->refused++;
	else if (request->answer == SOAK_CUT)
		result->cut++;
	else if (request->answer == SOAK_UNREAD)
		result->unread++;
	else if (request->answer == SOAK_UNANSWERED)
		note_unanswered(ledger, request);
	else if (request->answer <= 0)
		result->left++;
	else
		result->failed++;
	judge_cut_request(ledger, request);
	if (request->safe || request->runs == 0)
		return;
	if (request->runs > 1)
		result->run_twice++;
	if (!is_soak_promise(request->answer))
		return;
	result->refused_but_run++;
	report_soak(ledger, "REFUSED",
	    "id=%s %s vm=%u status=%d \"%s\" sent=%.3f answered=%.3f "
	    "ran=%.3f runs=%u by=%s",
	    request->id, request->path, request->vm, request->answer,
	    request->answered_with,
	    (double)(request->sent_at - ledger->started) / MSP_SECOND,
	    (double)(request->answered_at - ledger->started) / MSP_SECOND,
	    (double)(request->ran_at - ledger->started) / MSP_SECOND,
	    request->runs, request->ran_by);
}

void
judge_soak(soak_ledger_t *ledger)
{
	size_t cursor = 0;
	void *request;

	while (msp_map_next(ledger->requests, &cursor, NULL, &request))
		judge_request(ledger, request);
	fflush(ledger->report);
}
