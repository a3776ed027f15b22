#include "monsoonspindle/coord/nonces.h"

#include <stdlib.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/map.h"

typedef struct consumed_nonce {
	TAILQ_ENTRY(consumed_nonce) entry;
	msp_time_t consumed_at;
	char text[MSP_DIGEST_TEXT_SIZE];
} consumed_nonce_t;

struct msp_nonce_set {
	msp_env_t env;
	msp_time_t lifetime;
	msp_time_t covers_since; /* older nonces may have been consumed */
	msp_map_t *by_text;
	TAILQ_HEAD(consumed_nonces, consumed_nonce) by_time;
};

msp_nonce_t
msp_generate_nonce(const msp_env_t *env)
{
	msp_nonce_t nonce;

	do {
		nonce.high = env->random(env->ctx);
		nonce.low = env->random(env->ctx);
	} while (nonce.high == 0 && nonce.low == 0);
	return nonce;
}

msp_nonce_set_t *
msp_new_nonce_set(const msp_env_t *env, msp_time_t lifetime)
{
	msp_nonce_set_t *nonces = calloc(1, sizeof(*nonces));

	if (nonces == NULL)
		return NULL;
	nonces->by_text = msp_new_map();
	if (nonces->by_text == NULL) {
		free(nonces);
		return NULL;
	}
	nonces->env = *env;
	nonces->lifetime = lifetime;
	nonces->covers_since = msp_now(env);
	TAILQ_INIT(&nonces->by_time);
	return nonces;
}

void
msp_drop_nonce_set(msp_nonce_set_t *nonces)
{
	consumed_nonce_t *consumed;
	consumed_nonce_t *next;

	if (nonces == NULL)
		return;
	TAILQ_FOREACH_SAFE(consumed, &nonces->by_time, entry, next)
		free(consumed);
	msp_drop_map(nonces->by_text);
	free(nonces);
}

/*
 * Nonces older than the lifetime are refused, so those consumed more than a
 * lifetime ago can be dropped.
 */
static void
drop_expired_nonces(msp_nonce_set_t *nonces, msp_time_t now)
{
	consumed_nonce_t *consumed;
	consumed_nonce_t *next;

	TAILQ_FOREACH_SAFE(consumed, &nonces->by_time, entry, next) {
		if (consumed->consumed_at + nonces->lifetime >= now)
			break;
		TAILQ_REMOVE(&nonces->by_time, consumed, entry);
		msp_map_remove(nonces->by_text, consumed->text);
		free(consumed);
	}
}

msp_status_t
msp_consume_nonce(msp_nonce_set_t *nonces, msp_nonce_t nonce, msp_time_t age)
{
	msp_time_t now = msp_now(&nonces->env);
	char text[MSP_DIGEST_TEXT_SIZE];
	consumed_nonce_t *consumed;
	msp_status_t status;

	if (age > nonces->lifetime)
		return msp_fail(MSP_E_KEY_EXPIRED, "the nonce has expired");
	drop_expired_nonces(nonces, now);
	msp_print_digest(nonce, text);
	if (msp_map_get(nonces->by_text, text) != NULL)
		return msp_fail(MSP_E_EXISTS, "the nonce was already used");
	if (age > now - nonces->covers_since)
		return msp_fail(
		    MSP_E_NOT_READY, "the nonce may have been used before");
	consumed = calloc(1, sizeof(*consumed));
	if (consumed == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a nonce");
	msp_print_digest(nonce, consumed->text);
	consumed->consumed_at = now;
	status = msp_map_put(nonces->by_text, consumed->text, consumed);
	if (status != MSP_OK) {
		free(consumed);
		return status;
	}
	TAILQ_INSERT_TAIL(&nonces->by_time, consumed, entry);
	return MSP_OK;
}

void
msp_record_nonce_set_pause(msp_nonce_set_t *nonces)
{
	nonces->covers_since = msp_now(&nonces->env);
}
