#ifndef SPINDLED_EDGE_PRIVATE_H
#define SPINDLED_EDGE_PRIVATE_H

#include "../../platform/platform_api.h"
#include "../../platform/header_fields.h"
#include "../../platform/store_client.h"
#include "daemon.h"
#include "edge.h"
#include "edge_broadcast.h"
#include "edge_vm_rank.h"
#include "monsoonspindle/coord/bulk_pacer.h"
#include "monsoonspindle/coord/feature_gate.h"
#include "monsoonspindle/coord/reader_rank.h"
#include "monsoonspindle/coord/retry_window.h"
#include "monsoonspindle/coord/roster.h"
#include "monsoonspindle/coord/version_lag.h"
#include "monsoonspindle/steer/balancer.h"
#include "monsoonspindle/steer/evacuations.h"
#include "monsoonspindle/steer/forward_choice.h"
#include "monsoonspindle/steer/planned_stop.h"
#include "monsoonspindle/steer/quarantine.h"
#include "monsoonspindle/steer/reach.h"
#include "monsoonspindle/steer/traffic_split.h"
#include "monsoonspindle/steer/strike_sync.h"

typedef struct table_follower table_follower_t;
typedef struct edge_request edge_request_t;
typedef struct pending_strike pending_strike_t;
typedef struct edge_probe edge_probe_t;
typedef struct long_poll long_poll_t;
typedef struct edge_rates edge_rates_t;

/* How a request ended; there is one duration histogram for each. */
typedef enum edge_outcome {
	EDGE_ANSWERED,
	EDGE_REFUSED, /* no target executed the request */
	EDGE_FAILED, /* a target may have executed the request */
	EDGE_OUTCOME_COUNT
} edge_outcome_t;

/* A VM of another data centre, from its row in the store. */
typedef struct edge_remote_vm {
	char place[MSP_NAME_SIZE];
	store_source_t source;
} edge_remote_vm_t;

/* What a VM of this data centre has announced. */
typedef struct edge_vm_profile {
	msp_protocol_range_t speaks;
	uint32_t link_mbps; /* of its network link; 0: not known */
	char address[MSP_ADDRESS_SIZE];
	uint16_t peer_port;
} edge_vm_profile_t;

/* A table of the platform's store that this VM follows. */
typedef struct edge_table {
	edge_t *edge;
	const char *name; /* for logs and counters; static */
	msp_reader_table_t kind;
	edge_exclusions_t excluded; /* as readers */
	msp_time_t reader_since; /* this VM is the reader; 0: it is not */
	msp_time_t reader_until; /* it goes on to read the store */
	bool asked_member; /* the last second read goes to a member */
	table_follower_t *follower; /* NULL if not open */
} edge_table_t;

struct edge {
	daemon_t *daemon;

	msp_route_table_t *routes; /* in force; NULL until one is received */
	msp_time_t routes_since;
	msp_version_lag_t routes_lag; /* behind other VMs' routes */
	bool routes_outdated; /* as last logged */
	msp_target_view_t *view;
	msp_latency_model_t *latency_model;
	msp_balancer_t *balancer;
	msp_traffic_split_t *split;
	msp_quarantine_list_t *quarantine;
	msp_evacuations_t *evacuations;
	msp_map_t *retry_windows; /* msp_retry_window_t by service */
	msp_time_t opened_at;
	msp_map_t *reaches; /* msp_reach_t by service */
	msp_forward_choice_t *forward_choice;

	/* Memory of the bodies in flight: of requests, and of all together. */
	msp_memory_budget_t request_memory;
	msp_memory_budget_t body_memory;

	msp_http_client_t *target_client;
	msp_http_client_t *probe_client;
	msp_http_client_t *forward_client; /* to other VMs' peer listeners */
	msp_http_client_t *store_http;
	store_client_t *store;
	edge_table_t operator_table;
	edge_table_t target_table;
	store_call_t *vm_call; /* current read or write of the table of VMs */
	msp_timer_t *vm_timer;

