#include "monsoonspindle/net/line_writer.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_BYTES ((size_t)64 * 1024)
#define LINES_PER_SECOND 100
#define BURST_LINES 400

/* Fraction of the burst that must be left over after a line of each rank. */
static const double reserves[MSP_LINE_RANKS] = {
    [MSP_LINE_SAMPLE] = 0.6,
    [MSP_LINE_NOTABLE] = 0.3,
    [MSP_LINE_VITAL] = 0,
};

struct msp_line_writer {
	msp_env_t env;
	msp_line_writer_options_t options;
	char *buffer;
	size_t len; /* bytes in the buffer */
	double tokens; /* lines that may be written now */
	msp_time_t refilled; /* when the tokens were last computed */
	msp_line_stats_t stats;
};

msp_line_writer_t *
msp_new_line_writer(
    const msp_env_t *env, const msp_line_writer_options_t *options)
{
	msp_line_writer_t *writer = calloc(1, sizeof(*writer));
	int flags;

	if (writer == NULL)
		return NULL;
	writer->env = *env;
	writer->options = *options;
	if (writer->options.buffer_bytes == 0)
		writer->options.buffer_bytes = BUFFER_BYTES;
	if (writer->options.lines_per_second == 0)
		writer->options.lines_per_second = LINES_PER_SECOND;
	if (writer->options.burst_lines == 0)
		writer->options.burst_lines = BURST_LINES;
	writer->tokens = writer->options.burst_lines;
	writer->refilled = msp_now(env);
	writer->buffer = malloc(writer->options.buffer_bytes);
	if (writer->buffer == NULL) {
		free(writer);
		return NULL;
	}
	flags = fcntl(options->fd, F_GETFL);
	if (flags >= 0)
		fcntl(options->fd, F_SETFL, flags | O_NONBLOCK);
	return writer;
}

void
msp_drop_line_writer(msp_line_writer_t *writer)
{
	if (writer == NULL)
		return;
	msp_flush_lines(writer);
	free(writer->buffer);
	free(writer);
}

static void
refill_tokens(msp_line_writer_t *writer)
{
	msp_time_t now = msp_now(&writer->env);

	writer->tokens += (double)(now - writer->refilled) *
	    writer->options.lines_per_second / (double)MSP_SECOND;
	if (writer->tokens > writer->options.burst_lines)
		writer->tokens = writer->options.burst_lines;
	writer->refilled = now;
}

bool
msp_spend_line_token(msp_line_writer_t *writer, msp_line_rank_t rank)
{
	refill_tokens(writer);
	if (writer->tokens <
	    1 + reserves[rank] * (double)writer->options.burst_lines) {
		writer->stats.omitted[rank]++;
		return false;
	}
	writer->tokens -= 1;
	return true;
}

void
msp_write_line(msp_line_writer_t *writer, const char *text, size_t len)
{
	if (writer->len + len > writer->options.buffer_bytes)
		msp_flush_lines(writer);
	if (writer->len + len > writer->options.buffer_bytes) {
		writer->stats.lost++;
		return;
	}
	memcpy(writer->buffer + writer->len, text, len);
	writer->len += len;
	writer->stats.lines++;
	writer->stats.bytes += len;
}

void
msp_flush_lines(msp_line_writer_t *writer)
{
	ssize_t written;

	while (writer->len > 0) {
		written =
		    write(writer->options.fd, writer->buffer, writer->len);
		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			return;
		writer->len -= (size_t)written;
		memmove(writer->buffer, writer->buffer + written, writer->len);
	}
}

const msp_line_stats_t *
msp_line_statistics(const msp_line_writer_t *writer)
{
	return &writer->stats;
}
