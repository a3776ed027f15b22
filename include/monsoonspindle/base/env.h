#ifndef MONSOONSPINDLE_BASE_ENV_H
#define MONSOONSPINDLE_BASE_ENV_H

#include <stdint.h>

/* A point on a monotonic clock, or a span between two, in microseconds. */
typedef uint64_t msp_time_t;

#define MSP_MS ((msp_time_t)1000)
#define MSP_SECOND ((msp_time_t)1000000)
#define MSP_MINUTE (60 * MSP_SECOND)
#define MSP_NEVER UINT64_MAX

/*
 * Where a module gets time and randomness from. Modules of base, config,
 * coord and steer read neither by themselves, so an embedder or a test can
 * drive them with a virtual clock and a seed. The struct is copied; `ctx` is
 * borrowed and must outlive the module.
 */
typedef struct msp_env {
	msp_time_t (*now)(void *ctx);
	uint64_t (*random)(void *ctx);
	void *ctx;
} msp_env_t;

msp_time_t msp_now(const msp_env_t *env);

/* Returns an evenly distributed number in [0, bound); 0 if bound is 0. */
uint64_t msp_random_below(const msp_env_t *env, uint64_t bound);

/* A seeded generator (splitmix64), for tests and for jitter. */
typedef struct msp_rng {
	uint64_t state;
} msp_rng_t;

uint64_t msp_next_random(msp_rng_t *rng);

/* A clock that stands until it is moved, with a seeded generator. */
typedef struct msp_virtual_env {
	msp_time_t now;
	msp_rng_t rng;
} msp_virtual_env_t;

/* Returns callbacks over `venv`, which is borrowed. */
msp_env_t msp_virtual_env(msp_virtual_env_t *venv);

/* The system's monotonic clock and random numbers of the C library. */
msp_env_t msp_system_env(void);

#endif
