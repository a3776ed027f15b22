#include "release_race.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAULT_PERIOD (100 * MSP_MS)
#define GIVE_UP (3 * MSP_SECOND) /* an operator's patience with one VM */

/* Ties an answer to the try that it belongs to. */
typedef struct race_attempt {
	SLIST_ENTRY(race_attempt) entry;
	race_note_t *note;
	unsigned int number;
} race_attempt_t;

static uint64_t
draw(release_race_t *race, uint64_t below)
{
	return msp_random_below(&race->sim.env, below);
}

static void
on_answer(void *ctx, const msp_submit_result_t *result)
{
	race_attempt_t *try = ctx;
	race_note_t *note = try->note;
	bool counts = try->number == note->attempt;

	if (!counts || note->accepted || note->refused)
		return;
	note->answered = true;
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
choose_vm(release_race_t *race, unsigned int *vm)
{
	*vm = (unsigned int)draw(race, race->sim.vm_count);
	return race->sim.vms[*vm].ledger != NULL &&
	    msp_ledger_is_ready(race->sim.vms[*vm].ledger);
}

static void
send_try(release_race_t *race, race_note_t *note)
{
	race_attempt_t *try = calloc(1, sizeof(*try));
	msp_ledger_t *ledger = race->sim.vms[note->vm].ledger;
	msp_buffer_t text = {0};
	msp_note_t *copy;

	if (try == NULL || msp_print_note(note->note, &text) != MSP_OK ||
	    msp_parse_note(text.data, text.len, "note", &copy) != MSP_OK)
		abort();
	msp_drop_buffer(&text);
	SLIST_INSERT_HEAD(&race->attempts, try, entry);
	try->note = note;
	try->number = ++note->attempt;
	note->answered = false;
	note->retry_at = race->sim.clock.now + GIVE_UP;
	if (try->number == 1)
		msp_submit_new_note(ledger, copy, on_answer, try);
	else
		msp_submit_note(ledger, copy, on_answer, try);
	msp_drop_note(copy);
}

/* A region is added, changed or withdrawn; sometimes two at once, or a place
 * in it, so that notes clash by name or only by reference. */
static void
write_note(release_race_t *race, const msp_release_t *release, const char *id,
    char *text, size_t size)
{
	unsigned int item = (unsigned int)draw(race, race->items);
	char name[16];
	const char *op = "add";

	snprintf(name, sizeof(name), "r%u", item);
	if (draw(race, 4) == 0) {
		snprintf(text, size,
		    "{\"id\":\"%s\",\"%s\":{\"places\":[{\"name\":\"p%u\","
		    "\"region\":\"%s\"}]}}",
		    id,
		    msp_find_place(release, name) == NULL ? "add" : "change",
		    item, name);
		return;
	}
	if (msp_find_region(release, name) != NULL)
		op = draw(race, 2) == 0 ? "change" : "withdraw";
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
	    !choose_vm(race, &vm))
		return NULL;
	note = calloc(1, sizeof(*note));
	if (note == NULL)
		abort();
	note->race = race;
	note->vm = vm;
	snprintf(note->id, sizeof(note->id), "n%u", race->note_count);
	write_note(race, msp_ledger_release(race->sim.vms[vm].ledger), note->id,
	    text, sizeof(text));
	note->note = parse_note_for_vm(&race->sim.vms[vm], text);
	race->notes[race->note_count++] = note;
	send_try(race, note);
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
	if (!note->answered && race->sim.clock.now < note->retry_at)
		return;
	if (!choose_vm(race, &note->vm))
		return;
	race->resends++;
	send_try(race, note);
}

static void
change_store(release_race_t *race)
{
	msp_store_faults_t *faults = msp_memory_store_faults(race->sim.store);

	faults->down = draw(race, 8) == 0;
	faults->lose_call_pct = draw(race, 3) == 0 ? 20 : 0;
	faults->lose_answer_pct = draw(race, 3) == 0 ? 20 : 0;
	faults->late_effect_pct = draw(race, 3) == 0 ? 20 : 0;
	faults->late_effect = draw(race, 3000) * MSP_MS;
	faults->latency = draw(race, 10) == 0 ? 300 * MSP_MS : 3 * MSP_MS;
}

