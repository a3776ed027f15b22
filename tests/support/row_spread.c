#include "row_spread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../source/platform/row_patch.h"
#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/coord/bulk_pacer.h"
#include "monsoonspindle/coord/reader_rank.h"
#include "route_text.h"

#define STEP (5 * MSP_MS)
#define RUN_MAX (120 * MSP_SECOND)
#define ROUND_TRIP                                                \
	(110 * MSP_MS) /* to the store, and to other data centres \
			*/
#define SLOW_AFTER (500 * MSP_MS) /* of a transfer: another VM is asked */
#define GOSSIP_TIME                                              \
	(800 * MSP_MS) /* until a VM knows that others are ahead \
			*/
#define CUT_AFTER (500 * MSP_MS) /* a transfer that takes too long ends */
#define CUT_TIME (2 * MSP_SECOND) /* which is this long */
/* Until a VM of a data centre near the store has a new version. */
#define NEAR_TIME (300 * MSP_MS)
#define BASE64_FACTOR (4.0 / 3.0)

#define NO_VM SIZE_MAX
#define STORE (SIZE_MAX - 1) /* as a sender */
#define OTHERS (SIZE_MAX - 2) /* VMs of other data centres */

/* What a VM receives. */
typedef struct transfer {
	bool active;
	size_t from; /* a VM, STORE or OTHERS */
	unsigned int version;
	double left; /* bytes */
	double total;
	msp_time_t started; /* when its first byte comes */
} transfer_t;

typedef struct spread_vm {
	char name[16];
	double rate;
	unsigned int version; /* that it has; 0: the one before all */
	transfer_t first; /* of the reader, or of the store */
	transfer_t second;
	bool asks_store; /* its reader was too slow */
	msp_bulk_pacer_t pacer;
	size_t senders; /* transfers from it */
	size_t receivers; /* transfers to it */
} spread_vm_t;

typedef struct spread {
	const spread_options_t *options;
	spread_result_t *result;
	spread_vm_t vms[SPREAD_VMS_MAX];
	size_t reader;
	msp_time_t now;
	msp_rng_t rng;
	double sizes[SPREAD_VERSIONS_MAX + 1];
	/* By the version before and the one after; 0 before: no base. */
	double patches[SPREAD_VERSIONS_MAX + 1][SPREAD_VERSIONS_MAX + 1];
} spread_t;

static double
encode(const msp_buffer_t *base, const msp_buffer_t *value)
{
	msp_buffer_t patch = {0};
	double len;

	if (encode_row_patch(base == NULL ? NULL : base->data,
		base == NULL ? 0 : base->len, value->data, value->len,
		&patch) != MSP_OK)
		abort();
	len = (double)patch.len * BASE64_FACTOR;
	msp_drop_buffer(&patch);
	return len;
}

/* Version 0 has as many routes as version 1, and one of them differs. */
static void
measure_versions(spread_t *spread)
{
	const spread_options_t *options = spread->options;
	msp_buffer_t texts[SPREAD_VERSIONS_MAX + 1] = {{0}};
	unsigned int i;
	unsigned int j;

	for (i = 0; i <= options->versions; i++) {
		append_route_text(&texts[i], i,
		    i == 0 ? options->routes[0] / 2 : options->routes[i - 1],
		    options->seed);
		spread->sizes[i] = (double)texts[i].len * BASE64_FACTOR;
	}
	for (i = 0; i < options->versions; i++) {
		for (j = i + 1; j <= options->versions; j++)
			spread->patches[i][j] = encode(&texts[i], &texts[j]);
	}
	for (i = 0; i <= options->versions; i++)
		msp_drop_buffer(&texts[i]);
}

static void
set_up_vms(spread_t *spread)
{
	const spread_options_t *options = spread->options;
	msp_reader_t readers[SPREAD_VMS_MAX];
	size_t i;

	for (i = 0; i < options->vms; i++) {
		spread_vm_t *vm = &spread->vms[i];

		snprintf(vm->name, sizeof(vm->name), "vm-%zu", i);
		vm->rate = i < options->fast_vms ? options->fast_rate
						 : options->slow_rate;
		if (options->policy.paces)
			vm->pacer.bytes_per_second = vm->rate;
		readers[i] = (msp_reader_t){.name = vm->name,
		    .link_mbps = options->policy.ranks_links
			? (uint32_t)(vm->rate * 8 / 1e6)
			: 0};
	}
	msp_rank_readers(readers, options->vms, options->seed);
	for (i = 0; i < options->vms; i++) {
		if (spread->vms[i].name == readers[0].name)
			spread->reader = i;
	}
}

/* Returns the newest version that was written `age` ago. */
static unsigned int
get_written(const spread_t *spread, msp_time_t age)
{
	const spread_options_t *options = spread->options;
	unsigned int version = 0;

	while (version < options->versions &&
	    options->written_ms[version] * MSP_MS + age <= spread->now)
		version++;
	return version;
}

static double
get_size(const spread_t *spread, size_t from, unsigned int before,
    unsigned int version)
{
	if (from == STORE || !spread->options->policy.patches)
		return spread->sizes[version];
	return spread->patches[before][version];
}

static void
start_transfer(spread_t *spread, spread_vm_t *vm, transfer_t *transfer,
    size_t from, unsigned int version)
{
	double size = get_size(spread, from, vm->version, version);

	*transfer = (transfer_t){.active = true,
	    .from = from,
	    .version = version,
	    .left = size,
	    .total = size,
	    .started = spread->now +
		(from == STORE || from == OTHERS ? ROUND_TRIP : 0)};
	vm->receivers++;
	if (from == STORE)
		spread->result->store_bytes += size;
	if (from < SPREAD_VMS_MAX) {
		spread->vms[from].senders++;
		msp_record_bulk_sent(
		    &spread->vms[from].pacer, spread->now, (size_t)size);
	}
	if (from == spread->reader)
		spread->result->reader_bytes += size;
}

