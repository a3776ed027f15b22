#include "ledger_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP (5 * MSP_MS)
#define GOSSIP_PERIOD (200 * MSP_MS)
#define LOCAL_DELAY MSP_MS
#define REMOTE_DELAY (28 * MSP_MS)
#define RESEND_DELAY (200 * MSP_MS) /* per lost packet of a fetch */
#define REMOTE_GOSSIP_ONE_IN 4

static void
handle_release(void *ctx, msp_release_t *release)
{
	ledger_vm_t *vm = ctx;
	ledger_sim_t *sim = vm->sim;
	uint64_t version = release->version;

	if (version < vm->version)
		sim->reverted++;
	vm->version = version;
	if (version >= LEDGER_SIM_VERSIONS_MAX)
		return;
	if (version <= sim->newest_version && sim->in_force_at[version] != 0 &&
	    !msp_digest_equal(sim->digests[version], release->digest))
		sim->forked++;
	sim->digests[version] = release->digest;
	memcpy(sim->note_ids[version], release->note_id, MSP_NOTE_ID_SIZE);
	sim->in_force_at[version] = sim->clock.now;
	if (version > sim->newest_version)
		sim->newest_version = version;
}

static void
handle_rejected(void *ctx, const char *reason, uint64_t version)
{
	ledger_vm_t *vm = ctx;

	(void)version;
	vm->sim->rejected_count++;
	vm->sim->last_rejected_reason = reason;
}

static bool
can_reach(const ledger_sim_t *sim, unsigned int a, unsigned int b)
{
	unsigned int place_a = sim->vms[a].place;
	unsigned int place_b = sim->vms[b].place;

	return place_a == place_b ||
	    (!sim->isolated[place_a] && !sim->isolated[place_b]);
}

static msp_time_t
get_delay(const ledger_sim_t *sim, unsigned int a, unsigned int b)
{
	return sim->vms[a].place == sim->vms[b].place ? LOCAL_DELAY
						      : REMOTE_DELAY;
}

static ledger_message_t *
send_message(
    ledger_sim_t *sim, unsigned int from, unsigned int to, msp_time_t delay)
{
	ledger_message_t *message = calloc(1, sizeof(*message));

	if (message == NULL)
		abort();
	message->from = from;
	message->to = to;
	message->deliver_at = sim->clock.now + delay;
	TAILQ_INSERT_TAIL(&sim->messages, message, entry);
	return message;
}

static bool
draw_loss(ledger_sim_t *sim)
{
	return msp_random_below(&sim->env, 100) < sim->loss_pct;
}

/*
 * A fetch runs over TCP: lost packets delay it. If the peer can't be reached,
 * no response comes and the ledger's timeout expires.
 */
static void
fetch_from_peer(void *ctx, uint64_t after)
{
	ledger_vm_t *vm = ctx;
	ledger_sim_t *sim = vm->sim;
	unsigned int peer = vm->version_source;
	ledger_message_t *response;
	msp_time_t delay;

	if (peer == vm->index || sim->vms[peer].ledger == NULL ||
	    !can_reach(sim, vm->index, peer))
		peer = (unsigned int)msp_random_below(&sim->env, sim->vm_count);
	if (peer == vm->index || !can_reach(sim, vm->index, peer))
		return;
	delay = 4 * get_delay(sim, vm->index, peer);
	while (draw_loss(sim))
		delay += RESEND_DELAY;
	response = send_message(sim, peer, vm->index, delay);
	response->is_fetch_response = true;
	if (sim->vms[peer].ledger == NULL ||
	    msp_print_ledger_update(
		sim->vms[peer].ledger, after, &response->text) != MSP_OK)
		msp_clear_buffer(&response->text);
}

void
start_ledger_vm(ledger_sim_t *sim, unsigned int index)
{
	ledger_vm_t *vm = &sim->vms[index];
	msp_ledger_options_t options = sim->options;

	vm->sim = sim;
	vm->index = index;
	vm->place = index % sim->place_count;
	vm->version = 0;
	vm->version_source = index;
	vm->next_gossip =
	    sim->clock.now + msp_random_below(&sim->env, sim->gossip_period);
	vm->link = new_store_link(&sim->env, sim->store);
	options.env = sim->env;
	options.store = get_link_store(vm->link);
	options.counters = sim->counters;
	options.on_release = handle_release;
	options.on_rejected = handle_rejected;
	options.fetch_from_peer = fetch_from_peer;
	options.ctx = vm;
	vm->ledger = msp_new_ledger(&options);
	if (vm->ledger == NULL)
		abort();
	/* Two VMs of each place poll. */
	msp_set_ledger_poller(vm->ledger, index / sim->place_count < 2);
	set_store_link_down(vm->link, false);
}

void
kill_ledger_vm(ledger_sim_t *sim, unsigned int index)
{
	ledger_vm_t *vm = &sim->vms[index];

	if (vm->ledger == NULL)
		return;
	msp_drop_ledger(vm->ledger);
	drop_store_link(vm->link);
	vm->ledger = NULL;
	vm->link = NULL;
}

