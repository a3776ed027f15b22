#include "lookup.h"

#include <json-c/json.h>

#include "daemon.h"
#include "log.h"
#include "members.h"
#include "monsoonspindle/coord/rendezvous.h"
#include "problem.h"
#include "query.h"

#define ENTRIES_MAX 8

void
answer_lookup(struct daemon *daemon, msp_exchange_t *exchange)
{
	const msp_request_t *request = msp_exchange_request(exchange);
	const msp_member_t *members[ENTRIES_MAX];
	char service[MSP_NAME_SIZE];
	json_object *doc;
	json_object *list;
	size_t count;
	size_t i;

	if (read_query(request->path, "service", service, sizeof(service)) !=
	    MSP_OK) {
		answer_error(exchange, MSP_E_BAD_REQUEST);
		return;
	}
	doc = json_object_new_object();
	list = json_object_new_array();
	count = msp_rank_members(members_list(daemon->members), service,
	    daemon->settings->place, 0, members, ENTRIES_MAX);
	for (i = 0; i < count; i++) {
		json_object *entry = json_object_new_object();

		json_object_object_add(
		    entry, "vm", json_object_new_string(members[i]->name));
		json_object_object_add(entry, "address",
		    json_object_new_string(members[i]->address));
		json_object_object_add(entry, "port",
		    json_object_new_int(members[i]->caller_port));
		json_object_array_add(list, entry);
	}
	json_object_object_add(doc, "entries", list);
	json_object_object_add(doc, "ttl_ms",
	    json_object_new_int64(daemon->settings->lookup_ttl_ms));
	answer_json(exchange, 200,
	    json_object_to_json_string_ext(doc, JSON_C_TO_STRING_PLAIN));
	json_object_put(doc);
}
