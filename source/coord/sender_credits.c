#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "token_bucket.h"
#include "monsoonspindle/coord/credits.h"

#define WALLET_BURST_PART 8

typedef struct msp_credit_purse {
	TAILQ_ENTRY(msp_credit_purse) link;
	char *place;
	msp_time_t expires;
	msp_time_t wait;
	msp_time_t background_wait;
	msp_token_bucket_t requests;
} msp_credit_purse_t;

struct msp_sender_credits {
	msp_env_t env;
	TAILQ_HEAD(msp_credit_purse_list, msp_credit_purse) purses;
};

msp_sender_credits_t *
msp_new_sender_credits(const msp_env_t *env)
{
	msp_sender_credits_t *wallet = calloc(1, sizeof(*wallet));

	if (wallet == NULL)
		return NULL;
	wallet->env = *env;
	TAILQ_INIT(&wallet->purses);
	return wallet;
}

void
msp_drop_sender_credits(msp_sender_credits_t *wallet)
{
	msp_credit_purse_t *purse;

	if (wallet == NULL)
		return;
	while ((purse = TAILQ_FIRST(&wallet->purses)) != NULL) {
		TAILQ_REMOVE(&wallet->purses, purse, link);
		free(purse->place);
		free(purse);
	}
	free(wallet);
}

static msp_credit_purse_t *
find_purse(const msp_sender_credits_t *wallet, const char *place)
{
	msp_credit_purse_t *purse;

	TAILQ_FOREACH(purse, &wallet->purses, link) {
		if (strcmp(purse->place, place) == 0)
			return purse;
	}
	return NULL;
}

static msp_credit_purse_t *
new_purse(msp_sender_credits_t *wallet, const char *place)
{
	msp_credit_purse_t *purse = calloc(1, sizeof(*purse));

	if (purse == NULL)
		return NULL;
	purse->place = strdup(place);
	if (purse->place == NULL) {
		free(purse);
		return NULL;
	}
	purse->requests.refilled_at = msp_now(&wallet->env);
	TAILQ_INSERT_TAIL(&wallet->purses, purse, link);
	return purse;
}

msp_status_t
msp_accept_credit_offer(msp_sender_credits_t *wallet, const char *place,
    const msp_credit_offer_t *offer, uint32_t spenders, msp_time_t age)
{
	msp_time_t now = msp_now(&wallet->env);
	msp_credit_purse_t *purse = find_purse(wallet, place);

	if (purse == NULL)
		purse = new_purse(wallet, place);
	if (purse == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a place");
	purse->wait = offer->wait;
	purse->background_wait = offer->background_wait;
	purse->expires = now;
	if (offer->valid_for > age)
		purse->expires = now + offer->valid_for - age;
	msp_refill_token_bucket(&purse->requests, now);
	/* The receiver enforces the cap; here the rate is only spread out. */
	purse->requests.rate =
	    (double)offer->rate.requests / (spenders == 0 ? 1 : spenders);
	purse->requests.burst = purse->requests.rate / WALLET_BURST_PART;
	if (purse->requests.burst < 1)
		purse->requests.burst = 1;
	return MSP_OK;
}

static bool
has_credit(const msp_sender_credits_t *wallet, msp_credit_purse_t *purse)
{
	msp_time_t now = msp_now(&wallet->env);

	if (purse == NULL || now >= purse->expires)
		return false;
	msp_refill_token_bucket(&purse->requests, now);
	return purse->requests.tokens >= 1;
}

msp_time_t
msp_get_offered_wait(const msp_sender_credits_t *wallet, const char *place)
{
	msp_credit_purse_t *purse = find_purse(wallet, place);

	return has_credit(wallet, purse) ? purse->wait : MSP_NEVER;
}

msp_time_t
msp_get_offered_background_wait(
    const msp_sender_credits_t *wallet, const char *place)
{
	msp_credit_purse_t *purse = find_purse(wallet, place);

	/* It leaves half of the burst to those whom somebody waits for. */
	if (!has_credit(wallet, purse) ||
	    purse->requests.tokens < 1 + purse->requests.burst / 2)
		return MSP_NEVER;
	return purse->background_wait > purse->wait ? purse->background_wait
						    : purse->wait;
}

msp_status_t
msp_spend_credit(msp_sender_credits_t *wallet, const char *place)
{
	msp_credit_purse_t *purse = find_purse(wallet, place);

	if (!has_credit(wallet, purse))
		return msp_fail(
		    MSP_E_NO_CREDIT, "no credit to spend at \"%s\"", place);
	purse->requests.tokens -= 1;
	return MSP_OK;
}
