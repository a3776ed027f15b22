#include "edge_broadcast.h"

#include <stdio.h>
#include <string.h>

#include "edge_private.h"
#include "members.h"

#define SEND_TIMEOUT_MS 1000
#define REMOTE_RECEIVERS 2 /* per data centre other than this one */
#define PASS_ON_QUERY "?pass-on=1"

static void
count_lost(const edge_broadcast_t *kind)
{
	msp_add_to_counter(
	    kind->edge->daemon->counters, 1, "%s", kind->lost_counter);
}

static void
handle_send_done(void *ctx, msp_call_result_t *result)
{
	const edge_broadcast_t *kind = ctx;

	if (result->status != MSP_OK || result->response->status >= 300)
		count_lost(kind);
}

static void
send_to_vm(const edge_broadcast_t *kind, const char *address, uint16_t port,
    const char *text, bool pass_on)
{
	msp_call_options_t options = {
	    .address = address, .port = port, .timeout_ms = SEND_TIMEOUT_MS};
	msp_request_t request = {.method = "POST"};

	snprintf(request.path, sizeof(request.path), "%s%s", kind->path,
	    pass_on ? PASS_ON_QUERY : "");
	if (msp_append_data(&request.body, text, strlen(text)) != MSP_OK ||
	    msp_start_call(kind->edge->store_http, &options, &request,
		handle_send_done, (void *)kind) == NULL)
		count_lost(kind);
	msp_drop_request(&request);
}

void
pass_on_to_members(const edge_broadcast_t *kind, const char *text)
{
	const msp_membership_t *list =
	    get_membership(kind->edge->daemon->members);
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member != msp_membership_self(list) &&
		    member->state != MSP_MEMBER_DEAD)
			send_to_vm(kind, member->address, member->peer_port,
			    text, false);
	}
}

/* The remote VM at `at`, counted from `start` on. */
static const edge_remote_vm_t *
get_remote_vm(const edge_t *edge, size_t start, size_t at)
{
	return &edge->remote_vms[(start + at) % edge->remote_vm_count];
}

/* Whether enough VMs before `at` are in the same data centre. */
static bool
has_enough_receivers(const edge_t *edge, size_t start, size_t at)
{
	const edge_remote_vm_t *vm = get_remote_vm(edge, start, at);
	size_t count = 0;

	while (at-- > 0 && count < REMOTE_RECEIVERS) {
		if (strcmp(get_remote_vm(edge, start, at)->place, vm->place) ==
		    0)
			count++;
	}
	return count == REMOTE_RECEIVERS;
}

/*
 * Sends to more than one VM of each other data centre, and to other ones each
 * time, because a listed VM may no longer run.
 */
void
send_to_other_places(const edge_broadcast_t *kind, const char *text)
{
	const edge_t *edge = kind->edge;
	size_t start =
	    msp_random_below(&edge->daemon->env, edge->remote_vm_count);
	size_t i;

	for (i = 0; i < edge->remote_vm_count; i++) {
		const store_source_t *to =
		    &get_remote_vm(edge, start, i)->source;

		if (!has_enough_receivers(edge, start, i))
			send_to_vm(kind, to->address, to->port, text, true);
	}
}

void
send_to_one_vm(const edge_broadcast_t *kind, const char *address, uint16_t port,
    const char *text)
{
	send_to_vm(kind, address, port, text, false);
}

void
broadcast_to_vms(const edge_broadcast_t *kind, const char *text)
{
	pass_on_to_members(kind, text);
	send_to_other_places(kind, text);
}

bool
is_to_pass_on(const msp_request_t *request)
{
	return strstr(request->path, PASS_ON_QUERY) != NULL;
}
