#include "releases.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client_blocks.h"
#include "daemon.h"
#include "dispatchers.h"
#include "log.h"
#include "members.h"
#include "monsoonspindle/coord/rendezvous.h"
#include "places.h"
#include "problem.h"
#include "monsoonspindle/net/query.h"
#include "releases_private.h"

#define POLLERS_PER_PLACE 2 /* VMs that poll the head of the store */
#define FETCH_TIMEOUT_MS 900
#define NUMBER_SIZE 24
#define STEP_INTERVAL_MAX (100 * MSP_MS) /* to observe member versions */
/* The key of the rendezvous hash that selects the pollers. */
#define POLLER_RANK_KEY "release-head"

void
schedule_releases_step(releases_t *releases)
{
	msp_time_t now = msp_now(&releases->daemon->env);
	msp_time_t due = msp_ledger_deadline(releases->ledger);
	msp_time_t delay = due > now ? due - now : 0;

	if (delay > STEP_INTERVAL_MAX)
		delay = STEP_INTERVAL_MAX;
	msp_drop_timer(releases->step_timer);
	releases->step_timer = msp_new_timer(
	    releases->daemon->loop, delay, 0, step_releases, releases);
}

/* Whether this VM polls the head of the store for its data centre. */
static bool
is_poller(const releases_t *releases)
{
	const daemon_t *daemon = releases->daemon;
	const msp_member_t *pollers[POLLERS_PER_PLACE];
	size_t count;
	size_t i;

	count =
	    msp_rank_members(get_membership(daemon->members), POLLER_RANK_KEY,
		daemon->settings->place, 0, pollers, POLLERS_PER_PLACE);
	for (i = 0; i < count; i++) {
		if (strcmp(pollers[i]->name, daemon->settings->vm) == 0)
			return true;
	}
	return count == 0;
}

/* Passes the newest version that a member has to the ledger. */
static void
observe_member_versions(releases_t *releases)
{
	const msp_membership_t *list =
	    get_membership(releases->daemon->members);
	uint64_t newest = 0;
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member->release > newest)
			newest = member->release;
	}
	if (newest > get_current_release(releases)->version)
		msp_observe_ledger_version(releases->ledger, newest, NULL);
}

void
step_releases(void *ctx)
{
	releases_t *releases = ctx;

	if (releases->daemon->members != NULL) {
		msp_set_ledger_poller(releases->ledger, is_poller(releases));
		observe_member_versions(releases);
	}
	msp_tick_ledger(releases->ledger);
	schedule_releases_step(releases);
}

static void
handle_new_release(void *ctx, msp_release_t *release)
{
	releases_t *releases = ctx;
	char digest[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(release->digest, digest);
	log_info("event=release version=%llu digest=%s note=%s",
	    (unsigned long long)release->version, digest, release->note_id);
	if (releases->daemon->dispatchers != NULL)
		update_dispatchers(releases->daemon->dispatchers);
	if (releases->daemon->client_blocks != NULL)
		update_client_blocks(releases->daemon->client_blocks);
}

static void
handle_rejected(void *ctx, const char *reason, uint64_t version)
{
	(void)ctx;
	log_warn("event=release-kept-out reason=%s version=%llu", reason,
	    (unsigned long long)version);
}

static void
handle_notes_reply(void *ctx, msp_call_result_t *result)
{
	releases_t *releases = ctx;

	releases->fetch = NULL;
	if (result->status == MSP_OK && result->response->status == 200)
		msp_apply_ledger_update(releases->ledger,
		    msp_buffer_text(&result->response->body),
		    result->response->body.len);
	else
		msp_fail_ledger_fetch(releases->ledger);
	schedule_releases_step(releases);
}

/* Chooses a random live member with a newer release; NULL if there is none. */
static const msp_member_t *
choose_newer_member(const releases_t *releases, uint64_t after)
{
	const daemon_t *daemon = releases->daemon;
	const msp_membership_t *list = get_membership(daemon->members);
	const msp_member_t *chosen = NULL;
	uint64_t candidate_count = 0;
	size_t i;

	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member->state == MSP_MEMBER_DEAD ||
		    member->release <= after ||
		    strcmp(member->name, daemon->settings->vm) == 0)
			continue;
		if (msp_random_below(&daemon->env, ++candidate_count) == 0)
			chosen = member;
	}
	return chosen;
}

