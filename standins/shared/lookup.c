#include "lookup.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "reply.h"

#define LOOKUP_TIMEOUT_MS 1000
#define RETRY_DELAY_MS 200 /* after a failed look-up */
#define DEFAULT_TTL_MS 1000 /* of a response without ttl_ms */

struct lookup {
	msp_loop_t *loop;
	msp_http_client_t *client;
	entry_vm_t initial_vm; /* called at the first and every other attempt */
	char path[256];
	entry_vm_t entries[ENTRY_VMS_MAX];
	unsigned int count;
	unsigned int attempts; /* since the last successful look-up */
	msp_call_t *call; /* look-up in progress, or NULL */
	msp_timer_t *timer; /* of the next look-up, or NULL */
	void (*on_changed)(void *ctx);
	void *ctx;
};

static void
set_entries(lookup_t *lookup, json_object *entries)
{
	size_t i;
	size_t len = json_object_array_length(entries);
	entry_vm_t *entry;
	json_object *item;

	/* An empty list leaves the known entry VMs in place. */
	if (len > 0)
		lookup->count = 0;
	for (i = 0; i < len && lookup->count < ENTRY_VMS_MAX; i++) {
		item = json_object_array_get_idx(entries, i);
		entry = &lookup->entries[lookup->count];
		snprintf(entry->address, sizeof(entry->address), "%s",
		    get_member_text(item, "address", ""));
		entry->port = (uint16_t)get_member_number(item, "port", 0);
		if (entry->port != 0)
			lookup->count++;
	}
}

static void
handle_timer(void *ctx)
{
	lookup_t *lookup = ctx;

	msp_drop_timer(lookup->timer);
	lookup->timer = NULL;
	refresh_lookup(lookup);
}

static void
handle_response(void *ctx, msp_call_result_t *result)
{
	lookup_t *lookup = ctx;
	json_object *response = NULL;
	json_object *entries;
	long long delay_ms = RETRY_DELAY_MS;
	bool found;

	lookup->call = NULL;
	if (result->status == MSP_OK && result->response->status == 200)
		response = json_tokener_parse(
		    msp_buffer_text(&result->response->body));
	found = response != NULL &&
	    json_object_object_get_ex(response, "entries", &entries) &&
	    json_object_is_type(entries, json_type_array);
	if (found) {
		lookup->attempts = 0;
		set_entries(lookup, entries);
		delay_ms =
		    get_member_number(response, "ttl_ms", DEFAULT_TTL_MS);
	}
	json_object_put(response);
	lookup->timer = msp_new_timer(lookup->loop,
	    (msp_time_t)(delay_ms < 1 ? 1 : delay_ms) * MSP_MS, 0, handle_timer,
	    lookup);
	if (found)
		lookup->on_changed(lookup->ctx);
}

void
refresh_lookup(lookup_t *lookup)
{
	msp_request_t request = {.method = "GET"};
	const entry_vm_t *entry = &lookup->initial_vm;
	msp_call_options_t options = {.timeout_ms = LOOKUP_TIMEOUT_MS};

	if (lookup->client == NULL || lookup->call != NULL)
		return;
	msp_drop_timer(lookup->timer);
	lookup->timer = NULL;
	/* Every other attempt goes to one of the known entry VMs. */
	if (lookup->attempts % 2 == 1 && lookup->count > 0)
		entry = get_entry_vm(lookup, lookup->attempts / 2);
	lookup->attempts++;
	options.address = entry->address;
	options.port = entry->port;
	snprintf(request.path, sizeof(request.path), "%s", lookup->path);
	lookup->call = msp_start_call(
	    lookup->client, &options, &request, handle_response, lookup);
}

lookup_t *
new_fixed_lookup(const char *address, uint16_t port)
{
	lookup_t *lookup = calloc(1, sizeof(*lookup));

	if (lookup == NULL)
		abort();
	snprintf(lookup->initial_vm.address, sizeof(lookup->initial_vm.address),
	    "%s", address);
	lookup->initial_vm.port = port;
	lookup->entries[0] = lookup->initial_vm;
	lookup->count = 1;
	return lookup;
}

lookup_t *
new_lookup(msp_loop_t *loop, msp_http_client_t *client, const char *address,
    uint16_t port, const char *service, void (*on_changed)(void *ctx),
    void *ctx)
{
	lookup_t *lookup = new_fixed_lookup(address, port);

	lookup->count = 0;
	lookup->loop = loop;
	lookup->client = client;
	lookup->on_changed = on_changed;
	lookup->ctx = ctx;
	snprintf(lookup->path, sizeof(lookup->path), "/v1/entries?service=%s",
	    service);
	refresh_lookup(lookup);
	return lookup;
}

void
drop_lookup(lookup_t *lookup)
{
	if (lookup == NULL)
		return;
	if (lookup->call != NULL)
		msp_cancel_call(lookup->call);
	msp_drop_timer(lookup->timer);
	free(lookup);
}

const entry_vm_t *
get_entry_vm(const lookup_t *lookup, unsigned int n)
{
	if (lookup->count == 0)
		return NULL;
	return &lookup->entries[n % lookup->count];
}
