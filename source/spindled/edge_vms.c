#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "../../platform/strike_row.h"
#include "../../platform/vm_row.h"
#include "edge_private.h"
#include "log.h"
#include "members.h"

#define VM_TIMEOUT_MS 1500 /* until the response begins */
#define VM_TRANSFER_MS 15000 /* from then to its end, over a slow link */
#define VM_RETRY (700 * MSP_MS)
#define VM_REFRESH (30 * MSP_SECOND)
/* VMs that start with this one may announce themselves after its first read. */
#define VM_FIRST_REFRESH (3 * MSP_SECOND)
#define VM_URGENT_REFRESH (1 * MSP_SECOND) /* at most so often on demand */
/* All VMs write their rows again within this time, for the store's limit. */
#define VM_SPREAD (2 * MSP_SECOND)

bool
pick_remote_vm(const edge_t *edge, store_source_t *source)
{
	if (edge->remote_vm_count == 0)
		return false;
	*source = edge->remote_vms[msp_random_below(&edge->daemon->env,
				       edge->remote_vm_count)]
		      .source;
	return true;
}

size_t
count_known_vms(const edge_t *edge)
{
	return edge->vm_profiles == NULL
	    ? 0
	    : msp_map_count(edge->vm_profiles) + edge->remote_vm_count;
}

static void read_vms(void *ctx);
static void write_vm_row(void *ctx);

static void
drop_vm_timer(edge_t *edge)
{
	msp_drop_timer(edge->vm_timer);
	edge->vm_timer = NULL;
}

static void
set_vm_timer(edge_t *edge, msp_time_t delay, void (*fire)(void *ctx))
{
	drop_vm_timer(edge);
	edge->vm_timer =
	    msp_new_timer(edge->daemon->loop, delay, 0, fire, edge);
}

/* This VM's own row in the store's table. */
typedef enum own_row {
	OWN_ROW_MISSING,
	OWN_ROW_UNUSABLE,
	OWN_ROW_DOUBTED,
	OWN_ROW_LISTED,
} own_row_t;

/* The VMs in the store's table. The arrays and the map are owned. */
typedef struct vm_lists {
	own_row_t own_row;
	msp_seed_t *here; /* of this data centre */
	size_t here_count;
	edge_remote_vm_t *others; /* of other data centres */
	size_t other_count;
	msp_map_t *profiles; /* edge_vm_profile_t by name */
	msp_roster_row_t *rows; /* of this data centre, with doubts */
	size_t row_count;
} vm_lists_t;

static void
drop_vm_lists(vm_lists_t *lists)
{
	free(lists->here);
	free(lists->others);
	free(lists->rows);
	msp_drop_map_and_values(lists->profiles);
}

static void
add_profile(vm_lists_t *lists, const char *name, const vm_row_t *vm)
{
	edge_vm_profile_t *profile = calloc(1, sizeof(*profile));

	if (profile == NULL)
		return;
	profile->speaks = vm->speaks;
	profile->link_mbps = vm->link_mbps;
	profile->peer_port = vm->peer_port;
	strlcpy(profile->address, vm->address, sizeof(profile->address));
	if (msp_map_put(lists->profiles, name, profile) != MSP_OK)
		free(profile);
}

static void
add_vm_here(vm_lists_t *lists, const store_row_t *row, const vm_row_t *vm)
{
	msp_seed_t *seed = &lists->here[lists->here_count++];

	lists->rows[lists->row_count++] = (msp_roster_row_t){.name = row->key,
	    .version = row->version,
	    .is_doubted = vm->doubted,
	    .answers_late = vm->speaks.newest < MSP_PROTOCOL_DOUBTS,
	    .value = row->value,
	    .value_len = row->value_len};
	add_profile(lists, row->key, vm);
	strlcpy(seed->address, vm->address, sizeof(seed->address));
	seed->peer_port = vm->peer_port;
}

static void
add_vm(vm_lists_t *lists, const char *place, const store_row_t *row,
    const vm_row_t *vm)
{
	edge_remote_vm_t *other;

	if (strcmp(vm->place, place) == 0) {
		add_vm_here(lists, row, vm);
		return;
	}
	if (vm->doubted)
		return;
	other = &lists->others[lists->other_count++];
	strlcpy(other->place, vm->place, sizeof(other->place));
	strlcpy(
	    other->source.address, vm->address, sizeof(other->source.address));
	other->source.port = vm->peer_port;
}

