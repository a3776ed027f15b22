#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "token_bucket.h"
#include "monsoonspindle/coord/credits.h"

#define DEFAULT_FILL_PERCENT 85
#define REQUEST_BURST_DIVISOR 8
#define BYTE_BURST_DIVISOR 4
#define BYTE_SHARE 0.98 /* the rest covers responses sent up to 20 ms late */
#define RAMP_START 0.1 /* of the capacity */
/* Per step in which at least half of the offer was used. */
#define RAMP_GROWTH 1.5
#define RAMP_STEP (500 * MSP_MS)
/* Without arrivals for this long, caches are cold. */
#define RAMP_IDLE_RESET (30 * MSP_SECOND)
#define ACTIVE_SPAN (5 * MSP_SECOND)
#define ACTIVE_WEIGHT 16 /* of a region that sends; others have 1 */
#define INITIAL_RESPONSE_SIZE 65536 /* bytes */
/* The expected size falls by 1/64 of the difference per smaller response. */
#define SIZE_DECAY 64

/* The credit of one client region. */
typedef struct msp_credit_account {
	TAILQ_ENTRY(msp_credit_account) link;
	char *region;
	msp_credit_rate_t share;
	msp_credit_rate_t raise; /* a higher share, valid from `raise_at` on */
	msp_time_t raise_at; /* 0: none */
	msp_credit_rate_t rate; /* offered */
	msp_token_bucket_t requests;
	msp_token_bucket_t bytes;
	double ramp; /* requests per second; 0: caches are cold */
	msp_time_t ramp_step_start;
	uint32_t arrivals; /* in this step of the ramp */
	msp_time_t last_arrival; /* 0: never */
	uint32_t in_flight;
	uint64_t reserved; /* bytes, for responses not sent yet */
	double response_size; /* decaying maximum, bytes */
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
	account->response_size = INITIAL_RESPONSE_SIZE;
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
	    REQUEST_BURST_DIVISOR, 1, now);
	msp_limit_token_bucket(
	    &account->requests, rate.requests, REQUEST_BURST_DIVISOR, 1);
	msp_set_token_bucket(&account->bytes, (double)rate.bytes * BYTE_SHARE,
	    BYTE_BURST_DIVISOR, 1, now);
}

static msp_credit_rate_t
min_rate(msp_credit_rate_t a, msp_credit_rate_t b)
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
	account->share = min_rate(account->share, *share);
	set_rate(granter, account, min_rate(account->rate, account->share));
	if (share->requests == account->share.requests &&
	    share->bytes == account->share.bytes) {
		account->raise_at = 0;
		return MSP_OK;
	}
	/* Setting the same higher share again doesn't delay it. */
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

/* Raises the ramp while the offer is used, and resets it when idle. */
static void
update_ramp(msp_credit_account_t *account, double start, msp_time_t now)
{
	double seconds =
	    (double)(now - account->ramp_step_start) / (double)MSP_SECOND;

	if (account->last_arrival == 0 ||
	    now - account->last_arrival > RAMP_IDLE_RESET)
		account->ramp = 0;
	if (account->ramp < start)
		account->ramp = start;
	if (now < account->ramp_step_start + RAMP_STEP)
		return;
	if (account->arrivals * 2 >= account->rate.requests * seconds &&
	    account->arrivals > 0 && account->ramp < account->share.requests)
		account->ramp *= RAMP_GROWTH;
	account->arrivals = 0;
	account->ramp_step_start = now;
}

/* Requests per second that all other regions together may send. */
static double
spare_rate(
    const msp_credit_granter_t *granter, const msp_spare_capacity_t *spare)
{
	const msp_credit_account_t *account;
	double free_slots =
	    (double)spare->capacity * granter->options.fill_percent / 100;
	uint32_t from_regions = 0;

	TAILQ_FOREACH(account, &granter->accounts, link)
		from_regions += account->in_flight;
	if (spare->busy > from_regions)
		free_slots -= spare->busy - from_regions;
	if (free_slots <= 0 || spare->service_time == 0)
		return 0;
	return free_slots * (double)MSP_SECOND / (double)spare->service_time;
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
		update_ramp(account, start, now);
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
has_offer_expired(const msp_credit_granter_t *granter)
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
	if (account == NULL || has_offer_expired(granter) ||
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
    uint64_t request_bytes, msp_credit_reservation_t *reservation)
{
	msp_time_t now = msp_now(&granter->env);
	msp_credit_account_t *account = find_account(granter, region);

	reservation->account = NULL;
	if (account == NULL || has_offer_expired(granter))
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
	*reservation = (msp_credit_reservation_t){
	    .account = account,
	    .reserved = (uint64_t)account->response_size,
	};
	account->reserved += reservation->reserved;
	return MSP_OK;
}

msp_time_t
msp_settle_credit(msp_credit_granter_t *granter,
    msp_credit_reservation_t *reservation, uint64_t response_bytes)
{
	msp_credit_account_t *account = reservation->account;
	double size = (double)response_bytes;
	double excess;

	if (account == NULL)
		return 0;
	reservation->account = NULL;
	account->in_flight--;
	account->reserved -= reservation->reserved;
	if (size > account->response_size)
		account->response_size = size;
	else
		account->response_size -=
		    (account->response_size - size) / SIZE_DECAY;
	msp_refill_token_bucket(&account->bytes, msp_now(&granter->env));
	/* Bytes over the burst also count in the following second. */
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

	if (account == NULL || has_offer_expired(granter) ||
	    account->rate.requests == 0)
		return granter->options.lifetime;
	requests = msp_token_bucket_wait(&account->requests, 1);
	bytes = msp_token_bucket_wait(&account->bytes, 1);
	if (requests < bytes)
		requests = bytes;
	return requests < granter->options.lifetime ? requests
						    : granter->options.lifetime;
}
