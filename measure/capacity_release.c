/* Size of a release; CPU time to parse it and to apply notes to it. */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "linear_fit.h"
#include "monsoonspindle/base.h"
#include "monsoonspindle/config.h"

#define SIZES 4
#define PLACES 62
#define TARGET_INTERVAL 8 /* every 8th item is a target, others are blocks */
#define NOTE_ITEMS 20000 /* per note while building a release */
#define REPEATS 20

static const size_t sizes[SIZES] = {5000, 20000, 80000, 320000};
static const size_t change_counts[] = {1, 10, 100, 1000};

#define CHANGE_COUNTS (sizeof(change_counts) / sizeof(change_counts[0]))

static double
get_cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double
get_heap_mb(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd) / 1e6;
}

static msp_note_t *
parse_note(const msp_release_t *base, const msp_buffer_t *text)
{
	msp_note_t *note;

	if (msp_parse_note(msp_buffer_text(text), text->len, "note", &note) !=
	    MSP_OK) {
		fprintf(stderr, "%s\n", msp_last_message());
		exit(EXIT_FAILURE);
	}
	msp_set_note_base(note, base->version, base->digest);
	return note;
}

/* Applies `note` to `base` and drops both. */
static msp_release_t *
apply_note(msp_release_t *base, msp_note_t *note)
{
	msp_release_t *next;

	if (msp_apply_note(base, note, &next) != MSP_OK) {
		fprintf(stderr, "%s\n", msp_last_message());
		exit(EXIT_FAILURE);
	}
	msp_drop_note(note);
	msp_drop_release(base);
	return next;
}

static msp_release_t *
add_places(msp_release_t *release)
{
	msp_buffer_t text = {0};
	unsigned int i;

	msp_append_printf(&text,
	    "{\"id\":\"a\",\"add\":{\"regions\":[{\"name\":\"r\"}],"
	    "\"services\":[{\"name\":\"desk\"}],\"places\":[");
	for (i = 0; i < PLACES; i++)
		msp_append_printf(&text,
		    "%s{\"name\":\"place-%u\",\"region\":\"r\"}",
		    i > 0 ? "," : "", i);
	msp_append_printf(&text, "]}}");
	release = apply_note(release, parse_note(release, &text));
	msp_drop_buffer(&text);
	return release;
}

static void
print_target(msp_buffer_t *text, size_t i, unsigned int slots)
{
	msp_append_printf(text,
	    "{\"name\":\"target-%zu\",\"service\":\"desk\",\"place\":"
	    "\"place-%zu\",\"address\":\"10.%zu.%zu.%zu\",\"port\":8080,"
	    "\"slots\":%u}",
	    i, i % PLACES, i >> 16, (i >> 8) & 255, i & 255, slots);
}

static void
print_block(msp_buffer_t *text, size_t i)
{
	msp_append_printf(text,
	    "{\"prefix\":\"%zu.%zu.%zu.0/24\",\"region\":\"r\",\"place\":"
	    "\"place-%zu\"}",
	    11 + (i >> 16), (i >> 8) & 255, i & 255, i % PLACES);
}

/*
 * Prints the targets, or the blocks, among `count` items from number `first`,
 * separated by commas.
 */
static void
print_items(msp_buffer_t *text, size_t first, size_t count, bool targets)
{
	size_t i;
	size_t printed = 0;

	for (i = first; i < first + count; i++) {
		if ((i % TARGET_INTERVAL == 0) != targets)
			continue;
		if (printed++ > 0)
			msp_append_printf(text, ",");
		if (targets)
			print_target(text, i, 4);
		else
			print_block(text, i);
	}
}

static msp_release_t *
build_release(size_t items)
{
	msp_release_t *release = add_places(msp_new_release());
	msp_buffer_t text = {0};
	size_t first;
	size_t count;

	for (first = 0; first < items; first += count) {
		count = items - first < NOTE_ITEMS ? items - first : NOTE_ITEMS;
		msp_clear_buffer(&text);
		msp_append_printf(
		    &text, "{\"id\":\"b\",\"add\":{\"targets\":[");
		print_items(&text, first, count, true);
		msp_append_printf(&text, "],\"blocks\":[");
		print_items(&text, first, count, false);
		msp_append_printf(&text, "]}}");
		release = apply_note(release, parse_note(release, &text));
	}
	msp_drop_buffer(&text);
	return release;
}

