#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ledger_test.h"

#define ROUNDS 20000
#define SEED 7
#define TEXT_MAX 8192

/* Overwrites, truncates or duplicates a part; returns the new length. */
static size_t
mutate_once(msp_rng_t *rng, char *text, size_t len)
{
	static const char marks[] = "{}[]\",:0-.e\\/ntu";
	size_t at = len == 0 ? 0 : msp_next_random(rng) % len;
	size_t part = msp_next_random(rng) % 20;

	if (len == 0)
		return 0;
	switch (msp_next_random(rng) % 4) {
	case 0:
		text[at] = (char)msp_next_random(rng);
		return len;
	case 1:
		return at;
	case 2:
		text[at] = marks[msp_next_random(rng) % (sizeof(marks) - 1)];
		return len;
	default:
		if (at + part > len)
			part = len - at;
		if (len + part > TEXT_MAX)
			return len;
		memmove(text + at + part, text + at, len - at);
		return len + part;
	}
}

/* Returns a mutated copy; its allocation has the exact size, for ASan. */
static char *
mutate(msp_rng_t *rng, const char *text, size_t *len)
{
	static char buffer[TEXT_MAX];
	unsigned int times = (unsigned int)(msp_next_random(rng) % 6) + 1;
	char *copy;

	assert_true(*len <= TEXT_MAX);
	memcpy(buffer, text, *len);
	while (times-- > 0)
		*len = mutate_once(rng, buffer, *len);
	copy = malloc(*len == 0 ? 1 : *len);
	assert_non_null(copy);
	memcpy(copy, buffer, *len);
	return copy;
}

static void
try_as_note(const char *text, size_t len)
{
	msp_release_t *empty = msp_new_release();
	msp_release_t *next;
	msp_note_t *note;

	assert_non_null(empty);
	if (msp_parse_note(text, len, "mutated", &note) == MSP_OK) {
		msp_set_note_base(note, 0, empty->digest);
		if (msp_apply_note(empty, note, &next) == MSP_OK)
			msp_drop_release(next);
		msp_drop_note(note);
	}
	msp_drop_release(empty);
}

static void
try_as_snapshot(const char *text, size_t len)
{
	msp_release_t *release;

	if (msp_parse_release(text, len, "mutated", &release) == MSP_OK)
		msp_drop_release(release);
}

/* Mutated peer answers leave the version as it is and overrun no buffer. */
static void
mutated_texts_change_no_release(void **state)
{
	static const char first[] =
	    "{\"id\":\"n\",\"add\":{\"regions\":[{\"name\":\"r\"}],"
	    "\"places\":[{\"name\":\"p\",\"region\":\"r\"}],\"services\":[{"
	    "\"name\":\"d\",\"routes\":[{\"method\":\"GET\",\"prefix\":\"/\","
	    "\"class\":\"commit\"}]}],\"targets\":[{\"name\":\"t\","
	    "\"service\":\"d\",\"place\":\"p\",\"address\":\"::1\",\"port\":1,"
	    "\"slots\":1}],\"blocks\":[{\"prefix\":\"10.0.0.0/8\","
	    "\"region\":\"r\"}]},\"withdraw\":{}}";
	ledger_sim_t *sim = new_test_sim(1, 2, 1);
	msp_ledger_t *ledger = sim->vms[0].ledger;
	msp_buffer_t texts[3] = {{0}};
	msp_rng_t rng = {SEED};
	ledger_submit_result_t result;
	unsigned int i;
	size_t len;
	char *text;

	(void)state;
	submit_and_wait(
	    sim, 0, parse_note_for_vm(&sim->vms[0], first), &result);
	assert_true(run_ledger_sim_to_version(sim, 1, SETTLE_TIME));
	msp_append_data(&texts[0], first, sizeof(first) - 1);
	msp_print_release(msp_ledger_release(ledger), &texts[1]);
	msp_print_ledger_update(ledger, 0, &texts[2]);
	for (i = 0; i < ROUNDS; i++) {
		len = texts[i % 3].len;
		text = mutate(&rng, texts[i % 3].data, &len);
		try_as_note(text, len);
		try_as_snapshot(text, len);
		msp_apply_ledger_update(sim->vms[1].ledger, text, len);
		free(text);
		assert_int_equal(sim->vms[1].version, 1);
	}
	for (i = 0; i < 3; i++)
		msp_drop_buffer(&texts[i]);
	end_test_sim(sim);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(mutated_texts_change_no_release),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
