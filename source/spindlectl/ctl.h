#ifndef SPINDLECTL_CTL_H
#define SPINDLECTL_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

#include "monsoonspindle/base.h"
#include "monsoonspindle/config.h"
#include "monsoonspindle/net.h"

#define CTL_VMS_MAX 32
#define CTL_ARGS_MAX 4

typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, /* a conflict, a refusal, or no such item or request */
	CTL_USAGE = 2, /* bad arguments, token or note */
	CTL_UNREACHABLE = 3, /* no final response within the timeout */
	CTL_NOT_IN_FORCE = 4 /* accepted, but not in force everywhere in time */
} ctl_exit_t;

/* Address and operator port of a VM. */
typedef struct ctl_vm {
	char address[MSP_ADDRESS_SIZE];
	uint16_t port;
} ctl_vm_t;

/* The parsed command line. Strings point into argv. */
typedef struct ctl_options {
	ctl_vm_t vms[CTL_VMS_MAX];
	size_t vm_count;
	char token[MSP_TOKEN_SIZE];
	const char *command;
	const char *args[CTL_ARGS_MAX];
	size_t arg_count;
	const char *comment; /* --comment, or NULL */
	unsigned int timeout_s; /* of the whole command */
	uint64_t after; /* history: only notes of later versions */
	unsigned int limit; /* history: maximum number of notes */
	bool json;
	bool wait; /* until the note is in force everywhere */
	bool check; /* validate the note without sending it */
} ctl_options_t;

/* State of one run of the tool. */
typedef struct ctl {
	ctl_options_t options;
	msp_env_t env;
	msp_loop_t *loop;
	msp_http_client_t *client;
	size_t current_vm; /* index of the VM to call next */
	msp_time_t deadline;
} ctl_t;

/* Result of an HTTP call. */
typedef struct ctl_response {
	msp_status_t status; /* MSP_OK: the response is complete */
	bool maybe_sent; /* the VM may have received the request */
	int http_status;
	msp_buffer_t body;
} ctl_response_t;

/*
 * options.c: parses the command line. Returns false if the program must exit
 * with *code: after --help and the like, or after an error, which was printed.
 */
bool parse_options(
    int argc, char **argv, ctl_options_t *options, ctl_exit_t *code);

/*
 * explain.c: prints what became of a request, according to the log files of
 * VMs. `args` are the request's id and the paths of the files.
 */
ctl_exit_t run_explain(int count, char **args);

/*
 * check.c: checks a configuration of the users' platform. argv[0] is the
 * command. Returns 0 if it is clean or has notes only, 1 after warnings, 2
 * after errors, also of the arguments.
 */
int run_check(int argc, char **argv);

/*
 * request.c: opens the event loop and the HTTP client, and starts the timeout
 * of the command. Returns false with a last message.
 */
bool open_ctl(ctl_t *ctl);
void close_ctl(ctl_t *ctl);

/*
 * Sends one request and waits for the response, for 12 s at most and within the
 * timeout of the command. `first_attempt` adds the header Request-Attempt: 1.
 */
void call_vm(ctl_t *ctl, const ctl_vm_t *vm, const char *method,
    const char *path, const msp_buffer_t *body, bool first_attempt,
    ctl_response_t *response);
void drop_response(ctl_response_t *response);

/* Runs the event loop for `duration`, or until the command times out. */
void run_ctl_loop(ctl_t *ctl, msp_time_t duration);

/* Time until the command times out; 0 if it has. */
msp_time_t get_time_left(const ctl_t *ctl);

/*
 * Calls the VMs in turn until one gives a response other than 5xx or the
 * command times out. On CTL_OK the HTTP status is 2xx and the caller drops the
 * response; otherwise the error was printed.
 */
ctl_exit_t call_any_vm(ctl_t *ctl, const char *method, const char *path,
    const msp_buffer_t *body, ctl_response_t *response);

/*
 * Gets a JSON document from any VM. The caller frees it with json_object_put().
 * On an error, prints it, sets *code and returns NULL.
 */
json_object *fetch_json(ctl_t *ctl, const char *path, ctl_exit_t *code);

/*
 * Gets the release in force at any VM. On an error, prints it, sets *code and
 * returns NULL.
 */
msp_release_t *fetch_release(ctl_t *ctl, ctl_exit_t *code);

/*
 * report.c: prints the error of a failed call or the problem document of a
 * response. Returns the exit code to use.
 */
ctl_exit_t report_problem(const ctl_t *ctl, const ctl_response_t *response);

/* Prints one line to standard error, after the name of the program. */
void print_ctl_error(const char *fmt, ...)
    __attribute__((format(printf, 1, 2)));

/*
 * Member of an object as text or number; "" or 0 if it is absent. A boolean as
 * text is "true" or "false". The text is valid as long as the object.
 */
const char *get_json_text(json_object *object, const char *key);
uint64_t get_json_number(json_object *object, const char *key);

/* input_file.c: reads a whole file; "-" is standard input. */
msp_status_t read_input_file(const char *path, msp_buffer_t *text);

/*
 * note_file.c: reads and parses a note; "-" is standard input. On an error,
 * prints it, sets *code and returns NULL.
 */
msp_note_t *read_note_file(const char *path, ctl_exit_t *code);

/*
 * Sets what the note lacks: a random id, the comment from --comment, and as its
 * base the version in force at a VM. *new_id: the note had no id.
 */
ctl_exit_t set_note_defaults(ctl_t *ctl, msp_note_t *note, bool *new_id);

/*
 * send.c: sends the note until there is a final response, then waits until it
 * is in force if --wait was given. `new_id`: the id was never sent before.
 */
ctl_exit_t send_note(ctl_t *ctl, const msp_note_t *note, bool new_id);

/*
 * wait.c: waits until each live VM has at least `version`. Otherwise returns
 * CTL_NOT_IN_FORCE, with the VMs and places that lack it listed in `missing`.
 */
ctl_exit_t wait_until_in_force(
    ctl_t *ctl, uint64_t version, msp_buffer_t *missing);

/* The commands. */
ctl_exit_t run_apply(ctl_t *ctl);
ctl_exit_t run_diff(ctl_t *ctl);
ctl_exit_t run_drain(ctl_t *ctl);
ctl_exit_t run_history(ctl_t *ctl);
ctl_exit_t run_status(ctl_t *ctl);
ctl_exit_t run_members(ctl_t *ctl);
ctl_exit_t run_doubt(ctl_t *ctl);
ctl_exit_t run_metrics(ctl_t *ctl);

#endif
