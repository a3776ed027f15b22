#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "soak_pause.h"

/* The judge of the soak's rule PAUSE, on histories made by hand. */

#define EVENTS_MAX 8

typedef enum event_kind {
	END, /* of the history */
	TOLD, /* a VM, of a pause */
	EXCUSED, /* a VM */
	STARTED, /* the target, anew */
	KEEPS, /* an arrival that keeps the rule */
	BREAKS, /* an arrival that breaks it */
} event_kind_t;

typedef struct event {
	event_kind_t kind;
	uint32_t at_ms;
	unsigned int vm;
	uint32_t until_ms; /* TOLD */
} event_t;

typedef struct history {
	const char *name;
	event_t events[EVENTS_MAX];
} history_t;

static const history_t histories[] = {
    {"no pause", {{KEEPS, 1000, 0, 0}, {KEEPS, 1001, 0, 0}}},
    {"just after it was told",
	{{TOLD, 1000, 0, 4000}, {KEEPS, 1100, 0, 0}, {KEEPS, 1300, 0, 0},
	    {KEEPS, 1400, 0, 0}, {KEEPS, 1499, 0, 0}}},
    {"two later ones",
	{{TOLD, 1000, 0, 4000}, {KEEPS, 1500, 0, 0}, {KEEPS, 3999, 0, 0}}},
    {"three later ones",
	{{TOLD, 1000, 0, 4000}, {KEEPS, 1500, 0, 0}, {KEEPS, 2000, 0, 0},
	    {BREAKS, 3999, 0, 0}}},
    {"at the end",
	{{TOLD, 1000, 0, 4000}, {KEEPS, 1500, 0, 0}, {KEEPS, 2000, 0, 0},
	    {KEEPS, 4000, 0, 0}, {KEEPS, 4001, 0, 0}}},
    {"of several VMs",
	{{TOLD, 1000, 0, 4000}, {TOLD, 1000, 1, 4000}, {KEEPS, 2000, 0, 0},
	    {KEEPS, 2000, 1, 0}, {KEEPS, 2001, 0, 0}, {KEEPS, 2001, 1, 0},
	    {BREAKS, 2002, 0, 0}}},
    {"by a VM that was not told",
	{{TOLD, 1000, 0, 4000}, {KEEPS, 2000, 1, 0}, {KEEPS, 2001, 1, 0},
	    {KEEPS, 2002, 1, 0}}},
    {"told again in the pause",
	{{TOLD, 1000, 0, 4000}, {KEEPS, 1500, 0, 0}, {KEEPS, 2000, 0, 0},
	    {TOLD, 2000, 0, 4000}, {BREAKS, 2300, 0, 0}}},
    {"the next pause",
	{{TOLD, 1000, 0, 4000}, {KEEPS, 1500, 0, 0}, {KEEPS, 2000, 0, 0},
	    {TOLD, 5000, 0, 9000}, {KEEPS, 5500, 0, 0}, {KEEPS, 5600, 0, 0},
	    {BREAKS, 5700, 0, 0}}},
    {"by a VM that was restarted",
	{{TOLD, 1000, 0, 4000}, {EXCUSED, 1500, 0, 0}, {KEEPS, 2000, 0, 0},
	    {KEEPS, 2001, 0, 0}, {KEEPS, 2002, 0, 0}}},
    {"to a target that was restarted",
	{{TOLD, 1000, 0, 4000}, {STARTED, 1500, 0, 0}, {KEEPS, 2000, 0, 0},
	    {KEEPS, 2001, 0, 0}, {KEEPS, 2002, 0, 0}}},
    {"by a VM that is not known",
	{{TOLD, 1000, PAUSE_VMS_MAX, 4000}, {KEEPS, 2000, PAUSE_VMS_MAX, 0},
	    {KEEPS, 2001, PAUSE_VMS_MAX, 0}, {KEEPS, 2002, PAUSE_VMS_MAX, 0}}},
};

static void
play_event(pause_judge_t *judge, const event_t *event)
{
	msp_time_t now = event->at_ms * MSP_MS;

	switch (event->kind) {
	case TOLD:
		tell_judged_pause(
		    judge, now, event->vm, event->until_ms * MSP_MS);
		break;
	case EXCUSED:
		excuse_pause_vm(judge, event->vm);
		break;
	case STARTED:
		end_judged_pauses(judge);
		break;
	default:
		assert_int_equal(judge_pause_arrival(judge, now, event->vm) > 0,
		    event->kind == BREAKS);
		break;
	}
}

static void
judges_pauses(void **state)
{
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < sizeof(histories) / sizeof(*histories); i++) {
		pause_judge_t judge = {0};

		print_message("%s\n", histories[i].name);
		for (j = 0;
		     j < EVENTS_MAX && histories[i].events[j].kind != END; j++)
			play_event(&judge, &histories[i].events[j]);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(judges_pauses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
