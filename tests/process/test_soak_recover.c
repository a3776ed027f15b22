#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "soak_recover.h"

/* The judge of the soak's rule RECOVER, on histories made by hand. */

#define STARTED_AT (10 * MSP_SECOND)
#define CUT_VM 0
#define WHOLE_VM 1
#define EVENTS_MAX 16

typedef enum action {
	END_OF_EVENTS,
	RUN,
	STOP,
	CUT,
	JOIN,
	TRIES, /* `count` tries, of which `served` are served */
	BEGIN, /* one try that ends at the next event SERVE or FAIL */
	SERVE,
	FAIL,
} action_t;

typedef struct event {
	action_t action;
	msp_time_t at; /* after the start of VMs */
	unsigned int vm;
	unsigned int count;
	unsigned int served;
} event_t;

typedef struct history {
	const char *name;
	event_t events[EVENTS_MAX]; /* both VMs run from the start */
	unsigned int breaches;
	unsigned int tries[2]; /* that count: of cut VMs, of the others */
} history_t;

#define SECONDS(n) ((n)*MSP_SECOND)

static const history_t histories[] = {
    {"no cut", {{TRIES, SECONDS(9), CUT_VM, 500, 0}}, 0, {0, 0}},
    {"nothing is served",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {TRIES, SECONDS(15), CUT_VM, 100, 0},
	    {TRIES, SECONDS(15), WHOLE_VM, 100, 100}},
	1, {100, 100}},
    {"served less than two thirds as often",
	{{CUT, SECONDS(10), CUT_VM, 0, 0},
	    {TRIES, SECONDS(15), CUT_VM, 300, 199},
	    {TRIES, SECONDS(15), WHOLE_VM, 300, 300}},
	1, {300, 300}},
    {"served exactly two thirds as often",
	{{CUT, SECONDS(10), CUT_VM, 0, 0},
	    {TRIES, SECONDS(15), CUT_VM, 300, 200},
	    {TRIES, SECONDS(15), WHOLE_VM, 300, 300}},
	0, {300, 300}},
    {"served as rarely as at the others",
	{{CUT, SECONDS(10), CUT_VM, 0, 0},
	    {TRIES, SECONDS(15), CUT_VM, 300, 100},
	    {TRIES, SECONDS(15), WHOLE_VM, 300, 150}},
	0, {300, 300}},
    /* 10 and one in 50 of 15 are 10.3. */
    {"few failures",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {TRIES, SECONDS(15), CUT_VM, 15, 5},
	    {TRIES, SECONDS(15), WHOLE_VM, 300, 300}},
	0, {15, 300}},
    {"one failure too many",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {TRIES, SECONDS(15), CUT_VM, 15, 4},
	    {TRIES, SECONDS(15), WHOLE_VM, 300, 300}},
	1, {15, 300}},
    {"within the contact time",
	{{CUT, SECONDS(10), CUT_VM, 0, 0},
	    {TRIES, SECONDS(14) - 1, CUT_VM, 100, 0},
	    {TRIES, SECONDS(14) - 1, WHOLE_VM, 100, 100}},
	0, {0, 0}},
    {"from the contact time on",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {TRIES, SECONDS(14), CUT_VM, 100, 0},
	    {TRIES, SECONDS(14), WHOLE_VM, 100, 100}},
	1, {100, 100}},
    {"after the end of the cut",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {JOIN, SECONDS(15), CUT_VM, 0, 0},
	    {TRIES, SECONDS(20), CUT_VM, 100, 0},
	    {TRIES, SECONDS(20), WHOLE_VM, 100, 100}},
	0, {0, 0}},
    {"a short cut beside a long one",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {CUT, SECONDS(13), WHOLE_VM, 0, 0},
	    {TRIES, SECONDS(15), CUT_VM, 100, 0},
	    {TRIES, SECONDS(15), WHOLE_VM, 100, 100}},
	0, {100, 0}},
    {"just joined beside a long cut",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {CUT, SECONDS(10), WHOLE_VM, 0, 0},
	    {JOIN, SECONDS(15), WHOLE_VM, 0, 0},
	    {TRIES, SECONDS(16), CUT_VM, 100, 0},
	    {TRIES, SECONDS(16), WHOLE_VM, 100, 0},
	    {TRIES, SECONDS(19), WHOLE_VM, 100, 100}},
	1, {100, 100}},
    {"all VMs cut",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {CUT, SECONDS(10), WHOLE_VM, 0, 0},
	    {TRIES, SECONDS(15), CUT_VM, 100, 0},
	    {TRIES, SECONDS(15), WHOLE_VM, 100, 0}},
	0, {200, 0}},
    {"a VM that was restarted",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {STOP, SECONDS(15), CUT_VM, 0, 0},
	    {TRIES, SECONDS(15), CUT_VM, 100, 0},
	    {RUN, SECONDS(16), CUT_VM, 0, 0},
	    {TRIES, SECONDS(20) - 1, CUT_VM, 100, 0},
	    {TRIES, SECONDS(20), WHOLE_VM, 100, 100}},
	0, {0, 100}},
    {"a VM that was restarted, and is in touch again",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {STOP, SECONDS(15), CUT_VM, 0, 0},
	    {RUN, SECONDS(16), CUT_VM, 0, 0},
	    {TRIES, SECONDS(20), CUT_VM, 100, 0},
	    {TRIES, SECONDS(20), WHOLE_VM, 100, 100}},
	1, {100, 100}},
    {"a VM that ended by itself is not excused",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {RUN, SECONDS(16), CUT_VM, 0, 0},
	    {TRIES, SECONDS(17), CUT_VM, 100, 0},
	    {TRIES, SECONDS(17), WHOLE_VM, 100, 100}},
	1, {100, 100}},
    {"a try during which its VM is stopped",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {BEGIN, SECONDS(15), CUT_VM, 0, 0},
	    {STOP, SECONDS(16), CUT_VM, 0, 0}, {RUN, SECONDS(17), CUT_VM, 0, 0},
	    {FAIL, SECONDS(18), 0, 0, 0}},
	0, {0, 0}},
    {"a try that ends after the cut",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {BEGIN, SECONDS(15), CUT_VM, 0, 0},
	    {JOIN, SECONDS(16), CUT_VM, 0, 0}, {FAIL, SECONDS(17), 0, 0, 0}},
	0, {1, 0}},
    {"a try that begins before the contact time",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {BEGIN, SECONDS(13), CUT_VM, 0, 0},
	    {FAIL, SECONDS(15), 0, 0, 0}},
	0, {0, 0}},
    {"an unbroken spell does not mend a broken one",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {TRIES, SECONDS(15), CUT_VM, 100, 0},
	    {TRIES, SECONDS(15), WHOLE_VM, 100, 100},
	    {JOIN, SECONDS(16), CUT_VM, 0, 0}, {CUT, SECONDS(20), CUT_VM, 0, 0},
	    {TRIES, SECONDS(25), CUT_VM, 1000, 1000},
	    {TRIES, SECONDS(25), WHOLE_VM, 1000, 1000}},
	1, {1100, 1100}},
    {"a VM that is cut twice in a row",
	{{CUT, SECONDS(10), CUT_VM, 0, 0}, {CUT, SECONDS(13), CUT_VM, 0, 0},
	    {TRIES, SECONDS(15), CUT_VM, 100, 0},
	    {TRIES, SECONDS(15), WHOLE_VM, 100, 100}},
	1, {100, 100}},
};

