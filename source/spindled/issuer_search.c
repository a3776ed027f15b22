#include "issuer_search.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "members.h"
#include "places.h"
#include "problem.h"
#include "monsoonspindle/net/query.h"

#define ASK_TIMEOUT_MS 500
#define ANSWER_SIZE 80

/* One VM that was asked. */
typedef struct issuer_question {
	issuer_search_t *search;
	msp_call_t *call; /* NULL once it ended */
} issuer_question_t;

struct issuer_search {
	issuer_found_t *found;
	void *ctx;
	issuer_question_t questions[MSP_PLACES_MAX];
	size_t count;
	size_t open;
};

void
cancel_issuer_search(issuer_search_t *search)
{
	size_t i;

	for (i = 0; i < search->count; i++) {
		if (search->questions[i].call != NULL)
			msp_cancel_call(search->questions[i].call);
	}
	free(search);
}

/* Reads "address port"; false if the answer is something else. */
static bool
read_answer(const msp_call_result_t *ended, char *address, uint16_t *port)
{
	const char *text;

	if (ended->status != MSP_OK || ended->response->status != 200)
		return false;
	text = msp_buffer_text(&ended->response->body);
	return sscanf(text, "%45s %" SCNu16, address, port) == 2;
}

static void
on_answer(void *ctx, msp_call_result_t *ended)
{
	issuer_question_t *question = ctx;
	issuer_search_t *search = question->search;
	issuer_found_t *found = search->found;
	void *found_ctx = search->ctx;
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t port = 0;
	bool known = read_answer(ended, address, &port);

	question->call = NULL;
	search->open--;
	if (!known && search->open > 0)
		return;
	cancel_issuer_search(search);
	found(found_ctx, known ? address : NULL, port);
}

static void
ask(daemon_t *daemon, issuer_search_t *search, const remote_vm_t *vm,
    uint64_t incarnation)
{
	issuer_question_t *question = &search->questions[search->count];
	msp_call_options_t options = {.address = vm->address,
	    .port = vm->peer_port,
	    .timeout_ms = ASK_TIMEOUT_MS};
	msp_request_t request = {.method = "GET"};

	snprintf(request.path, sizeof(request.path),
	    ISSUER_PATH "?number=%" PRIu64, incarnation);
	question->search = search;
	question->call = msp_start_call(
	    daemon->peer_client, &options, &request, on_answer, question);
	msp_drop_request(&request);
	if (question->call == NULL)
		return;
	search->count++;
	search->open++;
}

issuer_search_t *
start_issuer_search(struct daemon *daemon, uint64_t incarnation,
    issuer_found_t *found, void *ctx)
{
	const msp_relay_t *relay = get_places_relay(daemon->places);
	issuer_search_t *search = calloc(1, sizeof(*search));
	remote_vm_t vm;
	size_t i;

	if (search == NULL)
		return NULL;
	search->found = found;
	search->ctx = ctx;
	for (i = 0;
	     i < msp_summary_count(relay) && search->count < MSP_PLACES_MAX;
	     i++) {
		const msp_summary_t *summary = msp_summary_at(relay, i);

		if (strcmp(summary->place, daemon->settings->place) != 0 &&
		    !msp_summary_is_stale(relay, summary) &&
		    choose_entry_vm(daemon->places, summary, &vm))
			ask(daemon, search, &vm, incarnation);
	}
	if (search->count > 0)
		return search;
	free(search);
	return NULL;
}

void
serve_issuer_query(struct daemon *daemon, msp_exchange_t *exchange)
{
	const msp_member_t *member;
	char text[ANSWER_SIZE];
	uint64_t incarnation = 0;

	if (msp_get_query_param(msp_exchange_request(exchange)->path, "number",
		text, sizeof(text)) == MSP_OK)
		incarnation = strtoull(text, NULL, 10);
	member = find_member_by_incarnation(daemon->members, incarnation);
	if (incarnation == 0 || member == NULL) {
		msp_fail(MSP_E_NOT_FOUND, "no such incarnation here");
		answer_error(exchange, MSP_E_NOT_FOUND);
		return;
	}
	snprintf(
	    text, sizeof(text), "%s %u", member->address, member->peer_port);
	answer_json(exchange, 200, text);
}
