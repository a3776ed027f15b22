#include "soak_private.h"

/*
 * Cuts of VMs from all targets, while clients, the store and the other VMs
 * still reach them: in turn a few VMs, most VMs of a data centre and all of
 * one, of which the seed says the first; or all VMs, if the profile says so.
 */

#define FIRST_CUT MSP_SECOND /* after the start of the traffic */
#define CUT_TIME_MIN (8 * MSP_SECOND)
#define CUT_TIME_MAX (9 * MSP_SECOND)
#define PAUSE_MIN MSP_SECOND
#define PAUSE_MAX (3 * MSP_SECOND)
#define FEW_VMS 2

typedef enum cut_extent {
	CUT_FEW,
	CUT_MOST_OF_ZONE, /* all VMs but one */
	CUT_ZONE,
	CUT_EXTENTS,
} cut_extent_t;

static uint64_t
draw_number(soak_t *soak, uint64_t bound)
{
	return msp_next_random(&soak->cut_rng) % bound;
}

static msp_time_t
draw_duration(soak_t *soak, msp_time_t low, msp_time_t high)
{
	return low + draw_number(soak, high - low + 1);
}

static soak_cut_t
draw_way(soak_t *soak)
{
	unsigned int way;

	do
		way = 1U << draw_number(soak, SOAK_CUT_COUNT);
	while ((soak->profile->cut_ways & way) == 0);
	return (soak_cut_t)way;
}

static void
cut_vm(soak_vm_t *vm, soak_cut_t way, msp_time_t until, msp_buffer_t *list)
{
	cut_soak_links(vm, way, until);
	cut_recover_vm(&vm->soak->recover, soak_now(), vm->index);
	msp_append_printf(list, " %u", vm->index);
}

static void
cut_few(soak_t *soak, soak_cut_t way, msp_time_t until, msp_buffer_t *list)
{
	unsigned int left =
	    soak->options->vms > FEW_VMS ? FEW_VMS : soak->options->vms - 1;
	soak_vm_t *vm;

	while (left > 0) {
		vm = &soak->vms[draw_number(soak, soak->options->vms)];
		if (vm->cut != SOAK_WHOLE)
			continue;
		cut_vm(vm, way, until, list);
		left--;
	}
}

static void
cut_all(soak_t *soak, soak_cut_t way, msp_time_t until, msp_buffer_t *list)
{
	unsigned int i;

	for (i = 0; i < soak->options->vms; i++)
		cut_vm(&soak->vms[i], way, until, list);
}

static void
cut_zone(soak_t *soak, cut_extent_t extent, soak_cut_t way, msp_time_t until,
    msp_buffer_t *list)
{
	unsigned int zone = (unsigned int)draw_number(soak, SOAK_ZONES);
	unsigned int i = zone;

	if (extent == CUT_MOST_OF_ZONE)
		i += SOAK_ZONES;
	for (; i < soak->options->vms; i += SOAK_ZONES)
		cut_vm(&soak->vms[i], way, until, list);
}

static void
begin_cut(soak_t *soak)
{
	soak_cut_t way = draw_way(soak);
	cut_extent_t extent =
	    (cut_extent_t)((soak->options->seed + soak->result->cuts) %
		CUT_EXTENTS);
	msp_time_t until =
	    soak_now() + draw_duration(soak, CUT_TIME_MIN, CUT_TIME_MAX);
	msp_buffer_t list = {0};

	soak->result->cuts++;
	if (soak->profile->cuts_all)
		cut_all(soak, way, until, &list);
	else if (extent == CUT_FEW)
		cut_few(soak, way, until, &list);
	else
		cut_zone(soak, extent, way, until, &list);
	report_soak(&soak->ledger, "cut", "way=%u vms=%s", (unsigned int)way,
	    msp_buffer_text(&list));
	msp_drop_buffer(&list);
	set_soak_timer(soak->loop, &soak->cut_change, until);
}

static void
end_cut(soak_t *soak)
{
	soak_vm_t *vm;
	unsigned int i;

	for (i = 0; i < soak->options->vms; i++) {
		vm = &soak->vms[i];
		if (vm->cut == SOAK_WHOLE)
			continue;
		join_soak_links(vm);
		join_recover_vm(&soak->recover, soak_now(), i);
	}
	report_soak(&soak->ledger, "cut", "ends");
	set_soak_timer(soak->loop, &soak->cut_change,
	    soak_now() + draw_duration(soak, PAUSE_MIN, PAUSE_MAX));
}

static void
handle_cut_change(void *ctx)
{
	soak_t *soak = ctx;

	if (soak->recover.cut_count > 0)
		end_cut(soak);
	else if (!soak->finishing)
		begin_cut(soak);
}

void
start_soak_cuts(soak_t *soak)
{
	soak->cut_rng.state = soak->options->seed;
	soak->cut_change =
	    (soak_timer_t){.fire = handle_cut_change, .ctx = soak};
	if (soak->profile->cut_ways != 0)
		set_soak_timer(
		    soak->loop, &soak->cut_change, soak_now() + FIRST_CUT);
}

static void
judge_spell(soak_t *soak, unsigned int number, const recover_tally_t *tally)
{
	soak_result_t *result = soak->result;

	result->cut_tries += tally->tries[RECOVER_CUT];
	result->cut_served += tally->served[RECOVER_CUT];
	result->whole_tries += tally->tries[RECOVER_WHOLE];
	result->whole_served += tally->served[RECOVER_WHOLE];
	if (!is_recover_broken(tally))
		return;
	result->not_recovered++;
	report_soak(&soak->ledger, "RECOVER",
	    "cut %u: VMs that were cut from all targets served %u of %u first "
	    "tries, the others %u of %u",
	    number, tally->served[RECOVER_CUT], tally->tries[RECOVER_CUT],
	    tally->served[RECOVER_WHOLE], tally->tries[RECOVER_WHOLE]);
}

void
judge_soak_cuts(soak_t *soak)
{
	unsigned int i;

	for (i = 0; i < soak->recover.spell_count && i < RECOVER_SPELLS_MAX;
	     i++)
		judge_spell(soak, i, &soak->recover.spells[i]);
}
