#include "ledger_state.h"

msp_time_t
ledger_now(const msp_ledger_t *ledger)
{
	return msp_now(&ledger->options.env);
}

void
count_ledger_event(msp_ledger_t *ledger, const char *event)
{
	if (ledger->options.counters != NULL)
		msp_add_to_counter(
		    ledger->options.counters, 1, "msp_release_%s_total", event);
}

void
report_rejected(msp_ledger_t *ledger, const char *reason, uint64_t version)
{
	if (ledger->options.counters != NULL)
		msp_add_to_counter(ledger->options.counters, 1,
		    "msp_release_kept_out_total{reason=\"%s\"}", reason);
	if (ledger->options.on_rejected != NULL)
		ledger->options.on_rejected(
		    ledger->options.ctx, reason, version);
}
