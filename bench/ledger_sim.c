#include "ledger_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP (5 * MSP_MS)
#define GOSSIP_PERIOD (200 * MSP_MS)
#define NEAR_DELAY MSP_MS
#define FAR_DELAY (28 * MSP_MS)
#define RESEND_DELAY (200 * MSP_MS) /* of a lost part of a fetch */
#define FAR_GOSSIP_ONE_IN 4

static void
on_release(void *ctx, msp_release_t *release)
{
	ledger_vm_t *vm = ctx;
	ledger_sim_t *fleet = vm->sim;
	uint64_t version = release->version;

	if (version < vm->version)
		fleet->reverted++;
	vm->version = version;
	if (version >= LEDGER_SIM_VERSIONS_MAX)
		return;
	if (version <= fleet->newest_version &&
	    fleet->in_force_at[version] != 0 &&
	    !msp_digest_equal(fleet->digests[version], release->digest))
		fleet->forked++;
	fleet->digests[version] = release->digest;
	memcpy(fleet->note_ids[version], release->note_id, MSP_NOTE_ID_SIZE);
	fleet->in_force_at[version] = fleet->clock.now;
	if (version > fleet->newest_version)
		fleet->newest_version = version;
}

static void
on_kept_out(void *ctx, const char *reason, uint64_t version)
{
	ledger_vm_t *vm = ctx;

	(void)version;
	vm->sim->rejected_count++;
	vm->sim->last_rejected_reason = reason;
}

static bool
can_reach(const ledger_sim_t *fleet, unsigned int a, unsigned int b)
{
	unsigned int one = fleet->vms[a].place;
	unsigned int other = fleet->vms[b].place;

	return one == other ||
	    (!fleet->isolated[one] && !fleet->isolated[other]);
}

static msp_time_t
delay_between(const ledger_sim_t *fleet, unsigned int a, unsigned int b)
{
	return fleet->vms[a].place == fleet->vms[b].place ? NEAR_DELAY
							  : FAR_DELAY;
}

static ledger_message_t *
send_message(
    ledger_sim_t *fleet, unsigned int from, unsigned int to, msp_time_t delay)
{
	ledger_message_t *message = calloc(1, sizeof(*message));

	if (message == NULL)
		abort();
	message->from = from;
	message->to = to;
	message->deliver_at = fleet->clock.now + delay;
	TAILQ_INSERT_TAIL(&fleet->messages, message, entry);
	return message;
}

static bool
is_lost(ledger_sim_t *fleet)
{
	return msp_random_below(&fleet->env, 100) < fleet->loss_pct;
}

/* A fetch runs over TCP: losses delay it, a cut makes it time out. */
static void
fetch_from_peer(void *ctx, uint64_t after)
{
	ledger_vm_t *vm = ctx;
	ledger_sim_t *fleet = vm->sim;
	unsigned int peer = vm->version_source;
	ledger_message_t *answer;
	msp_time_t delay;

	if (peer == vm->index || fleet->vms[peer].ledger == NULL ||
	    !can_reach(fleet, vm->index, peer))
		peer = (unsigned int)msp_random_below(
		    &fleet->env, fleet->vm_count);
	if (peer == vm->index || !can_reach(fleet, vm->index, peer))
		return;
	delay = 4 * delay_between(fleet, vm->index, peer);
	while (is_lost(fleet))
		delay += RESEND_DELAY;
	answer = send_message(fleet, peer, vm->index, delay);
	answer->is_fetch_response = true;
	if (fleet->vms[peer].ledger == NULL ||
	    msp_print_ledger_update(
		fleet->vms[peer].ledger, after, &answer->text) != MSP_OK)
		msp_clear_buffer(&answer->text);
}

void
start_ledger_vm(ledger_sim_t *fleet, unsigned int index)
{
	ledger_vm_t *vm = &fleet->vms[index];
	msp_ledger_options_t options = fleet->options;

	vm->sim = fleet;
	vm->index = index;
	vm->place = index % fleet->place_count;
	vm->version = 0;
	vm->version_source = index;
	vm->next_gossip = fleet->clock.now +
	    msp_random_below(&fleet->env, fleet->gossip_period);
	vm->link = new_store_link(&fleet->env, fleet->store);
	options.env = fleet->env;
	options.store = get_link_store(vm->link);
	options.counters = fleet->counters;
	options.on_release = on_release;
	options.on_rejected = on_kept_out;
	options.fetch_from_peer = fetch_from_peer;
	options.ctx = vm;
	vm->ledger = msp_new_ledger(&options);
	if (vm->ledger == NULL)
		abort();
	/* Two VMs of each place poll. */
	msp_set_ledger_poller(vm->ledger, index / fleet->place_count < 2);
	set_store_link_down(vm->link, false);
}

