#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

#include <sys/types.h>

#include "monsoonspindle/net.h"

#define FLEET_TOKEN "fleet-operator-token"
#define FLEET_PLACES 8
/* Array sizes: the greatest numbers of VMs and targets of a fleet. */
#define FLEET_VMS 24
#define FLEET_TARGETS 40
#define FLEET_WAIT_TIMEOUT_MS 30000 /* of each function that waits */

/* A process of a fleet. */
typedef struct fleet_process {
	pid_t pid; /* 0: not running */
	int status; /* as set by waitpid(), once the process has ended */
	char name[32];
	char place[32];
	uint16_t port; /* a VM's port for callers, or the only port */
	uint16_t peer_port;
	uint16_t operator_port;
	char settings_path[256]; /* of a VM's settings file */
} fleet_process_t;

/* A place of the fleet, with its numbers of VMs and targets. */
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
	/* Additional arguments for each target, ended by NULL; or NULL. */
	const char *const *target_args;
	/* Additional JSON members for the settings of each VM, or NULL. */
	const char *extra_settings;
	const char *priority; /* of the service; NULL: "latency" */
} fleet_options_t;

/*
 * Real processes on loopback: a stand-in for the platform, targets and VMs.
 * They use free ports and the binaries in $OUT/bin. Functions that wait run the
 * fleet's own event loop, and fail after FLEET_WAIT_TIMEOUT_MS.
 */
typedef struct fleet {
	fleet_options_t options;
	char dir[64]; /* settings and logs; drop_fleet() removes it */
	/* A file of the idempotency keys that targets ran, one per line. */
	char journal_path[128];
	fleet_process_t platform;
	fleet_process_t vms[FLEET_VMS];
	size_t vm_count;
	fleet_process_t targets[FLEET_TARGETS];
	size_t target_count;
	msp_loop_t *loop;
	msp_http_client_t *client;
} fleet_t;

/* Starts all processes and waits until they respond. NULL on failure. */
fleet_t *new_fleet(const fleet_options_t *options);

/* Kills the processes that still run, and frees the fleet. */
void drop_fleet(fleet_t *fleet);

/* Sends the list of VMs to the platform, which loses it when it restarts. */
bool send_fleet_vm_list(fleet_t *fleet);

/*
 * Start a process, or start it again with the same name, ports and settings.
 * Return 0 or an error number.
 */
int spawn_fleet_vm(fleet_t *fleet, size_t vm);
int spawn_fleet_target(fleet_t *fleet, size_t target);
int spawn_fleet_platform(fleet_t *fleet);

/* Sends a signal. After SIGKILL or SIGTERM call wait_fleet_process_exit(). */
void signal_fleet_process(fleet_process_t *process, int signum);

/* Waits for the exit and returns the waitpid status, or -1 on a timeout. */
int wait_fleet_process_exit(fleet_t *fleet, fleet_process_t *process);

/* The result of an HTTP request. */
typedef struct fleet_reply {
	msp_status_t status; /* see msp_call_result_t */
	int http_status;
	bool maybe_sent; /* see msp_call_result_t */
	msp_response_t response; /* the caller drops it */
} fleet_reply_t;

/*
 * Sends an HTTP request and waits for the response. `headers` is NULL or has
 * lines "Name: value", each but the last with a newline.
 */
void send_fleet_request(fleet_t *fleet, uint16_t port, const char *method,
    const char *path, const char *headers, const char *body,
    fleet_reply_t *reply);

/* Starts a request without waiting. `done` gets the result. */
msp_call_t *start_fleet_request(fleet_t *fleet, uint16_t port,
    const char *method, const char *path, const char *headers, const char *body,
    uint32_t timeout_ms, msp_call_done_t *done, void *ctx);

/* Sends a request with the operator token to a VM's port for operators. */
void send_operator_request(fleet_t *fleet, size_t vm, const char *method,
    const char *path, const char *body, fleet_reply_t *reply);

/* Runs the loop until `holds` returns true. Returns false on a timeout. */
bool wait_fleet_until(fleet_t *fleet, bool (*holds)(void *ctx), void *ctx);

/*
 * Posts the note that describes the fleet, and waits until it is in force and
 * the VMs know each other.
 */
bool apply_initial_note(fleet_t *fleet);

/* Posts a note to a VM and returns the HTTP status. */
int post_fleet_note(fleet_t *fleet, size_t vm, const char *note);

/*
 * Returns the last of the first `count` VMs whose metrics count attempts at
 * targets: most likely the dispatcher of their place. Returns 0 if none does.
 */
size_t find_fleet_dispatcher(fleet_t *fleet, size_t count);

/* Waits until all running VMs report at least this version. */
bool wait_fleet_version(fleet_t *fleet, uint64_t version);

/*
 * Waits until each running VM knows all running VMs of its place and a fresh
 * summary of each other place that has VMs.
 */
bool wait_fleet_convergence(fleet_t *fleet);

/* Returns the release version that a VM reports, or 0 without a response. */
uint64_t get_fleet_vm_version(fleet_t *fleet, size_t vm);

/* Gets the prefix of the keys that a VM issues. Returns false on failure. */
bool get_fleet_key_prefix(fleet_t *fleet, size_t vm, char *out, size_t size);

/* Returns how often targets ran a key, by their journal. */
int count_fleet_runs(const fleet_t *fleet, const char *key);

/*
 * Sets the faults of all running targets, or of the platform, by a JSON
 * document. Return false if one of them didn't accept it.
 */
bool set_fleet_target_faults(fleet_t *fleet, const char *control);
bool set_fleet_platform_faults(fleet_t *fleet, const char *control);

#endif
