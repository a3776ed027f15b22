#ifndef MONSOONSPINDLE_BASE_ENV_H
#define MONSOONSPINDLE_BASE_ENV_H

#include <stdint.h>

/* Time on a monotonic clock, or a duration, in microseconds. */
typedef uint64_t msp_time_t;

#define MSP_MS ((msp_time_t)1000)
#define MSP_SECOND ((msp_time_t)1000000)
#define MSP_MINUTE (60 * MSP_SECOND)
#define MSP_NEVER UINT64_MAX

/*
 * Source of time and random numbers of a module. The modules of base, config,
 * coord and steer use nothing else for them, so that an embedder or a test can
 * run them with a virtual clock and a seeded generator. The struct is copied;
 * `ctx` must outlive the module.
 */
typedef struct msp_env {
	msp_time_t (*now)(void *ctx);
	uint64_t (*random)(void *ctx);
	void *ctx;
} msp_env_t;

msp_time_t msp_now(const msp_env_t *env);

/*
 * Returns a random number in [0, bound), 0 if `bound` is 0. It is reduced by
 * modulo, so the bias is negligible only for bounds far below 2^64.
 */
uint64_t msp_random_below(const msp_env_t *env, uint64_t bound);

/* A seeded random number generator (splitmix64), for tests and jitter. */
typedef struct msp_rng {
	uint64_t state;
} msp_rng_t;

uint64_t msp_next_random(msp_rng_t *rng);

/* A clock that advances only by assignment to `now`, and a generator. */
typedef struct msp_virtual_env {
	msp_time_t now;
	msp_rng_t rng;
} msp_virtual_env_t;

/* Returns an environment that reads `venv`, which must outlive its use. */
msp_env_t msp_virtual_env(msp_virtual_env_t *venv);

/* The system's monotonic clock, and random numbers of arc4random(). */
msp_env_t msp_system_env(void);

#endif
