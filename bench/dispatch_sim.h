#ifndef TESTS_SUPPORT_DISPATCH_SIM_H
#define TESTS_SUPPORT_DISPATCH_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/coord.h"
#include "monsoonspindle/steer.h"

/*
 * A simulation on the virtual clock of the dispatchers of one service, in one
 * data centre or in several regions, with fake targets. Requests arrive in an
 * open loop: at random times, whether or not earlier ones have ended.
 */

#define REGION_RTT (55 * MSP_MS)
#define SIM_PLACES_MAX 6
#define SIM_TARGETS_MAX 32
#define SIM_ENTRY_VMS 4 /* of each place, for static shares of slots */
/* Requests and responses of one second that are logged for one link. */
#define SIM_LINK_LOG_SIZE 4096

typedef enum sim_mode {
	SIM_MODE_DISPATCHER, /* the dispatcher chooses the targets */
	SIM_MODE_STATIC_SHARES, /* entry VMs own fixed shares of the slots */
	SIM_MODE_RANDOM /* random targets, retries with exponential delay */
} sim_mode_t;

typedef struct dispatch_sim_config {
	uint64_t seed;
	sim_mode_t mode;
	uint32_t regions;
	uint32_t data_centres; /* in each region */
	uint32_t targets; /* in all regions together */
	uint32_t slots; /* of each target */
	double load; /* mean use of all slots, from which the rate follows */
	double skew; /* first region's share of requests; 0: all equal */
	bool spillover; /* to places of the region and, by credit, of others */
	bool cold_targets; /* targets start cold */
	msp_credit_rate_t cap; /* for each pair of regions and direction */
	msp_dispatch_policy_t policy;
	msp_time_t service_mean; /* 0: 50 ms */
	msp_time_t duration;
	msp_time_t warm_up; /* initial part of it that isn't measured */
	uint32_t response_bytes; /* mean size; 0: 10,000 */
	bool callers_retry; /* refused callers honour Retry-After */
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
	bool reused_connections_silent; /* no response on reused connections */
	bool shedding; /* refuses requests, as without a free slot */
	bool leaving;
	msp_time_t leaving_since; /* 0: not leaving */
	uint64_t requests_served; /* since its start; the first ones are slow */
	uint32_t peak_in_use; /* maximum of in_use */
	uint64_t late_starts; /* attempts over 3 s after leaving_since */
	TAILQ_HEAD(fake_attempt_list, fake_attempt) running;
} fake_target_t;

typedef struct sim_request {
	msp_job_t job;
	struct dispatch_sim *sim;
	uint32_t client_region;
	uint32_t entry_place; /* place of its entry VM */
	uint32_t current_place; /* place that processes it */
	uint32_t entry_vm; /* index in the entry place */
	uint32_t response_bytes;
	msp_credit_reservation_t reservation;
	msp_time_t created_at;
	uint32_t runs; /* targets that started to run it */
	uint32_t attempt_count; /* in SIM_MODE_RANDOM only */
	bool retried_elsewhere; /* at another place after a refusal */
	bool poison; /* crashes each target that runs it */
	bool ended; /* has a response or a final refusal */
	bool completed; /* the client has the complete response */
	msp_dispatcher_t *dispatcher; /* the one that it was submitted to */
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
	bool in_slot; /* occupies a slot of the target */
	TAILQ_ENTRY(fake_attempt) link; /* in fake_target_t.running */
	TAILQ_ENTRY(fake_attempt) all_link; /* in dispatch_sim_t.attempts */
} fake_attempt_t;

TAILQ_HEAD(sim_request_list, sim_request);

/* An entry VM in SIM_MODE_STATIC_SHARES. `slots` and `in_use` are by target. */
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
	/* Dispatches for the same place by a fault, or NULL. */
	msp_dispatcher_t *second_dispatcher;
	bool second_dispatcher_retired;
	msp_credit_granter_t *granter;
	msp_sender_credits_t *sender_credits;
	msp_spill_t spill[MSP_CLASS_COUNT];
	msp_time_t next_tick;
	bool frozen; /* the VM of the dispatcher */
	msp_time_t resume_at; /* end of the freeze */
	bool down; /* gets no requests of other places, offers no credits */
	bool isolated; /* no gossip and no traffic from or to other regions */
	/* The waits that the other places of its region know of. */
	msp_time_t advertised_wait; /* interactive */
	msp_time_t advertised_background_wait;
	static_entry_vm_t entry_vms[SIM_ENTRY_VMS];
} sim_place_t;

/* Traffic in one direction between two regions. */
typedef struct sim_link {
	struct {
		msp_time_t at;
		uint64_t bytes;
		uint32_t requests;
	} log[SIM_LINK_LOG_SIZE];
	uint64_t first, next; /* range of the log, modulo its size */
	uint64_t bytes; /* in the last second, as are the requests */
	uint64_t requests;
	uint64_t peak_bytes; /* maximum of the above */
	uint64_t peak_requests;
} sim_link_t;

