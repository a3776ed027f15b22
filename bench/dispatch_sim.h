#ifndef TESTS_SUPPORT_DISPATCH_SIM_H
#define TESTS_SUPPORT_DISPATCH_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord.h"
#include "monsoonspindle/steer.h"

/*
 * A driver on the virtual clock for the dispatchers of one service, with fake
 * targets and an open stream of requests: one data centre or a few regions.
 */

#define REGION_RTT (55 * MSP_MS)
#define SIM_PLACES_MAX 6
#define SIM_TARGETS_MAX 32
#define SIM_ENTRY_VMS 4 /* entry VMs in a place, for the static shares */
#define SIM_LINK_LOG_SIZE \
	4096 /* shifts remembered for the check of one second */

typedef enum sim_mode {
	SIM_MODE_DISPATCHER, /* the dispatcher */
	SIM_MODE_STATIC_SHARES, /* slot shares at each entry VM */
	SIM_MODE_RANDOM /* random target, retries with back-off */
} sim_mode_t;

typedef struct dispatch_sim_config {
	uint64_t seed;
	sim_mode_t mode;
	uint32_t regions;
	uint32_t data_centres; /* in each region */
	uint32_t targets; /* in all */
	uint32_t slots;
	double load; /* of all slots; the rate follows */
	double skew; /* share of the first region; 0: even */
	bool spillover; /* spill to the sibling and, by credit, to regions */
	bool cold_targets; /* targets start cold */
	msp_credit_rate_t cap; /* between each pair of regions */
	msp_dispatch_policy_t policy;
	msp_time_t service_mean; /* 0: 50 ms */
	msp_time_t duration;
	msp_time_t warm_up; /* not measured */
	uint32_t response_bytes; /* mean size; 0: 10,000 */
	bool callers_retry; /* refused callers return after the time told */
} dispatch_sim_config_t;

struct dispatch_sim;

typedef struct fake_target {
	struct dispatch_sim *sim;
	char name[16];
	uint32_t index;
	uint32_t place;
	uint32_t slots;
	uint32_t in_use;
	bool dead;
	bool frozen;
	bool reused_connections_silent; /* connections that are not fresh */
	bool shedding;
	bool leaving;
	msp_time_t leaving_since; /* when it began to leave; 0: no */
	uint64_t requests_served; /* since its start; the first ones are slow */
	uint32_t peak_in_use;
	uint64_t late_starts; /* over 3 s after it began to leave */
	TAILQ_HEAD(fake_attempt_list, fake_attempt) running;
} fake_target_t;

typedef struct sim_request {
	msp_job_t job;
	struct dispatch_sim *sim;
	uint32_t client_region; /* of its client */
	uint32_t entry_place; /* place of its entry VM */
	uint32_t current_place; /* place that has it now */
	uint32_t entry_vm; /* its entry VM there */
	uint32_t response_bytes; /* of the answer */
	msp_credit_reservation_t reservation;
	msp_time_t created_at;
	uint32_t runs; /* times that a target took it */
	uint32_t attempt_count; /* of the random mode */
	bool retried_elsewhere;
	bool poison;
	bool ended;
	bool completed;
	msp_dispatcher_t *dispatcher; /* that has it */
	struct fake_attempt *attempts[MSP_JOB_ATTEMPTS_MAX];
	TAILQ_ENTRY(sim_request) link;
	TAILQ_ENTRY(sim_request) queue_link;
} sim_request_t;

typedef struct fake_attempt {
	sim_request_t *request;
	struct sim_place *place;
	fake_target_t *target;
	msp_dispatcher_t *dispatcher;
	msp_attempt_id_t id;
	msp_outcome_t outcome;
	bool fresh_connection;
	bool pending; /* the dispatcher waits for its end */
	bool in_slot;
	TAILQ_ENTRY(fake_attempt) link; /* of the target's running ones */
	TAILQ_ENTRY(fake_attempt) all_link;
} fake_attempt_t;

TAILQ_HEAD(sim_request_list, sim_request);

/* One entry VM's own queue and shares, in the static mode. */
typedef struct static_entry_vm {
	struct sim_request_list queue;
	uint32_t slots[SIM_TARGETS_MAX];
	uint32_t in_use[SIM_TARGETS_MAX];
} static_entry_vm_t;

typedef struct sim_place {
	struct dispatch_sim *sim;
	uint32_t index;
	uint32_t region;
	char name[16];
	msp_dispatcher_t *dispatcher;
	msp_dispatcher_t
	    *second_dispatcher; /* a second one that should not be */
	bool second_dispatcher_retired;
	msp_credit_granter_t *granter;
	msp_sender_credits_t *sender_credits;
	msp_spill_t spill[MSP_CLASS_COUNT];
	msp_time_t next_tick;
	bool frozen; /* the VM of the dispatcher */
	msp_time_t thaw_at;
	bool down; /* takes nothing and says nothing */
	bool isolated; /* no gossip and no traffic from or to other regions */
	msp_time_t advertised_wait; /* as its sibling last heard */
	msp_time_t advertised_background_wait;
	static_entry_vm_t entry_vms[SIM_ENTRY_VMS];
} sim_place_t;

/* One direction between two regions, as measured. */
typedef struct sim_link {
	struct {
		msp_time_t at;
		uint64_t bytes;
		uint32_t requests;
	} log[SIM_LINK_LOG_SIZE];
	uint64_t first, next;
	uint64_t bytes; /* in the last second */
	uint64_t requests;
	uint64_t peak_bytes;
	uint64_t peak_requests;
} sim_link_t;

