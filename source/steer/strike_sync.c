#include "monsoonspindle/steer/strike_sync.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#define KNOWN_IDS 256 /* number of strike ids that are remembered */
#define STRIKE_AGE_MAX MSP_MINUTE /* older strikes have expired */

/* A strike, with times of this VM's clock. */
typedef struct strike {
	msp_digest_t fingerprint;
	uint64_t id;
	msp_time_t started;
	msp_time_t ended;
} strike_t;

struct msp_strike_sync {
	msp_env_t env;
	msp_quarantine_list_t *list;
	strike_t unsent[MSP_STRIKES_PER_MESSAGE_MAX];
	size_t unsent_count;
	uint64_t known_ids[KNOWN_IDS]; /* ring; 0: unused */
	size_t next_id;
};

msp_strike_sync_t *
msp_new_strike_sync(const msp_env_t *env, msp_quarantine_list_t *list)
{
	msp_strike_sync_t *sync = calloc(1, sizeof(*sync));

	if (sync == NULL)
		return NULL;
	sync->env = *env;
	sync->list = list;
	return sync;
}

void
msp_drop_strike_sync(msp_strike_sync_t *sync)
{
	free(sync);
}

/* Remembers the id; returns false if it was known already. */
static bool
add_known_id(msp_strike_sync_t *sync, uint64_t id)
{
	size_t i;

	for (i = 0; i < KNOWN_IDS; i++) {
		if (sync->known_ids[i] == id)
			return false;
	}
	sync->known_ids[sync->next_id] = id;
	sync->next_id = (sync->next_id + 1) % KNOWN_IDS;
	return true;
}

static uint64_t
generate_id(msp_strike_sync_t *sync)
{
	uint64_t id;

	do
		id = sync->env.random(sync->env.ctx);
	while (id == 0);
	return id;
}

void
msp_add_local_strike(msp_strike_sync_t *sync, msp_digest_t fingerprint,
    msp_time_t started, msp_time_t ended)
{
	strike_t strike = {
	    .fingerprint = fingerprint, .started = started, .ended = ended};

	if (!msp_add_strike(sync->list, fingerprint, started, ended) ||
	    sync->unsent_count == MSP_STRIKES_PER_MESSAGE_MAX)
		return;
	strike.id = generate_id(sync);
	add_known_id(sync, strike.id);
	sync->unsent[sync->unsent_count++] = strike;
}

size_t
msp_encode_unsent_strikes(msp_strike_sync_t *sync, msp_buffer_t *out)
{
	msp_time_t now = msp_now(&sync->env);
	char name[MSP_DIGEST_TEXT_SIZE];
	size_t written = 0;
	size_t i;

	for (i = 0; i < sync->unsent_count; i++) {
		const strike_t *strike = &sync->unsent[i];

		if (msp_check_suspicion(sync->list, strike->fingerprint,
			NULL) == MSP_SUSPICION_NONE)
			continue;
		msp_print_digest(strike->fingerprint, name);
		if (msp_append_printf(out,
			"%s %016" PRIx64 " %" PRIu64 " %" PRIu64 "\n", name,
			strike->id, now - strike->started,
			now - strike->ended) == MSP_OK)
			written++;
	}
	sync->unsent_count = 0;
	return written;
}

/* Parses one line; returns the text after it, or NULL if it is malformed. */
static const char *
parse_strike(const char *text, msp_time_t now, strike_t *out)
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
msp_receive_strikes(
    msp_strike_sync_t *sync, const char *text, size_t *new_count)
{
	msp_time_t now = msp_now(&sync->env);
	strike_t strikes[MSP_STRIKES_PER_MESSAGE_MAX];
	size_t count = 0;
	size_t i;

	*new_count = 0;
	while (*text != '\0') {
		if (count == MSP_STRIKES_PER_MESSAGE_MAX)
			return msp_fail(MSP_E_SYNTAX, "too many strikes");
		text = parse_strike(text, now, &strikes[count++]);
		if (text == NULL)
			return msp_fail(
			    MSP_E_SYNTAX, "strike %zu is malformed", count);
	}
	for (i = 0; i < count; i++) {
		const strike_t *strike = &strikes[i];

		if (now - strike->ended > STRIKE_AGE_MAX ||
		    !add_known_id(sync, strike->id))
			continue;
		(*new_count)++;
		msp_add_strike(sync->list, strike->fingerprint, strike->started,
		    strike->ended);
	}
	return MSP_OK;
}
