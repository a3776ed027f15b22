#include "monsoonspindle/steer/rate_share.h"

#include <math.h>

/* How long a part is used before the VM's rank is looked up again. */
#define SHARE_LIFETIME (500 * MSP_MS)

bool
msp_rate_share_is_old(const msp_rate_share_t *share, msp_time_t now)
{
	return !share->is_set || now >= share->set_at + SHARE_LIFETIME;
}

static size_t
at_least_one(double number)
{
	return number < 1 ? 1 : (size_t)number;
}

static size_t
min_size(size_t a, size_t b)
{
	return a < b ? a : b;
}

static void
refill(msp_rate_share_t *share, msp_time_t now)
{
	double seconds =
	    (double)(now - share->refilled_at) / (double)MSP_SECOND;

	share->tokens =
	    fmin(share->burst, share->tokens + share->per_second * seconds);
	share->refilled_at = now;
}

/* The VMs that have a part of a rate. */
typedef struct senders {
	size_t places; /* data centres */
	size_t vms; /* of each of them */
} senders_t;

static senders_t
count_senders(const msp_shared_rate_t *rate, const msp_sender_rank_t *rank)
{
	size_t burst = at_least_one(rate->burst);
	senders_t senders = {.places = min_size(rank->place_count, burst)};

	if (senders.places > 0)
		senders.vms = min_size(rank->vm_count,
		    at_least_one(rate->burst / (double)senders.places));
	return senders;
}

void
msp_set_rate_share(msp_rate_share_t *share, msp_time_t now,
    const msp_shared_rate_t *rate, const msp_sender_rank_t *rank)
{
	senders_t senders = count_senders(rate, rank);
	double count = (double)senders.places * (double)senders.vms;
	double turn;

	if (share->is_set)
		refill(share, now);
	if (rate->per_second <= 0 || rank->place >= senders.places ||
	    rank->vm >= senders.vms) {
		*share = (msp_rate_share_t){
		    .is_set = true, .refilled_at = now, .set_at = now};
		return;
	}
	share->set_at = now;
	share->per_second = rate->per_second / count;
	share->burst = fmax(1, rate->burst / count);
	if (!share->is_set) {
		/* Sender number n of all sends its first request n-th. */
		turn = (double)(rank->vm * senders.places + rank->place) + 1;
		share->tokens = rate->starts_at_once ? 1 : 1 - turn / count;
		share->refilled_at = now;
		share->is_set = true;
	}
	share->tokens = fmin(share->tokens, share->burst);
}

bool
msp_rate_share_allows(msp_rate_share_t *share, msp_time_t now)
{
	refill(share, now);
	return share->tokens >= 1;
}

void
msp_use_rate_share(msp_rate_share_t *share)
{
	share->tokens -= 1;
}

msp_time_t
msp_rate_share_wait(msp_rate_share_t *share, msp_time_t now)
{
	if (msp_rate_share_allows(share, now))
		return 0;
	if (share->per_second <= 0)
		return MSP_NEVER;
	return (msp_time_t)((1 - share->tokens) / share->per_second *
		   (double)MSP_SECOND) +
	    1;
}
