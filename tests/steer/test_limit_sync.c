#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/steer/limit_sync.h"

#define START (1000 * MSP_SECOND)
#define STEP (10 * MSP_MS)
#define INCARNATION 5
#define VMS 60
#define SENDERS 4 /* VMs that get responses of the target */
#define MESSAGES_MAX 512
#define SERVICE_TIME (50 * MSP_MS) /* of a request at the target */

typedef struct vm {
	msp_target_view_t *view;
	msp_time_t sent_at; /* of the request in hand; 0: none */
	unsigned int broadcasts;
} vm_t;

typedef struct message {
	msp_time_t due;
	unsigned int to;
	char text[256];
} message_t;

typedef struct net {
	msp_virtual_env_t clock;
	msp_env_t env;
	vm_t vms[VMS];
	message_t messages[MESSAGES_MAX];
	double limit; /* that the target names; negative: none */
	double lost; /* share of messages */
} net_t;

static const char *
find_region(void *ctx, const char *place)
{
	(void)ctx;
	(void)place;
	return "a"; /* the target is there */
}

static void
ignore_change(
    void *ctx, const msp_view_target_t *target, msp_limit_change_t change)
{
	(void)ctx;
	(void)target;
	(void)change;
}

static const msp_limit_sync_callbacks_t no_callbacks = {
    .on_change = ignore_change};

static msp_target_view_t *
new_view(const msp_env_t *env)
{
	const msp_target_view_callbacks_t callbacks = {
	    .find_region = find_region};
	const msp_registration_t registration = {.id = "t0",
	    .service = "desk",
	    .place = "a",
	    .address = "10.0.0.1",
	    .port = 80,
	    .slots = 4,
	    .incarnation = INCARNATION};
	msp_target_view_t *view = msp_new_target_view(env, &callbacks);

	assert_non_null(view);
	msp_apply_registration(view, "t0", 1, &registration);
	return view;
}

static msp_target_limit_t *
get_limit(msp_target_view_t *view)
{
	return &msp_find_view_target(view, "t0")->limit;
}

static net_t *
new_net(uint64_t seed)
{
	net_t *net = calloc(1, sizeof(*net));
	size_t i;

	assert_non_null(net);
	net->clock.now = START;
	net->clock.rng.state = seed;
	net->env = msp_virtual_env(&net->clock);
	net->limit = -1;
	for (i = 0; i < VMS; i++)
		net->vms[i].view = new_view(&net->env);
	return net;
}

static void
drop_net(net_t *net)
{
	size_t i;

	for (i = 0; i < VMS; i++)
		msp_drop_target_view(net->vms[i].view);
	free(net);
}

/* Puts a message to one VM on its way, unless it gets lost. */
static void
send_message(net_t *net, unsigned int to, const char *text)
{
	size_t i = 0;

	if ((double)msp_random_below(&net->env, 1000) < net->lost * 1000)
		return;
	while (net->messages[i].due != 0)
		assert_true(++i < MESSAGES_MAX);
	net->messages[i].due =
	    net->clock.now + 1 + msp_random_below(&net->env, 300 * MSP_MS);
	net->messages[i].to = to;
	snprintf(
	    net->messages[i].text, sizeof(net->messages[i].text), "%s", text);
}

/* A VM that gets responses of the target sends one request after the other. */
static void
step_sender(net_t *net, vm_t *vm)
{
	msp_target_limit_t *limit = get_limit(vm->view);
	msp_limit_statement_t statement = {.named = net->limit >= 0,
	    .per_second = net->limit,
	    .sent_at = vm->sent_at,
	    .heard_at = net->clock.now};
	msp_limit_change_t change;

	if (vm->sent_at == 0) {
		vm->sent_at = net->clock.now;
		return;
	}
	if (net->clock.now < vm->sent_at + SERVICE_TIME)
		return;
	change = msp_apply_limit_statement(limit, &statement);
	msp_plan_limit_report(&net->env, limit, change);
	vm->sent_at = 0;
}

static void
step_net(net_t *net)
{
	msp_buffer_t text = {0};
	unsigned int i;
	unsigned int to;

	net->clock.now += STEP;
	for (i = 0; i < MESSAGES_MAX; i++) {
		message_t *message = &net->messages[i];

		if (message->due == 0 || message->due > net->clock.now)
			continue;
		message->due = 0;
		assert_int_equal(
		    msp_receive_limits(&net->env, net->vms[message->to].view,
			message->text, &no_callbacks),
		    MSP_OK);
	}
	for (i = 0; i < VMS; i++) {
		if (i < SENDERS)
			step_sender(net, &net->vms[i]);
		msp_clear_buffer(&text);
		if (msp_encode_due_limits(&net->env, net->vms[i].view, &text) ==
		    0)
			continue;
		net->vms[i].broadcasts++;
		for (to = 0; to < VMS; to++) {
			if (to != i)
				send_message(net, to, msp_buffer_text(&text));
		}
	}
	msp_drop_buffer(&text);
}

