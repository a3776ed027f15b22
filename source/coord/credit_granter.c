#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "token_bucket.h"
#include "monsoonspindle/coord/credits.h"

#define DEFAULT_FILL_PERCENT 85
#define REQUEST_BURST_PART 8
#define BYTE_BURST_PART 4
#define BYTE_SHARE 0.98 /* the rest is for answers sent up to 20 ms late */
#define RAMP_START 0.1 /* of the capacity */
#define RAMP_GROWTH 1.5 /* each step in which half of the offer was used */
#define RAMP_STEP (500 * MSP_MS)
#define RAMP_MEMORY (30 * MSP_SECOND) /* without arrivals: caches are cold */
#define ACTIVE_SPAN (5 * MSP_SECOND)
#define ACTIVE_WEIGHT                                          \
	16 /* of a region that sends, against one that doesn't \
	    */
#define FIRST_ANSWER 65536 /* bytes reserved until sizes were seen */
#define SIZE_DECAY 64 /* answers until a large one is half forgotten */

typedef struct msp_credit_account {
	TAILQ_ENTRY(msp_credit_account) link;
	char *region;
	msp_credit_rate_t share;
	msp_credit_rate_t raise; /* the share from `raise_at` on */
	msp_time_t raise_at; /* 0: none */
	msp_credit_rate_t rate; /* offered */
	msp_token_bucket_t requests;
	msp_token_bucket_t bytes;
	double ramp; /* requests a second; 0: cold */
	msp_time_t ramp_step; /* when the step began */
	uint32_t arrivals; /* in the step */
	msp_time_t last_arrival; /* 0: never */
	uint32_t in_flight;
	uint64_t reserved; /* bytes of answers to come */
	double answer_size; /* a high recent one */
} msp_credit_account_t;

struct msp_credit_granter {
	msp_env_t env;
	msp_credit_granter_options_t options;
	TAILQ_HEAD(msp_credit_account_list, msp_credit_account) accounts;
	msp_time_t offered_at; /* 0: never */
	msp_time_t wait;
	msp_time_t background_wait;
};

msp_credit_granter_t *
msp_new_credit_granter(
    const msp_env_t *env, const msp_credit_granter_options_t *options)
{
	msp_credit_granter_t *granter = calloc(1, sizeof(*granter));

	if (granter == NULL)
		return NULL;
	granter->env = *env;
	granter->options = *options;
	if (granter->options.lifetime == 0)
		granter->options.lifetime = MSP_CREDIT_LIFETIME;
	if (granter->options.fill_percent == 0)
		granter->options.fill_percent = DEFAULT_FILL_PERCENT;
	TAILQ_INIT(&granter->accounts);
	return granter;
}

void
msp_drop_credit_granter(msp_credit_granter_t *granter)
{
	msp_credit_account_t *account;

	if (granter == NULL)
		return;
	while ((account = TAILQ_FIRST(&granter->accounts)) != NULL) {
		TAILQ_REMOVE(&granter->accounts, account, link);
		free(account->region);
		free(account);
	}
	free(granter);
}

static msp_credit_account_t *
find_account(const msp_credit_granter_t *granter, const char *region)
{
	msp_credit_account_t *account;

	TAILQ_FOREACH(account, &granter->accounts, link) {
		if (strcmp(account->region, region) == 0)
			return account;
	}
	return NULL;
}

static msp_credit_account_t *
new_account(msp_credit_granter_t *granter, const char *region)
{
	msp_credit_account_t *account = calloc(1, sizeof(*account));

	if (account == NULL)
		return NULL;
	account->region = strdup(region);
	if (account->region == NULL) {
		free(account);
		return NULL;
	}
	account->answer_size = FIRST_ANSWER;
	account->requests.refilled_at = msp_now(&granter->env);
	account->bytes.refilled_at = account->requests.refilled_at;
	TAILQ_INSERT_TAIL(&granter->accounts, account, link);
	return account;
}

