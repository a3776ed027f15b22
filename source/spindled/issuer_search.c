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

#define QUERY_TIMEOUT_MS 500
#define REPLY_SIZE 80

/* A query to one VM. */
typedef struct issuer_query {
	issuer_search_t *search;
	msp_call_t *call; /* NULL once it has ended */
} issuer_query_t;

struct issuer_search {
	issuer_found_t *found;
	void *ctx;
	issuer_query_t queries[MSP_PLACES_MAX];
	size_t count;
	size_t pending_count;
};

void
cancel_issuer_search(issuer_search_t *search)
{
	size_t i;

	for (i = 0; i < search->count; i++) {
		if (search->queries[i].call != NULL)
			msp_cancel_call(search->queries[i].call);
	}
	free(search);
}

/* Parses "address port". Returns false if the call failed or found nothing. */
static bool
parse_reply(const msp_call_result_t *result, char *address, uint16_t *port)
{
	const char *text;

	if (result->status != MSP_OK || result->response->status != 200)
		return false;
	text = msp_buffer_text(&result->response->body);
	return sscanf(text, "%45s %" SCNu16, address, port) == 2;
}

static void
handle_reply(void *ctx, msp_call_result_t *result)
{
	issuer_query_t *query = ctx;
	issuer_search_t *search = query->search;
	issuer_found_t *found = search->found;
	void *found_ctx = search->ctx;
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t port = 0;
	bool known = parse_reply(result, address, &port);

	query->call = NULL;
	search->pending_count--;
	if (!known && search->pending_count > 0)
		return;
	cancel_issuer_search(search);
	found(found_ctx, known ? address : NULL, port);
}

static void
query_vm(daemon_t *daemon, issuer_search_t *search, const remote_vm_t *vm,
    uint64_t incarnation)
{
	issuer_query_t *query = &search->queries[search->count];
	msp_call_options_t options = {.address = vm->address,
	    .port = vm->peer_port,
	    .timeout_ms = QUERY_TIMEOUT_MS};
	msp_request_t request = {.method = "GET"};

	snprintf(request.path, sizeof(request.path),
	    ISSUER_PATH "?number=%" PRIu64, incarnation);
	query->search = search;
	query->call = msp_start_call(
	    daemon->peer_client, &options, &request, handle_reply, query);
	msp_drop_request(&request);
	if (query->call == NULL)
		return;
	search->count++;
	search->pending_count++;
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
			query_vm(daemon, search, &vm, incarnation);
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
	char text[REPLY_SIZE];
	uint64_t incarnation = 0;

	if (msp_get_query_param(msp_exchange_request(exchange)->path, "number",
		text, sizeof(text)) == MSP_OK)
		incarnation = strtoull(text, NULL, 10);
	member = find_member_by_incarnation(daemon->members, incarnation);
	if (incarnation == 0 || member == NULL) {
		msp_fail(MSP_E_NOT_FOUND,
		    "this data centre has no VM of this incarnation");
		answer_error(exchange, MSP_E_NOT_FOUND);
		return;
	}
	snprintf(
	    text, sizeof(text), "%s %u", member->address, member->peer_port);
	answer_json(exchange, 200, text);
}
