#include "monsoonspindle/coord/bulk_pacer.h"

bool
msp_bulk_may_be_sent(const msp_bulk_pacer_t *pacer, msp_time_t now)
{
	return now >= pacer->free_at;
}

void
msp_record_bulk_sent(msp_bulk_pacer_t *pacer, msp_time_t now, size_t bytes)
{
	double rate = pacer->bytes_per_second * MSP_BULK_LINK_SHARE;

	if (rate <= 0)
		return;
	if (pacer->free_at < now)
		pacer->free_at = now;
	pacer->free_at += (msp_time_t)((double)bytes / rate * MSP_SECOND);
}
