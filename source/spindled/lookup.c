#include "lookup.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "client_blocks.h"
#include "daemon.h"
#include "log.h"
#include "members.h"
#include "monsoonspindle/coord/issued_keys.h"
#include "monsoonspindle/steer/locator.h"
#include "places.h"
#include "problem.h"
#include "monsoonspindle/net/query.h"

/* Client, service and place of one look-up. */
typedef struct lookup_query {
	char service[MSP_NAME_SIZE];
	char place[MSP_NAME_SIZE];
	const char *regions[1]; /* the client's own */
	msp_lookup_t lookup;
} lookup_query_t;

static bool
is_drained(void *ctx, const char *place)
{
	return is_place_drained(ctx, place);
}

static msp_status_t
read_lookup(
    daemon_t *daemon, const msp_exchange_t *exchange, lookup_query_t *query)
{
	const char *path = msp_exchange_request(exchange)->path;
	const char *client = msp_exchange_client_address(exchange);
	const msp_release_t *release = get_daemon_release(daemon);
	msp_lookup_t *lookup = &query->lookup;
	const char *place = NULL;

	if (msp_get_query_param(path, "service", query->service,
		sizeof(query->service)) != MSP_OK ||
	    msp_get_query_param(
		path, "place", query->place, sizeof(query->place)) != MSP_OK)
		return MSP_E_BAD_REQUEST;
	if (query->service[0] == '\0')
		return msp_fail(MSP_E_BAD_REQUEST, "service: missing");
	if (is_daemon_ready(daemon) &&
	    msp_find_service(release, query->service) == NULL)
		return msp_fail(
		    MSP_E_UNKNOWN_SERVICE, "no service \"%s\"", query->service);
	if (query->place[0] != '\0' && is_daemon_ready(daemon) &&
	    msp_find_place(release, query->place) == NULL)
		return msp_fail(
		    MSP_E_BAD_REQUEST, "place: no place \"%s\"", query->place);
	lookup->service = query->service;
	lookup->client = client;
	lookup->is_drained = is_drained;
	lookup->ctx = daemon;
	if (find_client_place(
		daemon->client_blocks, client, &query->regions[0], &place)) {
		lookup->regions = query->regions;
		lookup->region_count = 1;
	}
	if (query->place[0] != '\0')
		lookup->place = query->place;
	else if (place != NULL && place[0] != '\0')
		lookup->place = place;
	return MSP_OK;
}

static json_object *
describe_entry(const msp_lookup_entry_t *entry)
{
	json_object *doc = json_object_new_object();

	json_object_object_add(doc, "vm", json_object_new_string(entry->name));
	json_object_object_add(
	    doc, "address", json_object_new_string(entry->address));
	json_object_object_add(
	    doc, "port", json_object_new_int(entry->caller_port));
	json_object_object_add(
	    doc, "place", json_object_new_string(entry->place));
	json_object_object_add(
	    doc, "region", json_object_new_string(entry->region));
	json_object_object_add(doc, "kind",
	    json_object_new_string(msp_entry_kind_name(entry->kind)));
	return doc;
}

static void
write_answer(daemon_t *daemon, msp_exchange_t *exchange,
    const msp_lookup_result_t *answer)
{
	json_object *doc = json_object_new_object();
	json_object *list = json_object_new_array();
	char prefix[MSP_ISSUED_PREFIX_SIZE];
	size_t i;

	for (i = 0; i < answer->count; i++)
		json_object_array_add(
		    list, describe_entry(&answer->entries[i]));
	json_object_object_add(doc, "entries", list);
	json_object_object_add(doc, "ttl_ms",
	    json_object_new_int64(daemon->settings->lookup_ttl_ms));
	if (!daemon->leaving) {
		msp_issue_key_prefix(
		    daemon->incarnation, msp_now(&daemon->env), prefix);
		json_object_object_add(
		    doc, "key_prefix", json_object_new_string(prefix));
	}
	answer_json(exchange, 200,
	    json_object_to_json_string_ext(doc, JSON_C_TO_STRING_PLAIN));
	json_object_put(doc);
}

void
serve_lookup(struct daemon *daemon, msp_exchange_t *exchange)
{
	lookup_query_t query = {0};
	msp_lookup_result_t answer;
	msp_decision_t decision = {.action = "lookup"};
	msp_status_t status;

	status = read_lookup(daemon, exchange, &query);
	if (status == MSP_OK)
		status = msp_locate_entries(get_membership(daemon->members),
		    get_places_relay(daemon->places), &query.lookup, &answer);
	if (status != MSP_OK) {
		answer_error(exchange, status);
		return;
	}
	msp_add_to_counter(daemon->counters, 1, "msp_lookups_total");
	decision.service = query.service;
	decision.place = answer.entries[0].place;
	decision.vm = answer.entries[0].name;
	decision.reason = msp_entry_kind_name(answer.entries[0].kind);
	log_decision(NULL, &decision);
	write_answer(daemon, exchange, &answer);
}