void
init_ledger_sim(ledger_sim_t *sim, uint64_t seed, unsigned int vm_count,
    unsigned int place_count)
{
	unsigned int i;

	sim->clock.rng.state = seed;
	sim->clock.now = MSP_SECOND;
	sim->env = msp_virtual_env(&sim->clock);
	sim->store = msp_new_memory_store(&sim->env);
	sim->counters = msp_new_counters();
	if (sim->store == NULL || sim->counters == NULL)
		abort();
	msp_memory_store_faults(sim->store)->latency = 3 * MSP_MS;
	msp_memory_store_faults(sim->store)->jitter = 3 * MSP_MS;
	sim->vm_count = vm_count;
	sim->place_count = place_count;
	if (sim->gossip_period == 0)
		sim->gossip_period = GOSSIP_PERIOD;
	if (sim->step == 0)
		sim->step = STEP;
	TAILQ_INIT(&sim->messages);
	for (i = 0; i < vm_count; i++)
		start_ledger_vm(sim, i);
}

static void
free_message(ledger_message_t *message)
{
	msp_drop_buffer(&message->text);
	free(message);
}

void
clear_ledger_sim(ledger_sim_t *sim)
{
	ledger_message_t *message;
	ledger_message_t *next;
	unsigned int i;

	for (i = 0; i < sim->vm_count; i++)
		kill_ledger_vm(sim, i);
	/* The store completes the pending calls of the VMs just killed. */
	sim->clock.now += MSP_MINUTE;
	msp_step_memory_store(sim->store);
	msp_drop_memory_store(sim->store);
	msp_drop_counters(sim->counters);
	TAILQ_FOREACH_SAFE(message, &sim->messages, entry, next) {
		free_message(message);
	}
}

void
set_place_isolated(
    ledger_sim_t *sim, unsigned int place, bool isolated, bool store)
{
	unsigned int i;

	sim->isolated[place] = isolated;
	for (i = 0; i < sim->vm_count; i++) {
		if (sim->vms[i].place == place && sim->vms[i].link != NULL)
			set_store_link_down(
			    sim->vms[i].link, isolated && store);
	}
}

static void
send_version(ledger_sim_t *sim, unsigned int from, unsigned int to)
{
	ledger_message_t *message;

	if (draw_loss(sim) || !can_reach(sim, from, to))
		return;
	message = send_message(sim, from, to, get_delay(sim, from, to));
	message->version = sim->vms[from].version;
}

/*
 * Probes a VM of the same place, now and then one of any place. The probe and
 * its acknowledgement carry the version of their senders.
 */
static void
send_gossip(ledger_sim_t *sim, ledger_vm_t *vm)
{
	bool remote = msp_random_below(&sim->env, REMOTE_GOSSIP_ONE_IN) == 0;
	unsigned int peer;

	if (sim->clock.now < vm->next_gossip)
		return;
	vm->next_gossip += sim->gossip_period;
	do
		peer = (unsigned int)msp_random_below(&sim->env, sim->vm_count);
	while (!remote && sim->vms[peer].place != vm->place);
	if (peer == vm->index || sim->vms[peer].ledger == NULL)
		return;
	send_version(sim, vm->index, peer);
	send_version(sim, peer, vm->index);
}

static void
deliver_message(ledger_sim_t *sim, ledger_message_t *message)
{
	ledger_vm_t *vm = &sim->vms[message->to];

	if (vm->ledger == NULL || !can_reach(sim, message->from, message->to))
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
deliver_due_messages(ledger_sim_t *sim)
{
	ledger_message_t *message;
	ledger_message_t *next;

	TAILQ_FOREACH_SAFE(message, &sim->messages, entry, next) {
		if (message->deliver_at > sim->clock.now)
			continue;
		TAILQ_REMOVE(&sim->messages, message, entry);
		deliver_message(sim, message);
		free_message(message);
	}
}

static void
step_ledger_sim(ledger_sim_t *sim)
{
	unsigned int i;

	sim->clock.now += sim->step;
	msp_step_memory_store(sim->store);
	deliver_due_messages(sim);
	for (i = 0; i < sim->vm_count; i++) {
		ledger_vm_t *vm = &sim->vms[i];

		if (vm->ledger == NULL)
			continue;
		step_store_link(vm->link);
		send_gossip(sim, vm);
		if (msp_ledger_deadline(vm->ledger) <= sim->clock.now)
			msp_tick_ledger(vm->ledger);
	}
}

void
run_ledger_sim(ledger_sim_t *sim, msp_time_t span)
{
	msp_time_t end = sim->clock.now + span;

	while (sim->clock.now < end)
		step_ledger_sim(sim);
}

static bool
is_sim_at_version(const ledger_sim_t *sim, uint64_t version)
{
	unsigned int i;

	for (i = 0; i < sim->vm_count; i++) {
		const ledger_vm_t *vm = &sim->vms[i];

		if (vm->ledger != NULL &&
		    (!msp_ledger_is_ready(vm->ledger) || vm->version < version))
			return false;
	}
	return true;
}

bool
run_ledger_sim_to_version(ledger_sim_t *sim, uint64_t version, msp_time_t span)
{
	msp_time_t end = sim->clock.now + span;

	while (sim->clock.now < end && !is_sim_at_version(sim, version))
		step_ledger_sim(sim);
	return is_sim_at_version(sim, version);
}

bool
run_ledger_sim_until_converged(ledger_sim_t *sim, msp_time_t span)
{
	msp_time_t end = sim->clock.now + span;

	while (sim->clock.now < end &&
	    !is_sim_at_version(sim, sim->newest_version))
		step_ledger_sim(sim);
	return is_sim_at_version(sim, sim->newest_version);
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
		msp_set_note_base(note, release->version, release->digest);
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