void
kill_ledger_vm(ledger_sim_t *fleet, unsigned int index)
{
	ledger_vm_t *vm = &fleet->vms[index];

	if (vm->ledger == NULL)
		return;
	msp_drop_ledger(vm->ledger);
	drop_store_link(vm->link);
	vm->ledger = NULL;
	vm->link = NULL;
}

void
init_ledger_sim(ledger_sim_t *fleet, uint64_t seed, unsigned int vm_count,
    unsigned int place_count)
{
	unsigned int i;

	fleet->clock.rng.state = seed;
	fleet->clock.now = MSP_SECOND;
	fleet->env = msp_virtual_env(&fleet->clock);
	fleet->store = msp_new_memory_store(&fleet->env);
	fleet->counters = msp_new_counters();
	if (fleet->store == NULL || fleet->counters == NULL)
		abort();
	msp_memory_store_faults(fleet->store)->latency = 3 * MSP_MS;
	msp_memory_store_faults(fleet->store)->jitter = 3 * MSP_MS;
	fleet->vm_count = vm_count;
	fleet->place_count = place_count;
	if (fleet->gossip_period == 0)
		fleet->gossip_period = GOSSIP_PERIOD;
	if (fleet->step == 0)
		fleet->step = STEP;
	TAILQ_INIT(&fleet->messages);
	for (i = 0; i < vm_count; i++)
		start_ledger_vm(fleet, i);
}

static void
free_message(ledger_message_t *message)
{
	msp_drop_buffer(&message->text);
	free(message);
}

void
clear_ledger_sim(ledger_sim_t *fleet)
{
	ledger_message_t *message;
	ledger_message_t *next;
	unsigned int i;

	for (i = 0; i < fleet->vm_count; i++)
		kill_ledger_vm(fleet, i);
	/* Lets the store answer the calls of VMs that are gone. */
	fleet->clock.now += MSP_MINUTE;
	msp_step_memory_store(fleet->store);
	msp_drop_memory_store(fleet->store);
	msp_drop_counters(fleet->counters);
	TAILQ_FOREACH_SAFE(message, &fleet->messages, entry, next) {
		free_message(message);
	}
}

void
set_place_isolated(
    ledger_sim_t *fleet, unsigned int place, bool cut, bool store)
{
	unsigned int i;

	fleet->isolated[place] = cut;
	for (i = 0; i < fleet->vm_count; i++) {
		if (fleet->vms[i].place == place && fleet->vms[i].link != NULL)
			set_store_link_down(fleet->vms[i].link, cut && store);
	}
}

static void
send_version(ledger_sim_t *fleet, unsigned int from, unsigned int to)
{
	ledger_message_t *message;

	if (is_lost(fleet) || !can_reach(fleet, from, to))
		return;
	message = send_message(fleet, from, to, delay_between(fleet, from, to));
	message->version = fleet->vms[from].version;
}

/* A probe within the place, now and then one of another place; each with its
 * acknowledgement, both with the sender's version. */
static void
gossip(ledger_sim_t *fleet, ledger_vm_t *vm)
{
	bool far = msp_random_below(&fleet->env, FAR_GOSSIP_ONE_IN) == 0;
	unsigned int peer;

	if (fleet->clock.now < vm->next_gossip)
		return;
	vm->next_gossip += fleet->gossip_period;
	do
		peer = (unsigned int)msp_random_below(
		    &fleet->env, fleet->vm_count);
	while (!far && fleet->vms[peer].place != vm->place);
	if (peer == vm->index || fleet->vms[peer].ledger == NULL)
		return;
	send_version(fleet, vm->index, peer);
	send_version(fleet, peer, vm->index);
}

