#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "token_bucket.h"
#include "monsoonspindle/coord/credits.h"

#define BURST_DIVISOR 8

/* The latest offer of one place. */
typedef struct place_credit {
	TAILQ_ENTRY(place_credit) link;
	char *place;
	msp_time_t expires;
	msp_time_t wait;
	msp_time_t background_wait;
	msp_token_bucket_t requests;
} place_credit_t;

struct msp_sender_credits {
	msp_env_t env;
	TAILQ_HEAD(place_credit_list, place_credit) places;
};

msp_sender_credits_t *
msp_new_sender_credits(const msp_env_t *env)
{
	msp_sender_credits_t *credits = calloc(1, sizeof(*credits));

	if (credits == NULL)
		return NULL;
	credits->env = *env;
	TAILQ_INIT(&credits->places);
	return credits;
}

void
msp_drop_sender_credits(msp_sender_credits_t *credits)
{
	place_credit_t *credit;

	if (credits == NULL)
		return;
	while ((credit = TAILQ_FIRST(&credits->places)) != NULL) {
		TAILQ_REMOVE(&credits->places, credit, link);
		free(credit->place);
		free(credit);
	}
	free(credits);
}

static place_credit_t *
find_place_credit(const msp_sender_credits_t *credits, const char *place)
{
	place_credit_t *credit;

	TAILQ_FOREACH(credit, &credits->places, link) {
		if (strcmp(credit->place, place) == 0)
			return credit;
	}
	return NULL;
}

static place_credit_t *
new_place_credit(msp_sender_credits_t *credits, const char *place)
{
	place_credit_t *credit = calloc(1, sizeof(*credit));

	if (credit == NULL)
		return NULL;
	credit->place = strdup(place);
	if (credit->place == NULL) {
		free(credit);
		return NULL;
	}
	credit->requests.refilled_at = msp_now(&credits->env);
	TAILQ_INSERT_TAIL(&credits->places, credit, link);
	return credit;
}

msp_status_t
msp_accept_credit_offer(msp_sender_credits_t *credits, const char *place,
    const msp_credit_offer_t *offer, uint32_t spenders, msp_time_t age)
{
	msp_time_t now = msp_now(&credits->env);
	place_credit_t *credit = find_place_credit(credits, place);

	if (credit == NULL)
		credit = new_place_credit(credits, place);
	if (credit == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a place");
	credit->wait = offer->wait;
	credit->background_wait = offer->background_wait;
	credit->expires = now;
	if (offer->valid_for > age)
		credit->expires = now + offer->valid_for - age;
	msp_refill_token_bucket(&credit->requests, now);
	/* The receiver enforces the cap; this only spreads requests evenly. */
	credit->requests.rate =
	    (double)offer->rate.requests / (spenders == 0 ? 1 : spenders);
	credit->requests.burst = credit->requests.rate / BURST_DIVISOR;
	if (credit->requests.burst < 1)
		credit->requests.burst = 1;
	return MSP_OK;
}

static bool
has_credit(const msp_sender_credits_t *credits, place_credit_t *credit)
{
	msp_time_t now = msp_now(&credits->env);

	if (credit == NULL || now >= credit->expires)
		return false;
	msp_refill_token_bucket(&credit->requests, now);
	return credit->requests.tokens >= 1;
}

msp_time_t
msp_get_offered_wait(const msp_sender_credits_t *credits, const char *place)
{
	place_credit_t *credit = find_place_credit(credits, place);

	return has_credit(credits, credit) ? credit->wait : MSP_NEVER;
}

msp_time_t
msp_get_offered_background_wait(
    const msp_sender_credits_t *credits, const char *place)
{
	place_credit_t *credit = find_place_credit(credits, place);

	/* Half of the burst is left to interactive requests. */
	if (!has_credit(credits, credit) ||
	    credit->requests.tokens < 1 + credit->requests.burst / 2)
		return MSP_NEVER;
	return credit->background_wait > credit->wait ? credit->background_wait
						      : credit->wait;
}

msp_status_t
msp_spend_credit(msp_sender_credits_t *credits, const char *place)
{
	place_credit_t *credit = find_place_credit(credits, place);

	if (!has_credit(credits, credit))
		return msp_fail(
		    MSP_E_NO_CREDIT, "no credit left for \"%s\"", place);
	credit->requests.tokens -= 1;
	return MSP_OK;
}
