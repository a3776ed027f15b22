#include "rate_sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord.h"
#include "monsoonspindle/steer/rate_share.h"

#define NAME "organisation"
#define STEP (5 * MSP_MS)
#define WARM_UP (8 * MSP_SECOND) /* before the first request */
#define PLAY_TIME (20 * MSP_SECOND)
#define HOT_FROM (4 * MSP_SECOND) /* these count from the first request */
#define HOT_UNTIL (12 * MSP_SECOND)
#define FAULT_FROM (6 * MSP_SECOND)
#define FAULT_TIME (4 * MSP_SECOND)
#define WINDOW (5 * MSP_SECOND)
#define OVER 1.1 /* of the limit, in a window */
#define DETECTION MSP_SECOND /* until a VM that died is suspect */
#define VERSION_DELAY MSP_SECOND /* until VMs have a new version, at most */
#define NEAR_DELAY STEP /* one way, in a data centre */
#define FAR_DELAY (55 * MSP_MS)
#define ASK_TIMEOUT (400 * MSP_MS)
#define EXCLUSION (2 * MSP_SECOND)
#define QUESTIONS_MAX 3
#define LATE_ONE_IN 100 /* answers that come too late */
#define TELL_INTERVAL (500 * MSP_MS)
#define OWNERS_MAX 3 /* VMs that may be the owner */
#define ALONE_PART 0.25
#define CONTACT_TIME (1250 * MSP_MS) /* without it a VM is cut off */
#define ASKED_TIME MSP_SECOND
#define STICKY_ONE_IN 4 /* requests after which a caller changes its VM */
#define WAITING_MAX 4096
#define DEMAND_MESSAGES_MAX 64
#define LOWERED 0.3 /* of the limit */
#define RAISED 2.0

/* A data centre's demand on its way to another one. */
typedef struct demand_message {
	unsigned int from;
	unsigned int to;
	msp_time_t arrives;
	msp_rate_demand_t demand;
	size_t count; /* 0: nothing is asked for */
} demand_message_t;

typedef struct sim_vm {
	unsigned int place;
	unsigned int rank; /* in its data centre; 0: the owner */
	bool runs;
	bool frozen;
	bool cut_off;
	msp_time_t down_since;
	msp_time_t has_version_at; /* of the changed limit */
	msp_rate_leases_t *leases;
	msp_rate_owner_t *owner;
	msp_rate_share_t alone;
	msp_time_t told_at;
	msp_time_t *waiting; /* arrivals of the requests that wait */
	unsigned int waiting_count;
	/* The question that is under way. */
	bool asks;
	msp_rate_ask_t ask;
	unsigned int questions;
	bool was_late;
	unsigned int asked; /* rank of the VM */
	msp_time_t answer_at;
	bool has_answer; /* else it ends by its timeout */
	msp_time_t excluded_until[OWNERS_MAX]; /* by rank */
	msp_time_t asked_at; /* by another VM */
} sim_vm_t;

typedef struct rate_sim {
	rate_sim_options_t options;
	rate_sim_result_t *result;
	msp_virtual_env_t venv;
	msp_env_t env;
	msp_time_t start;
	sim_vm_t *vms;
	unsigned int vm_count;
	unsigned int *caller_vms; /* of each caller */
	unsigned int *caller_places;
	demand_message_t messages[DEMAND_MESSAGES_MAX];
	unsigned int message_count;
	msp_time_t *admitted; /* times, in order */
	/* The same limit, counted in one place without any delay. */
	double level;
	unsigned int fitting; /* requests that it admits */
	double waited; /* ms, of all that were admitted */
} rate_sim_t;

static const char *const fault_names[] = {
    [RATE_SIM_NO_FAULT] = "no fault",
    [RATE_SIM_OWNER_DIES] = "owner dies",
    [RATE_SIM_OWNER_FREEZES] = "owner freezes",
    [RATE_SIM_VMS_CUT_OFF] = "VMs are cut off",
    [RATE_SIM_PLACE_CUT_OFF] = "data centre is cut off",
    [RATE_SIM_ALL_RESTART] = "all restart",
    [RATE_SIM_LIMIT_LOWERED] = "limit is lowered",
    [RATE_SIM_LIMIT_RAISED] = "limit is raised",
    [RATE_SIM_CALLERS_MOVE] = "callers move",
};

