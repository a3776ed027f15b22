#include <string.h>

#include "soak_private.h"

/*
 * Targets that say in all responses that they leave. A request that a client
 * sent later than LEAVING_DEADLINE after that was told to a VM must not reach
 * the target from there, unless the VM was restarted or frozen since.
 */

#define LEAVING_DEADLINE (2500 * MSP_MS) /* drain_ms of the VMs' settings */

static bool
says_leaving(const soak_target_t *target)
{
	return target->draining && target->soak->profile->quiet_drains > 0;
}

void
append_soak_leaving(const soak_target_t *target, msp_buffer_t *out)
{
	if (says_leaving(target))
		msp_append_printf(out, "Server-Leaving: 1\r\n");
}

void
tell_soak_leaving(soak_target_t *target, unsigned int vm)
{
	if (says_leaving(target) && vm < SOAK_VMS_MAX &&
	    target->told_leaving[vm] == 0)
		target->told_leaving[vm] = soak_now();
}

void
judge_soak_leaving(
    soak_target_t *target, unsigned int sender, const soak_request_t *request)
{
	soak_t *soak = target->soak;
	msp_time_t told;

	if (sender >= soak->options->vms)
		return;
	told = target->told_leaving[sender];
	if (told == 0 || told < soak->vms[sender].running_since)
		return;
	soak->result->judged_drains++;
	if (request->sent_at <= told + LEAVING_DEADLINE)
		return;
	soak->result->to_leaving++;
	report_soak(&soak->ledger, "DRAIN", "id=%s vm=%u target=%s told_ms=%u",
	    request->id, sender, target->id,
	    (unsigned int)((soak_now() - told) / MSP_MS));
}