	msp_http_server_t *caller_listener;
	msp_http_server_t *readiness_listener;
	msp_http_server_t *directory_listener;
	msp_http_server_t *metrics_listener;
	/* Serves reads of tables and messages about strikes to other VMs. */
	msp_http_server_t *peer_listener;
	TAILQ_HEAD(, long_poll) long_polls;
	msp_bulk_pacer_t bulk_pacer; /* of large responses */
	msp_timer_t *bulk_timer; /* set while such responses wait */

	msp_map_t *vm_profiles; /* edge_vm_profile_t by name; NULL: not read */
	msp_feature_gate_t link_speed_gate; /* ranks readers by their links */
	uint64_t unknown_messages; /* of other VMs, to the peer listener */
	uint64_t unknown_logged; /* by the last log line */
	msp_time_t unknown_logged_at;
	edge_remote_vm_t *remote_vms; /* of other data centres; owned */
	size_t remote_vm_count;
	/* Of another data centre; its changes came before the store's. */
	store_source_t helpful_vm; /* port 0: none */
	char asked_place[MSP_NAME_SIZE]; /* of the last such VM */
	msp_time_t vms_read_at; /* first read of the table of VMs; 0: none */
	msp_time_t vms_refreshed_at; /* start of the last read */
	bool must_announce; /* this VM's row is to be written again */
	bool others_announce; /* their rows may come after the next read */
	msp_roster_t *roster; /* VMs of this data centre */
	uint64_t store_time_ms; /* of the store's clock, at the last read; 0 */
	msp_time_t store_time_read_at;
	msp_time_t roster_checked_at;

	/* Time in ms from a request's arrival to its response. */
	msp_histogram_t durations[EDGE_OUTCOME_COUNT];
	TAILQ_HEAD(, edge_request) requests;
	size_t request_count;
	TAILQ_HEAD(, pending_strike) strikes;
	msp_strike_sync_t *strike_sync;
	edge_broadcast_t strike_messages;
	msp_timer_t *strike_timer; /* set while strikes wait to be sent */
	bool has_strikes; /* this VM knows those from before its start */
	unsigned int strike_exchanges; /* begun so far */
	unsigned int partial_strike_answers; /* of VMs that started as late */
	msp_time_t strikes_exchanged_at;
	msp_time_t strikes_changed_at; /* the last new one was found or heard */
	bool has_new_strikes; /* found by this VM, and not stored yet */
	bool is_storing_strikes; /* the call on the table of VMs does */
	msp_time_t strike_rows_checked_at;
	size_t strike_row_count; /* in the last read */
	char old_strike_row[STORE_KEY_MAX + 1]; /* one to remove; "": none */
	uint64_t old_strike_row_version;
	edge_broadcast_t limit_messages;
	msp_timer_t *limit_timer; /* set while reports on limits are due */
	edge_rates_t *rates; /* limits of organisations */
	edge_broadcast_t rate_messages; /* demand of this data centre */
	LIST_HEAD(, edge_probe) probes;
	msp_timer_t *recall_timer; /* set after a pause has begun */
	msp_timer_t *probe_timer; /* set while any target is suspect */
	msp_timer_t *view_timer;
};

/* edge_routes.c: which routes are in force */

/*
 * The newest version of the routes that is known to be in force on any VM of
 * this data centre; 0 if none is.
 */
uint64_t get_newest_routes_version(const edge_t *edge);

/* To be called periodically. */
void update_routes_lag(edge_t *edge);

/*
 * Whether other VMs of this data centre have had newer routes for longer than
 * it normally takes until they arrive here.
 */
bool are_routes_late(const edge_t *edge);

/* edge_answer.c */

/*
 * Counts a response to a caller if its status promises that the request was not
 * executed. `source` is who decided: "edge", "target" or "http-server".
 */