const char *
rate_sim_fault_name(rate_sim_fault_t fault)
{
	return fault_names[fault];
}

static msp_time_t
get_now(const rate_sim_t *sim)
{
	return sim->venv.now;
}

static double
draw(rate_sim_t *sim)
{
	return (double)msp_random_below(&sim->env, 1000000) / 1e6;
}

/* Whether the time, counted from the first request, is within the fault's. */
static bool
is_fault_time(const rate_sim_t *sim)
{
	msp_time_t now = get_now(sim);

	return now >= sim->start + FAULT_FROM &&
	    now < sim->start + FAULT_FROM + FAULT_TIME;
}

/* The limit as it is written, at this moment. */
static msp_rate_limit_t
get_written_limit(const rate_sim_t *sim, bool is_changed)
{
	msp_rate_limit_t limit = {
	    .per_second = sim->options.per_second, .burst = sim->options.burst};
	double factor = 1;

	if (is_changed && sim->options.fault == RATE_SIM_LIMIT_LOWERED)
		factor = LOWERED;
	if (is_changed && sim->options.fault == RATE_SIM_LIMIT_RAISED)
		factor = RAISED;
	limit.per_second *= factor;
	limit.burst *= factor;
	return limit;
}

static msp_organisation_t
get_vm_view(const rate_sim_t *sim, const sim_vm_t *vm)
{
	msp_organisation_t organisation = {.name = NAME};

	organisation.limit =
	    get_written_limit(sim, get_now(sim) >= vm->has_version_at);
	return organisation;
}

static void
start_vm(rate_sim_t *sim, sim_vm_t *vm)
{
	msp_rate_owner_options_t options = {.place_count = sim->options.places,
	    .place = vm->place,
	    .slack = sim->options.slack};

	vm->leases = msp_new_rate_leases(&sim->env);
	vm->owner = msp_new_rate_owner(&sim->env, &options);
	vm->alone = (msp_rate_share_t){0};
	vm->runs = true;
}

static void
stop_vm(rate_sim_t *sim, sim_vm_t *vm)
{
	msp_drop_rate_leases(vm->leases);
	msp_drop_rate_owner(vm->owner);
	vm->leases = NULL;
	vm->owner = NULL;
	vm->runs = false;
	vm->asks = false;
	vm->waiting_count = 0;
	vm->down_since = get_now(sim);
}

static sim_vm_t *
get_vm(const rate_sim_t *sim, unsigned int place, unsigned int rank)
{
	return &sim->vms[place * sim->options.vms + rank];
}

static void
record_admitted(rate_sim_t *sim, msp_time_t arrival)
{
	sim->admitted[sim->result->admitted++] = get_now(sim);
	sim->waited += (double)(get_now(sim) - arrival) / (double)MSP_MS;
}

static void
record_refused(rate_sim_t *sim)
{
	sim->result->refused++;
}

/* The VM's even part of the limit, of which it uses a share. */
static bool
take_even_part(rate_sim_t *sim, sim_vm_t *vm, double used)
{
	msp_organisation_t view = get_vm_view(sim, vm);
	msp_shared_rate_t rate = {.per_second = view.limit.per_second * used,
	    .burst = view.limit.burst * used};
	msp_sender_rank_t rank = {.place_count = sim->options.places,
	    .place = vm->place,
	    .vm_count = sim->options.vms,
	    .vm = vm->rank};

	if (msp_rate_share_is_old(&vm->alone, get_now(sim)))
		msp_set_rate_share(&vm->alone, get_now(sim), &rate, &rank);
	if (!msp_rate_share_allows(&vm->alone, get_now(sim)))
		return false;
	msp_use_rate_share(&vm->alone);
	return true;
}

