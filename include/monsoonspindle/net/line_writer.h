#ifndef MONSOONSPINDLE_NET_LINE_WRITER_H
#define MONSOONSPINDLE_NET_LINE_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * Writes lines, such as those of a log, to a file descriptor without blocking
 * and with a rate limit. Lines that are not written are counted.
 */
typedef struct msp_line_writer msp_line_writer_t;

/*
 * Priority of a line, lowest first. As the rate limit is approached, lines of
 * lower ranks are omitted before those of higher ranks.
 */
typedef enum msp_line_rank {
	MSP_LINE_SAMPLE, /* one of many similar lines */
	MSP_LINE_NOTABLE,
	MSP_LINE_VITAL, /* omitted last */
	MSP_LINE_RANKS
} msp_line_rank_t;

/* 0 selects the default that is given with the option. */
typedef struct msp_line_writer_options {
	int fd; /* owned by the caller; made non-blocking */
	size_t buffer_bytes; /* capacity for lines not yet written; 64 KiB */
	uint32_t lines_per_second; /* 100 */
	uint32_t burst_lines; /* size of the token bucket; 400 */
} msp_line_writer_options_t;

typedef struct msp_line_stats {
	uint64_t lines; /* accepted into the buffer */
	uint64_t bytes; /* bytes of these lines */
	uint64_t omitted[MSP_LINE_RANKS]; /* over the rate limit */
	uint64_t lost; /* discarded because the buffer was full */
} msp_line_stats_t;

/* Returns NULL if memory runs out. */
msp_line_writer_t *msp_new_line_writer(
    const msp_env_t *env, const msp_line_writer_options_t *options);

/* Writes what can be written without blocking, and discards the rest. */
void msp_drop_line_writer(msp_line_writer_t *writer);

/*
 * Takes a token for one line. Returns false, and counts the line as omitted, if
 * the rate limit doesn't allow it.
 */
bool msp_spend_line_token(msp_line_writer_t *writer, msp_line_rank_t rank);

/* Appends a line to the buffer. `text` includes the newline. */
void msp_write_line(msp_line_writer_t *writer, const char *text, size_t len);

/*
 * Writes the buffered lines to the descriptor, as far as is possible without
 * blocking. Must be called periodically.
 */
void msp_flush_lines(msp_line_writer_t *writer);

const msp_line_stats_t *msp_line_statistics(const msp_line_writer_t *writer);

#endif
