#ifndef MONSOONSPINDLE_NET_LINE_WRITER_H
#define MONSOONSPINDLE_NET_LINE_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * Writes lines to a descriptor without ever waiting for its reader, and no
 * more of them than a rate. Lines that are left out are counted.
 */
typedef struct msp_line_writer msp_line_writer_t;

/* Which lines are left out first. */
typedef enum msp_line_rank {
	MSP_LINE_SAMPLE, /* one of many alike */
	MSP_LINE_NOTABLE,
	MSP_LINE_VITAL, /* left out last */
	MSP_LINE_RANKS
} msp_line_rank_t;

typedef struct msp_line_writer_options {
	int fd; /* borrowed; set not to block */
	size_t buffer_bytes; /* that wait for the reader; 64 KiB */
	uint32_t lines_per_second; /* 100 */
	uint32_t burst_lines; /* after a quiet time; 400 */
} msp_line_writer_options_t;

typedef struct msp_line_stats {
	uint64_t lines; /* handed to the writer and taken */
	uint64_t bytes; /* of these */
	uint64_t omitted[MSP_LINE_RANKS]; /* past the rate */
	uint64_t lost; /* the reader was too slow */
} msp_line_stats_t;

/* 0 in an option takes its default. Returns NULL without memory. */
msp_line_writer_t *msp_new_line_writer(
    const msp_env_t *env, const msp_line_writer_options_t *options);

/* Writes what the reader takes at once; the rest is dropped. */
void msp_drop_line_writer(msp_line_writer_t *writer);

/* Whether the rate allows one more line; counts it if not. */
bool msp_spend_line_token(msp_line_writer_t *writer, msp_line_rank_t rank);

/* `text` ends with a newline. */
void msp_write_line(msp_line_writer_t *writer, const char *text, size_t len);

/* Hands on what waits. Call it now and then. */
void msp_flush_lines(msp_line_writer_t *writer);

const msp_line_stats_t *msp_line_statistics(const msp_line_writer_t *writer);

#endif