/* Adds the VM of a row, if it can be read as one. */
static void
add_row(
    vm_lists_t *lists, const msp_settings_t *settings, const store_row_t *row)
{
	bool is_own = strcmp(row->key, settings->vm) == 0;
	vm_row_t vm;

	if (row->value == NULL ||
	    decode_vm_row(row->value, row->value_len, &vm) != MSP_OK) {
		if (is_own)
			lists->own_row = OWN_ROW_UNUSABLE;
		return;
	}
	if (is_own)
		lists->own_row = vm.doubted ? OWN_ROW_DOUBTED : OWN_ROW_LISTED;
	add_vm(lists, settings->place, row, &vm);
}

static msp_status_t
list_vms(const store_reply_t *reply, const msp_settings_t *settings,
    vm_lists_t *lists)
{
	size_t i;

	lists->here = calloc(reply->row_count + 1, sizeof(*lists->here));
	lists->others = calloc(reply->row_count + 1, sizeof(*lists->others));
	lists->rows = calloc(reply->row_count + 1, sizeof(*lists->rows));
	lists->profiles = msp_new_map();
	if (lists->here == NULL || lists->others == NULL ||
	    lists->rows == NULL || lists->profiles == NULL)
		return MSP_E_NO_MEMORY;
	for (i = 0; i < reply->row_count; i++)
		add_row(lists, settings, &reply->rows[i]);
	return MSP_OK;
}

/* Writes this VM's row within VM_SPREAD. */
static void
schedule_announcement(edge_t *edge)
{
	set_vm_timer(edge, msp_random_below(&edge->daemon->env, VM_SPREAD),
	    write_vm_row);
}

/* Schedules the next call after a read. */
static void
schedule_next_call(edge_t *edge)
{
	if (edge->must_announce)
		schedule_announcement(edge);
	else
		set_vm_timer(edge,
		    edge->others_announce ? VM_FIRST_REFRESH : VM_REFRESH,
		    read_vms);
	edge->others_announce = false;
}

void
announce_vm_again(edge_t *edge)
{
	edge->must_announce = true;
	edge->others_announce = true;
	/* The store may lack rows that others have yet to write again. */
	msp_suspend_roster(edge->roster);
	if (edge->vm_call == NULL)
		schedule_announcement(edge);
}

/* Takes over the lists, which become empty. */
static void
set_vm_lists(edge_t *edge, vm_lists_t *lists)
{
	msp_set_discovered_seeds(get_membership(edge->daemon->members),
	    lists->here,
	    lists->here_count < MSP_SEEDS_MAX ? lists->here_count
					      : MSP_SEEDS_MAX);
	free(edge->remote_vms);
	edge->remote_vms = lists->others;
	edge->remote_vm_count = lists->other_count;
	msp_drop_map_and_values(edge->vm_profiles);
	edge->vm_profiles = lists->profiles;
	lists->others = NULL;
	lists->profiles = NULL;
}

static void
load_strike_rows(edge_t *edge, const store_reply_t *reply)
{
	size_t i;

	begin_strike_rows(edge, reply->now_ms);
	for (i = 0; i < reply->row_count && reply->now_ms != 0; i++) {
		if (reply->rows[i].value != NULL &&
		    is_strike_row_key(reply->rows[i].key))
			load_strike_row(edge, &reply->rows[i]);
	}
}

static const char *
name_own_row(own_row_t state)
{
	switch (state) {
	case OWN_ROW_MISSING:
		return "missing";
	case OWN_ROW_UNUSABLE:
		return "unusable";
	case OWN_ROW_DOUBTED:
		return "doubted";
	case OWN_ROW_LISTED:
		break;
	}
	return "listed";
}

/* Has this VM's row written again if others can't use it as it is. */
static void
check_own_row(edge_t *edge, own_row_t state, bool has_more_rows)
{
	if (state == OWN_ROW_LISTED || edge->daemon->leaving ||
	    (state == OWN_ROW_MISSING && has_more_rows))
		return;
	log_warn("event=vm-own-row state=%s", name_own_row(state));
	edge->must_announce = true;
}

static void
handle_vms_read(void *ctx, const store_reply_t *reply)
{
	edge_t *edge = ctx;
	vm_lists_t lists = {0};
	msp_status_t status = reply->status;

	edge->vm_call = NULL;
	if (status == MSP_OK)
		status = list_vms(reply, edge->daemon->settings, &lists);
	if (status != MSP_OK) {
		drop_vm_lists(&lists);
		msp_suspend_roster(edge->roster);
		log_warn("event=vms error=%s", msp_status_name(status));
		set_vm_timer(edge, VM_RETRY, read_vms);
		return;
	}
	log_info(
	    "event=vms rows=%zu here=%zu", reply->row_count, lists.here_count);
	set_vm_lists(edge, &lists);
	load_strike_rows(edge, reply);
	check_own_row(edge, lists.own_row, reply->has_more);
	if (reply->has_more)
		msp_suspend_roster(edge->roster);
	else
		load_edge_roster(edge, lists.rows, lists.row_count);
	drop_vm_lists(&lists);
	if (edge->vms_read_at == 0)
		edge->vms_read_at = msp_now(&edge->daemon->env);
	if (edge->must_announce ||
	    (!change_edge_roster(edge) && !change_strike_rows(edge)))
		schedule_next_call(edge);
}

