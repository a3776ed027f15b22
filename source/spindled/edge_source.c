#include <string.h>

#include <bsd/string.h>

#include "edge_private.h"
#include "log.h"
#include "members.h"

#define READER_ROLE "store-reader" /* the key that ranks the members */
#define READER_EXCLUSION (8 * MSP_SECOND)
/*
 * How long a VM goes on to read the store when another one becomes the reader.
 * The VMs learn of it at different times, and two that take each other for the
 * reader would both be cut off from the store.
 */
#define READER_HANDOVER (5 * MSP_SECOND)

static void
set_source(store_source_t *source, const msp_member_t *member)
{
	strlcpy(source->address, member->address, sizeof(source->address));
	source->port = member->peer_port;
}

bool
pick_member(const edge_t *edge, store_source_t *source)
{
	const msp_member_t *live[MSP_MEMBERS_MAX];
	const msp_membership_t *list = get_membership(edge->daemon->members);
	size_t count = msp_list_live_members(list, live, MSP_MEMBERS_MAX);
	const msp_member_t *self = msp_membership_self(list);
	size_t at;

	if (count < 2)
		return false;
	at = msp_random_below(&edge->daemon->env, count);
	if (strcmp(live[at]->name, self->name) == 0)
		at = (at + 1) % count;
	set_source(source, live[at]);
	return true;
}

/*
 * Returns the member that reads a table for this data centre, or NULL if it is
 * this VM. Members that recently failed to answer, or whose own copy was stale,
 * are excluded.
 */
static const msp_member_t *
find_reader(const edge_table_t *table)
{
	const edge_t *edge = table->edge;
	const msp_settings_t *settings = edge->daemon->settings;
	msp_reader_t readers[MSP_MEMBERS_MAX];
	size_t count =
	    rank_vms_for_role(edge, READER_ROLE, &table->excluded, readers);
	const char *reader;

	if (count == 0)
		return NULL;
	reader = readers[msp_choose_reader(readers, count, table->kind)].name;
	return strcmp(reader, settings->vm) == 0
	    ? NULL
	    : msp_find_member(get_membership(edge->daemon->members), reader);
}

/* Records whether this VM is the reader, and how long it has to go on. */
static void
update_reader_role(edge_table_t *table, bool is_reader)
{
	msp_time_t now = msp_now(&table->edge->daemon->env);

	if (is_reader) {
		if (table->reader_since == 0)
			table->reader_since = now;
		return;
	}
	/* Others read from a VM that has been the reader for some time. */
	if (table->reader_since != 0 &&
	    now >= table->reader_since + READER_HANDOVER)
		table->reader_until = now + READER_HANDOVER;
	table->reader_since = 0;
}

/* Fills `source` with the reader; returns false if this VM reads the store. */
static bool
choose_reader(edge_table_t *table, store_source_t *source)
{
	const msp_member_t *reader = find_reader(table);

	update_reader_role(table, reader == NULL);
	if (reader == NULL ||
	    msp_now(&table->edge->daemon->env) < table->reader_until)
		return false;
	set_source(source, reader);
	return true;
}

static void
exclude_reader(edge_table_t *table)
{
	const msp_member_t *reader = find_reader(table);

	if (reader == NULL)
		return;
	log_info("event=reader table=%s vm=%s state=passed-over", table->name,
	    reader->name);
	exclude_vm(&table->excluded, reader->name,
	    msp_now(&table->edge->daemon->env) + READER_EXCLUSION);
}

/*
 * One VM of each data centre, the table's reader, reads it from the store, and
 * the others read from it. A VM that gets no fresh response from the reader
 * tries the store, then a member, then a VM of another data centre.
 */
bool
choose_store_source(void *ctx, unsigned int attempt, store_source_t *source)
{
	edge_table_t *table = ctx;
	edge_t *edge = table->edge;

	switch (attempt % 4) {
	case 0:
		return choose_reader(table, source);
	case 1:
		exclude_reader(table);
		return false;
	case 2:
		return pick_member(edge, source) ||
		    pick_remote_vm(edge, source);
	default:
		return pick_remote_vm(edge, source);
	}
}

bool
choose_vm_source(void *ctx, store_source_t *source)
{
	const edge_table_t *table = ctx;
	const edge_t *edge = table->edge;

	return pick_remote_vm(edge, source) || pick_member(edge, source);
}

/* Whether the VM is known by gossip to have newer routes than this one. */
static bool
is_ahead(const edge_t *edge, const msp_member_t *member)
{
	return member->state == MSP_MEMBER_ALIVE &&
	    member->release > get_routes_version(edge);
}

/*
 * Picks a VM of this data centre that has newer routes. The one with the
 * fastest link is asked first, others at random.
 */
static bool
pick_member_ahead(
    const edge_t *edge, unsigned int attempt, store_source_t *source)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	const msp_member_t *live[MSP_MEMBERS_MAX];
	size_t live_count = msp_list_live_members(list, live, MSP_MEMBERS_MAX);
	const msp_member_t *ahead[MSP_MEMBERS_MAX];
	size_t count = 0;
	size_t best = 0;
	size_t i;

	for (i = 0; i < live_count; i++) {
		if (!is_ahead(edge, live[i]))
			continue;
		ahead[count] = live[i];
		if (get_link_mbps(edge, live[i]->name) >
		    get_link_mbps(edge, ahead[best]->name))
			best = count;
		count++;
	}
	if (count == 0)
		return false;
	if (attempt > 0)
		best = msp_random_below(&edge->daemon->env, count);
	set_source(source, ahead[best]);
	return true;
}

/*
 * Picks a VM of another data centre: the one that helped last, then others. Two
 * in a row are not of one data centre, which may be as far behind as this one.
 */
static bool
pick_helpful_vm(edge_t *edge, unsigned int attempt, store_source_t *source)
{
	const edge_remote_vm_t *vms = edge->remote_vms;
	size_t count = edge->remote_vm_count;
	size_t start;
	size_t i;

	if (attempt == 0 && edge->helpful_vm.port != 0) {
		*source = edge->helpful_vm;
		return true;
	}
	if (count == 0)
		return false;
	start = msp_random_below(&edge->daemon->env, count);
	for (i = 0; i + 1 < count; i++) {
		if (strcmp(vms[(start + i) % count].place, edge->asked_place) !=
		    0)
			break;
	}
	strlcpy(edge->asked_place, vms[(start + i) % count].place,
	    sizeof(edge->asked_place));
	*source = vms[(start + i) % count].source;
	return true;
}

bool
choose_second_vm(void *ctx, unsigned int attempt, store_source_t *source)
{
	edge_table_t *table = ctx;
	edge_t *edge = table->edge;

	table->asked_member = table == &edge->operator_table &&
	    pick_member_ahead(edge, attempt, source);
	return table->asked_member || pick_helpful_vm(edge, attempt, source);
}
