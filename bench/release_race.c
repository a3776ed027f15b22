#include "release_race.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAULT_PERIOD (100 * MSP_MS)
#define RETRY_TIMEOUT (3 * MSP_SECOND) /* then operators try another VM */

/* One submission of a note to a VM, which results are matched to. */
typedef struct race_attempt {
	SLIST_ENTRY(race_attempt) entry;
	race_note_t *note;
	unsigned int number;
} race_attempt_t;

static uint64_t
draw_below(release_race_t *race, uint64_t below)
{
	return msp_random_below(&race->sim.env, below);
}

static void
handle_result(void *ctx, const msp_submit_result_t *result)
{
	race_attempt_t *attempt = ctx;
	race_note_t *note = attempt->note;
	bool is_latest = attempt->number == note->attempt;

	if (!is_latest || note->accepted || note->refused)
		return;
	note->has_result = true;
	if (result->status == MSP_E_IN_DOUBT)
		note->race->in_doubt_results++;
	if (result->status == MSP_OK) {
		note->accepted = true;
		note->version = result->version;
		note->race->accepted++;
	}
	if (result->status == MSP_E_CONFLICT ||
	    result->status == MSP_E_INVALID_NOTE) {
		note->refused = true;
		note->race->refused++;
	}
}

static bool
pick_vm(release_race_t *race, unsigned int *vm)
{
	*vm = (unsigned int)draw_below(race, race->sim.vm_count);
	return race->sim.vms[*vm].ledger != NULL &&
	    msp_ledger_is_ready(race->sim.vms[*vm].ledger);
}

static void
send_attempt(release_race_t *race, race_note_t *note)
{
	race_attempt_t *attempt = calloc(1, sizeof(*attempt));
	msp_ledger_t *ledger = race->sim.vms[note->vm].ledger;
	msp_buffer_t text = {0};
	msp_note_t *copy;

	if (attempt == NULL || msp_print_note(note->note, &text) != MSP_OK ||
	    msp_parse_note(text.data, text.len, "note", &copy) != MSP_OK)
		abort();
	msp_drop_buffer(&text);
	SLIST_INSERT_HEAD(&race->attempts, attempt, entry);
	attempt->note = note;
	attempt->number = ++note->attempt;
	note->has_result = false;
	note->retry_at = race->sim.clock.now + RETRY_TIMEOUT;
	if (attempt->number == 1)
		msp_submit_new_note(ledger, copy, handle_result, attempt);
	else
		msp_submit_note(ledger, copy, handle_result, attempt);
	msp_drop_note(copy);
}

/*
 * Prints a note that adds, changes or withdraws a region, or adds or changes a
 * place in one. Notes thus conflict by name or only by a reference.
 */
static void
print_random_note(release_race_t *race, const msp_release_t *release,
    const char *id, char *text, size_t size)
{
	unsigned int item = (unsigned int)draw_below(race, race->items);
	char name[16];
	const char *op = "add";

	snprintf(name, sizeof(name), "r%u", item);
	if (draw_below(race, 4) == 0) {
		snprintf(text, size,
		    "{\"id\":\"%s\",\"%s\":{\"places\":[{\"name\":\"p%u\","
		    "\"region\":\"%s\"}]}}",
		    id,
		    msp_find_place(release, name) == NULL ? "add" : "change",
		    item, name);
		return;
	}
	if (msp_find_region(release, name) != NULL)
		op = draw_below(race, 2) == 0 ? "change" : "withdraw";
	snprintf(text, size,
	    strcmp(op, "withdraw") == 0
		? "{\"id\":\"%s\",\"%s\":{\"regions\":[\"%s\"]}}"
		: "{\"id\":\"%s\",\"%s\":{\"regions\":[{\"name\":\"%s\"}]}}",
	    id, op, name);
}

static race_note_t *
start_note(release_race_t *race)
{
	race_note_t *note;
	char text[256];
	unsigned int vm;

	if (race->no_new_notes || race->note_count == RACE_NOTES_MAX ||
	    !pick_vm(race, &vm))
		return NULL;
	note = calloc(1, sizeof(*note));
	if (note == NULL)
		abort();
	note->race = race;
	note->vm = vm;
	snprintf(note->id, sizeof(note->id), "n%u", race->note_count);
	print_random_note(race, msp_ledger_release(race->sim.vms[vm].ledger),
	    note->id, text, sizeof(text));
	note->note = parse_note_for_vm(&race->sim.vms[vm], text);
	race->notes[race->note_count++] = note;
	send_attempt(race, note);
	return note;
}

static void
step_operator(release_race_t *race, race_note_t **current)
{
	race_note_t *note = *current;

	if (note == NULL || note->accepted || note->refused) {
		*current = start_note(race);
		return;
	}
	if (!note->has_result && race->sim.clock.now < note->retry_at)
		return;
	if (!pick_vm(race, &note->vm))
		return;
	race->resends++;
	send_attempt(race, note);
}

