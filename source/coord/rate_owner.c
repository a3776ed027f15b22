#include "monsoonspindle/coord/rate_owner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "demand_rate.h"
#include "monsoonspindle/base/map.h"

/* An owner that is not asked for this long has to start anew. */
#define OWNER_TIME (5 * MSP_SECOND)
#define BUCKET_IDLE_MAX MSP_MINUTE
/* Of each limit this much is split evenly, for callers who appear somewhere. */
#define EVEN_PART 0.125
/* Of the slack this much is used; the rest is for VMs that disagree. */
#define SLACK_PART 0.5
/* What a data centre no longer tells of counts for so long after it. */
#define TOLD_TIME (3 * MSP_SECOND)
/* A data centre that tells nothing keeps its parts for so long. */
#define SILENCE_MAX MSP_MINUTE
/* A process takes at least so long to start again; meanwhile it admits none. */
#define RESTART_TIME (250 * MSP_MS)
/* Of its data centre's part, an owner uses so much that is not the first. */
#define STANDBY_PART 0.1
/* A data centre is silent if it has told nothing for so long. */
#define IN_TOUCH_TIME (750 * MSP_MS)
#define DEMAND_MIN 0.01 /* requests per second that are worth telling */
/* No refusal names a longer wait. */
#define WAIT_MAX_S 10.0

/* The demand of another data centre. */
typedef struct told_demand {
	double per_second;
	msp_time_t heard_at;
} told_demand_t;

typedef struct rate_bucket {
	msp_rate_limit_t limit;
	uint64_t version; /* of the configuration that the limit is from */
	double level; /* requests that may be admitted, without the slack */
	msp_time_t refilled_at;
	msp_time_t used_at;
	/* Requests that were refused and may come back before others. */
	double expected_back;
	double part_in_touch; /* when all data centres were last in touch */
	msp_demand_rate_t demand;
	/*
	 * Demand of each data centre, of this one as it was last told: parts
	 * add up to 1 only if all compute with the same figures.
	 */
	told_demand_t told[];
} rate_bucket_t;

struct msp_rate_owner {
	msp_env_t env;
	msp_rate_owner_options_t options;
	msp_map_t *buckets; /* rate_bucket_t by organisation */
	msp_time_t created_at;
	msp_time_t started_at; /* as owner */
	msp_time_t acts_until;
	double share; /* of this data centre's parts that is used */
	size_t told_count; /* of the buckets, by msp_tell_rate_demand() */
	msp_time_t heard_at[]; /* last message of each data centre */
};

msp_rate_owner_t *
msp_new_rate_owner(
    const msp_env_t *env, const msp_rate_owner_options_t *options)
{
	msp_rate_owner_t *owner = calloc(
	    1, sizeof(*owner) + options->place_count * sizeof(msp_time_t));

	if (owner == NULL)
		return NULL;
	owner->env = *env;
	owner->options = *options;
	owner->created_at = msp_now(env);
	owner->started_at = owner->created_at - RESTART_TIME;
	owner->acts_until = owner->created_at + OWNER_TIME;
	owner->share = 1;
	owner->buckets = msp_new_map();
	if (owner->buckets != NULL)
		return owner;
	free(owner);
	return NULL;
}

void
msp_drop_rate_owner(msp_rate_owner_t *owner)
{
	if (owner == NULL)
		return;
	msp_drop_map_and_values(owner->buckets);
	free(owner);
}

static void
empty_buckets(msp_rate_owner_t *owner, msp_time_t now)
{
	size_t cursor = 0;
	const char *name;
	void *value;

	while (msp_map_next(owner->buckets, &cursor, &name, &value)) {
		rate_bucket_t *bucket = value;

		bucket->level = fmin(bucket->level, 0);
		bucket->refilled_at = now;
		bucket->expected_back = 0;
	}
}

void
msp_act_as_rate_owner(msp_rate_owner_t *owner, bool is_first)
{
	msp_time_t now = msp_now(&owner->env);

	if (now >= owner->acts_until) {
		owner->started_at = now;
		empty_buckets(owner, now);
	}
	owner->acts_until = now + OWNER_TIME;
	owner->share = is_first ? 1 : STANDBY_PART;
}

