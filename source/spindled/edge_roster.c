#include <inttypes.h>
#include <string.h>

#include "../../platform/vm_row.h"
#include "edge_private.h"
#include "edge_rate_roles.h"
#include "log.h"
#include "members.h"

#define CHECK_INTERVAL MSP_SECOND

/* The changes of one transaction. */
typedef struct roster_txn {
	msp_condition_t conditions[MSP_ROSTER_CHANGES_MAX];
	msp_write_t writes[MSP_ROSTER_CHANGES_MAX];
	msp_buffer_t values[MSP_ROSTER_CHANGES_MAX];
	size_t count;
} roster_txn_t;

static void
set_live_members(edge_t *edge)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	const msp_member_t *live[MSP_MEMBERS_MAX];
	const char *names[MSP_MEMBERS_MAX];
	size_t count = msp_list_live_members(list, live, MSP_MEMBERS_MAX);
	size_t i;

	for (i = 0; i < count; i++)
		names[i] = live[i]->name;
	if (msp_set_roster_members(edge->roster, names, count) != MSP_OK)
		log_warn("event=roster error=%s", msp_last_message());
}

void
load_edge_roster(edge_t *edge, const msp_roster_row_t *rows, size_t count)
{
	set_live_members(edge);
	if (msp_load_roster(edge->roster, rows, count) != MSP_OK)
		log_warn("event=roster error=%s", msp_last_message());
}

void
count_place_vms(const edge_t *edge, msp_roster_counts_t *counts)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	const msp_member_t *live[MSP_MEMBERS_MAX];

	msp_count_roster(edge->roster, counts);
	counts->seen = msp_list_live_members(list, live, MSP_MEMBERS_MAX);
}

bool
sees_most_vms(const edge_t *edge)
{
	msp_roster_counts_t counts;

	count_place_vms(edge, &counts);
	return msp_is_majority(&counts);
}

/*
 * This VM's place among the live ones; MSP_ROSTER_KEEPERS: it has none. Those
 * that may own the limits come first, since they rely on the list.
 */
static size_t
find_own_rank(const edge_t *edge)
{
	static const edge_exclusions_t nobody;
	const msp_membership_t *list = get_membership(edge->daemon->members);
	msp_reader_t ranked[MSP_MEMBERS_MAX];
	size_t count =
	    rank_vms_for_role(edge, RATE_OWNER_ROLE, &nobody, ranked);
	size_t i;

	if (edge->daemon->leaving || msp_membership_is_paused(list) ||
	    msp_membership_is_superseded(list))
		return MSP_ROSTER_KEEPERS;
	for (i = 0; i < count && i < MSP_ROSTER_KEEPERS; i++) {
		if (strcmp(ranked[i].name, edge->daemon->settings->vm) == 0)
			return i;
	}
	return MSP_ROSTER_KEEPERS;
}

bool
keeps_roster(const edge_t *edge)
{
	return find_own_rank(edge) == 0;
}

static void
add_change(roster_txn_t *txn, const msp_roster_change_t *change)
{
	msp_buffer_t *value = &txn->values[txn->count];
	msp_write_t write = {.key = change->name};

	if (change->step != MSP_ROSTER_RETIRE) {
		if (mark_vm_row(change->value, change->value_len,
			change->step == MSP_ROSTER_DOUBT, value) != MSP_OK) {
			log_warn("event=vm-row of=%s error=%s", change->name,
			    msp_last_message());
			return;
		}
		write.value = value->data;
		write.value_len = value->len;
	}
	txn->conditions[txn->count] =
	    (msp_condition_t){.key = change->name, .version = change->version};
	txn->writes[txn->count++] = write;
}

static void
drop_txn(roster_txn_t *txn)
{
	size_t i;

	for (i = 0; i < MSP_ROSTER_CHANGES_MAX; i++)
		msp_drop_buffer(&txn->values[i]);
}

static const char *
name_step(msp_roster_step_t step)
{
	switch (step) {
	case MSP_ROSTER_DOUBT:
		return "doubted";
	case MSP_ROSTER_RESTORE:
		return "restored";
	case MSP_ROSTER_RETIRE:
		break;
	}
	return "retired";
}

static void
report_change(edge_t *edge, const msp_roster_change_t *change)
{
	msp_roster_counts_t counts;

	count_place_vms(edge, &counts);
	msp_add_to_counter(edge->daemon->counters, 1,
	    "msp_vm_row_changes_total{change=\"%s\"}", name_step(change->step));
	log_info("event=vm-row of=%s change=%s unseen_ms=%" PRIu64
		 " row_version=%" PRIu64 " voters=%zu seen=%zu",
	    change->name, name_step(change->step), change->unseen_for / MSP_MS,
	    change->version, counts.voters, counts.seen);
}

bool
change_edge_roster(edge_t *edge)
{
	msp_roster_change_t changes[MSP_ROSTER_CHANGES_MAX];
	roster_txn_t parts = {0};
	msp_txn_t txn = {
	    .conditions = parts.conditions, .writes = parts.writes};
	size_t count =
	    msp_plan_roster(edge->roster, find_own_rank(edge), changes);
	bool has_begun;
	size_t i;

	for (i = 0; i < count; i++) {
		add_change(&parts, &changes[i]);
		report_change(edge, &changes[i]);
	}
	txn.condition_count = parts.count;
	txn.write_count = parts.count;
	has_begun = parts.count > 0 && change_vm_rows(edge, &txn);
	drop_txn(&parts);
	return has_begun;
}

void
check_edge_roster(edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);
	msp_roster_counts_t counts;

	if (now < edge->roster_checked_at + CHECK_INTERVAL)
		return;
	edge->roster_checked_at = now;
	set_live_members(edge);
	msp_count_roster(edge->roster, &counts);
	if (counts.unsettled == 0 ||
	    now < edge->vms_refreshed_at + MSP_ROSTER_READ_INTERVAL)
		return;
	if (!msp_is_majority(&counts) ||
	    find_own_rank(edge) < MSP_ROSTER_KEEPERS)
		read_vms_now(edge);
}

void
update_roster_gauges(const edge_t *edge)
{
	msp_counters_t *counters = edge->daemon->counters;
	msp_roster_counts_t counts;

	count_place_vms(edge, &counts);
	*msp_get_counter(counters, "msp_vms_voting") = counts.voters;
	*msp_get_counter(counters, "msp_vms_seen") = counts.seen;
	*msp_get_counter(counters, "msp_vms_unsettled") = counts.unsettled;
}