/* Returns a note that changes `count` targets, or all, spread evenly. */
static msp_note_t *
new_change(const msp_release_t *release, size_t items, size_t count,
    unsigned int slots)
{
	size_t targets = items / TARGET_INTERVAL;
	msp_buffer_t text = {0};
	msp_note_t *note;
	size_t i;

	if (count > targets)
		count = targets;
	msp_append_printf(&text, "{\"id\":\"c\",\"change\":{\"targets\":[");
	for (i = 0; i < count; i++) {
		if (i > 0)
			msp_append_printf(&text, ",");
		print_target(
		    &text, targets * i / count * TARGET_INTERVAL, slots);
	}
	msp_append_printf(&text, "]}}");
	note = parse_note(release, &text);
	msp_drop_buffer(&text);
	return note;
}

/* Returns the CPU time to apply a note that is parsed already, in ms. */
static double
time_apply(msp_release_t **release, size_t items, size_t count)
{
	double total = 0;
	double start;
	unsigned int i;

	for (i = 0; i < REPEATS; i++) {
		msp_note_t *note =
		    new_change(*release, items, count, i % 9 + 1);

		start = get_cpu_ms();
		*release = apply_note(*release, note);
		total += get_cpu_ms() - start;
	}
	return total / REPEATS;
}

/*
 * Returns the CPU time to parse a snapshot, in ms, and stores its size, in MB,
 * in *size.
 */
static double
time_snapshot(const msp_release_t *release, double *size)
{
	msp_buffer_t text = {0};
	msp_release_t *loaded;
	double start;
	double total;

	msp_print_release(release, &text);
	*size = (double)text.len / 1e6;
	start = get_cpu_ms();
	if (msp_parse_release(text.data, text.len, "snapshot", &loaded) !=
	    MSP_OK) {
		fprintf(stderr, "%s\n", msp_last_message());
		exit(EXIT_FAILURE);
	}
	total = get_cpu_ms() - start;
	msp_drop_release(loaded);
	msp_drop_buffer(&text);
	return total;
}

int
main(void)
{
	double x[SIZES];
	double heap[SIZES];
	double snapshot[SIZES];
	double parse_ms[SIZES];
	double apply_ms[CHANGE_COUNTS][SIZES];
	char name[32];
	size_t i;
	size_t j;

	printf("items  heap-MB  snapshot-MB  parse-ms  apply-ms of 1, 10, 100, "
	       "1000 changes\n");
	for (i = 0; i < SIZES; i++) {
		double before = get_heap_mb();
		msp_release_t *release = build_release(sizes[i]);

		x[i] = (double)sizes[i] / 1000;
		heap[i] = get_heap_mb() - before;
		parse_ms[i] = time_snapshot(release, &snapshot[i]);
		printf("%6zu %8.2f %12.2f %8.1f", sizes[i], heap[i],
		    snapshot[i], parse_ms[i]);
		for (j = 0; j < CHANGE_COUNTS; j++) {
			apply_ms[j][i] =
			    time_apply(&release, sizes[i], change_counts[j]);
			printf(" %8.3f", apply_ms[j][i]);
		}
		printf("\n");
		msp_drop_release(release);
	}
	print_fit("heap", "MB", "thousand items", x, heap, SIZES, 5000);
	print_fit("snapshot", "MB", "thousand items", x, snapshot, SIZES, 5000);
	print_fit("parse", "ms", "thousand items", x, parse_ms, SIZES, 5000);
	for (j = 0; j < CHANGE_COUNTS; j++) {
		snprintf(name, sizeof(name), "apply %zu", change_counts[j]);
		print_fit(
		    name, "ms", "thousand items", x, apply_ms[j], SIZES, 5000);
	}
	return EXIT_SUCCESS;
}