static bool
can_reach(const sim_vm_t *from, const sim_vm_t *to)
{
	return from == to || (to->runs && !from->cut_off && !to->cut_off);
}

/* Whether `vm` takes the VM to be alive. */
static bool
is_listed(const rate_sim_t *sim, const sim_vm_t *vm, const sim_vm_t *other)
{
	if (vm == other)
		return true;
	if ((vm->cut_off || other->cut_off || other->frozen) &&
	    is_fault_time(sim))
		return get_now(sim) < sim->start + FAULT_FROM + DETECTION;
	return other->runs || get_now(sim) < other->down_since + DETECTION;
}

static unsigned int
count_listed(const rate_sim_t *sim, const sim_vm_t *vm)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < sim->options.vms; i++) {
		if (is_listed(sim, vm, get_vm(sim, vm->place, i)))
			count++;
	}
	return count;
}

/*
 * The rank of the VM that owns the limit, in the eyes of `vm`; OWNERS_MAX: none
 * can be reached.
 */
static unsigned int
find_owner(const rate_sim_t *sim, const sim_vm_t *vm)
{
	unsigned int i;

	for (i = 0; i < OWNERS_MAX; i++) {
		if ((i == vm->rank || get_now(sim) >= vm->excluded_until[i]) &&
		    is_listed(sim, vm, get_vm(sim, vm->place, i)))
			return i;
	}
	return OWNERS_MAX;
}

static bool
may_be_owner(const rate_sim_t *sim, const sim_vm_t *vm)
{
	if (vm->cut_off &&
	    get_now(sim) >= sim->start + FAULT_FROM + CONTACT_TIME)
		return false;
	return 2 * count_listed(sim, vm) > sim->options.vms;
}

static bool
is_first_owner(const rate_sim_t *sim, const sim_vm_t *vm)
{
	unsigned int i;

	for (i = 0; i < vm->rank; i++) {
		if (is_listed(sim, vm, get_vm(sim, vm->place, i)))
			return false;
	}
	return true;
}

/* Whether the VM may admit its own requests as the owner. */
static bool
may_ask_self(const rate_sim_t *sim, const sim_vm_t *vm)
{
	return is_first_owner(sim, vm) ||
	    get_now(sim) < vm->asked_at + ASKED_TIME;
}

/* Ends the question: the requests that waited are admitted or refused. */
static void
finish_ask(rate_sim_t *sim, sim_vm_t *vm, bool has_owner)
{
	msp_rate_verdict_t verdict;
	msp_time_t wait;
	unsigned int kept = 0;
	unsigned int i;

	vm->asks = false;
	for (i = 0; i < vm->waiting_count; i++) {
		if (!msp_is_rate_asked(vm->leases, NAME)) {
			vm->waiting[kept++] = vm->waiting[i];
			continue;
		}
		if (has_owner) {
			verdict = msp_take_granted(vm->leases, NAME, &wait);
		} else {
			msp_withdraw_rate_wait(vm->leases, NAME);
			verdict = take_even_part(sim, vm, ALONE_PART)
			    ? MSP_RATE_ADMITTED
			    : MSP_RATE_REFUSED;
		}
		if (verdict == MSP_RATE_ADMITTED)
			record_admitted(sim, vm->waiting[i]);
		else
			record_refused(sim);
	}
	vm->waiting_count = kept;
}

/* The owner answers at once; the answer travels back. */
static bool
ask_vm(rate_sim_t *sim, sim_vm_t *vm, sim_vm_t *owner)
{
	msp_rate_grant_t grant;

	if (!can_reach(vm, owner) || owner->frozen ||
	    !may_be_owner(sim, owner) ||
	    (vm == owner && !may_ask_self(sim, vm)))
		return false;
	if (vm != owner)
		owner->asked_at = get_now(sim);
	msp_act_as_rate_owner(owner->owner, is_first_owner(sim, owner));
	msp_ask_rate_owner(owner->owner, &vm->ask, &grant);
	/* A VM under load may give up before it reads the answer. */
	if (vm != owner && msp_random_below(&sim->env, LATE_ONE_IN) == 0)
		return false;
	msp_apply_rate_grant(vm->leases, &grant);
	return true;
}