static void
fetch_from(
    releases_t *releases, const char *address, uint16_t port, uint64_t after)
{
	msp_call_options_t options = {
	    .address = address, .port = port, .timeout_ms = FETCH_TIMEOUT_MS};
	msp_request_t request = {.method = "GET"};

	snprintf(request.path, sizeof(request.path), "/v1/notes?after=%llu",
	    (unsigned long long)after);
	releases->fetch = msp_start_call(releases->daemon->peer_client,
	    &options, &request, handle_notes_reply, releases);
}

static void
handle_fetch_fail_timer(void *ctx)
{
	releases_t *releases = ctx;

	msp_drop_timer(releases->fetch_fail_timer);
	releases->fetch_fail_timer = NULL;
	msp_fail_ledger_fetch(releases->ledger);
	schedule_releases_step(releases);
}

static void
fetch_from_peer(void *ctx, uint64_t after)
{
	releases_t *releases = ctx;
	daemon_t *daemon = releases->daemon;
	const msp_member_t *member = NULL;
	remote_vm_t vm;

	if (daemon->members != NULL)
		member = choose_newer_member(releases, after);
	if (member != NULL)
		fetch_from(releases, member->address, member->peer_port, after);
	else if (daemon->places != NULL &&
	    choose_release_peer(daemon->places, after, &vm))
		fetch_from(releases, vm.address, vm.peer_port, after);
	if (releases->fetch != NULL)
		return;
	msp_drop_timer(releases->fetch_fail_timer);
	releases->fetch_fail_timer = msp_new_timer(
	    daemon->loop, MSP_MS, 0, handle_fetch_fail_timer, releases);
}

static void
handle_store_reply(void *ctx)
{
	releases_t *releases = ctx;

	if (releases->ledger != NULL)
		schedule_releases_step(releases);
}

releases_t *
new_releases(struct daemon *daemon)
{
	releases_t *releases = calloc(1, sizeof(*releases));
	msp_ledger_options_t options = {.env = daemon->env,
	    .counters = daemon->counters,
	    .on_release = handle_new_release,
	    .fetch_from_peer = fetch_from_peer,
	    .on_rejected = handle_rejected,
	    .ctx = releases};

	if (releases == NULL)
		return NULL;
	releases->daemon = daemon;
	releases->store =
	    (notifying_store_t){&daemon->store, handle_store_reply, releases};
	options.store = make_notifying_store(&releases->store);
	releases->ledger = msp_new_ledger(&options);
	if (releases->ledger == NULL) {
		free(releases);
		return NULL;
	}
	schedule_releases_step(releases);
	return releases;
}

void
drop_releases(releases_t *releases)
{
	if (releases == NULL)
		return;
	if (releases->fetch != NULL)
		msp_cancel_call(releases->fetch);
	msp_drop_timer(releases->step_timer);
	msp_drop_timer(releases->fetch_fail_timer);
	msp_drop_ledger(releases->ledger);
	free(releases);
}

const msp_release_t *
get_current_release(const releases_t *releases)
{
	return msp_ledger_release(releases->ledger);
}

bool
has_release(const releases_t *releases)
{
	return msp_ledger_is_ready(releases->ledger);
}

msp_status_t
read_number_param(const char *path, const char *name, uint64_t *number)
{
	char text[NUMBER_SIZE];
	char *end;

	*number = 0;
	if (msp_get_query_param(path, name, text, sizeof(text)) != MSP_OK)
		return MSP_E_BAD_REQUEST;
	if (text[0] == '\0')
		return MSP_OK;
	*number = strtoull(text, &end, 10);
	if (*end != '\0' || text[0] == '-')
		return msp_fail(
		    MSP_E_BAD_REQUEST, "%s: must be a number", name);
	return MSP_OK;
}

void
serve_release_notes(releases_t *releases, msp_exchange_t *exchange)
{
	msp_response_t response = {.status = 200};
	uint64_t after;
	msp_status_t status;

	status = read_number_param(
	    msp_exchange_request(exchange)->path, "after", &after);
	if (status == MSP_OK)
		status = msp_print_ledger_update(
		    releases->ledger, after, &response.body);
	if (status != MSP_OK) {
		msp_drop_response(&response);
		answer_error(exchange, status);
		return;
	}
	msp_send_exchange_response(exchange, &response);
}