static unsigned int
count_knowing(const net_t *net, bool in_force)
{
	unsigned int count = 0;
	size_t i;

	for (i = 0; i < VMS; i++)
		count +=
		    msp_limit_in_force(get_limit(net->vms[i].view)) == in_force;
	return count;
}

/* Runs until all VMs know; returns how long it took. */
static msp_time_t
run_until_all_know(net_t *net, bool in_force)
{
	msp_time_t start = net->clock.now;

	while (count_knowing(net, in_force) < VMS) {
		step_net(net);
		assert_true(net->clock.now < start + MSP_MINUTE);
	}
	return net->clock.now - start;
}

static void
run_net(net_t *net, msp_time_t duration)
{
	msp_time_t end = net->clock.now + duration;

	while (net->clock.now < end)
		step_net(net);
}

static unsigned int
count_broadcasts(const net_t *net)
{
	unsigned int count = 0;
	size_t i;

	for (i = 0; i < VMS; i++)
		count += net->vms[i].broadcasts;
	return count;
}

/*
 * Guards against VMs that never hear that a limit has ended since they have no
 * part of it and so get no response, and against storms of reports.
 */
static void
all_vms_hear_of_a_limit_and_of_its_end(void **state)
{
	uint64_t seed;
	msp_time_t took;
	unsigned int told;

	(void)state;
	for (seed = 1; seed <= 20; seed++) {
		net_t *net = new_net(seed);

		net->lost = seed % 2 == 0 ? 0.1 : 0;
		run_net(net, 5 * MSP_SECOND);
		assert_int_equal(count_broadcasts(net), 0);
		net->limit = 13;
		took = run_until_all_know(net, true);
		if (net->lost == 0)
			assert_true(took < MSP_SECOND);
		run_net(net, 30 * MSP_SECOND);
		told = count_broadcasts(net);
		/* The naming by each sender at most, then confirmations. */
		assert_true(told <= SENDERS + 3 * SENDERS);
		net->limit = -1;
		took = run_until_all_know(net, false);
		if (net->lost == 0)
			assert_true(took < 4 * MSP_SECOND);
		run_net(net, 20 * MSP_SECOND);
		assert_true(count_broadcasts(net) - told <= 4 * SENDERS);
		assert_int_equal(count_knowing(net, false), VMS);
		drop_net(net);
	}
}

/* Nothing is applied of a message that has a malformed line. */
static void
malformed_messages_are_rejected(void **state)
{
	static const char *const texts[] = {
	    "t0 5 13.000000 10\n",
	    "t0 5 13.000000 10 10",
	    "t0 5 -13 10 10\n",
	    "t0 5 nan 10 10\n",
	    "t0 5 13x 10 10\n",
	    "t0 x 13 10 10\n",
	    "t0 5 13 10 20\n", /* heard before it was sent */
	    "t0 5 13 20 10\nt0 5\n",
	    "\n",
	};
	msp_virtual_env_t clock = {.now = START};
	msp_env_t env = msp_virtual_env(&clock);
	msp_target_view_t *view = new_view(&env);
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(texts) / sizeof(*texts); i++) {
		print_message("%s", texts[i]);
		assert_int_equal(
		    msp_receive_limits(&env, view, texts[i], &no_callbacks),
		    MSP_E_SYNTAX);
		assert_false(msp_limit_in_force(get_limit(view)));
	}
	msp_drop_target_view(view);
}

typedef struct told_case {
	const char *name;
	msp_limit_statement_t own; /* heard_at 0: none */
	const char *text;
	bool in_force;
	double per_second;
	bool answers; /* tells the other VMs what it knows */
} told_case_t;

