#ifndef SUPPORT_TARGET_SIM_H
#define SUPPORT_TARGET_SIM_H

#include "monsoonspindle/steer.h"

/*
 * Targets and VMs on the virtual clock, without network: each VM has a view
 * and a balancer of its own, and learns of the targets' load only from
 * answers. A target works on `slots` requests at a time and queues the rest;
 * it keeps the objects that it answered last in memory, and without an object
 * it works `COLD_FACTOR` times as long.
 */

#define TARGET_SIM_TARGETS_MAX 64
#define TARGET_SIM_VMS_MAX 32
#define TARGET_SIM_COLD_FACTOR 3.3

typedef struct target_sim_config {
	unsigned int regions;
	unsigned int targets[8]; /* of each region */
	unsigned int vms; /* of each region */
	uint32_t slots;
	uint32_t queue; /* requests that wait at a target; more are refused */
	unsigned int memory; /* objects that a target keeps */
	unsigned int objects;
	msp_time_t work; /* with the object in memory */
	msp_time_t trip; /* to another region and back */
	uint32_t goal_ms;
	uint32_t timeout_ms;
	bool without_objects; /* requests name none */
} target_sim_config_t;

/* Requests a second over a span, from one region or (-1) from each. */
typedef struct target_sim_load {
	msp_time_t begin;
	msp_time_t end;
	double per_second;
	int region;
} target_sim_load_t;

typedef struct target_sim_result {
	unsigned int asked;
	unsigned int in_time; /* answered within the objective */
	unsigned int late;
	unsigned int refused;
	unsigned int far; /* sent to another region */
	unsigned int cold_work; /* done without the object in memory */
	double worst_shift; /* of a region's requests, between windows of 2 s */
	unsigned int most_a_second; /* that target 0 got */
} target_sim_result_t;

typedef struct target_sim target_sim_t;

target_sim_t *new_target_sim(const target_sim_config_t *shape, uint64_t seed);
void drop_target_sim(target_sim_t *world);

/* Target 0 is cold for `span` and bears `per_second` requests meanwhile. */
void make_sim_target_cold(
    target_sim_t *world, msp_time_t span, double per_second);

/* Target `index` works `factor` times as long from now on. */
void slow_sim_target(target_sim_t *world, unsigned int index, double factor);

/* All targets of a region get nothing from now on. */
void evacuate_sim_region(target_sim_t *world, unsigned int region);

/* Plays the loads from where the world stands to `until`. */
void run_target_sim(target_sim_t *world, const target_sim_load_t *loads,
    size_t count, msp_time_t until);

/* Counts since the last call. */
target_sim_result_t take_target_sim_result(target_sim_t *world);

#endif