void count_refusal(edge_t *edge, const char *source, int http_status);

/* edge_request.c */

/*
 * Whether a caller's request may run beside others of its connection: only one
 * that may be repeated. Callback of the HTTP server; `ctx` is the edge_t.
 */
bool may_edge_request_overlap(void *ctx, const msp_request_t *message);
void handle_edge_request(void *ctx, msp_exchange_t *exchange);
void handle_edge_caller_disconnect(void *ctx, msp_exchange_t *exchange);
void drop_edge_requests(edge_t *edge);

/* edge_probe.c */

/*
 * Stops sending requests to a target until it has answered a health check.
 * `fingerprint` identifies the request that was sent to it at `started`, which
 * gets a strike if the target turns out to have crashed. The zero fingerprint
 * gets no strike.
 */
void suspect_target(edge_t *edge, msp_view_target_t *target,
    msp_digest_t fingerprint, msp_time_t started, const char *reason);

/*
 * Checks a target that is not suspect on a new connection, at most once a
 * second. It becomes suspect if it can't be connected to.
 */
void check_target(edge_t *edge, msp_view_target_t *target);

/* edge_silence.c */

/*
 * Checks the targets that owe this VM responses while their service has sent
 * nothing at all for a while, since its connections may be dead. To be called
 * several times a second.
 */
void check_silent_targets(edge_t *edge);

/* edge_probe.c: to be called after the probes' client was dropped. */
void drop_probes(edge_t *edge);

/* edge_reach.c: whether this VM reaches the targets of a service */
msp_status_t open_reaches(edge_t *edge);
void close_reaches(edge_t *edge);

/* A connect to the target has failed. */
void record_no_connection(edge_t *edge, msp_view_target_t *target);

/* The target has sent a response. */
void record_target_contact(edge_t *edge, const msp_view_target_t *target);

bool has_lost_service(const edge_t *edge, const char *service);

/* When a target of the service last sent a response; 0: never. */
msp_time_t get_contact_time(const edge_t *edge, const char *service);

/* Services whose targets this VM has lost. */
size_t count_lost_services(const edge_t *edge);

/* edge_forward_vms.c: VMs to which requests may be forwarded */

/* Returns the region of a data centre, or NULL if it is unknown. */
const char *find_place_region(const edge_t *edge, const char *place);

/* Fills `pick`; returns false if there is no VM to ask. */
bool pick_forward_vm(const edge_t *edge, const msp_forward_query_t *query,
    msp_forward_pick_t *pick);

/* edge_forward.c */

/* Requests that wait for another VM's answer. */
size_t count_forwards(const edge_t *edge);

/* edge_forward_serve.c */

/* Serves a request that another VM has forwarded. */
void serve_edge_forward(edge_t *edge, msp_exchange_t *exchange);

/* edge_limits.c: rates that targets name in their responses */
#define LIMITS_PATH "/v1/limits" /* to which VMs send limits */

void open_limits(edge_t *edge);
void close_limits(edge_t *edge);

/* Sets the metrics of limits that are in force. */
void update_limit_gauges(const edge_t *edge);

/* Receives limits from another VM. */
void serve_limits(edge_t *edge, msp_exchange_t *exchange);

/*
 * Applies what a response says of its target's limit. The response must
 * certainly be that of a request that was sent to this process of the target at
 * `sent_at`.
 */
void observe_target_limit(edge_t *edge, msp_view_target_t *target,
    msp_time_t sent_at, limit_field_t field, double per_second);

/* Counts a request that is sent; `kind` is "request", "retry" or "probe". */
void count_sent_request(
    edge_t *edge, const msp_view_target_t *target, const char *kind);

/* edge_pause.c: what targets say of later requests in their responses */

/*
 * Applies what a response says of later requests: a pause, or that the target
 * leaves. It must come from this process of the target; to which request does
 * not matter.
 */