static void
end_transfer(spread_t *spread, spread_vm_t *vm, transfer_t *transfer)
{
	if (!transfer->active)
		return;
	transfer->active = false;
	vm->receivers--;
	if (transfer->from < SPREAD_VMS_MAX)
		spread->vms[transfer->from].senders--;
}

static double
get_rate(
    const spread_t *spread, const spread_vm_t *vm, const transfer_t *transfer)
{
	double rate = vm->rate / (double)vm->receivers;
	double other = spread->options->store_rate;

	if (transfer->from < SPREAD_VMS_MAX)
		other = spread->vms[transfer->from].rate /
		    (double)spread->vms[transfer->from].senders;
	return rate < other ? rate : other;
}

static void
advance_transfer(spread_t *spread, spread_vm_t *vm, transfer_t *transfer)
{
	if (!transfer->active || spread->now < transfer->started)
		return;
	transfer->left -= get_rate(spread, vm, transfer) * STEP / MSP_SECOND;
	if (transfer->left > 0)
		return;
	if (transfer->version > vm->version)
		vm->version = transfer->version;
	end_transfer(spread, vm, &vm->first);
	end_transfer(spread, vm, &vm->second);
	vm->asks_store = false;
}

/* Ends a transfer from a VM that would take too long, as its rate shows. */
static void
cut_transfer(spread_t *spread, spread_vm_t *vm)
{
	transfer_t *transfer = &vm->first;
	double elapsed = (double)(spread->now - transfer->started);

	if (!transfer->active || transfer->from == STORE ||
	    elapsed < CUT_AFTER ||
	    (transfer->total - transfer->left) * CUT_TIME >=
		transfer->total * elapsed)
		return;
	end_transfer(spread, vm, transfer);
	vm->asks_store = true;
}

static void
start_first(spread_t *spread, size_t index)
{
	spread_vm_t *vm = &spread->vms[index];
	spread_vm_t *reader = &spread->vms[spread->reader];

	if (vm->first.active)
		return;
	if (index == spread->reader || vm->asks_store) {
		if (get_written(spread, 0) > vm->version)
			start_transfer(spread, vm, &vm->first, STORE,
			    get_written(spread, 0));
		return;
	}
	if (reader->version > vm->version &&
	    msp_bulk_may_be_sent(&reader->pacer, spread->now))
		start_transfer(
		    spread, vm, &vm->first, spread->reader, reader->version);
}

/* Returns a VM that is ahead and may send, or NO_VM. */
static size_t
find_ahead(spread_t *spread, const spread_vm_t *vm)
{
	size_t count = spread->options->vms;
	size_t start = msp_next_random(&spread->rng) % count;
	size_t i;

	for (i = 0; i < count; i++) {
		size_t at = (start + i) % count;

		if (spread->vms[at].version > vm->version &&
		    msp_bulk_may_be_sent(&spread->vms[at].pacer, spread->now))
			return at;
	}
	return NO_VM;
}

static void
start_second(spread_t *spread, spread_vm_t *vm)
{
	bool is_slow =
	    vm->first.active && spread->now > vm->first.started + SLOW_AFTER;
	bool is_late = get_written(spread, GOSSIP_TIME) > vm->version;
	size_t from;

	if (vm->second.active || (!is_slow && !is_late))
		return;
	from = find_ahead(spread, vm);
	if (from != NO_VM)
		start_transfer(
		    spread, vm, &vm->second, from, spread->vms[from].version);
	else if (is_slow && get_written(spread, NEAR_TIME) > vm->version)
		start_transfer(spread, vm, &vm->second, OTHERS,
		    get_written(spread, NEAR_TIME));
}

static void
step_vm(spread_t *spread, size_t index)
{
	spread_vm_t *vm = &spread->vms[index];

	advance_transfer(spread, vm, &vm->first);
	advance_transfer(spread, vm, &vm->second);
	cut_transfer(spread, vm);
	start_first(spread, index);
	if (spread->options->policy.second_reads)
		start_second(spread, vm);
}

static unsigned int
get_lowest(const spread_t *spread)
{
	unsigned int lowest = spread->options->versions;
	size_t i;

	for (i = 0; i < spread->options->vms; i++) {
		if (spread->vms[i].version < lowest)
			lowest = spread->vms[i].version;
	}
	return lowest;
}

void
run_row_spread(const spread_options_t *options, spread_result_t *result)
{
	spread_t *spread = calloc(1, sizeof(*spread));
	unsigned int done = 0;
	msp_time_t took;
	size_t i;

	if (spread == NULL)
		abort();
	*result = (spread_result_t){0};
	spread->options = options;
	spread->result = result;
	spread->rng.state = options->seed;
	measure_versions(spread);
	set_up_vms(spread);
	while (done < options->versions && spread->now < RUN_MAX) {
		spread->now += STEP;
		for (i = 0; i < options->vms; i++)
			step_vm(spread, i);
		for (; done < get_lowest(spread); done++) {
			took = spread->now - options->written_ms[done] * MSP_MS;
			if (took > result->worst)
				result->worst = took;
		}
	}
	if (done < options->versions)
		result->worst = MSP_NEVER;
	free(spread);
}
