#include "released_nonces.h"

#include <stdlib.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/map.h"

typedef struct released_nonce {
	TAILQ_ENTRY(released_nonce) entry;
	msp_time_t released_at;
	msp_time_t not_run_reported_at; /* 0: never */
	char text[MSP_DIGEST_TEXT_SIZE];
} released_nonce_t;

struct msp_released_nonces {
	msp_time_t retention;
	size_t limit;
	msp_map_t *by_text;
	TAILQ_HEAD(released_nonces, released_nonce) by_time;
};

msp_released_nonces_t *
msp_new_released_nonces(msp_time_t retention, size_t limit)
{
	msp_released_nonces_t *released = calloc(1, sizeof(*released));

	if (released == NULL)
		return NULL;
	released->by_text = msp_new_map();
	if (released->by_text == NULL) {
		free(released);
		return NULL;
	}
	released->retention = retention;
	released->limit = limit;
	TAILQ_INIT(&released->by_time);
	return released;
}

void
msp_drop_released_nonces(msp_released_nonces_t *released)
{
	released_nonce_t *item;
	released_nonce_t *next;

	if (released == NULL)
		return;
	TAILQ_FOREACH_SAFE(item, &released->by_time, entry, next)
		free(item);
	msp_drop_map(released->by_text);
	free(released);
}

static void
drop_nonce(msp_released_nonces_t *released, released_nonce_t *item)
{
	TAILQ_REMOVE(&released->by_time, item, entry);
	msp_map_remove(released->by_text, item->text);
	free(item);
}

void
msp_add_released_nonce(msp_released_nonces_t *released, msp_nonce_t nonce,
    msp_time_t not_run_reported_at, msp_time_t now)
{
	released_nonce_t *item = calloc(1, sizeof(*item));

	if (item == NULL)
		return;
	if (msp_map_count(released->by_text) >= released->limit)
		drop_nonce(released, TAILQ_FIRST(&released->by_time));
	msp_print_digest(nonce, item->text);
	item->released_at = now;
	item->not_run_reported_at = not_run_reported_at;
	if (msp_map_put(released->by_text, item->text, item) != MSP_OK) {
		free(item);
		return;
	}
	TAILQ_INSERT_TAIL(&released->by_time, item, entry);
}

bool
msp_find_released_nonce(const msp_released_nonces_t *released,
    msp_nonce_t nonce, msp_time_t *not_run_reported_at)
{
	char text[MSP_DIGEST_TEXT_SIZE];
	const released_nonce_t *item;

	msp_print_digest(nonce, text);
	item = msp_map_get(released->by_text, text);
	if (item == NULL)
		return false;
	*not_run_reported_at = item->not_run_reported_at;
	return true;
}

void
msp_expire_released_nonces(msp_released_nonces_t *released, msp_time_t now)
{
	released_nonce_t *item;
	released_nonce_t *next;

	TAILQ_FOREACH_SAFE(item, &released->by_time, entry, next) {
		if (item->released_at + released->retention >= now)
			break;
		drop_nonce(released, item);
	}
}

size_t
msp_count_released_nonces(const msp_released_nonces_t *released)
{
	return msp_map_count(released->by_text);
}