void observe_target_wishes(edge_t *edge, msp_view_target_t *target,
    const msp_retry_after_t *pause, bool leaving);

/*
 * Logs and counts that a request is sent to the target if that has asked for a
 * pause. `kind` is as for count_sent_request(); `id` may be NULL.
 */
void report_paused_send(const edge_t *edge, const msp_view_target_t *target,
    const char *kind, const char *id);

void close_pauses(edge_t *edge);

/* Sets the metric of targets that are paused. */
void update_pause_gauges(const edge_t *edge);

/* edge_sender_rank.c */

/*
 * Ranks this VM among those that share a rate of the target: those of the
 * target's own data centre come first, then those of its region. A VM that
 * does not know the others of its data centre yet has no part. Callback of the
 * balancer; `ctx` is the edge_t.
 */
void rank_sender(
    void *ctx, const msp_view_target_t *target, msp_sender_rank_t *rank);

/* The same among the VMs that share the limit of an organisation. */
void rank_rate_sender(
    const edge_t *edge, const char *organisation, msp_sender_rank_t *rank);

/* edge_rates.c: rate limits of organisations */
#define RATE_ASK_PATH "/v1/rates/ask"
#define RATE_DEMAND_PATH "/v1/rates/demand"

msp_status_t open_rates(edge_t *edge);
void close_rates(edge_t *edge);

/* Tells other data centres this one's demand. To be called every VIEW_TICK. */
void tick_rates(edge_t *edge);

/* Serve another VM's question for requests, and another data centre's demand.
 */
void serve_rate_asks(edge_t *edge, msp_exchange_t *exchange);
void serve_rate_demand(edge_t *edge, msp_exchange_t *exchange);

void update_rate_gauges(const edge_t *edge);

/* edge_strikes.c: requests that may have crashed targets */
#define STRIKES_PATH "/v1/strikes" /* to which VMs send strikes */

msp_status_t open_strikes(edge_t *edge);
void close_strikes(edge_t *edge);

/* Records that a request sent at `started` may have crashed `target`. */
void add_pending_strike(edge_t *edge, msp_view_target_t *target,
    msp_digest_t fingerprint, msp_time_t started);

/*
 * Counts the pending strikes of a target's requests if its process has
 * `exited`, and discards them otherwise. Counted strikes are sent to all VMs.
 */
void resolve_pending_strikes(
    edge_t *edge, const msp_view_target_t *target, bool exited);

bool has_pending_strikes(const edge_t *edge, const msp_view_target_t *target);

/* Receives strikes from another VM. */
void serve_strikes(edge_t *edge, msp_exchange_t *exchange);
void count_heard_strikes(edge_t *edge, size_t count);

/* edge_strike_exchange.c: strikes for VMs that were not there at the time */

/* To be called several times a second. */
void tick_strike_exchange(edge_t *edge);
bool is_strike_exchange(const msp_request_t *request);
/* Answers with the strikes that were asked for. */
void answer_strike_exchange(edge_t *edge, msp_exchange_t *exchange);

/* edge_strike_rows.c: strikes in the platform's store */

/* A read of the table of VMs has begun to be taken over. */
void begin_strike_rows(edge_t *edge, uint64_t store_time_ms);
void load_strike_row(edge_t *edge, const store_row_t *row);
/* Makes the change that is due, if there is any; returns whether it does. */
bool change_strike_rows(edge_t *edge);
/* A change of the table of VMs has ended, perhaps one of these. */
void end_strike_row_change(edge_t *edge, bool is_done);
/* To be called several times a second. */
void tick_strike_rows(edge_t *edge);

/* edge_vms.c: this VM's row in the store's table of VMs, and the others' */
msp_status_t open_edge_vms(edge_t *edge);
void close_edge_vms(edge_t *edge);

/*
 * Reads the table of VMs as soon as no other call on it runs, unless this VM's
 * row is about to be written.
 */