/* Reports are older than they look, and may be of another process. */
static void
reports_are_weighed_against_own_responses(void **state)
{
	static const told_case_t cases[] = {
	    {"first news", {0}, "t0 5 13 20 10\n", true, 13, false},
	    {"another incarnation", {0}, "t0 4 13 20 10\n", false, 0, false},
	    {"another target", {0}, "t1 5 13 20 10\n", false, 0, false},
	    {"end, sent long after the limit was heard",
		{true, 13, START - 9 * MSP_SECOND, START - 8 * MSP_SECOND},
		"t0 5 - 2000000 1900000\n", false, 0, false},
	    {"end, perhaps sent before the limit was heard",
		{true, 13, START - 900 * MSP_MS, START - 800 * MSP_MS},
		"t0 5 - 200000 100000\n", true, 13, false},
	    {"lower limit at the same time",
		{true, 13, START - 900 * MSP_MS, START - 800 * MSP_MS},
		"t0 5 9 200000 100000\n", true, 9, false},
	    {"higher limit at the same time",
		{true, 13, START - 900 * MSP_MS, START - 800 * MSP_MS},
		"t0 5 20 200000 100000\n", true, 13, false},
	    {"limit that has ended since",
		{false, 0, START - 900 * MSP_MS, START - 800 * MSP_MS},
		"t0 5 13 3000000 2900000\n", false, 0, true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		msp_virtual_env_t clock = {.now = START};
		msp_env_t env = msp_virtual_env(&clock);
		msp_target_view_t *view = new_view(&env);
		msp_target_limit_t *limit = get_limit(view);

		print_message("%s\n", cases[i].name);
		if (cases[i].own.heard_at != 0)
			msp_apply_limit_statement(limit, &cases[i].own);
		assert_int_equal(msp_receive_limits(
				     &env, view, cases[i].text, &no_callbacks),
		    MSP_OK);
		assert_int_equal(msp_limit_in_force(limit), cases[i].in_force);
		if (cases[i].in_force)
			assert_float_equal(
			    limit->last.per_second, cases[i].per_second, 1e-9);
		assert_int_equal(
		    msp_next_limit_report(view) != MSP_NEVER, cases[i].answers);
		msp_drop_target_view(view);
	}
}

/* A VM without a part sends one request if nobody hears of the limit. */
static void
silence_is_ended_by_one_request(void **state)
{
	const msp_sender_rank_t no_part = {
	    .place_count = 6, .place = 5, .vm_count = 50, .vm = 49};
	const msp_limit_statement_t statement = {
	    .named = true, .per_second = 1, .sent_at = 1, .heard_at = START};
	msp_virtual_env_t clock = {.now = START, .rng = {.state = 7}};
	msp_env_t env = msp_virtual_env(&clock);
	msp_target_limit_t limit = {0};
	unsigned int sent = 0;

	(void)state;
	msp_apply_limit_statement(&limit, &statement);
	for (; clock.now < START + 2 * MSP_MINUTE; clock.now += STEP) {
		if (msp_limit_share_is_old(&limit, clock.now)) {
			msp_set_limit_share(&limit, clock.now, &no_part);
			msp_offer_limit_trial(&limit, &env);
		}
		if (!msp_rate_share_allows(&limit.share, clock.now))
			continue;
		msp_use_target_limit(&limit);
		sent++;
		assert_true(clock.now >= START + MSP_MINUTE);
	}
	assert_int_equal(sent, 1);
}

/* A rounded limit would count as another one, to be told again and again. */
static void
limits_are_told_exactly(void **state)
{
	static const double limits[] = {
	    0, 0.00001, 0.1, 12.3456789, 1.0 / 3, 5000, 1e9};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(limits) / sizeof(*limits); i++) {
		const msp_limit_statement_t statement = {.named = true,
		    .per_second = limits[i],
		    .sent_at = START - MSP_SECOND,
		    .heard_at = START};
		msp_virtual_env_t clock = {.now = START};
		msp_env_t env = msp_virtual_env(&clock);
		msp_target_view_t *from = new_view(&env);
		msp_target_view_t *to = new_view(&env);
		msp_buffer_t text = {0};

		msp_plan_limit_report(&env, get_limit(from),
		    msp_apply_limit_statement(get_limit(from), &statement));
		clock.now += MSP_SECOND;
		assert_int_equal(msp_encode_due_limits(&env, from, &text), 1);
		assert_int_equal(msp_receive_limits(&env, to,
				     msp_buffer_text(&text), &no_callbacks),
		    MSP_OK);
		assert_true(get_limit(to)->last.per_second == limits[i]);
		msp_drop_buffer(&text);
		msp_drop_target_view(from);
		msp_drop_target_view(to);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(all_vms_hear_of_a_limit_and_of_its_end),
	    cmocka_unit_test(malformed_messages_are_rejected),
	    cmocka_unit_test(reports_are_weighed_against_own_responses),
	    cmocka_unit_test(silence_is_ended_by_one_request),
	    cmocka_unit_test(limits_are_told_exactly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
