#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "monsoonspindle/net.h"

#define LINE "a line of some length, as a log has them\n"
#define LINES 100000

typedef struct writer_test {
	int pipe[2];
	msp_virtual_env_t clock;
	msp_line_writer_t *writer;
} writer_test_t;

static writer_test_t test;

static int
set_up(void **state)
{
	msp_line_writer_options_t options = {
	    .lines_per_second = 10, .burst_lines = 100};
	msp_env_t env;

	(void)state;
	test = (writer_test_t){0};
	assert_int_equal(pipe(test.pipe), 0);
	test.clock.now = MSP_SECOND;
	env = msp_virtual_env(&test.clock);
	options.fd = test.pipe[1];
	test.writer = msp_new_line_writer(&env, &options);
	assert_non_null(test.writer);
	return 0;
}

static int
tear_down(void **state)
{
	(void)state;
	msp_drop_line_writer(test.writer);
	close(test.pipe[0]);
	close(test.pipe[1]);
	return 0;
}

/* Nobody reads the pipe: lines are lost and counted, and no call blocks. */
static void
full_pipe_loses_lines_without_blocking(void **state)
{
	const msp_line_stats_t *stats = msp_line_statistics(test.writer);
	unsigned int i;

	(void)state;
	for (i = 0; i < LINES; i++) {
		msp_write_line(test.writer, LINE, strlen(LINE));
		msp_flush_lines(test.writer);
	}
	assert_true(stats->lost > 0);
	assert_int_equal(stats->lost + stats->lines, LINES);
}

static void
lines_are_written_in_order(void **state)
{
	char text[sizeof(LINE) * 2];

	(void)state;
	msp_write_line(test.writer, "one\n", 4);
	msp_write_line(test.writer, "two\n", 4);
	msp_flush_lines(test.writer);
	assert_int_equal(read(test.pipe[0], text, sizeof(text)), 8);
	assert_memory_equal(text, "one\ntwo\n", 8);
}

static unsigned int
count_allowed(msp_line_rank_t rank)
{
	unsigned int count = 0;

	while (msp_spend_line_token(test.writer, rank))
		count++;
	return count;
}

static void
lines_of_low_rank_are_omitted_first(void **state)
{
	const msp_line_stats_t *stats = msp_line_statistics(test.writer);

	(void)state;
	assert_int_equal(count_allowed(MSP_LINE_SAMPLE), 40);
	assert_int_equal(count_allowed(MSP_LINE_NOTABLE), 30);
	assert_int_equal(count_allowed(MSP_LINE_VITAL), 30);
	assert_int_equal(stats->omitted[MSP_LINE_SAMPLE], 1);
	assert_int_equal(stats->omitted[MSP_LINE_VITAL], 1);
	test.clock.now += 2 * MSP_SECOND;
	assert_int_equal(count_allowed(MSP_LINE_SAMPLE), 0);
	assert_int_equal(count_allowed(MSP_LINE_VITAL), 20);
}

#define WRITER_TEST(name_) \
	cmocka_unit_test_setup_teardown(name_, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    WRITER_TEST(full_pipe_loses_lines_without_blocking),
	    WRITER_TEST(lines_are_written_in_order),
	    WRITER_TEST(lines_of_low_rank_are_omitted_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