/* Returns NULL if out of memory. */
static rate_bucket_t *
open_bucket(msp_rate_owner_t *owner, const char *name)
{
	rate_bucket_t *bucket = msp_map_get_or_add(owner->buckets, name,
	    sizeof(*bucket) +
		owner->options.place_count * sizeof(told_demand_t));

	if (bucket != NULL && bucket->refilled_at == 0) {
		/* Nothing was admitted since this VM became the owner. */
		bucket->refilled_at = owner->started_at;
		bucket->used_at = msp_now(&owner->env);
	}
	return bucket;
}

/* What a data centre is asked for, as far as all know it. */
static double
get_told_demand(
    const msp_rate_owner_t *owner, const rate_bucket_t *bucket, size_t place)
{
	const told_demand_t *told = &bucket->told[place];
	msp_time_t heard_at = owner->heard_at[place];

	if (told->heard_at + TOLD_TIME < heard_at ||
	    msp_now(&owner->env) >= heard_at + SILENCE_MAX)
		return 0;
	return told->per_second;
}

/*
 * Whether a data centre has told nothing yet. What it is asked for is then not
 * known; after a while it is taken to have no VMs.
 */
static bool
is_unheard(const msp_rate_owner_t *owner, size_t place)
{
	return owner->heard_at[place] == 0 &&
	    msp_now(&owner->env) < owner->created_at + SILENCE_MAX;
}

/*
 * Whether a data centre tells nothing at present but may admit requests. It is
 * told of no changes either, so that its part stays as it was.
 */
static bool
is_silent(const msp_rate_owner_t *owner, size_t place)
{
	msp_time_t now = msp_now(&owner->env);
	msp_time_t heard_at = owner->heard_at[place];

	return place != owner->options.place && heard_at != 0 &&
	    now >= heard_at + IN_TOUCH_TIME && now < heard_at + SILENCE_MAX;
}

static double
compute_part(const msp_rate_owner_t *owner, rate_bucket_t *bucket)
{
	double count = (double)owner->options.place_count;
	double even = bucket->limit.per_second * EVEN_PART;
	double own = get_told_demand(owner, bucket, owner->options.place);
	double all = 0;
	double part = 1 / count;
	bool all_heard = true;
	bool in_touch = true;
	size_t i;

	for (i = 0; i < owner->options.place_count; i++) {
		all += get_told_demand(owner, bucket, i);
		all_heard = all_heard && !is_unheard(owner, i);
		in_touch = in_touch && !is_silent(owner, i);
	}
	if (all + even > 0)
		part = (own + even / count) / (all + even);
	if (!all_heard)
		return fmin(part, 1 / count);
	if (in_touch || bucket->part_in_touch == 0)
		bucket->part_in_touch = part;
	return fmin(part, bucket->part_in_touch);
}

/* Requests that may be admitted beyond the bucket's level. */
static double
get_allowance(const msp_rate_owner_t *owner)
{
	return owner->options.slack * SLACK_PART * owner->share /
	    (double)owner->options.place_count;
}

static void
refill(const msp_rate_owner_t *owner, rate_bucket_t *bucket, double part)
{
	msp_time_t now = msp_now(&owner->env);
	double seconds =
	    (double)(now - bucket->refilled_at) / (double)MSP_SECOND;
	double gained = bucket->limit.per_second * part * seconds;

	/* A bucket that holds less than one request would never admit any. */
	bucket->level =
	    fmin(fmax(1, bucket->limit.burst * part), bucket->level + gained);
	bucket->expected_back = fmax(0, bucket->expected_back - gained);
	bucket->refilled_at = now;
}

/* Whether a limit of this version replaces the bucket's. */
static void
update_limit(rate_bucket_t *bucket, const msp_rate_ask_t *ask)
{
	if (ask->version < bucket->version)
		return;
	bucket->version = ask->version;
	bucket->limit = ask->limit;
}

/* The time until a request that comes back finds room. */
static msp_time_t
compute_wait(const rate_bucket_t *bucket, double part, double available)
{
	double rate = bucket->limit.per_second * part;
	double seconds;

	if (rate <= 0)
		return MSP_NEVER;
	seconds = (1 - available + bucket->expected_back) / rate;
	return (msp_time_t)(fmin(seconds, WAIT_MAX_S) * (double)MSP_SECOND) + 1;
}