typedef struct dispatch_sim_results {
	msp_histogram_t latency[MSP_CLASS_COUNT]; /* us, whole answers */
	msp_histogram_t target_use; /* percent of a target's slots */
	msp_histogram_t region_use; /* percent of a region's slots */
	uint64_t full_samples; /* of region_use, 95% or more */
	uint64_t requests[MSP_CLASS_COUNT];
	uint64_t completed[MSP_CLASS_COUNT];
	uint64_t refused[MSP_CLASS_COUNT];
	uint64_t refused_by_status[MSP_STATUS_COUNT];
	uint64_t attempts;
	uint64_t shed_attempts;
	uint64_t shifted; /* to another region */
	uint64_t idle_closes; /* calls to close idle connections */
	uint64_t duplicate_commits; /* commits that reached targets twice */
	uint64_t false_not_run; /* refused as not run, but a target took it */
	uint64_t missing_retry_after; /* overload refusals without a time */
	/* Oldest age of a request refused from the queue, with `run` no. */
	msp_time_t max_refusal_age[MSP_CLASS_COUNT];
	/* Own clients of regions but the first. */
	uint64_t other_region_refusals;
	uint64_t displaced_refusals; /* of these, while shifted work held slots
					there */
	msp_time_t other_region_max_wait; /* their longest time in the queue */
	msp_time_t max_deadline_overrun; /* longest time from deadline to final
					    answer */
} dispatch_sim_results_t;

typedef void sim_callback_t(struct dispatch_sim *world, void *arg);

typedef struct sim_event {
	msp_time_t at;
	uint64_t number;
	sim_callback_t *run;
	void *arg;
} sim_event_t;

typedef struct dispatch_sim {
	dispatch_sim_config_t config;
	msp_virtual_env_t venv;
	msp_env_t env;
	msp_rng_t rng; /* of the targets and entry VMs */
	msp_rng_t request_rng; /* of the requests: the same in each mode */
	sim_place_t places[SIM_PLACES_MAX];
	uint32_t place_count;
	fake_target_t targets[SIM_TARGETS_MAX];
	sim_link_t links[SIM_PLACES_MAX][SIM_PLACES_MAX];
	sim_event_t *heap;
	size_t heap_len, heap_size;
	uint64_t next_event_number;
	uint32_t target_kills; /* targets that died */
	uint32_t poison_left; /* times that its caller will send it again */
	double load_factor; /* factor on the load now */
	msp_time_t measure_from;
	msp_time_t stop_at; /* of the stream of requests */
	struct sim_request_list requests;
	TAILQ_HEAD(all_attempt_list, fake_attempt) attempts;
	dispatch_sim_results_t results;
} dispatch_sim_t;

dispatch_sim_t *new_dispatch_sim(const dispatch_sim_config_t *config);
void drop_dispatch_sim(dispatch_sim_t *world);

/* Runs `run` at `at`. */
void schedule_sim_event(
    dispatch_sim_t *world, msp_time_t at, sim_callback_t *run, void *arg);

/* Runs until the stream has ended and each request has its final answer. */
void run_dispatch_sim(dispatch_sim_t *world);
void run_dispatch_sim_until(dispatch_sim_t *world, msp_time_t end);

/* Evenly distributed in [0, 1). */
double draw_uniform(msp_rng_t *rng);
double draw_lognormal(msp_rng_t *rng, double mean);

/* Number of a place's targets; sets the first one's index. */
uint32_t get_place_targets(
    const dispatch_sim_t *world, uint32_t place, uint32_t *first);

/* Tells a place's dispatchers about its targets. */
void update_target_list(sim_place_t *place);

/* A dispatcher of a place, with its targets. */
msp_dispatcher_t *new_sim_dispatcher(sim_place_t *place);

/* The VM of the dispatcher dies; another one takes over at once. */
void kill_dispatcher(sim_place_t *place);

/* Faults by name, from `at` for a few seconds. */
typedef struct sim_fault {
	const char *name;
	void (*start)(dispatch_sim_t *world);
	void (*stop)(dispatch_sim_t *world); /* may be NULL */
} sim_fault_t;

extern const sim_fault_t sim_faults[];
extern const int sim_fault_count;

void schedule_fault(dispatch_sim_t *world, const sim_fault_t *fault,
    msp_time_t at, msp_time_t span);

/* Puts one request in at a place now. */
sim_request_t *add_request(dispatch_sim_t *world, uint32_t place,
    msp_request_class_t class, msp_digest_t print);

/* A read that kills each target that runs it. */
sim_request_t *add_poison_request(
    dispatch_sim_t *world, uint32_t place, msp_digest_t print);

/* Sends a request to a target, which answers, sheds, dies or is silent. */
void start_fake_attempt(sim_place_t *place, sim_request_t *request,
    fake_target_t *target, bool fresh, msp_attempt_id_t token);
void cancel_fake_attempt(sim_request_t *request, msp_attempt_id_t token);

/* Kills a target for `span`; work on it is lost. */
void kill_target(fake_target_t *target, msp_time_t span);

/* The ends of a request. */
void finish_request(sim_request_t *request);
void refuse_request(sim_request_t *request, const msp_refusal_t *refusal);

/* Path of the dispatcher mode. */
void set_up_place(sim_place_t *place);
void set_up_granter(sim_place_t *place);
void route_request(sim_request_t *request);
void schedule_tick(sim_place_t *place);
void start_gossip(dispatch_sim_t *world);

/* Paths of the other modes. */
void start_baseline(dispatch_sim_t *world);
void route_baseline_request(sim_request_t *request);
void end_baseline_attempt(fake_attempt_t *attempt);

#endif