static void
change_store(release_race_t *race)
{
	msp_store_faults_t *faults = msp_memory_store_faults(race->sim.store);

	faults->down = draw_below(race, 8) == 0;
	faults->lose_call_pct = draw_below(race, 3) == 0 ? 20 : 0;
	faults->lose_reply_pct = draw_below(race, 3) == 0 ? 20 : 0;
	faults->late_effect_pct = draw_below(race, 3) == 0 ? 20 : 0;
	faults->late_effect = draw_below(race, 3000) * MSP_MS;
	faults->latency = draw_below(race, 10) == 0 ? 300 * MSP_MS : 3 * MSP_MS;
}

static void
change_vm(release_race_t *race)
{
	unsigned int vm = (unsigned int)draw_below(race, race->sim.vm_count);

	if (race->sim.vms[vm].ledger == NULL)
		start_ledger_vm(&race->sim, vm);
	else if (draw_below(race, 3) == 0)
		kill_ledger_vm(&race->sim, vm);
	else
		set_store_link_stale(
		    race->sim.vms[vm].link, draw_below(race, 3) == 0);
}

static void
change_conditions(release_race_t *race)
{
	unsigned int place;

	switch (draw_below(race, 8)) {
	case 0:
		change_store(race);
		break;
	case 1:
		change_vm(race);
		break;
	case 2:
		place = (unsigned int)draw_below(race, race->sim.place_count);
		set_place_isolated(&race->sim, place, draw_below(race, 3) == 0,
		    draw_below(race, 2) == 0);
		break;
	default:
		break;
	}
}

void
run_release_race(release_race_t *race, msp_time_t span, bool faults)
{
	ledger_sim_t *sim = &race->sim;
	msp_time_t end = sim->clock.now + span;
	msp_time_t next_fault = sim->clock.now + FAULT_PERIOD;
	unsigned int i;

	while (sim->clock.now < end) {
		if (faults && sim->clock.now >= next_fault) {
			change_conditions(race);
			next_fault += FAULT_PERIOD;
		}
		for (i = 0; i < race->operators; i++)
			step_operator(race, &race->current[i]);
		run_ledger_sim(sim, sim->step);
	}
}

static bool
is_race_finished(const release_race_t *race)
{
	unsigned int i;

	for (i = 0; i < race->note_count; i++) {
		if (!race->notes[i]->accepted && !race->notes[i]->refused)
			return false;
	}
	return true;
}

bool
finish_release_race(release_race_t *race, msp_time_t span)
{
	ledger_sim_t *sim = &race->sim;
	msp_store_faults_t *faults = msp_memory_store_faults(sim->store);
	msp_time_t end = sim->clock.now + span;
	unsigned int i;

	*faults = (msp_store_faults_t){.latency = 3 * MSP_MS};
	for (i = 0; i < sim->place_count; i++)
		set_place_isolated(sim, i, false, false);
	for (i = 0; i < sim->vm_count; i++) {
		if (sim->vms[i].ledger == NULL)
			start_ledger_vm(sim, i);
		set_store_link_stale(sim->vms[i].link, false);
	}
	race->no_new_notes = true;
	while (sim->clock.now < end && !is_race_finished(race))
		run_release_race(race, 100 * MSP_MS, false);
	/* Writes that timed out may still take effect; it must be harmless. */
	run_ledger_sim(sim, 4 * MSP_SECOND);
	return is_race_finished(race) &&
	    run_ledger_sim_until_converged(sim, span);
}

const char *
check_release_race(const release_race_t *race)
{
	const ledger_sim_t *sim = &race->sim;
	uint64_t version;
	unsigned int i;

	if (sim->reverted > 0)
		return "a VM went back to a lower version";
	if (sim->forked > 0)
		return "two VMs had different releases of one version";
	if (race->accepted != sim->newest_version)
		return "accepted notes and versions differ in number";
	for (i = 0; i < race->note_count; i++) {
		const race_note_t *note = race->notes[i];

		if (note->accepted &&
		    strcmp(sim->note_ids[note->version], note->id) != 0)
			return "an accepted note is not in the chain";
		for (version = 1;
		     note->refused && version <= sim->newest_version;
		     version++) {
			if (strcmp(sim->note_ids[version], note->id) == 0)
				return "a refused note is in the chain";
		}
	}
	return NULL;
}

void
init_release_race(release_race_t *race, uint64_t seed, unsigned int vm_count,
    unsigned int places, unsigned int operators)
{
	race->operators = operators;
	if (race->items == 0)
		race->items = 6;
	init_ledger_sim(&race->sim, seed, vm_count, places);
}

void
clear_release_race(release_race_t *race)
{
	race_attempt_t *attempt;
	race_attempt_t *next;
	unsigned int i;

	clear_ledger_sim(&race->sim);
	SLIST_FOREACH_SAFE(attempt, &race->attempts, entry, next) {
		free(attempt);
	}
	for (i = 0; i < race->note_count; i++) {
		msp_drop_note(race->notes[i]->note);
		free(race->notes[i]);
	}
}