void
msp_ask_rate_owner(
    msp_rate_owner_t *owner, const msp_rate_ask_t *ask, msp_rate_grant_t *grant)
{
	rate_bucket_t *bucket = open_bucket(owner, ask->name);
	msp_time_t now = msp_now(&owner->env);
	double available;
	double part;

	*grant = (msp_rate_grant_t){.wait = MSP_NEVER};
	strlcpy(grant->name, ask->name, sizeof(grant->name));
	if (bucket == NULL)
		return;
	update_limit(bucket, ask);
	msp_count_demand(&bucket->demand, now, ask->arrived);
	bucket->used_at = now;
	part = compute_part(owner, bucket) * owner->share;
	refill(owner, bucket, part);
	bucket->level += (double)ask->returned - (double)ask->charged;
	available = bucket->level + get_allowance(owner);
	if (available >= 1)
		grant->granted =
		    available < ask->wanted ? (uint32_t)available : ask->wanted;
	bucket->level -= grant->granted;
	if (grant->granted == ask->wanted) {
		grant->wait = 0;
		return;
	}
	grant->wait = compute_wait(bucket, part, available - grant->granted);
	bucket->expected_back += ask->wanted - grant->granted;
}

void
msp_hear_rate_demand(msp_rate_owner_t *owner, size_t place,
    const msp_rate_demand_t *demand, size_t count)
{
	msp_time_t now = msp_now(&owner->env);
	rate_bucket_t *bucket;
	size_t i;

	/* The owner alone knows what its own data centre is asked for. */
	if (place >= owner->options.place_count ||
	    (place == owner->options.place && now < owner->acts_until))
		return;
	owner->heard_at[place] = now;
	for (i = 0; i < count; i++) {
		bucket = open_bucket(owner, demand[i].name);
		if (bucket != NULL)
			bucket->told[place] =
			    (told_demand_t){.per_second = demand[i].per_second,
				.heard_at = now};
	}
}

static bool
is_idle(const msp_rate_owner_t *owner, const rate_bucket_t *bucket)
{
	size_t i;

	for (i = 0; i < owner->options.place_count; i++) {
		if (get_told_demand(owner, bucket, i) > 0)
			return false;
	}
	return msp_now(&owner->env) >= bucket->used_at + BUCKET_IDLE_MAX;
}

static void
drop_idle_buckets(msp_rate_owner_t *owner)
{
	size_t cursor = 0;
	const char *name;
	void *value;

	while (msp_map_next(owner->buckets, &cursor, &name, &value)) {
		if (is_idle(owner, value))
			free(msp_map_remove(owner->buckets, name));
	}
}

size_t
msp_tell_rate_demand(
    msp_rate_owner_t *owner, msp_rate_demand_t *out, size_t max)
{
	msp_time_t now = msp_now(&owner->env);
	size_t skipped = 0;
	size_t count = 0;
	size_t cursor = 0;
	const char *name;
	void *value;

	owner->heard_at[owner->options.place] = now;
	if (owner->told_count == 0)
		drop_idle_buckets(owner);
	while (count < max &&
	    msp_map_next(owner->buckets, &cursor, &name, &value)) {
		rate_bucket_t *bucket = value;
		double rate = msp_get_demand_rate(&bucket->demand, now);

		if (rate < DEMAND_MIN || skipped++ < owner->told_count)
			continue;
		bucket->told[owner->options.place] =
		    (told_demand_t){.per_second = rate, .heard_at = now};
		strlcpy(out[count].name, name, sizeof(out[count].name));
		out[count++].per_second = rate;
	}
	owner->told_count = count == max ? owner->told_count + count : 0;
	return count;
}

double
msp_rate_part(const msp_rate_owner_t *owner, const char *name)
{
	rate_bucket_t *bucket = msp_map_get(owner->buckets, name);

	return bucket == NULL ? 1 / (double)owner->options.place_count
			      : compute_part(owner, bucket);
}

size_t
msp_count_rate_buckets(const msp_rate_owner_t *owner)
{
	return msp_map_count(owner->buckets);
}
