#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "soak_drain.h"

/* The judge of the soak's rule DRAIN, on histories made by hand. */

#define DEADLINE_MS 2500
#define CONTACT_MS 4000
#define EVENTS_MAX 6

typedef enum event_kind {
	END, /* of the history */
	LEAVES, /* the store acknowledges that the target leaves */
	ENDS, /* the target ends */
	IMPAIRED, /* the store */
	WORKS, /* the store again */
	KEEPS, /* an arrival that keeps the rule */
	BREAKS, /* an arrival that breaks it */
} event_kind_t;

typedef struct event {
	event_kind_t kind;
	uint32_t at_ms;
	uint32_t vm_since_ms; /* of an arrival */
} event_t;

typedef struct history {
	const char *name;
	event_t events[EVENTS_MAX];
} history_t;

static const history_t histories[] = {
    {"a target that does not leave", {{KEEPS, 9000, 0}}},
    {"at the end of the time",
	{{LEAVES, 10000, 0}, {KEEPS, 10001, 0}, {KEEPS, 12500, 0}}},
    {"after the time", {{LEAVES, 10000, 0}, {BREAKS, 12501, 0}}},
    {"by a VM that has just started",
	{{LEAVES, 10000, 0}, {KEEPS, 12501, 8502}, {BREAKS, 12502, 8502}}},
    {"its successor",
	{{LEAVES, 10000, 0}, {BREAKS, 12501, 0}, {ENDS, 12600, 0},
	    {KEEPS, 12700, 0}}},
    {"a successor that leaves",
	{{LEAVES, 10000, 0}, {ENDS, 11000, 0}, {LEAVES, 12000, 0},
	    {KEEPS, 14500, 0}, {BREAKS, 14501, 0}}},
    {"told while the store is impaired",
	{{IMPAIRED, 10000, 0}, {LEAVES, 10500, 0}, {KEEPS, 13900, 0},
	    {WORKS, 14000, 0}, {KEEPS, 16500, 0}, {BREAKS, 16501, 0}}},
    {"the store is impaired before the end of the time",
	{{LEAVES, 10000, 0}, {IMPAIRED, 12499, 0}, {KEEPS, 13900, 0},
	    {WORKS, 14000, 0}, {KEEPS, 16500, 0}, {BREAKS, 16501, 0}}},
    /* Guards against an excuse for what all VMs have known for long. */
    {"the store is impaired after the end of the time",
	{{LEAVES, 10000, 0}, {IMPAIRED, 12500, 0}, {BREAKS, 12501, 0},
	    {WORKS, 14000, 0}, {BREAKS, 14001, 0}}},
    {"the store is impaired twice",
	{{LEAVES, 10000, 0}, {IMPAIRED, 11000, 0}, {IMPAIRED, 12600, 0},
	    {WORKS, 13000, 0}, {KEEPS, 15500, 0}, {BREAKS, 15501, 0}}},
    {"the store works again before the target leaves",
	{{IMPAIRED, 9000, 0}, {WORKS, 9500, 0}, {LEAVES, 10000, 0},
	    {KEEPS, 12500, 0}, {BREAKS, 12501, 0}}},
};

static void
play_event(drain_judge_t *judge, const event_t *event)
{
	msp_time_t now = event->at_ms * MSP_MS;

	switch (event->kind) {
	case LEAVES:
		begin_judged_drain(judge, now);
		break;
	case ENDS:
		end_judged_drain(judge);
		break;
	case IMPAIRED:
		impair_judged_store(judge, now);
		break;
	case WORKS:
		recover_judged_store(judge, now);
		break;
	default:
		assert_int_equal(judge_drain_arrival(
				     judge, now, event->vm_since_ms * MSP_MS),
		    event->kind == BREAKS);
		break;
	}
}

static void
judges_drains(void **state)
{
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < sizeof(histories) / sizeof(*histories); i++) {
		drain_judge_t judge = {
		    .options = {.deadline = DEADLINE_MS * MSP_MS,
			.contact_time = CONTACT_MS * MSP_MS}};

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
	    cmocka_unit_test(judges_drains),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
