#include "monsoonspindle/steer/reach.h"

void
msp_record_connect_failure(msp_reach_t *reach, uint64_t *mark, msp_time_t now)
{
	/* Failures long ago are not part of the same row. */
	if (reach->failed_count > 0 &&
	    now >= reach->failed_at + MSP_REACH_LOSS_TIME) {
		reach->epoch++;
		reach->failed_count = 0;
	}
	reach->failed_at = now;
	if (*mark == reach->epoch + 1)
		return;
	*mark = reach->epoch + 1;
	reach->failed_count++;
}

void
msp_record_contact(msp_reach_t *reach, msp_time_t now)
{
	reach->contact_at = now;
	if (reach->failed_count == 0)
		return;
	reach->epoch++;
	reach->failed_count = 0;
}

bool
msp_reach_is_lost(const msp_reach_t *reach, msp_time_t now)
{
	return reach->failed_count >= MSP_REACH_FAILURES &&
	    now < reach->failed_at + MSP_REACH_LOSS_TIME;
}