typedef struct dispatch_sim_results {
	msp_histogram_t latency[MSP_CLASS_COUNT]; /* us, if completed */
	msp_histogram_t target_use; /* percent of a target's slots */
	msp_histogram_t region_use; /* percent of a region's slots */
	uint64_t full_samples; /* samples of region_use of 95% or more */
	uint64_t requests[MSP_CLASS_COUNT];
	uint64_t completed[MSP_CLASS_COUNT];
	uint64_t refused[MSP_CLASS_COUNT];
	uint64_t refused_by_status[MSP_STATUS_COUNT];
	uint64_t attempts;
	uint64_t shed_attempts; /* refused by a target without a free slot */
	uint64_t shifted; /* to another region */
	uint64_t idle_closes; /* calls to close idle connections */
	uint64_t duplicate_commits; /* further runs of commits */
	uint64_t false_not_run; /* refused as not run, though a target ran it */
	uint64_t missing_retry_after; /* refusals that lack a retry time */
	/* Age of the oldest request that was refused as not run. */
	msp_time_t max_refusal_age[MSP_CLASS_COUNT];
	/*
	 * The next three are of interactive requests and commits whose clients
	 * are in another region than the first.
	 */
	uint64_t other_region_refusals;
	/* Of these, while requests of other regions held slots there. */
	uint64_t displaced_refusals;
	msp_time_t other_region_max_wait; /* until the first attempt */
	/* Longest time from the deadline to the refusal. */
	msp_time_t max_deadline_overrun;
} dispatch_sim_results_t;

typedef void sim_callback_t(struct dispatch_sim *sim, void *arg);

typedef struct sim_event {
	msp_time_t at;
	uint64_t number; /* order of events with the same time */
	sim_callback_t *run;
	void *arg;
} sim_event_t;

typedef struct dispatch_sim {
	dispatch_sim_config_t config;
	msp_virtual_env_t venv;
	msp_env_t env;
	msp_rng_t rng; /* for targets and entry VMs */
	msp_rng_t request_rng; /* generates the same requests in each mode */
	sim_place_t places[SIM_PLACES_MAX];
	uint32_t place_count;
	fake_target_t targets[SIM_TARGETS_MAX];
	sim_link_t links[SIM_PLACES_MAX][SIM_PLACES_MAX];
	sim_event_t *heap;
	size_t heap_len, heap_size;
	uint64_t next_event_number;
	uint32_t target_kills;
	uint32_t poison_left; /* poison requests still to be sent */
	double load_factor; /* multiplies the configured load */
	msp_time_t measure_from;
	msp_time_t stop_at; /* end of arrivals */
	struct sim_request_list requests;
	TAILQ_HEAD(all_attempt_list, fake_attempt) attempts;
	dispatch_sim_results_t results;
} dispatch_sim_t;

dispatch_sim_t *new_dispatch_sim(const dispatch_sim_config_t *config);
void drop_dispatch_sim(dispatch_sim_t *sim);

/* Calls `run` with `arg` at the time `at`. */
void schedule_sim_event(
    dispatch_sim_t *sim, msp_time_t at, sim_callback_t *run, void *arg);

/* Runs until arrivals have ended and all deadlines have passed. */
void run_dispatch_sim(dispatch_sim_t *sim);
void run_dispatch_sim_until(dispatch_sim_t *sim, msp_time_t end);

/* Returns a random number with a uniform distribution over [0, 1). */
double draw_uniform(msp_rng_t *rng);
double draw_lognormal(msp_rng_t *rng, double mean);

/* Returns the number of a place's targets and sets the index of the first. */
uint32_t get_place_targets(
    const dispatch_sim_t *sim, uint32_t place, uint32_t *first);

/* Passes the list of a place's targets to its dispatchers. */
void update_target_list(sim_place_t *place);

/* Creates a dispatcher for a place, still without targets. */
msp_dispatcher_t *new_sim_dispatcher(sim_place_t *place);

/* Kills the dispatcher's VM. A new dispatcher takes over at once. */
void kill_dispatcher(sim_place_t *place);

/* A fault that can be injected. */
typedef struct sim_fault {
	const char *name;
	void (*start)(dispatch_sim_t *sim);
	void (*stop)(dispatch_sim_t *sim); /* may be NULL */
} sim_fault_t;

extern const sim_fault_t sim_faults[];
extern const int sim_fault_count;

/* Starts the fault at `at` and stops it after `span`. */
void schedule_fault(dispatch_sim_t *sim, const sim_fault_t *fault,
    msp_time_t at, msp_time_t span);

/* Sends a request to an entry VM of a place. */
sim_request_t *add_request(dispatch_sim_t *sim, uint32_t place,
    msp_request_class_t class, msp_digest_t fingerprint);

/* Sends an interactive request that crashes each target that runs it. */
sim_request_t *add_poison_request(
    dispatch_sim_t *sim, uint32_t place, msp_digest_t fingerprint);

/*
 * Sends a request to a target, which runs it, sheds it, refuses the connection
 * or doesn't respond, depending on its state.
 */
void start_fake_attempt(sim_place_t *place, sim_request_t *request,
    fake_target_t *target, bool fresh_connection, msp_attempt_id_t id);
void cancel_fake_attempt(sim_request_t *request, msp_attempt_id_t id);

/* Crashes a target with all its requests; it restarts after `span`. */
void kill_target(fake_target_t *target, msp_time_t span);

/* End a request, with a response or with a refusal. */
void finish_request(sim_request_t *request);
void refuse_request(sim_request_t *request, const msp_refusal_t *refusal);

/* For SIM_MODE_DISPATCHER. */
void set_up_place(sim_place_t *place);
void set_up_granter(sim_place_t *place);
void route_request(sim_request_t *request);
void schedule_tick(sim_place_t *place);
void start_gossip(dispatch_sim_t *sim);

/* For the other modes. */
void start_baseline(dispatch_sim_t *sim);
void route_baseline_request(sim_request_t *request);
void end_baseline_attempt(fake_attempt_t *attempt);

#endif
