#include <stdlib.h>

#include <bsd/string.h>

#include "edge_rate_roles.h"
#include "edge_rates_private.h"
#include "members.h"

/*
 * The rate limits of organisations. The VM that ranks first in this data centre
 * owns them (rate_owner.h); the others ask it for the requests that they get.
 * One question is under way at a time, for all requests that wait.
 */

/* Small VMs under load take their time to read an answer. */
#define ASK_TIMEOUT_MS 400
#define QUESTIONS_MAX 3 /* for one request */
#define OWNER_EXCLUSION (2 * MSP_SECOND)
/*
 * Without an owner a VM uses this much of its even part of a limit, since the
 * owner goes on to admit requests up to the whole part of the data centre.
 */
#define ALONE_PART 0.25
/*
 * With exactly half of the VMs in sight nobody can be the owner: the other half
 * sees no majority either, and may use the rest.
 */
#define HALF_PART 0.5
/* Another VM has asked within this time: it too takes this one for the owner.
 */
#define ASKED_TIME MSP_SECOND
#define REFUSAL_MIN_MS 50
#define REFUSAL_MAX_MS 10000
/* By then a VM that has just started knows who the owner is. */
#define NO_OWNER_RETRY_MS 800
#define LABELS_MAX 100 /* organisations with counters of their own */
#define HTTP_TOO_MANY_REQUESTS 429

size_t
find_rate_place(const msp_settings_t *settings, const char *place)
{
	const msp_settings_place_t *found =
	    msp_find_settings_place(&settings->edge, place);

	return found == NULL ? settings->edge.place_count
			     : (size_t)(found - settings->edge.places);
}

