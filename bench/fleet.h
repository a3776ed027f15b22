#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

#include <sys/types.h>

#include "monsoonspindle/net.h"

#define FLEET_TOKEN "fleet-operator-token"
#define FLEET_PLACES 8
#define FLEET_VMS 24
#define FLEET_TARGETS 40
#define FLEET_WAIT_TIMEOUT_MS 30000 /* for any one condition */

/* One process of a fleet. */
typedef struct fleet_process {
	pid_t pid; /* 0: not running */
	int status; /* of waitpid, once it has ended */
	char name[32];
	char place[32];
	uint16_t port; /* callers' port, or the only one */
	uint16_t peer_port;
	uint16_t operator_port;
	char settings_path[256]; /* file, of a VM */
} fleet_process_t;

/* A place of the fleet: data centre and region. */
typedef struct fleet_place {
	const char *name;
	const char *region;
	int vms;
	int targets;
} fleet_place_t;

typedef struct fleet_options {
	const fleet_place_t *places; /* ended by a NULL name */
	const char *service;
	int slots; /* of each target */
	const char *const
	    *target_args; /* further ones; ended by NULL, or NULL */
	const char
	    *extra_settings; /* further members of a VM's settings, or NULL */
	const char *priority; /* of the service; NULL: "latency" */
} fleet_options_t;

/*
 * Separate processes on loopback: a platform stand-in, targets and VMs. Ports
 * are free ones; binaries come from $OUT/bin. Waits step an own loop until a
 * condition holds, and fail after FLEET_WAIT_TIMEOUT_MS.
 */
typedef struct fleet {
	fleet_options_t options;
	char dir[64]; /* settings and logs; removed by drop_fleet() */
	char journal_path[128]; /* the keys that targets ran, one a line */
	fleet_process_t platform;
	fleet_process_t vms[FLEET_VMS];
	size_t vm_count;
	fleet_process_t targets[FLEET_TARGETS];
	size_t target_count;
	msp_loop_t *loop;
	msp_http_client_t *client;
} fleet_t;

/* Starts all processes and waits until each VM is ready. NULL on failure. */
fleet_t *new_fleet(const fleet_options_t *options);

/* Kills what still runs, by process id. */
void drop_fleet(fleet_t *fleet);

/* Gives the platform its list of VMs, which it loses with a restart. */
bool send_fleet_vm_list(fleet_t *fleet);

/* Starts a process again, under its old name, ports and settings. */
int spawn_fleet_vm(fleet_t *fleet, size_t vm);
int spawn_fleet_target(fleet_t *fleet, size_t target);
int spawn_fleet_platform(fleet_t *fleet);

/* Sends a signal; with SIGKILL or SIGTERM use wait_fleet_process_exit() after
 * it. */
void signal_fleet_process(fleet_process_t *process, int number);

/* Waits for the end and returns its waitpid status, or -1 after the bound. */
int wait_fleet_process_exit(fleet_t *fleet, fleet_process_t *process);

/* One HTTP request; `headers` ("Name: value\n..." or NULL). Returns status. */
typedef struct fleet_reply {
	msp_status_t status; /* as msp_call_result_t */
	int http_status;
	bool maybe_sent;
	msp_response_t response; /* to be dropped */
} fleet_reply_t;

void send_fleet_request(fleet_t *fleet, uint16_t port, const char *method,
    const char *path, const char *headers, const char *body,
    fleet_reply_t *reply);

/* Starts a request without waiting for it. `done` gets the result. */
msp_call_t *start_fleet_request(fleet_t *fleet, uint16_t port,
    const char *method, const char *path, const char *headers, const char *body,
    uint32_t timeout_ms, msp_call_done_t *done, void *ctx);

/* As send_fleet_request(), to a VM's operators' port with the token. */
void send_operator_request(fleet_t *fleet, size_t vm, const char *method,
    const char *path, const char *body, fleet_reply_t *reply);

/* Steps the loop until `holds` returns true; false after the bound. */
bool wait_fleet_until(fleet_t *fleet, bool (*holds)(void *ctx), void *ctx);

/* Posts the note that describes the fleet, and waits until it is in force. */
bool apply_initial_note(fleet_t *fleet);

/* Posts a note's text at a VM; returns the HTTP status. */
int post_fleet_note(fleet_t *fleet, size_t vm, const char *note);

/*
 * Returns the one of the first `count` VMs that has sent to a target last, by
 * its counters: most likely the dispatcher of its place.
 */
size_t find_fleet_dispatcher(fleet_t *fleet, size_t count);

/* Waits until all running VMs report at least this version. */
bool wait_fleet_version(fleet_t *fleet, uint64_t version);

/*
 * Waits until each running VM knows all running VMs of its place and a fresh
 * summary of each other place that has VMs.
 */
bool wait_fleet_convergence(fleet_t *fleet);

/* The version that a VM reports; 0 if it does not answer. */
uint64_t get_fleet_vm_version(fleet_t *fleet, size_t vm);

/* Asks a VM for the start of the keys that it issues; false on failure. */
bool get_fleet_key_prefix(fleet_t *fleet, size_t vm, char *out, size_t size);

/* Runs of a key on all targets, by their journal. */
int count_fleet_runs(const fleet_t *fleet, const char *key);

/* Sets faults of all running targets, or of the platform; true if they did. */
bool set_fleet_target_faults(fleet_t *fleet, const char *control);
bool set_fleet_platform_faults(fleet_t *fleet, const char *control);

#endif
