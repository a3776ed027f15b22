#include "monsoonspindle/coord/rate_leases.h"

#include <stdlib.h>

#include <bsd/string.h>

#include "demand_rate.h"
#include "monsoonspindle/base/map.h"

/* After a refusal the owner is not asked again for this long. */
#define CLOSED_TIME_MAX (100 * MSP_MS)
#define IDLE_TIME_MAX MSP_MINUTE

typedef struct rate_lease {
	msp_rate_limit_t limit;
	uint64_t version; /* of the configuration with the limit */
	uint32_t tokens; /* requests that may be sent */
	msp_time_t ends; /* of `tokens` */
	uint32_t waiting; /* requests that wait for the owner's answer */
	uint32_t asked; /* of these, the owner has been asked for so many */
	/* Not told to the owner yet. */
	uint32_t arrived;
	uint32_t charged;
	uint32_t returned;
	msp_time_t closed_until; /* the owner has no room */
	msp_time_t room_at; /* when it has */
	msp_time_t used_at;
	msp_demand_rate_t demand;
} rate_lease_t;

struct msp_rate_leases {
	msp_env_t env;
	msp_map_t *leases; /* rate_lease_t by organisation */
};

msp_rate_leases_t *
msp_new_rate_leases(const msp_env_t *env)
{
	msp_rate_leases_t *leases = calloc(1, sizeof(*leases));

	if (leases == NULL)
		return NULL;
	leases->env = *env;
	leases->leases = msp_new_map();
	if (leases->leases != NULL)
		return leases;
	free(leases);
	return NULL;
}

void
msp_drop_rate_leases(msp_rate_leases_t *leases)
{
	if (leases == NULL)
		return;
	msp_drop_map_and_values(leases->leases);
	free(leases);
}

/* Gives back what was not sent in time. */
static void
end_lease(rate_lease_t *lease, msp_time_t now)
{
	if (lease->tokens == 0 || now < lease->ends)
		return;
	lease->returned += lease->tokens;
	lease->tokens = 0;
}

static msp_time_t
time_until(msp_time_t at, msp_time_t now)
{
	if (at == MSP_NEVER)
		return MSP_NEVER;
	return at > now ? at - now : 0;
}

msp_rate_verdict_t
msp_take_lease(msp_rate_leases_t *leases,
    const msp_organisation_t *organisation, uint64_t version, msp_time_t *wait)
{
	msp_time_t now = msp_now(&leases->env);
	rate_lease_t *lease = msp_map_get_or_add(
	    leases->leases, organisation->name, sizeof(*lease));

	*wait = MSP_NEVER;
	if (lease == NULL)
		return MSP_RATE_REFUSED;
	lease->limit = organisation->limit;
	lease->version = version;
	lease->used_at = now;
	lease->arrived++;
	msp_count_demand(&lease->demand, now, 1);
	end_lease(lease, now);
	*wait = time_until(lease->room_at, now);
	if (lease->tokens > 0) {
		lease->tokens--;
		return MSP_RATE_ADMITTED;
	}
	if (now < lease->closed_until)
		return MSP_RATE_REFUSED;
	lease->waiting++;
	return MSP_RATE_ASK;
}

msp_rate_verdict_t
msp_take_granted(msp_rate_leases_t *leases, const char *name, msp_time_t *wait)
{
	msp_time_t now = msp_now(&leases->env);
	rate_lease_t *lease = msp_map_get(leases->leases, name);

	*wait = MSP_NEVER;
	if (lease == NULL)
		return MSP_RATE_REFUSED;
	if (lease->asked == 0)
		return MSP_RATE_ASK;
	lease->asked--;
	lease->waiting--;
	*wait = time_until(lease->room_at, now);
	if (lease->tokens == 0)
		return MSP_RATE_REFUSED;
	lease->tokens--;
	return MSP_RATE_ADMITTED;
}

bool
msp_is_rate_asked(const msp_rate_leases_t *leases, const char *name)
{
	const rate_lease_t *lease = msp_map_get(leases->leases, name);

	return lease == NULL || lease->asked > 0;
}

void
msp_withdraw_rate_wait(msp_rate_leases_t *leases, const char *name)
{
	rate_lease_t *lease = msp_map_get(leases->leases, name);

	if (lease == NULL || lease->waiting == 0)
		return;
	lease->waiting--;
	if (lease->asked > 0)
		lease->asked--;
}

void
msp_return_lease(msp_rate_leases_t *leases, const char *name)
{
	rate_lease_t *lease = msp_map_get(leases->leases, name);

	if (lease != NULL)
		lease->returned++;
}

void
msp_charge_lease(msp_rate_leases_t *leases, const char *name)
{
	rate_lease_t *lease = msp_map_get(leases->leases, name);

	if (lease != NULL)
		lease->charged++;
}

/* Requests that wait, and those that are expected within a lease's time. */
static uint32_t
count_wanted(const rate_lease_t *lease, msp_time_t now)
{
	double expected = msp_get_demand_rate(&lease->demand, now) *
	    (double)MSP_RATE_LEASE_TIME / (double)MSP_SECOND;

	if (lease->waiting == 0)
		return 0;
	return expected > lease->waiting ? (uint32_t)expected : lease->waiting;
}

static bool
has_news(const rate_lease_t *lease)
{
	return lease->waiting > 0 || lease->charged > 0 || lease->returned > 0;
}

size_t
msp_collect_rate_asks(
    msp_rate_leases_t *leases, msp_rate_ask_t *out, size_t max)
{
	msp_time_t now = msp_now(&leases->env);
	size_t count = 0;
	size_t cursor = 0;
	const char *name;
	void *value;

	while (count < max &&
	    msp_map_next(leases->leases, &cursor, &name, &value)) {
		rate_lease_t *lease = value;

		end_lease(lease, now);
		if (!has_news(lease))
			continue;
		out[count] = (msp_rate_ask_t){.limit = lease->limit,
		    .version = lease->version,
		    .wanted = count_wanted(lease, now),
		    .arrived = lease->arrived,
		    .charged = lease->charged,
		    .returned = lease->returned};
		strlcpy(out[count].name, name, sizeof(out[count].name));
		lease->asked = lease->waiting;
		lease->arrived = 0;
		lease->charged = 0;
		lease->returned = 0;
		count++;
	}
	return count;
}

void
msp_apply_rate_grant(msp_rate_leases_t *leases, const msp_rate_grant_t *grant)
{
	msp_time_t now = msp_now(&leases->env);
	rate_lease_t *lease = msp_map_get(leases->leases, grant->name);
	msp_time_t closed = grant->wait;

	if (lease == NULL)
		return;
	lease->tokens += grant->granted;
	lease->ends = now + MSP_RATE_LEASE_TIME;
	if (closed > CLOSED_TIME_MAX)
		closed = CLOSED_TIME_MAX;
	lease->closed_until = now + closed;
	lease->room_at =
	    grant->wait == MSP_NEVER ? MSP_NEVER : now + grant->wait;
}

void
msp_tidy_rate_leases(msp_rate_leases_t *leases)
{
	msp_time_t now = msp_now(&leases->env);
	size_t cursor = 0;
	const char *name;
	void *value;

	while (msp_map_next(leases->leases, &cursor, &name, &value)) {
		const rate_lease_t *lease = value;

		if (!has_news(lease) && lease->tokens == 0 &&
		    now >= lease->used_at + IDLE_TIME_MAX)
			free(msp_map_remove(leases->leases, name));
	}
}

size_t
msp_count_rate_leases(const msp_rate_leases_t *leases)
{
	return msp_map_count(leases->leases);
}
