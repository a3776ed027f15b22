#ifndef MSP_PLATFORM_ROW_HISTORY_H
#define MSP_PLATFORM_ROW_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "../../platform/store_client.h"
#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/base/env.h"

/*
 * The values that a large row had until recently, which other VMs may still
 * have, and the patches that make its present value of them. Each patch is
 * encoded once for all VMs that ask for it.
 */

#define ROW_HISTORY_VALUES_MAX 3
#define ROW_HISTORY_TIME (10 * MSP_SECOND) /* since a value was replaced */
#define ROW_LARGE_BYTES 4096 /* smaller values are sent as they are */

typedef struct old_value {
	TAILQ_ENTRY(old_value) link;
	char *value; /* owned */
	size_t len;
	uint64_t version;
	msp_time_t replaced_at;
} old_value_t;

typedef struct cached_patch {
	SLIST_ENTRY(cached_patch) link;
	uint64_t base_version; /* 0: from nothing */
	msp_buffer_t data;
} cached_patch_t;

TAILQ_HEAD(old_value_list, old_value);

/* Initialise it with open_row_history(). */
typedef struct row_history {
	struct old_value_list values; /* newest first */
	size_t value_count;
	SLIST_HEAD(, cached_patch) patches;
} row_history_t;

void open_row_history(row_history_t *history);
void clear_row_history(row_history_t *history);

/*
 * The row gets another value. Takes over the one before, which was written by
 * `version`, or frees it if it is too small. May be called with NULL.
 */
void replace_row_value(row_history_t *history, char *value, size_t len,
    uint64_t version, msp_time_t now);

/* Drops values that were replaced long ago, and the patches. */
void expire_row_history(row_history_t *history, msp_time_t now);

bool has_row_history(const row_history_t *history);

/*
 * Returns the patch that makes `value` of the newest of the bases that is
 * known, or of nothing; NULL if memory runs out or the patch is hardly smaller
 * than the value. Borrowed until the row or its history changes.
 */
const cached_patch_t *get_row_patch(row_history_t *history,
    const store_patch_bases_t *bases, const char *value, size_t len);

#endif
