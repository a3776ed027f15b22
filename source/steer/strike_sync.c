#include "monsoonspindle/steer/strike_sync.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#define HEARD_MAX 256 /* strikes whose ids are remembered */
#define AGO_MAX MSP_MINUTE /* an older strike has lapsed */

/* A strike with times of this VM's clock. */
typedef struct strike {
	msp_digest_t fingerprint;
	uint64_t id;
	msp_time_t started;
	msp_time_t ended;
} strike_t;

struct msp_strike_sync {
	msp_env_t env;
	msp_quarantine_list_t *list;
	strike_t untold[MSP_STRIKES_PER_MESSAGE_MAX];
	size_t untold_count;
	uint64_t heard[HEARD_MAX]; /* a ring; 0: free */
	size_t heard_at;
};

msp_strike_sync_t *
msp_new_strike_sync(const msp_env_t *env, msp_quarantine_list_t *list)
{
	msp_strike_sync_t *news = calloc(1, sizeof(*news));

	if (news == NULL)
		return NULL;
	news->env = *env;
	news->list = list;
	return news;
}

void
msp_drop_strike_sync(msp_strike_sync_t *news)
{
	free(news);
}

/* Remembers the id; false if it is known already. */
static bool
note_id(msp_strike_sync_t *news, uint64_t id)
{
	size_t i;

	for (i = 0; i < HEARD_MAX; i++) {
		if (news->heard[i] == id)
			return false;
	}
	news->heard[news->heard_at] = id;
	news->heard_at = (news->heard_at + 1) % HEARD_MAX;
	return true;
}

static uint64_t
draw_id(msp_strike_sync_t *news)
{
	uint64_t id;

	do
		id = news->env.random(news->env.ctx);
	while (id == 0);
	return id;
}

void
msp_add_local_strike(msp_strike_sync_t *news, msp_digest_t fingerprint,
    msp_time_t started, msp_time_t ended)
{
	strike_t strike = {
	    .fingerprint = fingerprint, .started = started, .ended = ended};

	if (!msp_add_strike(news->list, fingerprint, started, ended) ||
	    news->untold_count == MSP_STRIKES_PER_MESSAGE_MAX)
		return;
	strike.id = draw_id(news);
	note_id(news, strike.id);
	news->untold[news->untold_count++] = strike;
}

size_t
msp_take_unsent_strikes(msp_strike_sync_t *news, msp_buffer_t *out)
{
	msp_time_t now = msp_now(&news->env);
	char name[MSP_DIGEST_TEXT_SIZE];
	size_t told = 0;
	size_t i;

	for (i = 0; i < news->untold_count; i++) {
		const strike_t *strike = &news->untold[i];

		if (msp_check_suspicion(news->list, strike->fingerprint,
			NULL) == MSP_SUSPICION_NONE)
			continue;
		msp_print_digest(strike->fingerprint, name);
		if (msp_append_printf(out,
			"%s %016" PRIx64 " %" PRIu64 " %" PRIu64 "\n", name,
			strike->id, now - strike->started,
			now - strike->ended) == MSP_OK)
			told++;
	}
	news->untold_count = 0;
	return told;
}

/* Reads one line; returns what follows it, or NULL if it is malformed. */
static const char *
read_strike(const char *text, msp_time_t now, strike_t *out)
{
	char name[MSP_DIGEST_TEXT_SIZE];
	uint64_t started_ago;
	uint64_t ended_ago;
	int len = 0;

	if (sscanf(text, "%32s %16" SCNx64 " %" SCNu64 " %" SCNu64 "%n", name,
		&out->id, &started_ago, &ended_ago, &len) != 4 ||
	    text[len] != '\n' || msp_parse_digest(name, &out->fingerprint) != 0)
		return NULL;
	if (out->id == 0 || ended_ago > started_ago || started_ago > now)
		return NULL;
	out->started = now - started_ago;
	out->ended = now - ended_ago;
	return text + len + 1;
}

msp_status_t
msp_receive_strikes(msp_strike_sync_t *news, const char *text, size_t *fresh)
{
	msp_time_t now = msp_now(&news->env);
	strike_t strikes[MSP_STRIKES_PER_MESSAGE_MAX];
	size_t count = 0;
	size_t i;

	*fresh = 0;
	while (*text != '\0') {
		if (count == MSP_STRIKES_PER_MESSAGE_MAX)
			return msp_fail(MSP_E_SYNTAX, "too many strikes");
		text = read_strike(text, now, &strikes[count++]);
		if (text == NULL)
			return msp_fail(
			    MSP_E_SYNTAX, "strike %zu is malformed", count);
	}
	for (i = 0; i < count; i++) {
		const strike_t *strike = &strikes[i];

		if (now - strike->ended > AGO_MAX || !note_id(news, strike->id))
			continue;
		(*fresh)++;
		msp_add_strike(news->list, strike->fingerprint, strike->started,
		    strike->ended);
	}
	return MSP_OK;
}
