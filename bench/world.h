#ifndef TESTS_SUPPORT_WORLD_H
#define TESTS_SUPPORT_WORLD_H

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
#define WORLD_PLACES 6
#define WORLD_TARGETS 32
#define WORLD_ENTRIES 4 /* entry VMs in a place, for the static shares */
#define WORLD_LINK 4096 /* shifts remembered for the check of one second */

typedef enum world_mode {
	WORLD_CENTRAL, /* the dispatcher */
	WORLD_STATIC, /* slot shares at each entry VM */
	WORLD_RANDOM /* random target, retries with back-off */
} world_mode_t;

typedef struct world_config {
	uint64_t seed;
	world_mode_t mode;
	uint32_t regions;
	uint32_t centres; /* in each region */
	uint32_t targets; /* in all */
	uint32_t slots;
	double load; /* of all slots; the rate follows */
	double skew; /* share of the first region; 0: even */
	bool shifts; /* spill to the sibling and, by credit, to regions */
	bool cold; /* targets start cold */
	msp_credit_rate_t cap; /* between each pair of regions */
	msp_dispatch_policy_t policy;
	msp_time_t service_mean; /* 0: 50 ms */
	msp_time_t duration;
	msp_time_t warm_up; /* not measured */
	uint32_t answer_bytes; /* mean size; 0: 10,000 */
	bool come_back; /* refused callers return after the time told */
} world_config_t;

struct world;

typedef struct fake_target {
	struct world *world;
	char name[16];
	uint32_t index;
	uint32_t place;
	uint32_t slots;
	uint32_t in_use;
	bool dead;
	bool frozen;
	bool kept_silent; /* connections that are not fresh */
	bool shedding;
	bool leaving;
	msp_time_t left_at; /* when it began to leave; 0: no */
	uint64_t served; /* since its start; the first ones are slow */
	uint32_t peak;
	uint64_t late_starts; /* over 3 s after it began to leave */
	TAILQ_HEAD(fake_attempt_list, fake_attempt) running;
} fake_target_t;

typedef struct world_request {
	msp_job_t job;
	struct world *world;
	uint32_t region; /* of its client */
	uint32_t home; /* place of its entry VM */
	uint32_t at; /* place that has it now */
	uint32_t entry; /* its entry VM there */
	uint32_t bytes; /* of the answer */
	msp_credit_reservation_t shift;
	msp_time_t born;
	uint32_t reached; /* times that a target took it */
	uint32_t tries; /* of the random mode */
	bool fell_back;
	bool poison;
	bool over;
	bool whole;
	msp_dispatcher_t *dispatcher; /* that has it */
	struct fake_attempt *attempts[MSP_JOB_ATTEMPTS_MAX];
	TAILQ_ENTRY(world_request) link;
	TAILQ_ENTRY(world_request) wait_link;
} world_request_t;

typedef struct fake_attempt {
	world_request_t *request;
	struct world_place *place;
	fake_target_t *target;
	msp_dispatcher_t *dispatcher;
	msp_attempt_id_t token;
	msp_outcome_t outcome;
	bool fresh;
	bool live; /* the dispatcher waits for its end */
	bool in_slot;
	TAILQ_ENTRY(fake_attempt) link; /* of the target's running ones */
	TAILQ_ENTRY(fake_attempt) all_link;
} fake_attempt_t;

TAILQ_HEAD(world_request_list, world_request);

/* One entry VM's own queue and shares, in the static mode. */
typedef struct static_entry {
	struct world_request_list queue;
	uint32_t share[WORLD_TARGETS];
	uint32_t used[WORLD_TARGETS];
} static_entry_t;

typedef struct world_place {
	struct world *world;
	uint32_t index;
	uint32_t region;
	char name[16];
	msp_dispatcher_t *dispatcher;
	msp_dispatcher_t *twin; /* a second one that should not be */
	bool twin_retired;
	msp_credit_granter_t *granter;
	msp_sender_credits_t *wallet;
	msp_spill_t spill[MSP_CLASS_COUNT];
	msp_time_t tick_at;
	bool frozen; /* the VM of the dispatcher */
	msp_time_t thaw_at;
	bool lost; /* takes nothing and says nothing */
	bool cut; /* no gossip and no traffic from or to other regions */
	msp_time_t told_wait; /* as its sibling last heard */
	msp_time_t told_background_wait;
	static_entry_t entries[WORLD_ENTRIES];
} world_place_t;

/* One direction between two regions, as measured. */
typedef struct world_link {
	struct {
		msp_time_t at;
		uint64_t bytes;
		uint32_t requests;
	} log[WORLD_LINK];
	uint64_t first, next;
	uint64_t bytes; /* in the last second */
	uint64_t requests;
	uint64_t most_bytes;
	uint64_t most_requests;
} world_link_t;