static void
play_tries(recover_judge_t *judge, msp_time_t now, const event_t *event)
{
	recover_try_t attempt;
	unsigned int i;

	for (i = 0; i < event->count; i++) {
		attempt = begin_recover_try(judge, now, event->vm);
		end_recover_try(judge, &attempt, i < event->served);
	}
}

static void
play(recover_judge_t *judge, const history_t *history)
{
	recover_try_t attempt = {0};
	const event_t *event;
	msp_time_t now;

	run_recover_vm(judge, STARTED_AT, CUT_VM);
	run_recover_vm(judge, STARTED_AT, WHOLE_VM);
	for (event = history->events; event->action != END_OF_EVENTS; event++) {
		now = STARTED_AT + event->at;
		if (event->action == RUN)
			run_recover_vm(judge, now, event->vm);
		else if (event->action == STOP)
			stop_recover_vm(judge, event->vm);
		else if (event->action == CUT)
			cut_recover_vm(judge, now, event->vm);
		else if (event->action == JOIN)
			join_recover_vm(judge, now, event->vm);
		else if (event->action == TRIES)
			play_tries(judge, now, event);
		else if (event->action == BEGIN)
			attempt = begin_recover_try(judge, now, event->vm);
		else
			end_recover_try(
			    judge, &attempt, event->action == SERVE);
	}
}

static unsigned int
count_tries(const recover_judge_t *judge, recover_group_t group)
{
	unsigned int count = 0;
	unsigned int i;

	for (i = 0; i < judge->spell_count; i++)
		count += judge->spells[i].tries[group];
	return count;
}

static void
judges_tries_at_cut_vms(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(histories) / sizeof(*histories); i++) {
		recover_judge_t judge = {0};

		print_message("%s\n", histories[i].name);
		play(&judge, &histories[i]);
		assert_int_equal(
		    count_recover_breaches(&judge), histories[i].breaches);
		assert_int_equal(
		    count_tries(&judge, RECOVER_CUT), histories[i].tries[0]);
		assert_int_equal(
		    count_tries(&judge, RECOVER_WHOLE), histories[i].tries[1]);
	}
}

static void
judges_no_more_spells_than_it_can_keep(void **state)
{
	recover_judge_t judge = {0};
	event_t failing = {.count = 100};
	msp_time_t now = STARTED_AT;
	unsigned int i;

	(void)state;
	run_recover_vm(&judge, now, CUT_VM);
	run_recover_vm(&judge, now, WHOLE_VM);
	for (i = 0; i < RECOVER_SPELLS_MAX + 2; i++) {
		now += 2 * RECOVER_CONTACT_TIME;
		cut_recover_vm(&judge, now, CUT_VM);
		now += 2 * RECOVER_CONTACT_TIME;
		failing.vm = CUT_VM;
		failing.served = 0;
		play_tries(&judge, now, &failing);
		failing.vm = WHOLE_VM;
		failing.served = failing.count;
		play_tries(&judge, now, &failing);
		join_recover_vm(&judge, now, CUT_VM);
	}
	assert_int_equal(count_recover_breaches(&judge), RECOVER_SPELLS_MAX);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(judges_tries_at_cut_vms),
	    cmocka_unit_test(judges_no_more_spells_than_it_can_keep),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
