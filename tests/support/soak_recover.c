#include "soak_recover.h"

#define FAILED_SLACK 10 /* tries */
#define FAILED_SHARE 50 /* one try in this many */

void
run_recover_vm(recover_judge_t *judge, msp_time_t now, unsigned int vm)
{
	recover_vm_t *state = &judge->vms[vm];

	if (state->is_running)
		return;
	state->is_running = true;
	state->running_since = now;
}

void
stop_recover_vm(recover_judge_t *judge, unsigned int vm)
{
	judge->vms[vm].is_running = false;
	judge->vms[vm].stops++;
}

void
cut_recover_vm(recover_judge_t *judge, msp_time_t now, unsigned int vm)
{
	recover_vm_t *state = &judge->vms[vm];

	if (state->is_cut)
		return;
	state->is_cut = true;
	state->changed_at = now;
	if (judge->cut_count++ == 0)
		judge->spell_count++;
}

void
join_recover_vm(recover_judge_t *judge, msp_time_t now, unsigned int vm)
{
	recover_vm_t *state = &judge->vms[vm];

	if (!state->is_cut)
		return;
	state->is_cut = false;
	state->changed_at = now;
	judge->cut_count--;
}

/* Returns whether the VM has been cut, or whole, for long enough. */
static bool
is_settled(const recover_vm_t *vm, msp_time_t now)
{
	return vm->changed_at == 0 ||
	    now >= vm->changed_at + RECOVER_CONTACT_TIME;
}

static bool
is_in_touch(const recover_vm_t *vm, msp_time_t now)
{
	return vm->is_running &&
	    now >= vm->running_since + RECOVER_CONTACT_TIME;
}

/* Returns whether some VM has been cut for long enough. */
static bool
is_judged(const recover_judge_t *judge, msp_time_t now)
{
	unsigned int i;

	if (judge->cut_count == 0 || judge->spell_count > RECOVER_SPELLS_MAX)
		return false;
	for (i = 0; i < RECOVER_VMS_MAX; i++) {
		if (judge->vms[i].is_cut && is_settled(&judge->vms[i], now))
			return true;
	}
	return false;
}

recover_try_t
begin_recover_try(const recover_judge_t *judge, msp_time_t now, unsigned int vm)
{
	const recover_vm_t *state = &judge->vms[vm];
	recover_try_t attempt = {.vm = vm, .stops = state->stops};

	if (!is_judged(judge, now) || !is_settled(state, now) ||
	    !is_in_touch(state, now))
		return attempt;
	attempt.group = state->is_cut ? RECOVER_CUT : RECOVER_WHOLE;
	attempt.spell = judge->spell_count - 1;
	return attempt;
}

void
end_recover_try(
    recover_judge_t *judge, const recover_try_t *attempt, bool served)
{
	recover_tally_t *tally = &judge->spells[attempt->spell];

	if (attempt->group == RECOVER_NONE ||
	    attempt->stops != judge->vms[attempt->vm].stops)
		return;
	tally->tries[attempt->group]++;
	if (served)
		tally->served[attempt->group]++;
}

bool
is_recover_broken(const recover_tally_t *tally)
{
	unsigned long tries = tally->tries[RECOVER_CUT];
	unsigned long served = tally->served[RECOVER_CUT];
	unsigned long failed = tries - served;
	bool is_rarely_served = 3 * served * tally->tries[RECOVER_WHOLE] <
	    2 * tally->served[RECOVER_WHOLE] * tries;

	return is_rarely_served &&
	    failed * FAILED_SHARE > FAILED_SLACK * FAILED_SHARE + tries;
}

unsigned int
count_recover_breaches(const recover_judge_t *judge)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < judge->spell_count && i < RECOVER_SPELLS_MAX; i++)
		count += is_recover_broken(&judge->spells[i]);
	return count;
}