static void
ask_owner(rate_sim_t *sim, sim_vm_t *vm)
{
	sim_vm_t *owner;

	vm->asked = find_owner(sim, vm);
	if (vm->asked == OWNERS_MAX) {
		finish_ask(sim, vm, false);
		return;
	}
	owner = get_vm(sim, vm->place, vm->asked);
	vm->questions++;
	vm->has_answer = ask_vm(sim, vm, owner);
	if (vm != owner)
		sim->result->asks++;
	vm->answer_at = get_now(sim);
	if (vm != owner && vm->has_answer)
		vm->answer_at += 2 * NEAR_DELAY;
	else if (vm != owner && owner->runs)
		vm->answer_at += ASK_TIMEOUT;
}

/* Sends the next question, and ends the one that is answered. */
static void
step_asks(rate_sim_t *sim, sim_vm_t *vm)
{
	if (vm->asks && get_now(sim) < vm->answer_at)
		return;
	if (vm->asks && vm->has_answer) {
		finish_ask(sim, vm, true);
	} else if (vm->asks) {
		if (vm->was_late)
			vm->excluded_until[vm->asked] =
			    get_now(sim) + EXCLUSION;
		vm->was_late = true;
		if (vm->questions < QUESTIONS_MAX)
			ask_owner(sim, vm);
		else
			finish_ask(sim, vm, false);
		return;
	}
	if (msp_collect_rate_asks(vm->leases, &vm->ask, 1) == 0)
		return;
	vm->asks = true;
	vm->questions = 0;
	vm->was_late = false;
	ask_owner(sim, vm);
}

static void
receive_request(rate_sim_t *sim, sim_vm_t *vm)
{
	msp_organisation_t view = get_vm_view(sim, vm);
	uint64_t version = get_now(sim) >= vm->has_version_at ? 2 : 1;
	msp_time_t wait;

	sim->result->requests++;
	if (sim->level >= 1) {
		sim->level--;
		sim->fitting++;
	}
	if (sim->options.way == RATE_SIM_EVEN) {
		if (take_even_part(sim, vm, 1))
			record_admitted(sim, get_now(sim));
		else
			record_refused(sim);
		return;
	}
	switch (msp_take_lease(vm->leases, &view, version, &wait)) {
	case MSP_RATE_ADMITTED:
		record_admitted(sim, get_now(sim));
		return;
	case MSP_RATE_REFUSED:
		record_refused(sim);
		return;
	case MSP_RATE_ASK:
		break;
	}
	vm->waiting[vm->waiting_count++] = get_now(sim);
}

static void
send_demand(rate_sim_t *sim, const sim_vm_t *vm, unsigned int to,
    const msp_rate_demand_t *demand, size_t count)
{
	bool cut = sim->options.fault == RATE_SIM_PLACE_CUT_OFF &&
	    is_fault_time(sim) && (vm->place == 0) != (to == 0);

	sim->result->demand_messages += OWNERS_MAX;
	if (cut || vm->cut_off || sim->message_count == DEMAND_MESSAGES_MAX)
		return;
	sim->messages[sim->message_count++] =
	    (demand_message_t){.from = vm->place,
		.to = to,
		.arrives =
		    get_now(sim) + (to == vm->place ? NEAR_DELAY : FAR_DELAY),
		.demand = *demand,
		.count = count};
}

/* The VM that is the owner in its own eyes tells the other data centres. */
static void
tell_demand(rate_sim_t *sim, sim_vm_t *vm)
{
	msp_rate_demand_t demand = {0};
	size_t count;
	unsigned int i;

	if (get_now(sim) < vm->told_at + TELL_INTERVAL)
		return;
	vm->told_at = get_now(sim);
	if (!is_first_owner(sim, vm) || !may_be_owner(sim, vm))
		return;
	msp_act_as_rate_owner(vm->owner, true);
	if (sim->options.way != RATE_SIM_DEMAND)
		return;
	count = msp_tell_rate_demand(vm->owner, &demand, 1);
	for (i = 0; i < sim->options.places; i++)
		send_demand(sim, vm, i, &demand, count);
}

