#include "monsoonspindle/base/env.h"

#include <stddef.h>
#include <time.h>

#include <bsd/stdlib.h>

msp_time_t
msp_now(const msp_env_t *env)
{
	return env->now(env->ctx);
}

uint64_t
msp_random_below(const msp_env_t *env, uint64_t bound)
{
	if (bound == 0)
		return 0;
	return env->random(env->ctx) % bound;
}

uint64_t
msp_next_random(msp_rng_t *rng)
{
	uint64_t z;

	rng->state += 0x9e3779b97f4a7c15ULL;
	z = rng->state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static msp_time_t
virtual_now(void *ctx)
{
	return ((msp_virtual_env_t *)ctx)->now;
}

static uint64_t
virtual_random(void *ctx)
{
	return msp_next_random(&((msp_virtual_env_t *)ctx)->rng);
}

msp_env_t
msp_virtual_env(msp_virtual_env_t *venv)
{
	return (msp_env_t){
	    .now = virtual_now, .random = virtual_random, .ctx = venv};
}

static msp_time_t
system_now(void *ctx)
{
	struct timespec ts;

	(void)ctx;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (msp_time_t)ts.tv_sec * MSP_SECOND +
	    (msp_time_t)ts.tv_nsec / 1000;
}

static uint64_t
system_random(void *ctx)
{
	uint64_t value;

	(void)ctx;
	arc4random_buf(&value, sizeof(value));
	return value;
}

msp_env_t
msp_system_env(void)
{
	return (msp_env_t){.now = system_now, .random = system_random};
}
