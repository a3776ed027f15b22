#include "monsoonspindle/coord/nonces.h"

#include <stdlib.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/map.h"

/* One nonce that was taken. */
typedef struct taken_nonce {
	TAILQ_ENTRY(taken_nonce) entry;
	msp_time_t taken_at;
	char text[MSP_DIGEST_TEXT_SIZE];
} taken_nonce_t;

struct msp_nonce_set {
	msp_env_t env;
	msp_time_t lifetime;
	msp_time_t since; /* what was drawn before is not vouched for */
	msp_map_t *by_text;
	TAILQ_HEAD(taken_nonces, taken_nonce) by_time;
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
	nonces->since = msp_now(env);
	TAILQ_INIT(&nonces->by_time);
	return nonces;
}

void
msp_drop_nonce_set(msp_nonce_set_t *nonces)
{
	taken_nonce_t *taken;
	taken_nonce_t *next;

	if (nonces == NULL)
		return;
	TAILQ_FOREACH_SAFE(taken, &nonces->by_time, entry, next)
		free(taken);
	msp_drop_map(nonces->by_text);
	free(nonces);
}

/*
 * A nonce is never taken past its lifetime, so one that was taken a lifetime
 * ago need not be remembered.
 */
static void
forget_old(msp_nonce_set_t *nonces, msp_time_t now)
{
	taken_nonce_t *taken;
	taken_nonce_t *next;

	TAILQ_FOREACH_SAFE(taken, &nonces->by_time, entry, next) {
		if (taken->taken_at + nonces->lifetime >= now)
			break;
		TAILQ_REMOVE(&nonces->by_time, taken, entry);
		msp_map_remove(nonces->by_text, taken->text);
		free(taken);
	}
}

msp_status_t
msp_consume_nonce(msp_nonce_set_t *nonces, msp_nonce_t nonce, msp_time_t age)
{
	msp_time_t now = msp_now(&nonces->env);
	char text[MSP_DIGEST_TEXT_SIZE];
	taken_nonce_t *taken;
	msp_status_t status;

	if (age > nonces->lifetime)
		return msp_fail(
		    MSP_E_KEY_EXPIRED, "the nonce is past its lifetime");
	forget_old(nonces, now);
	msp_print_digest(nonce, text);
	if (msp_map_get(nonces->by_text, text) != NULL)
		return msp_fail(MSP_E_EXISTS, "the nonce was taken before");
	if (age > now - nonces->since)
		return msp_fail(MSP_E_NOT_READY,
		    "whether the nonce was taken before is not known");
	taken = calloc(1, sizeof(*taken));
	if (taken == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a nonce");
	msp_print_digest(nonce, taken->text);
	taken->taken_at = now;
	status = msp_map_put(nonces->by_text, taken->text, taken);
	if (status != MSP_OK) {
		free(taken);
		return status;
	}
	TAILQ_INSERT_TAIL(&nonces->by_time, taken, entry);
	return MSP_OK;
}

void
msp_record_nonce_set_pause(msp_nonce_set_t *nonces)
{
	nonces->since = msp_now(&nonces->env);
}
