#ifndef SPINDLED_LOG_H
#define SPINDLED_LOG_H

#include "monsoonspindle/base/decision.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/net/line_writer.h"

/*
 * The daemon's log, over log4c: one line an event, to standard error, to a file
 * or, for the file "-", to standard output. There it never waits for the
 * reader and keeps to a rate of lines; what is left out is counted. `level` is
 * a log4c priority name such as "info".
 */
msp_status_t open_log(const char *vm, const char *level, const char *file);
void close_log(void);

void log_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_warn(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_info(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* A line about a request; those of lower rank are left out first. */
void log_request(msp_line_rank_t rank, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Hands on lines that wait, and tells how many were left out. */
void flush_log(void);

/* NULL unless the log goes to standard output. */
const msp_line_stats_t *get_log_statistics(void);

/* Writes one routing or placement decision as `key=value` pairs. */
void log_decision(void *ctx, const msp_decision_t *decision);

#endif