void read_vms_now(edge_t *edge);

/* Writes to the table of VMs, then reads it; false if the call can't be made.
 */
bool change_vm_rows(edge_t *edge, const msp_txn_t *txn);

/* Reads the table of VMs again, unless it was just read. */
void refresh_edge_vms(edge_t *edge);

/* All VMs with rows in the table, this one among them; 0: not read yet. */
size_t count_known_vms(const edge_t *edge);

/* Writes this VM's row again soon, since the store may have forgotten it. */
void announce_vm_again(edge_t *edge);

/* Picks a random VM of another data centre; false if none is known. */
bool pick_remote_vm(const edge_t *edge, store_source_t *source);

/* edge_roster.c: VMs of this data centre that are gone */

/* Takes over the rows of this data centre. */
void load_edge_roster(edge_t *edge, const msp_roster_row_t *rows, size_t count);

/* Makes the changes that are due to VMs' rows; returns whether there are any.
 */
bool change_edge_roster(edge_t *edge);

/*
 * Tells the roster which VMs are live, and reads the table of VMs where one
 * isn't. To be called several times a second.
 */
void check_edge_roster(edge_t *edge);

/* Whether this VM is the first of those that change others' rows. */
bool keeps_roster(const edge_t *edge);

/* Counts the VMs of this data centre; `seen` is of this moment. */
void count_place_vms(const edge_t *edge, msp_roster_counts_t *counts);

/* Whether this VM sees most of them. */
bool sees_most_vms(const edge_t *edge);

void update_roster_gauges(const edge_t *edge);

/* edge_protocol.c: what the builds of this data centre's VMs can do */

/* Returns NULL if the VM's row has not been read. */
const edge_vm_profile_t *find_vm_profile(const edge_t *edge, const char *vm);

/* Decides which features are used. To be called periodically. */
void update_protocol_features(edge_t *edge);

/* A message of another VM has a path that this build doesn't know. */
void count_unknown_message(edge_t *edge);

/* Logs how many messages were not understood, if there were more. */
void report_unknown_messages(edge_t *edge);

/* edge_source.c: where a table is read from */

/* Picks another VM of this data centre at random; false if there is none. */
bool pick_member(const edge_t *edge, store_source_t *source);

/* Callbacks of the table follower; `ctx` is the edge_table_t. */
bool choose_store_source(
    void *ctx, unsigned int attempt, store_source_t *source);
bool choose_vm_source(void *ctx, store_source_t *source);
bool choose_second_vm(void *ctx, unsigned int attempt, store_source_t *source);

/* edge_store.c */

/* Reads slow tables from a second VM. To be called several times a second. */
void check_table_reads(edge_t *edge);

msp_status_t open_edge_store(edge_t *edge);
void close_edge_store(edge_t *edge);

store_source_t get_configured_store(const edge_t *edge);

/* Age of this VM's copy of a table; MSP_NEVER if it has none. */
msp_time_t get_targets_age(const edge_t *edge);
msp_time_t get_routes_age(const edge_t *edge);

/* edge_peer_listener.c */

/* Other VMs' requests that are not answered completely, without long polls. */
size_t count_open_peer_answers(const edge_t *edge);
msp_status_t open_edge_peer_listener(edge_t *edge);
void close_edge_peer_listener(edge_t *edge);

/*
 * Answers the reads of other VMs whose table has newer rows than they have.
 * Those with large rows are answered one after the other.
 */
void answer_ready_polls(edge_t *edge);

/*
 * Answers all long polls on a table whose copy has become stale, so that the
 * VMs that sent them read from another source.
 */
void answer_all_long_polls(edge_t *edge, const table_follower_t *table);

/* edge_listeners.c */
msp_status_t open_edge_listeners(edge_t *edge);
void close_edge_listeners(edge_t *edge);
bool is_edge_ready(const edge_t *edge);

#endif