static void
deliver_demand(rate_sim_t *sim)
{
	unsigned int kept = 0;
	unsigned int rank;
	unsigned int i;

	for (i = 0; i < sim->message_count; i++) {
		const demand_message_t *message = &sim->messages[i];
		if (get_now(sim) < message->arrives) {
			sim->messages[kept++] = *message;
			continue;
		}
		for (rank = 0; rank < OWNERS_MAX; rank++) {
			sim_vm_t *vm = get_vm(sim, message->to, rank);

			if (vm->runs && !vm->frozen && !vm->cut_off)
				msp_hear_rate_demand(vm->owner, message->from,
				    &message->demand, message->count);
		}
	}
	sim->message_count = kept;
}

static void
move_caller(rate_sim_t *sim, unsigned int caller)
{
	unsigned int place = sim->caller_places[caller];

	if (sim->options.fault == RATE_SIM_CALLERS_MOVE &&
	    get_now(sim) >= sim->start + FAULT_FROM)
		place = (place + 1) % 2;
	sim->caller_vms[caller] = place * sim->options.vms +
	    (unsigned int)msp_random_below(&sim->env, sim->options.vms);
}

/* Requests of this step. Those at VMs that don't take any are not sent. */
static void
send_requests(rate_sim_t *sim)
{
	msp_time_t since = get_now(sim) - sim->start;
	double rate = sim->options.per_second * sim->options.demand /
	    sim->options.callers;
	unsigned int i;

	if (since >= HOT_FROM && since < HOT_UNTIL)
		rate *= sim->options.hot;
	for (i = 0; i < sim->options.callers; i++) {
		double left = rate * (double)STEP / (double)MSP_SECOND;

		for (; left > 0 && draw(sim) < fmin(left, 1); left -= 1) {
			sim_vm_t *vm = &sim->vms[sim->caller_vms[i]];

			if (draw(sim) * STICKY_ONE_IN < 1 || !vm->runs)
				move_caller(sim, i);
			if (vm->runs && !vm->frozen &&
			    vm->waiting_count < WAITING_MAX)
				receive_request(sim, vm);
		}
	}
}

/* Starts the fault, or ends it, in this step. */
static void
step_fault(rate_sim_t *sim)
{
	bool begins = get_now(sim) - sim->start == FAULT_FROM;
	bool ends = get_now(sim) - sim->start == FAULT_FROM + FAULT_TIME;
	unsigned int i;

	for (i = 0; i < sim->vm_count && (begins || ends); i++) {
		sim_vm_t *vm = &sim->vms[i];

		switch (sim->options.fault) {
		case RATE_SIM_OWNER_DIES:
			if (vm->rank == 0 && begins)
				stop_vm(sim, vm);
			else if (vm->rank == 0)
				start_vm(sim, vm);
			break;
		case RATE_SIM_OWNER_FREEZES:
			vm->frozen = vm->rank == 0 && begins;
			break;
		case RATE_SIM_VMS_CUT_OFF:
			vm->cut_off = begins && i % 6 == 1;
			break;
		case RATE_SIM_ALL_RESTART:
			if (begins) {
				stop_vm(sim, vm);
				start_vm(sim, vm);
			}
			break;
		default:
			break;
		}
	}
}

static void
step(rate_sim_t *sim)
{
	msp_rate_limit_t limit =
	    get_written_limit(sim, get_now(sim) >= sim->start + FAULT_FROM);
	unsigned int i;

	sim->level = fmin(limit.burst,
	    sim->level + limit.per_second * (double)STEP / (double)MSP_SECOND);
	if (get_now(sim) >= sim->start) {
		step_fault(sim);
		send_requests(sim);
	}
	deliver_demand(sim);
	for (i = 0; i < sim->vm_count; i++) {
		sim_vm_t *vm = &sim->vms[i];

		if (!vm->runs || vm->frozen)
			continue;
		step_asks(sim, vm);
		tell_demand(sim, vm);
	}
	sim->venv.now += STEP;
}