msp_status_t
open_rates(edge_t *edge)
{
	const msp_settings_t *settings = edge->daemon->settings;
	const msp_env_t *env = &edge->daemon->env;
	msp_rate_owner_options_t options = {
	    .place_count = settings->edge.place_count,
	    .place = find_rate_place(settings, settings->place),
	    .slack = settings->edge.rate_slack,
	};
	edge_rates_t *rates = calloc(1, sizeof(*rates));

	edge->rate_messages = (edge_broadcast_t){.edge = edge,
	    .path = RATE_DEMAND_PATH,
	    .lost_counter = "msp_rate_demand_not_told_total"};
	edge->rates = rates;
	if (rates == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for rate limits");
	rates->edge = edge;
	TAILQ_INIT(&rates->waiting);
	rates->owner = msp_new_rate_owner(env, &options);
	rates->leases = msp_new_rate_leases(env);
	rates->alone = msp_new_map();
	rates->labels = msp_new_map();
	return rates->owner == NULL || rates->leases == NULL ||
		rates->alone == NULL || rates->labels == NULL
	    ? msp_fail(MSP_E_NO_MEMORY, "no memory for rate limits")
	    : MSP_OK;
}

void
close_rates(edge_t *edge)
{
	edge_rates_t *rates = edge->rates;

	if (rates == NULL)
		return;
	if (rates->call != NULL)
		msp_cancel_call(rates->call);
	msp_drop_rate_owner(rates->owner);
	msp_drop_rate_leases(rates->leases);
	if (rates->alone != NULL)
		msp_drop_map_and_values(rates->alone);
	if (rates->labels != NULL)
		msp_drop_map_and_values(rates->labels);
	free(rates);
	edge->rates = NULL;
}

/* Counts by organisation; those beyond LABELS_MAX are counted together. */
static void
count_rate(edge_rates_t *rates, const char *organisation, const char *result)
{
	char name[MSP_ORGANISATION_NAME_SIZE];

	if (msp_map_get(rates->labels, organisation) == NULL &&
	    (msp_map_count(rates->labels) == LABELS_MAX ||
		msp_map_get_or_add(rates->labels, organisation, 1) == NULL))
		organisation = "other";
	msp_add_to_counter(rates->edge->daemon->counters, 1,
	    "msp_rate_limited_total{organisation=\"%s\",result=\"%s\"}",
	    clean_log_value(organisation, name, sizeof(name)), result);
}

static void
start(edge_request_t *request, const char *result)
{
	request->rate = RATE_ADMITTED;
	count_rate(
	    request->edge->rates, request->rate_organisation->name, result);
	start_admitted_request(request);
}

/* Answers 429 with the time until there is room again. */
static void
refuse(edge_request_t *request, msp_time_t wait)
{
	edge_t *edge = request->edge;
	uint32_t wait_ms = REFUSAL_MAX_MS;

	request->rate = RATE_FREE;
	count_rate(edge->rates, request->rate_organisation->name, "refused");
	if (wait < REFUSAL_MAX_MS * MSP_MS)
		wait_ms = (uint32_t)(wait / MSP_MS);
	if (wait_ms < REFUSAL_MIN_MS)
		wait_ms = REFUSAL_MIN_MS;
	request->retry_after_ms = wait_ms;
	/* Callers that are refused together must not return together. */
	wait_ms += (uint32_t)msp_random_below(
	    &edge->daemon->env, wait_ms / 4 + REFUSAL_MIN_MS);
	send_local_reply(
	    request, HTTP_TOO_MANY_REQUESTS, wait_ms, "rate-limit");
}

/* Sets this VM's part of a limit that nobody can be asked for, from `now` on.
 */
static void
set_part_alone(const edge_t *edge, const msp_organisation_t *organisation,
    msp_rate_share_t *share, msp_time_t now)
{
	msp_shared_rate_t rate;
	msp_sender_rank_t rank;
	msp_roster_counts_t counts;
	double part;

	count_place_vms(edge, &counts);
	part = 2 * counts.seen == counts.voters ? HALF_PART : ALONE_PART;
	rate = (msp_shared_rate_t){
	    .per_second = organisation->limit.per_second * part,
	    .burst = organisation->limit.burst * part};
	rank_rate_sender(edge, organisation->name, &rank);
	msp_set_rate_share(share, now, &rate, &rank);
}

/* No owner could be asked: uses this VM's even part of the limit. */
static void
admit_alone(edge_request_t *request)
{
	edge_t *edge = request->edge;
	edge_rates_t *rates = edge->rates;
	const msp_organisation_t *organisation = request->rate_organisation;
	msp_time_t now = msp_now(&edge->daemon->env);
	msp_rate_share_t *share = msp_map_get_or_add(
	    rates->alone, organisation->name, sizeof(*share));

	if (share != NULL && msp_rate_share_is_old(share, now))
		set_part_alone(edge, organisation, share, now);
	if (share != NULL && msp_rate_share_allows(share, now)) {
		msp_use_rate_share(share);
		start(request, "admitted-alone");
		return;
	}
	request->rate = RATE_FREE;
	count_rate(rates, organisation->name, "no-owner");
	refuse_request(request, NO_OWNER_RETRY_MS, "no-rate-owner");
}

/*
 * Whether this VM may admit its own requests in its role. On standby, others
 * must have turned to it too: the first may be lost to this VM only.
 */
static bool
may_ask_self(const edge_rates_t *rates, rate_role_t role)
{
	return role == RATE_FIRST_OWNER ||
	    (role == RATE_STANDBY_OWNER &&
		msp_now(&rates->edge->daemon->env) <
		    rates->asked_at + ASKED_TIME);
}

static void ask_owner(edge_rates_t *rates);

/* The first waiting request that the owner was asked for; NULL: none. */
static edge_request_t *
find_asked_request(const edge_rates_t *rates)
{
	edge_request_t *request;

	TAILQ_FOREACH(request, &rates->waiting, rate_link) {
		if (msp_is_rate_asked(
			rates->leases, request->rate_organisation->name))
			return request;
	}
	return NULL;
}

/*
 * Ends the batch; with `has_owner` its grants have been applied. A response to
 * one request may show that its connection is closed, which frees others of
 * the connection; so each turn starts at the first.
 */
static void
finish_batch(edge_rates_t *rates, bool has_owner)
{
	edge_request_t *request;
	msp_time_t wait;

	while ((request = find_asked_request(rates)) != NULL) {
		const char *name = request->rate_organisation->name;
		msp_rate_verdict_t verdict = MSP_RATE_REFUSED;

		TAILQ_REMOVE(&rates->waiting, request, rate_link);
		request->rate = RATE_FREE;
		if (has_owner)
			verdict = msp_take_granted(rates->leases, name, &wait);
		else
			msp_withdraw_rate_wait(rates->leases, name);
		if (verdict == MSP_RATE_ADMITTED)
			start(request, "admitted");
		else if (has_owner)
			refuse(request, wait);
		else
			admit_alone(request);
	}
}

void
begin_rate_batch(edge_rates_t *rates)
{
	if (rates->is_asking || rates->call != NULL)
		return;
	rates->ask_count = msp_collect_rate_asks(
	    rates->leases, rates->asks, MSP_RATES_PER_MESSAGE_MAX);
	if (rates->ask_count == 0)
		return;
	rates->questions = 0;
	rates->was_late = false;
	ask_owner(rates);
}

/* Ends the batch and begins the next, for those that have come meanwhile. */
static void
go_on(edge_rates_t *rates, bool has_owner)
{
	rates->is_asking = true;
	finish_batch(rates, has_owner);
	rates->is_asking = false;
	if (!TAILQ_EMPTY(&rates->waiting))
		begin_rate_batch(rates);
}

/* This VM is the owner. */
static void
ask_self(edge_rates_t *rates)
{
	rate_role_t role = get_rate_role(rates->edge);
	msp_rate_grant_t grant;
	size_t i;

	if (!may_ask_self(rates, role)) {
		go_on(rates, false);
		return;
	}
	msp_act_as_rate_owner(rates->owner, role == RATE_FIRST_OWNER);
	for (i = 0; i < rates->ask_count; i++) {
		msp_ask_rate_owner(rates->owner, &rates->asks[i], &grant);
		msp_apply_rate_grant(rates->leases, &grant);
	}
	go_on(rates, true);
}

static void
apply_grants(edge_rates_t *rates, const char *text)
{
	msp_rate_grant_t *grants =
	    calloc(MSP_RATES_PER_MESSAGE_MAX, sizeof(*grants));
	size_t count = 0;
	size_t i;

	if (grants == NULL ||
	    msp_decode_rate_grants(text, grants, &count) != MSP_OK)
		log_warn("event=rate-owner vm=%s error=%s", rates->asked_vm,
		    grants == NULL ? "no-memory" : msp_last_message());
	for (i = 0; i < count; i++)
		msp_apply_rate_grant(rates->leases, &grants[i]);
	free(grants);
}

static void
handle_owner_answer(void *ctx, msp_call_result_t *result)
{
	edge_rates_t *rates = ctx;
	bool answered =
	    result->status == MSP_OK && result->response->status == 200;

	rates->call = NULL;
	if (answered) {
		apply_grants(rates, msp_buffer_text(&result->response->body));
		go_on(rates, true);
		return;
	}
	/* This VM may be the one that is slow: the same is asked again. */
	if (result->status == MSP_E_DEADLINE && !rates->was_late) {
		rates->was_late = true;
		ask_owner(rates);
		return;
	}
	msp_add_to_counter(rates->edge->daemon->counters, 1,
	    "msp_rate_owners_passed_over_total");
	log_info("event=rate-owner vm=%s state=passed-over status=%s",
	    rates->asked_vm, msp_status_name(result->status));
	if (result->status == MSP_E_PEER_DOWN)
		msp_report_refused_connection(
		    get_membership(rates->edge->daemon->members),
		    rates->asked_vm);
	exclude_vm(&rates->excluded, rates->asked_vm,
	    msp_now(&rates->edge->daemon->env) + OWNER_EXCLUSION);
	if (rates->questions < QUESTIONS_MAX)
		ask_owner(rates);
	else
		go_on(rates, false);
}

static bool
start_ask(edge_rates_t *rates, const rate_owner_vm_t *owner)
{
	msp_call_options_t options = {.address = owner->address,
	    .port = owner->port,
	    .timeout_ms = ASK_TIMEOUT_MS};
	msp_request_t request = {.method = "POST", .path = RATE_ASK_PATH};

	if (msp_encode_rate_asks(
		rates->asks, rates->ask_count, &request.body) == MSP_OK)
		rates->call = msp_start_call(rates->edge->forward_client,
		    &options, &request, handle_owner_answer, rates);
	msp_drop_request(&request);
	return rates->call != NULL;
}

/* Fills in the VM to ask; returns false if none can be reached. */
static bool
find_owner(const edge_rates_t *rates, rate_owner_vm_t *owner)
{
	rate_owner_vm_t owners[RATE_OWNERS_MAX];
	size_t count = list_rate_owners(rates->edge, owners);
	size_t i;

	for (i = 0; i < count; i++) {
		*owner = owners[i];
		if (owner->is_self ||
		    !is_vm_excluded(rates->edge, &rates->excluded, owner->name))
			return true;
	}
	return false;
}

static void
ask_owner(edge_rates_t *rates)
{
	rate_owner_vm_t owner;

	rates->questions++;
	if (!find_owner(rates, &owner)) {
		go_on(rates, false);
	} else if (owner.is_self) {
		ask_self(rates);
	} else {
		strlcpy(rates->asked_vm, owner.name, sizeof(rates->asked_vm));
		if (!start_ask(rates, &owner))
			go_on(rates, false);
	}
}

void
admit_by_rate(edge_request_t *request)
{
	edge_rates_t *rates = request->edge->rates;
	const msp_organisation_t *organisation = request->criteria.organisation;
	msp_time_t wait;

	if (organisation == NULL || organisation->limit.per_second <= 0 ||
	    request->is_forwarded) {
		start_admitted_request(request);
		return;
	}
	request->rate_organisation = organisation;
	switch (msp_take_lease(
	    rates->leases, organisation, request->routes->version, &wait)) {
	case MSP_RATE_ADMITTED:
		start(request, "admitted");
		return;
	case MSP_RATE_REFUSED:
		refuse(request, wait);
		return;
	case MSP_RATE_ASK:
		break;
	}
	request->rate = RATE_WAITING;
	TAILQ_INSERT_TAIL(&rates->waiting, request, rate_link);
	begin_rate_batch(rates);
}

void
charge_retry(const edge_request_t *request)
{
	if (request->rate == RATE_ADMITTED)
		msp_charge_lease(request->edge->rates->leases,
		    request->rate_organisation->name);
}

void
end_rate_use(edge_request_t *request)
{
	edge_rates_t *rates = request->edge->rates;

	if (request->rate == RATE_WAITING) {
		TAILQ_REMOVE(&rates->waiting, request, rate_link);
		msp_withdraw_rate_wait(
		    rates->leases, request->rate_organisation->name);
	} else if (request->rate == RATE_ADMITTED && !request->may_have_run &&
	    !request->from_target &&
	    (request->call == NULL || !msp_call_maybe_sent(request->call))) {
		msp_return_lease(
		    rates->leases, request->rate_organisation->name);
	}
	request->rate = RATE_FREE;
}
