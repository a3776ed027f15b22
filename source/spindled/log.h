#ifndef SPINDLED_LOG_H
#define SPINDLED_LOG_H

#include "monsoonspindle/base/decision.h"
#include "monsoonspindle/base/status.h"

/*
 * The daemon's log, over log4c: one line an event, to standard error or to a
 * file. `level` is a log4c priority name such as "info".
 */
msp_status_t log_open(const char *vm, const char *level, const char *file);
void log_close(void);

void log_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_warn(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_info(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Writes one routing or placement decision as `key=value` pairs. */
void log_decision(void *ctx, const msp_decision_t *decision);

#endif
