#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/steer/strike_sync.h"

/* VMs that tell each other of strikes, on one virtual clock. */

#define VMS 4
#define START (10 * MSP_MINUTE)

typedef struct vm {
	msp_quarantine_list_t *list;
	msp_strike_sync_t *news;
} vm_t;

typedef struct vms {
	msp_virtual_env_t venv;
	vm_t vms[VMS];
} vms_t;

static void
start_vms(vms_t *all)
{
	msp_env_t env;
	size_t i;

	all->venv = (msp_virtual_env_t){.now = START, .rng = {.state = 7}};
	env = msp_virtual_env(&all->venv);
	for (i = 0; i < VMS; i++) {
		all->vms[i].list = msp_new_quarantine_list(&env);
		all->vms[i].news = msp_new_strike_sync(&env, all->vms[i].list);
		assert_non_null(all->vms[i].news);
	}
}

static void
stop_vms(vms_t *all)
{
	size_t i;

	for (i = 0; i < VMS; i++) {
		msp_drop_strike_sync(all->vms[i].news);
		msp_drop_quarantine_list(all->vms[i].list);
	}
}

/* VM `from` tells all others, `times` times, `delay` after it wrote the text.
 */
static size_t
tell(vms_t *all, size_t from, unsigned int times, msp_time_t delay)
{
	msp_buffer_t text = {.limit = MSP_STRIKE_MESSAGE_MAX};
	size_t count = msp_take_unsent_strikes(all->vms[from].news, &text);
	size_t fresh;
	unsigned int k;
	size_t i;

	for (k = 0; k < times; k++) {
		all->venv.now += delay;
		for (i = 0; i < VMS; i++) {
			if (i != from)
				assert_int_equal(
				    msp_receive_strikes(all->vms[i].news,
					msp_buffer_text(&text), &fresh),
				    MSP_OK);
		}
	}
	msp_drop_buffer(&text);
	return count;
}

typedef enum step_kind {
	END,
	STRIKE, /* at VM `vm`, from `a` to `b` ms after the start */
	ANSWER, /* VM `vm` got a whole answer */
	TELL, /* VM `vm` tells, `a` times, `b` ms apart */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	size_t vm;
	uint32_t a, b;
} step_t;

static const struct {
	const char *name;
	step_t steps[8];
	msp_suspicion_t expected[VMS];
} cases[] = {
    {"a request that ends a target at each of two VMs is stopped at all",
	{{STRIKE, 0, 100, 120}, {TELL, 0, 1, 30}, {STRIKE, 1, 300, 320},
	    {TELL, 1, 1, 30}},
	{MSP_SUSPICION_QUARANTINED, MSP_SUSPICION_QUARANTINED,
	    MSP_SUSPICION_QUARANTINED, MSP_SUSPICION_QUARANTINED}},
    {"two at one VM are told in one message",
	{{STRIKE, 2, 100, 120}, {STRIKE, 2, 200, 240}, {TELL, 2, 1, 30}},
	{MSP_SUSPICION_QUARANTINED, MSP_SUSPICION_QUARANTINED,
	    MSP_SUSPICION_QUARANTINED, MSP_SUSPICION_QUARANTINED}},
    {"one strike that comes twice is one strike",
	{{STRIKE, 0, 100, 101}, {TELL, 0, 3, 400}},
	{MSP_SUSPICION_SUSPECT, MSP_SUSPICION_SUSPECT, MSP_SUSPICION_SUSPECT,
	    MSP_SUSPICION_SUSPECT}},
    {"a place that is lost ends one request at several VMs once",
	{{STRIKE, 0, 100, 400}, {STRIKE, 1, 150, 400}, {TELL, 0, 1, 0},
	    {TELL, 1, 1, 0}},
	{MSP_SUSPICION_SUSPECT, MSP_SUSPICION_SUSPECT, MSP_SUSPICION_SUSPECT,
	    MSP_SUSPICION_SUSPECT}},
    {"a whole answer before the telling: nobody hears of it",
	{{STRIKE, 0, 100, 120}, {ANSWER, 0, 0, 0}, {TELL, 0, 1, 30}},
	{MSP_SUSPICION_NONE, MSP_SUSPICION_NONE, MSP_SUSPICION_NONE,
	    MSP_SUSPICION_NONE}},
    {"a whole answer elsewhere clears it there",
	{{STRIKE, 0, 100, 120}, {TELL, 0, 1, 30}, {ANSWER, 1, 0, 0}},
	{MSP_SUSPICION_SUSPECT, MSP_SUSPICION_NONE, MSP_SUSPICION_SUSPECT,
	    MSP_SUSPICION_SUSPECT}},
};

