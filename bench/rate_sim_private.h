#ifndef BENCH_RATE_SIM_PRIVATE_H
#define BENCH_RATE_SIM_PRIVATE_H

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord.h"
#include "monsoonspindle/steer/rate_share.h"
#include "rate_sim.h"

/* State of rate_sim.c (callers, faults, judgement) and rate_sim_vm.c. */

#define FAULT_FROM (6 * MSP_SECOND) /* from the first request on */
#define FAULT_TIME (4 * MSP_SECOND)
#define TELL_INTERVAL (500 * MSP_MS)
#define OWNERS_MAX 3 /* VMs that may be the owner */
#define DEMAND_MESSAGES_MAX 64

/* A data centre's demand on its way to another one. */
typedef struct demand_message {
	unsigned int from;
	unsigned int to;
	msp_time_t arrives;
	msp_rate_demand_t demand;
	size_t count; /* 0: nothing is asked for */
} demand_message_t;

typedef struct sim_vm {
	unsigned int place;
	unsigned int rank; /* in its data centre; 0: the owner */
	bool runs;
	bool frozen;
	bool cut_off;
	msp_time_t down_since;
	msp_time_t has_version_at; /* of the changed limit */
	msp_rate_leases_t *leases;
	msp_rate_owner_t *owner;
	msp_rate_share_t alone;
	msp_time_t told_at;
	msp_time_t *waiting; /* arrivals of the requests that wait */
	unsigned int waiting_count;
	/* The question that is under way. */
	bool asks;
	msp_rate_ask_t ask;
	unsigned int questions;
	bool was_late;
	unsigned int asked; /* rank of the VM */
	msp_time_t answer_at;
	bool has_answer; /* else it ends by its timeout */
	msp_time_t excluded_until[OWNERS_MAX]; /* by rank */
	msp_time_t asked_at; /* by another VM */
} sim_vm_t;

typedef struct rate_sim {
	rate_sim_options_t options;
	rate_sim_result_t *result;
	msp_virtual_env_t venv;
	msp_env_t env;
	msp_time_t start;
	sim_vm_t *vms;
	unsigned int vm_count;
	unsigned int *caller_vms; /* of each caller */
	unsigned int *caller_places;
	demand_message_t messages[DEMAND_MESSAGES_MAX];
	unsigned int message_count;
	msp_time_t *admitted; /* times, in order */
	/* The same limit, counted in one place without any delay. */
	double level;
	unsigned int fitting; /* requests that it admits */
	double waited; /* ms, of all that were admitted */
} rate_sim_t;

/* rate_sim_vm.c */

msp_time_t rate_sim_now(const rate_sim_t *sim);
bool is_rate_sim_fault_time(const rate_sim_t *sim);

/* The limit as it is written, before or after the fault changes it. */
msp_rate_limit_t get_rate_sim_limit(const rate_sim_t *sim, bool is_changed);
void start_rate_sim_vm(rate_sim_t *sim, sim_vm_t *vm);
void stop_rate_sim_vm(rate_sim_t *sim, sim_vm_t *vm);
void receive_rate_sim_request(rate_sim_t *sim, sim_vm_t *vm);

/* Sends the next question, and ends the one that is answered. */
void step_rate_sim_asks(rate_sim_t *sim, sim_vm_t *vm);

/* The VM that is the owner in its own eyes tells the other data centres. */
void tell_rate_sim_demand(rate_sim_t *sim, sim_vm_t *vm);
void deliver_rate_sim_demand(rate_sim_t *sim);

#endif
