#include "monsoonspindle/steer/strike_sync.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#define STARTED_AGO_MAX (60 * MSP_MINUTE) /* no request takes so long */

/* A strike, with times of this VM's clock. */
typedef struct strike {
	msp_digest_t fingerprint;
	uint64_t id; /* 0: none */
	msp_strike_times_t times;
	bool is_cleared; /* the request has got a response here */
} strike_t;

struct msp_strike_sync {
	msp_env_t env;
	msp_quarantine_list_t *list;
	strike_t unsent[MSP_STRIKES_PER_MESSAGE_MAX];
	size_t unsent_count;
	strike_t known[MSP_STRIKES_KNOWN_MAX]; /* ring */
	size_t next_known;
	size_t next_told; /* index of `known` */
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

static bool
is_known(const msp_strike_sync_t *sync, uint64_t id)
{
	size_t i;

	for (i = 0; i < MSP_STRIKES_KNOWN_MAX; i++) {
		if (sync->known[i].id == id)
			return true;
	}
	return false;
}

/* Whether it is a strike of this request that still says something. */
static bool
counts_for(const strike_t *strike, msp_digest_t fingerprint)
{
	return strike->id != 0 && !strike->is_cleared &&
	    msp_digest_equal(strike->fingerprint, fingerprint);
}

static int
compare_ends(const void *a, const void *b)
{
	const msp_strike_times_t *left = a;
	const msp_strike_times_t *right = b;

	if (left->ended != right->ended)
		return left->ended < right->ended ? -1 : 1;
	return left->started < right->started ? -1
					      : left->started > right->started;
}

/* Sums up all known strikes of a request. */
static void
update_list(msp_strike_sync_t *sync, msp_digest_t fingerprint)
{
	msp_strike_times_t times[MSP_STRIKES_KNOWN_MAX];
	size_t count = 0;
	size_t i;

	for (i = 0; i < MSP_STRIKES_KNOWN_MAX; i++) {
		if (counts_for(&sync->known[i], fingerprint))
			times[count++] = sync->known[i].times;
	}
	qsort(times, count, sizeof(*times), compare_ends);
	msp_set_strikes(sync->list, fingerprint, times, count);
}

static void
add_strike(msp_strike_sync_t *sync, const strike_t *strike)
{
	sync->known[sync->next_known] = *strike;
	sync->next_known = (sync->next_known + 1) % MSP_STRIKES_KNOWN_MAX;
	update_list(sync, strike->fingerprint);
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

/* Whether another strike of the request ended after this attempt began. */
static bool
is_same_event(const msp_strike_sync_t *sync, const strike_t *strike)
{
	size_t i;

	for (i = 0; i < MSP_STRIKES_KNOWN_MAX; i++) {
		if (counts_for(&sync->known[i], strike->fingerprint) &&
		    strike->times.started < sync->known[i].times.ended)
			return true;
	}
	return false;
}

void
msp_add_local_strike(msp_strike_sync_t *sync, msp_digest_t fingerprint,
    msp_time_t started, msp_time_t ended)
{
	strike_t strike = {
	    .fingerprint = fingerprint, .times = {started, ended}};

	if (msp_digest_is_zero(fingerprint) || is_same_event(sync, &strike))
		return;
	strike.id = generate_id(sync);
	add_strike(sync, &strike);
	if (sync->unsent_count < MSP_STRIKES_PER_MESSAGE_MAX)
		sync->unsent[sync->unsent_count++] = strike;
}

void
msp_clear_known_strikes(msp_strike_sync_t *sync, msp_digest_t fingerprint)
{
	size_t i;

	for (i = 0; i < MSP_STRIKES_KNOWN_MAX; i++) {
		if (msp_digest_equal(sync->known[i].fingerprint, fingerprint))
			sync->known[i].is_cleared = true;
	}
	msp_clear_strikes(sync->list, fingerprint);
}

/* Whether the request of a strike is that suspicious, or more. */
static bool
is_in_force(const msp_strike_sync_t *sync, const strike_t *strike,
    msp_suspicion_t suspicion)
{
	return strike->id != 0 && !strike->is_cleared &&
	    msp_check_suspicion(sync->list, strike->fingerprint, NULL) >=
	    suspicion;
}

static msp_status_t
encode_strike(
    const msp_strike_sync_t *sync, const strike_t *strike, msp_buffer_t *out)
{
	msp_time_t now = msp_now(&sync->env);
	char name[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(strike->fingerprint, name);
	return msp_append_printf(out,
	    "%s %016" PRIx64 " %" PRIu64 " %" PRIu64 "\n", name, strike->id,
	    now - strike->times.started, now - strike->times.ended);
}

size_t
msp_encode_unsent_strikes(msp_strike_sync_t *sync, msp_buffer_t *out)
{
	size_t written = 0;
	size_t i;

	for (i = 0; i < sync->unsent_count; i++) {
		if (is_in_force(
			sync, &sync->unsent[i], MSP_SUSPICION_SUSPECT) &&
		    encode_strike(sync, &sync->unsent[i], out) == MSP_OK)
			written++;
	}
	sync->unsent_count = 0;
	return written;
}

size_t
msp_encode_known_strikes(msp_strike_sync_t *sync, msp_suspicion_t suspicion,
    size_t max, msp_buffer_t *out)
{
	size_t written = 0;
	size_t i;

	for (i = 0; i < MSP_STRIKES_KNOWN_MAX && written < max; i++) {
		const strike_t *strike = &sync->known[sync->next_told];

		sync->next_told = (sync->next_told + 1) % MSP_STRIKES_KNOWN_MAX;
		if (is_in_force(sync, strike, suspicion) &&
		    encode_strike(sync, strike, out) == MSP_OK)
			written++;
	}
	return written;
}

/* The clock of a VM may have begun only after the strike. */
static msp_time_t
go_back(msp_time_t time, msp_time_t span)
{
	return time > span ? time - span : 1;
}

/* Parses one line; returns the text after it, or NULL if it is malformed. */
static const char *
parse_strike(const char *text, msp_time_t now, strike_t *out)
{
	char name[MSP_DIGEST_TEXT_SIZE];
	uint64_t started_ago;
	uint64_t ended_ago;
	int len = 0;

	*out = (strike_t){0};
	if (sscanf(text, "%32s %16" SCNx64 " %" SCNu64 " %" SCNu64 "%n", name,
		&out->id, &started_ago, &ended_ago, &len) != 4 ||
	    text[len] != '\n' || msp_parse_digest(name, &out->fingerprint) != 0)
		return NULL;
	if (out->id == 0 || ended_ago > started_ago ||
	    started_ago > STARTED_AGO_MAX)
		return NULL;
	out->times.started = go_back(now, started_ago);
	out->times.ended = go_back(now, ended_ago);
	return text + len + 1;
}

/* Parses all lines, at most `max`. */
static msp_status_t
parse_strikes(const char *text, msp_time_t now, strike_t *strikes, size_t max,
    size_t *count)
{
	*count = 0;
	while (*text != '\0') {
		if (*count == max)
			return msp_fail(MSP_E_SYNTAX, "too many strikes");
		text = parse_strike(text, now, &strikes[(*count)++]);
		if (text == NULL)
			return msp_fail(
			    MSP_E_SYNTAX, "strike %zu is malformed", *count);
	}
	return MSP_OK;
}

/* Returns whether the strike was not known and is in force. */
static bool
merge_strike(msp_strike_sync_t *sync, const strike_t *strike)
{
	if (msp_now(&sync->env) - strike->times.ended > MSP_QUARANTINE_TIME ||
	    is_known(sync, strike->id))
		return false;
	add_strike(sync, strike);
	return is_in_force(sync, strike, MSP_SUSPICION_SUSPECT);
}

/* Applies a message of at most `max` strikes, which is `age` old. */
static msp_status_t
receive_strikes(msp_strike_sync_t *sync, const char *text, size_t max,
    msp_time_t age, size_t *new_count)
{
	strike_t *strikes = calloc(max, sizeof(*strikes));
	msp_status_t status = MSP_E_NO_MEMORY;
	size_t count;
	size_t i;

	*new_count = 0;
	if (strikes != NULL)
		status = parse_strikes(
		    text, msp_now(&sync->env), strikes, max, &count);
	for (i = 0; status == MSP_OK && i < count; i++) {
		strikes[i].times.started =
		    go_back(strikes[i].times.started, age);
		strikes[i].times.ended = go_back(strikes[i].times.ended, age);
		*new_count += merge_strike(sync, &strikes[i]) ? 1 : 0;
	}
	free(strikes);
	return status;
}

msp_status_t
msp_receive_strikes(
    msp_strike_sync_t *sync, const char *text, size_t *new_count)
{
	return receive_strikes(
	    sync, text, MSP_STRIKES_PER_MESSAGE_MAX, 0, new_count);
}

msp_status_t
msp_receive_stored_strikes(msp_strike_sync_t *sync, const char *text,
    msp_time_t age, size_t *new_count)
{
	return receive_strikes(
	    sync, text, MSP_STRIKES_PER_MESSAGE_MAX, age, new_count);
}

msp_status_t
msp_receive_known_strikes(
    msp_strike_sync_t *sync, const char *text, size_t *new_count)
{
	return receive_strikes(sync, text, MSP_STRIKES_KNOWN_MAX, 0, new_count);
}