/* The limit that binds a window that begins at `from`. */
static double
get_allowed(const rate_sim_t *sim, msp_time_t from)
{
	/* A lower limit binds a window after all VMs have it. */
	bool lowered = sim->options.fault == RATE_SIM_LIMIT_LOWERED &&
	    from >= sim->start + FAULT_FROM + VERSION_DELAY + WINDOW;
	bool raised = sim->options.fault == RATE_SIM_LIMIT_RAISED &&
	    from + WINDOW >= sim->start + FAULT_FROM;
	msp_rate_limit_t limit = get_written_limit(sim, lowered || raised);

	return (limit.per_second * (double)WINDOW / (double)MSP_SECOND +
		   limit.burst) *
	    OVER +
	    sim->options.slack;
}

static void
judge_windows(rate_sim_t *sim)
{
	unsigned int last = 0;
	unsigned int i;

	for (i = 0; i < sim->result->admitted; i++) {
		msp_time_t from = sim->admitted[i];
		double share;

		while (last < sim->result->admitted &&
		    sim->admitted[last] < from + WINDOW)
			last++;
		share = (last - i) / get_allowed(sim, from);
		if (share > sim->result->worst_share)
			sim->result->worst_share = share;
	}
}

static void
set_up(rate_sim_t *sim)
{
	unsigned int i;

	sim->vm_count = sim->options.places * sim->options.vms;
	sim->vms = calloc(sim->vm_count, sizeof(*sim->vms));
	sim->caller_vms =
	    calloc(sim->options.callers, sizeof(*sim->caller_vms));
	sim->caller_places =
	    calloc(sim->options.callers, sizeof(*sim->caller_places));
	sim->admitted = calloc(10 * 1000 * 1000, sizeof(*sim->admitted));
	for (i = 0; i < sim->vm_count; i++) {
		sim_vm_t *vm = &sim->vms[i];

		vm->place = i / sim->options.vms;
		vm->rank = i % sim->options.vms;
		vm->waiting = calloc(WAITING_MAX, sizeof(*vm->waiting));
		vm->told_at = msp_random_below(&sim->env, TELL_INTERVAL);
		vm->has_version_at = sim->start + FAULT_FROM +
		    msp_random_below(&sim->env, VERSION_DELAY);
		start_vm(sim, vm);
	}
	for (i = 0; i < sim->options.callers; i++) {
		sim->caller_places[i] = (unsigned int)msp_random_below(
		    &sim->env, sim->options.places);
		move_caller(sim, i);
	}
}

static void
tear_down(rate_sim_t *sim)
{
	unsigned int i;

	for (i = 0; i < sim->vm_count; i++) {
		stop_vm(sim, &sim->vms[i]);
		free(sim->vms[i].waiting);
	}
	free(sim->vms);
	free(sim->caller_vms);
	free(sim->caller_places);
	free(sim->admitted);
}

void
run_rate_sim(const rate_sim_options_t *options, rate_sim_result_t *result)
{
	rate_sim_t *sim = calloc(1, sizeof(*sim));

	*result = (rate_sim_result_t){0};
	sim->options = *options;
	sim->result = result;
	sim->venv = (msp_virtual_env_t){
	    .now = MSP_MINUTE, .rng = {.state = options->seed}};
	sim->env = msp_virtual_env(&sim->venv);
	sim->start = sim->venv.now + WARM_UP;
	set_up(sim);
	while (get_now(sim) < sim->start + PLAY_TIME)
		step(sim);
	judge_windows(sim);
	if (sim->fitting > result->admitted)
		result->refused_below = sim->fitting - result->admitted;
	if (result->admitted > 0)
		result->added_ms = sim->waited / result->admitted;
	tear_down(sim);
	free(sim);
}