static void
read_vms(void *ctx)
{
	edge_t *edge = ctx;

	drop_vm_timer(edge);
	edge->vms_refreshed_at = msp_now(&edge->daemon->env);
	edge->vm_call = read_store_rows(edge->store, NULL, VMS_TABLE, NULL,
	    &(store_call_options_t){.begin_ms = VM_TIMEOUT_MS,
		.transfer_ms = VM_TRANSFER_MS,
		.accepts_odd_rows = true},
	    handle_vms_read, edge);
	if (edge->vm_call == NULL)
		set_vm_timer(edge, VM_RETRY, read_vms);
}

static void
handle_vm_row_written(void *ctx, const store_reply_t *reply)
{
	edge_t *edge = ctx;

	edge->vm_call = NULL;
	if (reply->status != MSP_OK) {
		log_warn(
		    "event=announce error=%s", msp_status_name(reply->status));
		set_vm_timer(edge, VM_RETRY, write_vm_row);
		return;
	}
	edge->must_announce = false;
	/*
	 * Reads only after writing: of two VMs that start together, at least
	 * the one that reads last then sees the other.
	 */
	read_vms(edge);
}

static void
write_vm_row(void *ctx)
{
	edge_t *edge = ctx;
	const msp_settings_t *settings = edge->daemon->settings;
	vm_row_t vm = {.peer_port = settings->peer_port,
	    .caller_port = settings->caller_port,
	    .speaks = {MSP_PROTOCOL_OLDEST, MSP_PROTOCOL_NEWEST},
	    .link_mbps = (uint32_t)settings->edge.link_mbps};
	msp_buffer_t text = {0};
	msp_write_t write = {.key = settings->vm};
	msp_txn_t txn = {.writes = &write, .write_count = 1};

	strlcpy(vm.place, settings->place, sizeof(vm.place));
	strlcpy(vm.address, settings->address, sizeof(vm.address));
	if (encode_vm_row(&vm, &text) == MSP_OK) {
		write.value = text.data;
		write.value_len = text.len;
		edge->vm_call = transact_store_rows(edge->store, VMS_TABLE,
		    &txn, VM_TIMEOUT_MS, handle_vm_row_written, edge);
	}
	msp_drop_buffer(&text);
	if (edge->vm_call == NULL)
		set_vm_timer(edge, VM_RETRY, write_vm_row);
}

void
read_vms_now(edge_t *edge)
{
	if (edge->vm_call == NULL && edge->vms_read_at != 0 &&
	    !edge->must_announce)
		read_vms(edge);
}

static void
handle_vm_rows_changed(void *ctx, const store_reply_t *reply)
{
	edge_t *edge = ctx;

	edge->vm_call = NULL;
	end_strike_row_change(edge, reply->status == MSP_OK);
	if (reply->status == MSP_OK || reply->status == MSP_E_CONFLICT)
		log_info("event=vm-rows changed=%d", reply->status == MSP_OK);
	else
		log_warn(
		    "event=vm-rows error=%s", msp_status_name(reply->status));
	set_vm_timer(edge, VM_RETRY, read_vms);
}

bool
change_vm_rows(edge_t *edge, const msp_txn_t *txn)
{
	drop_vm_timer(edge);
	edge->vm_call = transact_store_rows(edge->store, VMS_TABLE, txn,
	    VM_TIMEOUT_MS, handle_vm_rows_changed, edge);
	if (edge->vm_call == NULL)
		set_vm_timer(edge, VM_RETRY, read_vms);
	return edge->vm_call != NULL;
}

void
refresh_edge_vms(edge_t *edge)
{
	if (msp_now(&edge->daemon->env) >=
	    edge->vms_refreshed_at + VM_URGENT_REFRESH)
		read_vms_now(edge);
}

msp_status_t
open_edge_vms(edge_t *edge)
{
	edge->roster = msp_new_roster(&edge->daemon->env);
	if (edge->roster == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for the roster");
	edge->others_announce = true;
	write_vm_row(edge);
	return MSP_OK;
}

void
close_edge_vms(edge_t *edge)
{
	drop_vm_timer(edge);
	cancel_store_call(edge->vm_call);
	free(edge->remote_vms);
	msp_drop_map_and_values(edge->vm_profiles);
	msp_drop_roster(edge->roster);
}