static void
set_rate(msp_credit_granter_t *granter, msp_credit_account_t *account,
    msp_credit_rate_t rate)
{
	msp_time_t now = msp_now(&granter->env);

	account->rate = rate;
	msp_set_token_bucket(&account->requests, account->share.requests,
	    REQUEST_BURST_PART, 1, now);
	msp_limit_token_bucket(
	    &account->requests, rate.requests, REQUEST_BURST_PART, 1);
	msp_set_token_bucket(&account->bytes, (double)rate.bytes * BYTE_SHARE,
	    BYTE_BURST_PART, 1, now);
}

static msp_credit_rate_t
lower_of(msp_credit_rate_t a, msp_credit_rate_t b)
{
	return (msp_credit_rate_t){
	    .requests = a.requests < b.requests ? a.requests : b.requests,
	    .bytes = a.bytes < b.bytes ? a.bytes : b.bytes,
	};
}

msp_status_t
msp_set_credit_share(msp_credit_granter_t *granter, const char *region,
    const msp_credit_rate_t *share)
{
	msp_credit_account_t *account = find_account(granter, region);

	if (account == NULL)
		account = new_account(granter, region);
	if (account == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a region");
	account->share = lower_of(account->share, *share);
	set_rate(granter, account, lower_of(account->rate, account->share));
	if (share->requests == account->share.requests &&
	    share->bytes == account->share.bytes) {
		account->raise_at = 0;
		return MSP_OK;
	}
	/* The same raise told again keeps its time. */
	if (account->raise_at != 0 &&
	    account->raise.requests == share->requests &&
	    account->raise.bytes == share->bytes)
		return MSP_OK;
	account->raise = *share;
	account->raise_at = msp_now(&granter->env) + granter->options.lifetime +
	    granter->options.propagation_delay;
	return MSP_OK;
}

static uint32_t
account_weight(const msp_credit_account_t *account, msp_time_t now)
{
	if (account->last_arrival != 0 &&
	    now - account->last_arrival <= ACTIVE_SPAN)
		return ACTIVE_WEIGHT;
	return 1;
}

/* Raises the ramp while the offer is used, and forgets it when idle. */
static void
step_ramp(msp_credit_account_t *account, double start, msp_time_t now)
{
	double span = (double)(now - account->ramp_step) / (double)MSP_SECOND;

	if (account->last_arrival == 0 ||
	    now - account->last_arrival > RAMP_MEMORY)
		account->ramp = 0;
	if (account->ramp < start)
		account->ramp = start;
	if (now < account->ramp_step + RAMP_STEP)
		return;
	if (account->arrivals * 2 >= account->rate.requests * span &&
	    account->arrivals > 0 && account->ramp < account->share.requests)
		account->ramp *= RAMP_GROWTH;
	account->arrivals = 0;
	account->ramp_step = now;
}

/* Requests a second that shifted work may take in all. */
static double
spare_rate(
    const msp_credit_granter_t *granter, const msp_spare_capacity_t *spare)
{
	const msp_credit_account_t *account;
	double room =
	    (double)spare->capacity * granter->options.fill_percent / 100;
	uint32_t shifted = 0;

	TAILQ_FOREACH(account, &granter->accounts, link)
		shifted += account->in_flight;
	if (spare->busy > shifted)
		room -= spare->busy - shifted;
	if (room <= 0 || spare->service_time == 0)
		return 0;
	return room * (double)MSP_SECOND / (double)spare->service_time;
}

void
msp_update_credit_offers(
    msp_credit_granter_t *granter, const msp_spare_capacity_t *spare)
{
	msp_time_t now = msp_now(&granter->env);
	double total = spare_rate(granter, spare);
	double start = 0;
	uint32_t weights = 0;
	msp_credit_account_t *account;

	granter->wait = spare->wait;
	granter->background_wait = spare->background_wait;
	granter->offered_at = now;
	if (spare->service_time != 0)
		start = RAMP_START * spare->capacity * (double)MSP_SECOND /
		    (double)spare->service_time;
	TAILQ_FOREACH(account, &granter->accounts, link)
		weights += account_weight(account, now);
	TAILQ_FOREACH(account, &granter->accounts, link) {
		msp_credit_rate_t rate;
		double limit = total * account_weight(account, now) / weights;

		if (account->raise_at != 0 && now >= account->raise_at) {
			account->share = account->raise;
			account->raise_at = 0;
		}
		step_ramp(account, start, now);
		if (limit > account->ramp)
			limit = account->ramp;
		if (limit > account->share.requests)
			limit = account->share.requests;
		rate = (msp_credit_rate_t){
		    .requests = (uint32_t)limit,
		    .bytes = account->share.bytes,
		};
		set_rate(granter, account, rate);
	}
}

static bool
offer_lapsed(const msp_credit_granter_t *granter)
{
	return granter->offered_at == 0 ||
	    msp_now(&granter->env) >=
	    granter->offered_at + granter->options.lifetime;
}

void
msp_get_credit_offer(const msp_credit_granter_t *granter, const char *region,
    msp_credit_offer_t *offer)
{
	const msp_credit_account_t *account = find_account(granter, region);

	*offer = (msp_credit_offer_t){0};
	if (account == NULL || offer_lapsed(granter) ||
	    account->rate.requests == 0 || account->rate.bytes == 0)
		return;
	offer->rate = account->rate;
	offer->wait = granter->wait;
	offer->background_wait = granter->background_wait;
	offer->valid_for = granter->offered_at + granter->options.lifetime -
	    msp_now(&granter->env);
}

msp_status_t
msp_reserve_credit(msp_credit_granter_t *granter, const char *region,
    uint64_t request_bytes, msp_credit_reservation_t *shift)
{
	msp_time_t now = msp_now(&granter->env);
	msp_credit_account_t *account = find_account(granter, region);

	shift->account = NULL;
	if (account == NULL || offer_lapsed(granter))
		return msp_fail(
		    MSP_E_NO_CREDIT, "no credit is offered to \"%s\"", region);
	account->last_arrival = now;
	msp_refill_token_bucket(&account->requests, now);
	msp_refill_token_bucket(&account->bytes, now);
	if (account->requests.tokens < 1 ||
	    account->bytes.tokens <=
		(double)account->reserved + (double)request_bytes)
		return msp_fail(
		    MSP_E_NO_CREDIT, "the credit of \"%s\" is used up", region);
	account->requests.tokens -= 1;
	account->bytes.tokens -= (double)request_bytes;
	account->arrivals++;
	account->in_flight++;
	*shift = (msp_credit_reservation_t){
	    .account = account,
	    .reserved = (uint64_t)account->answer_size,
	};
	account->reserved += shift->reserved;
	return MSP_OK;
}

msp_time_t
msp_settle_credit(msp_credit_granter_t *granter,
    msp_credit_reservation_t *shift, uint64_t answer_bytes)
{
	msp_credit_account_t *account = shift->account;
	double size = (double)answer_bytes;
	double excess;

	if (account == NULL)
		return 0;
	shift->account = NULL;
	account->in_flight--;
	account->reserved -= shift->reserved;
	if (size > account->answer_size)
		account->answer_size = size;
	else
		account->answer_size -=
		    (account->answer_size - size) / SIZE_DECAY;
	msp_refill_token_bucket(&account->bytes, msp_now(&granter->env));
	/* What is over the burst counts again, for the second after it. */
	excess = size > account->bytes.burst ? size - account->bytes.burst : 0;
	account->bytes.tokens -= size + excess;
	return msp_token_bucket_wait(&account->bytes, -excess);
}

msp_time_t
msp_get_credit_retry_after(
    const msp_credit_granter_t *granter, const char *region)
{
	const msp_credit_account_t *account = find_account(granter, region);
	msp_time_t requests;
	msp_time_t bytes;

	if (account == NULL || offer_lapsed(granter) ||
	    account->rate.requests == 0)
		return granter->options.lifetime;
	requests = msp_token_bucket_wait(&account->requests, 1);
	bytes = msp_token_bucket_wait(&account->bytes, 1);
	if (requests < bytes)
		requests = bytes;
	return requests < granter->options.lifetime ? requests
						    : granter->options.lifetime;
}