static void
deliver(ledger_sim_t *fleet, ledger_message_t *message)
{
	ledger_vm_t *vm = &fleet->vms[message->to];

	if (vm->ledger == NULL || !can_reach(fleet, message->from, message->to))
		return;
	if (message->is_fetch_response && message->text.len == 0) {
		msp_fail_ledger_fetch(vm->ledger);
		return;
	}
	if (message->is_fetch_response) {
		msp_apply_ledger_update(
		    vm->ledger, message->text.data, message->text.len);
		return;
	}
	if (message->version > vm->version)
		vm->version_source = message->from;
	msp_observe_ledger_version(vm->ledger, message->version, NULL);
}

static void
deliver_due(ledger_sim_t *fleet)
{
	ledger_message_t *message;
	ledger_message_t *next;

	TAILQ_FOREACH_SAFE(message, &fleet->messages, entry, next) {
		if (message->deliver_at > fleet->clock.now)
			continue;
		TAILQ_REMOVE(&fleet->messages, message, entry);
		deliver(fleet, message);
		free_message(message);
	}
}

static void
step_fleet(ledger_sim_t *fleet)
{
	unsigned int i;

	fleet->clock.now += fleet->step;
	msp_step_memory_store(fleet->store);
	deliver_due(fleet);
	for (i = 0; i < fleet->vm_count; i++) {
		ledger_vm_t *vm = &fleet->vms[i];

		if (vm->ledger == NULL)
			continue;
		step_store_link(vm->link);
		gossip(fleet, vm);
		if (msp_ledger_deadline(vm->ledger) <= fleet->clock.now)
			msp_tick_ledger(vm->ledger);
	}
}

void
run_ledger_sim(ledger_sim_t *fleet, msp_time_t span)
{
	msp_time_t end = fleet->clock.now + span;

	while (fleet->clock.now < end)
		step_fleet(fleet);
}

static bool
all_at(const ledger_sim_t *fleet, uint64_t version)
{
	unsigned int i;

	for (i = 0; i < fleet->vm_count; i++) {
		const ledger_vm_t *vm = &fleet->vms[i];

		if (vm->ledger != NULL &&
		    (!msp_ledger_is_ready(vm->ledger) || vm->version < version))
			return false;
	}
	return true;
}

bool
run_ledger_sim_to_version(
    ledger_sim_t *fleet, uint64_t version, msp_time_t span)
{
	msp_time_t end = fleet->clock.now + span;

	while (fleet->clock.now < end && !all_at(fleet, version))
		step_fleet(fleet);
	return all_at(fleet, version);
}

bool
run_ledger_sim_until_converged(ledger_sim_t *fleet, msp_time_t span)
{
	msp_time_t end = fleet->clock.now + span;

	while (fleet->clock.now < end && !all_at(fleet, fleet->newest_version))
		step_fleet(fleet);
	return all_at(fleet, fleet->newest_version);
}

msp_note_t *
parse_note_for_vm(const ledger_vm_t *vm, const char *text)
{
	const msp_release_t *release = msp_ledger_release(vm->ledger);
	msp_note_t *note;

	if (msp_parse_note(text, strlen(text), "note", &note) != MSP_OK) {
		fprintf(stderr, "%s\n", msp_last_message());
		abort();
	}
	if (!note->has_base)
		msp_rebase_note(note, release->version, release->digest);
	return note;
}

msp_note_t *
new_region_note(const ledger_vm_t *vm, const char *id, const char *name)
{
	const msp_release_t *release = msp_ledger_release(vm->ledger);
	char text[256];

	snprintf(text, sizeof(text),
	    "{\"id\":\"%s\",\"%s\":{\"regions\":[{\"name\":\"%s\"}]}}", id,
	    msp_find_region(release, name) == NULL ? "add" : "change", name);
	return parse_note_for_vm(vm, text);
}

void
copy_submit_result(void *ctx, const msp_submit_result_t *result)
{
	ledger_submit_result_t *out = ctx;

	out->ended = true;
	out->status = result->status;
	out->version = result->version;
	out->rebased = result->rebased;
	snprintf(out->clashes, sizeof(out->clashes), "%s", result->clashes);
	snprintf(
	    out->other_note, sizeof(out->other_note), "%s", result->other_note);
	snprintf(out->message, sizeof(out->message), "%s", result->message);
}
