/* Size of a release, and the time to read it and to apply notes to it. */

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
#define TARGET_SHARE 8 /* one item in 8 is a target, the rest are blocks */
#define NOTE_ITEMS 20000 /* of one note while building */
#define REPEATS 20

static const size_t sizes[SIZES] = {5000, 20000, 80000, 320000};
static const size_t changes[] = {1, 10, 100, 1000};

#define CHANGES (sizeof(changes) / sizeof(changes[0]))

static double
cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double
heap_mb(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd) / 1e6;
}

static msp_note_t *
parse(const msp_release_t *base, const msp_buffer_t *text)
{
	msp_note_t *note;

	if (msp_parse_note(msp_buffer_text(text), text->len, "note", &note) !=
	    MSP_OK) {
		fprintf(stderr, "%s\n", msp_last_message());
		exit(EXIT_FAILURE);
	}
	msp_rebase_note(note, base->version, base->digest);
	return note;
}

/* Applies and drops `note`; takes over `base`. */
static msp_release_t *
apply(msp_release_t *base, msp_note_t *note)
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
	release = apply(release, parse(release, &text));
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

/* One list of the items of a kind with numbers from `first`. */
static void
print_items(msp_buffer_t *text, size_t first, size_t count, bool targets)
{
	size_t i;
	size_t printed = 0;

	for (i = first; i < first + count; i++) {
		if ((i % TARGET_SHARE == 0) != targets)
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
build(size_t items)
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
		release = apply(release, parse(release, &text));
	}
	msp_drop_buffer(&text);
	return release;
}

/* A note that changes `count` targets spread over the release. */
static msp_note_t *
new_change(const msp_release_t *release, size_t items, size_t count,
    unsigned int slots)
{
	size_t targets = items / TARGET_SHARE;
	msp_buffer_t text = {0};
	msp_note_t *note;
	size_t i;

	if (count > targets)
		count = targets;
	msp_append_printf(&text, "{\"id\":\"c\",\"change\":{\"targets\":[");
	for (i = 0; i < count; i++) {
		if (i > 0)
			msp_append_printf(&text, ",");
		print_target(&text, targets * i / count * TARGET_SHARE, slots);
	}
	msp_append_printf(&text, "]}}");
	note = parse(release, &text);
	msp_drop_buffer(&text);
	return note;
}

/* CPU time to apply one note, in ms, the text read already. */
static double
time_apply(msp_release_t **release, size_t items, size_t count)
{
	double spent = 0;
	double start;
	unsigned int i;

	for (i = 0; i < REPEATS; i++) {
		msp_note_t *note =
		    new_change(*release, items, count, i % 9 + 1);

		start = cpu_ms();
		*release = apply(*release, note);
		spent += cpu_ms() - start;
	}
	return spent / REPEATS;
}

/* CPU time to read a snapshot, in ms; its size in MB in *size. */
static double
time_snapshot(const msp_release_t *release, double *size)
{
	msp_buffer_t text = {0};
	msp_release_t *loaded;
	double start;
	double spent;

	msp_print_release(release, &text);
	*size = (double)text.len / 1e6;
	start = cpu_ms();
	if (msp_parse_release(text.data, text.len, "snapshot", &loaded) !=
	    MSP_OK) {
		fprintf(stderr, "%s\n", msp_last_message());
		exit(EXIT_FAILURE);
	}
	spent = cpu_ms() - start;
	msp_drop_release(loaded);
	msp_drop_buffer(&text);
	return spent;
}

int
main(void)
{
	double x[SIZES];
	double heap[SIZES];
	double snapshot[SIZES];
	double reading[SIZES];
	double applying[CHANGES][SIZES];
	char name[32];
	size_t i;
	size_t j;

	printf("items  heap-MB  snapshot-MB  read-ms  apply-ms of 1, 10, 100, "
	       "1000 changes\n");
	for (i = 0; i < SIZES; i++) {
		double before = heap_mb();
		msp_release_t *release = build(sizes[i]);

		x[i] = (double)sizes[i] / 1000;
		heap[i] = heap_mb() - before;
		reading[i] = time_snapshot(release, &snapshot[i]);
		printf("%6zu %8.2f %12.2f %8.1f", sizes[i], heap[i],
		    snapshot[i], reading[i]);
		for (j = 0; j < CHANGES; j++) {
			applying[j][i] =
			    time_apply(&release, sizes[i], changes[j]);
			printf(" %8.3f", applying[j][i]);
		}
		printf("\n");
		msp_drop_release(release);
	}
	print_fit("heap", "MB", "thousand items", x, heap, SIZES, 5000);
	print_fit("snapshot", "MB", "thousand items", x, snapshot, SIZES, 5000);
	print_fit("read", "ms", "thousand items", x, reading, SIZES, 5000);
	for (j = 0; j < CHANGES; j++) {
		snprintf(name, sizeof(name), "apply %zu", changes[j]);
		print_fit(
		    name, "ms", "thousand items", x, applying[j], SIZES, 5000);
	}
	return EXIT_SUCCESS;
}