static void
strikes_of_all_vms_add_up(void **state)
{
	msp_digest_t print = msp_digest("request", 7);
	vms_t all;
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		start_vms(&all);
		for (k = 0; cases[i].steps[k].kind != END; k++) {
			const step_t *step = &cases[i].steps[k];
			vm_t *vm = &all.vms[step->vm];

			if (step->kind == STRIKE) {
				all.venv.now = START + step->b * MSP_MS;
				msp_add_local_strike(vm->news, print,
				    START + step->a * MSP_MS, all.venv.now);
			} else if (step->kind == ANSWER) {
				msp_clear_strikes(vm->list, print);
			} else {
				tell(&all, step->vm, step->a, step->b * MSP_MS);
			}
		}
		for (k = 0; k < VMS; k++) {
			if (msp_check_suspicion(all.vms[k].list, print, NULL) !=
			    cases[i].expected[k])
				fail_msg("%s: VM %zu", cases[i].name, k);
		}
		stop_vms(&all);
	}
}

/* Many targets end at once, with many requests each: what is told is bounded.
 */
static void
what_is_told_is_bounded(void **state)
{
	vms_t all;
	uint32_t i;

	(void)state;
	start_vms(&all);
	for (i = 0; i < 1000; i++)
		msp_add_local_strike(all.vms[0].news, msp_digest(&i, sizeof(i)),
		    START - MSP_SECOND, START);
	assert_int_equal(tell(&all, 0, 1, 0), MSP_STRIKES_PER_MESSAGE_MAX);
	assert_int_equal(tell(&all, 0, 1, 0), 0);
	stop_vms(&all);
}

#define PRINT "0123456789abcdef0123456789abcdef"
#define WELL PRINT " 00000000000000a1 2000 1000\n"

static void
malformed_news_change_nothing(void **state)
{
	static const struct {
		const char *name;
		const char *text;
		msp_status_t status;
		size_t fresh;
	} rows[] = {
	    {"nothing", "", MSP_OK, 0},
	    {"one", WELL, MSP_OK, 1},
	    {"one, again in the message", WELL WELL, MSP_OK, 1},
	    {"older than a strike lasts",
		PRINT " 00000000000000a2 90000000 80000000\n", MSP_OK, 0},
	    {"no end of the line", PRINT " 00000000000000a3 2000 1000",
		MSP_E_SYNTAX, 0},
	    {"good, then malformed", WELL "x", MSP_E_SYNTAX, 0},
	    {"no fingerprint", "0123 00000000000000a4 2000 1000\n",
		MSP_E_SYNTAX, 0},
	    {"no id", PRINT " 0 2000 1000\n", MSP_E_SYNTAX, 0},
	    {"ended before it began", PRINT " 00000000000000a5 1000 2000\n",
		MSP_E_SYNTAX, 0},
	    {"began before the clock",
		PRINT " 00000000000000a6 18446744073709551615 1\n",
		MSP_E_SYNTAX, 0},
	    {"one more than a message holds",
		WELL WELL WELL WELL WELL WELL WELL WELL WELL WELL WELL WELL WELL
		    WELL WELL WELL WELL,
		MSP_E_SYNTAX, 0},
	};
	vms_t all;
	size_t fresh;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++) {
		start_vms(&all);
		if (msp_receive_strikes(all.vms[0].news, rows[i].text,
			&fresh) != rows[i].status ||
		    fresh != rows[i].fresh)
			fail_msg("%s: %zu new", rows[i].name, fresh);
		stop_vms(&all);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(strikes_of_all_vms_add_up),
	    cmocka_unit_test(what_is_told_is_bounded),
	    cmocka_unit_test(malformed_news_change_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