typedef struct world_results {
	msp_histogram_t latency[MSP_CLASS_COUNT]; /* us, whole answers */
	msp_histogram_t target_use; /* percent of a target's slots */
	msp_histogram_t region_use; /* percent of a region's slots */
	uint64_t full_samples; /* of region_use, 95% or more */
	uint64_t asked[MSP_CLASS_COUNT];
	uint64_t whole[MSP_CLASS_COUNT];
	uint64_t refused[MSP_CLASS_COUNT];
	uint64_t refused_by[MSP_STATUS_COUNT];
	uint64_t attempts;
	uint64_t sheds;
	uint64_t shifted; /* to another region */
	uint64_t forgets; /* calls to close idle connections */
	uint64_t doubled; /* commits that reached targets twice */
	uint64_t false_no; /* refused as not run, but a target took it */
	uint64_t no_return_time; /* overload refusals without a time */
	/* Oldest age of a request refused from the queue, with `run` no. */
	msp_time_t latest_refusal[MSP_CLASS_COUNT];
	/* Own clients of regions but the first. */
	uint64_t foreign_refusals;
	uint64_t displaced; /* of these, while shifted work held slots there */
	msp_time_t foreign_wait; /* their longest time in the queue */
	msp_time_t silence; /* longest time from deadline to final answer */
} world_results_t;

typedef void world_event_t(struct world *world, void *arg);

typedef struct world_pending {
	msp_time_t at;
	uint64_t order;
	world_event_t *run;
	void *arg;
} world_pending_t;

typedef struct world {
	world_config_t config;
	msp_virtual_env_t venv;
	msp_env_t env;
	msp_rng_t rng; /* of the targets and entry VMs */
	msp_rng_t stream; /* of the requests: the same in each mode */
	world_place_t places[WORLD_PLACES];
	uint32_t place_count;
	fake_target_t targets[WORLD_TARGETS];
	world_link_t links[WORLD_PLACES][WORLD_PLACES];
	world_pending_t *heap;
	size_t pending, room;
	uint64_t order;
	uint32_t kills; /* targets that died */
	uint32_t poison_left; /* times that its caller will send it again */
	double burst; /* factor on the load now */
	msp_time_t measure_from;
	msp_time_t stop_at; /* of the stream of requests */
	struct world_request_list requests;
	TAILQ_HEAD(all_attempt_list, fake_attempt) attempts;
	world_results_t results;
} world_t;

world_t *new_world(const world_config_t *config);
void drop_world(world_t *world);

/* Runs `run` at `at`. */
void world_at(world_t *world, msp_time_t at, world_event_t *run, void *arg);

/* Runs until the stream has ended and each request has its final answer. */
void run_world(world_t *world);
void run_world_until(world_t *world, msp_time_t end);

/* Evenly distributed in [0, 1). */
double draw_even(msp_rng_t *rng);
double draw_lognormal(msp_rng_t *rng, double mean);

/* Number of a place's targets; sets the first one's index. */
uint32_t place_targets(const world_t *world, uint32_t place, uint32_t *first);

/* Tells a place's dispatchers about its targets. */
void list_targets(world_place_t *place);

/* A dispatcher of a place, with its targets. */
msp_dispatcher_t *new_world_dispatcher(world_place_t *place);

/* The VM of the dispatcher dies; another one takes over at once. */
void kill_dispatcher(world_place_t *place);

/* Faults by name, from `at` for a few seconds. */
typedef struct world_fault {
	const char *name;
	void (*start)(world_t *world);
	void (*stop)(world_t *world); /* may be NULL */
} world_fault_t;

extern const world_fault_t world_faults[];
extern const int world_fault_count;

void put_fault(
    world_t *world, const world_fault_t *fault, msp_time_t at, msp_time_t span);

/* Puts one request in at a place now. */
world_request_t *add_request(world_t *world, uint32_t place,
    msp_request_class_t class, msp_digest_t print);

/* A read that kills each target that runs it. */
world_request_t *add_poison(world_t *world, uint32_t place, msp_digest_t print);

/* Sends a request to a target, which answers, sheds, dies or is silent. */
void reach_target(world_place_t *place, world_request_t *request,
    fake_target_t *target, bool fresh, msp_attempt_id_t token);
void withdraw_attempt(world_request_t *request, msp_attempt_id_t token);

/* Kills a target for `span`; work on it is lost. */
void kill_target(fake_target_t *target, msp_time_t span);

/* The ends of a request. */
void finish_request(world_request_t *request);
void refuse_request(world_request_t *request, const msp_refusal_t *refusal);

/* Path of the dispatcher mode. */
void set_up_place(world_place_t *place);
void set_up_granter(world_place_t *place);
void route_request(world_request_t *request);
void arm_tick(world_place_t *place);
void start_gossip(world_t *world);

/* Paths of the other modes. */
void start_baseline(world_t *world);
void route_baseline(world_request_t *request);
void end_baseline_attempt(fake_attempt_t *attempt);

#endif