static void
change_vm(release_race_t *race)
{
	unsigned int vm = (unsigned int)draw(race, race->sim.vm_count);

	if (race->sim.vms[vm].ledger == NULL)
		start_ledger_vm(&race->sim, vm);
	else if (draw(race, 3) == 0)
		kill_ledger_vm(&race->sim, vm);
	else
		set_store_link_stale(
		    race->sim.vms[vm].link, draw(race, 3) == 0);
}

static void
change_something(release_race_t *race)
{
	unsigned int place;

	switch (draw(race, 8)) {
	case 0:
		change_store(race);
		break;
	case 1:
		change_vm(race);
		break;
	case 2:
		place = (unsigned int)draw(race, race->sim.place_count);
		set_place_isolated(
		    &race->sim, place, draw(race, 3) == 0, draw(race, 2) == 0);
		break;
	default:
		break;
	}
}

void
run_release_race(release_race_t *race, msp_time_t span, bool faults)
{
	ledger_sim_t *fleet = &race->sim;
	msp_time_t end = fleet->clock.now + span;
	msp_time_t next_fault = fleet->clock.now + FAULT_PERIOD;
	unsigned int i;

	while (fleet->clock.now < end) {
		if (faults && fleet->clock.now >= next_fault) {
			change_something(race);
			next_fault += FAULT_PERIOD;
		}
		for (i = 0; i < race->operators; i++)
			step_operator(race, &race->current[i]);
		run_ledger_sim(fleet, fleet->step);
	}
}

static bool
is_settled(const release_race_t *race)
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
	ledger_sim_t *fleet = &race->sim;
	msp_store_faults_t *faults = msp_memory_store_faults(fleet->store);
	msp_time_t end = fleet->clock.now + span;
	unsigned int i;

	*faults = (msp_store_faults_t){.latency = 3 * MSP_MS};
	for (i = 0; i < fleet->place_count; i++)
		set_place_isolated(fleet, i, false, false);
	for (i = 0; i < fleet->vm_count; i++) {
		if (fleet->vms[i].ledger == NULL)
			start_ledger_vm(fleet, i);
		set_store_link_stale(fleet->vms[i].link, false);
	}
	race->no_new_notes = true;
	while (fleet->clock.now < end && !is_settled(race))
		run_release_race(race, 100 * MSP_MS, false);
	/* Late effects of writes that were given up must do nothing now. */
	run_ledger_sim(fleet, 4 * MSP_SECOND);
	return is_settled(race) && run_ledger_sim_until_converged(fleet, span);
}

const char *
check_release_race(const release_race_t *race)
{
	const ledger_sim_t *fleet = &race->sim;
	uint64_t version;
	unsigned int i;

	if (fleet->reverted > 0)
		return "a VM went back to a lower version";
	if (fleet->forked > 0)
		return "two VMs had different releases of one version";
	if (race->accepted != fleet->newest_version)
		return "accepted notes and versions differ in number";
	for (i = 0; i < race->note_count; i++) {
		const race_note_t *note = race->notes[i];

		if (note->accepted &&
		    strcmp(fleet->note_ids[note->version], note->id) != 0)
			return "an accepted note is not in the chain";
		for (version = 1;
		     note->refused && version <= fleet->newest_version;
		     version++) {
			if (strcmp(fleet->note_ids[version], note->id) == 0)
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
	race_attempt_t *try;
	race_attempt_t *next;
	unsigned int i;

	clear_ledger_sim(&race->sim);
	SLIST_FOREACH_SAFE(try, &race->attempts, entry, next) {
		free(try);
	}
	for (i = 0; i < race->note_count; i++) {
		msp_drop_note(race->notes[i]->note);
		free(race->notes[i]);
	}
}
