#ifndef SPINDLED_LOG_H
#define SPINDLED_LOG_H

#include <stddef.h>

#include "monsoonspindle/base/decision.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/net/line_writer.h"

/*
 * Opens the daemon's log, which uses log4c and has one line per event. `file`
 * is a path, "-" for standard output, or NULL or "" for standard error. Writes
 * to standard output never block and are limited in rate; lines that are
 * dropped are counted. `level` is a log4c priority name such as "info".
 */
msp_status_t open_log(const char *vm, const char *level, const char *file);
void close_log(void);

void log_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_warn(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_info(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/*
 * Copies `text` to `out` of `size` bytes, for use as a value in a line; blanks,
 * quotes and the like are replaced. Returns `out`, or "-" if `text` is NULL.
 */
const char *clean_log_value(const char *text, char *out, size_t size);

/* Logs a request. Lines of lower rank are dropped first. */
void log_request(msp_line_rank_t rank, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Writes buffered lines to standard output, and logs the number of dropped
 * lines if it has changed.
 */
void flush_log(void);

/* Statistics of the line writer; NULL unless it logs to standard output. */
const msp_line_stats_t *get_log_statistics(void);

/* Logs a routing or placement decision as `key=value` pairs. */
void log_decision(void *ctx, const msp_decision_t *decision);

#endif
