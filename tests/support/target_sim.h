#ifndef SUPPORT_TARGET_SIM_H
#define SUPPORT_TARGET_SIM_H

#include "monsoonspindle/steer.h"

/*
 * A simulation of targets and VMs on the virtual clock, without network. Each
 * VM has its own view and balancer, and learns the load of targets only from
 * responses. A target runs `slots` requests at a time and queues the rest. It
 * caches the objects that it used last; a request for any other object takes
 * TARGET_SIM_MISS_FACTOR times as long.
 */

#define TARGET_SIM_TARGETS_MAX 256
#define TARGET_SIM_VMS_MAX 384
#define TARGET_SIM_MISS_FACTOR 3.3

/* Who chooses the target of a request. */
typedef enum target_sim_choosers {
	TARGET_SIM_ENTRY_VM, /* the VM that got it */
	TARGET_SIM_OBJECT_VM, /* in its region, always the same for an object */
} target_sim_choosers_t;

typedef struct target_sim_config {
	unsigned int regions;
	unsigned int targets[8]; /* of each region */
	unsigned int vms; /* of each region */
	uint32_t slots;
	uint32_t queue_max; /* requests that may wait at a target */
	unsigned int cache_size; /* objects in the memory of a target */
	unsigned int objects; /* number of different objects */
	msp_time_t service_time; /* with the object cached */
	msp_time_t rtt; /* to another region */
	uint32_t goal_ms; /* latency objective */
	uint32_t timeout_ms;
	bool without_objects; /* requests are not for an object */
	target_sim_choosers_t choosers;
	msp_time_t hop; /* to another VM of the region and back */
	/*
	 * After this time the other VMs of the region know the load that a
	 * response has told; 0: never.
	 */
	msp_time_t told_after;
} target_sim_config_t;

/* Requests per second over a time span, from one region or (-1) from each. */
typedef struct target_sim_load {
	msp_time_t begin;
	msp_time_t end;
	double per_second;
	int region;
} target_sim_load_t;

typedef struct target_sim_result {
	unsigned int sent;
	unsigned int in_time; /* responses within the latency objective */
	unsigned int late; /* responses after it */
	unsigned int refused; /* by VMs and by targets */
	unsigned int shed; /* by targets whose queues are full */
	unsigned int paused; /* refused by targets that asked for a pause */
	unsigned int in_pauses; /* arrivals that break the rule PAUSE */
	unsigned int remote; /* sent to another region */
	unsigned int cache_misses;
	/*
	 * Largest change of the shares in which a region's requests go to the
	 * regions, from one window of 2 s to the next.
	 */
	double worst_shift;
	unsigned int peak_rate; /* requests to target 0 in one second */
	double busiest; /* requests to the busiest target, of the mean */
	unsigned int idle; /* targets without any request */
} target_sim_result_t;

typedef struct target_sim target_sim_t;

target_sim_t *new_target_sim(const target_sim_config_t *config, uint64_t seed);
void drop_target_sim(target_sim_t *sim);

/* Makes target 0 cold for `span`, with a limit of `per_second` requests. */
void make_sim_target_cold(
    target_sim_t *sim, msp_time_t span, double per_second);

/* Multiplies the service times of target `index` by `factor` from now on. */
void slow_sim_target(target_sim_t *sim, unsigned int index, double factor);

/*
 * Targets 0 to `count` - 1 refuse all requests for `span` from now on, and ask
 * for a pause of the time that is left.
 */
void pause_sim_targets(target_sim_t *sim, unsigned int count, msp_time_t span);

/* Evacuates a region: no request may go to its targets from now on. */
void evacuate_sim_region(target_sim_t *sim, unsigned int region);

/* Runs the loads from the current time to `until`, both since the start. */
void run_target_sim(target_sim_t *sim, const target_sim_load_t *loads,
    size_t count, msp_time_t until);

/* Returns the counts since the last call. */
target_sim_result_t take_target_sim_result(target_sim_t *sim);

#endif
