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
	CTL_REFUSED = 1, /* the note clashes, or the VM refused */
	CTL_USAGE = 2, /* bad arguments, token or note */
	CTL_UNREACHABLE = 3, /* no VM gave a final answer in time */
	CTL_NOT_IN_FORCE = 4 /* accepted, but not everywhere in time */
} ctl_exit_t;

typedef struct ctl_vm {
	char address[MSP_ADDRESS_SIZE];
	uint16_t port;
} ctl_vm_t;

/* What the command line asks for. Strings are borrowed from it. */
typedef struct ctl_options {
	ctl_vm_t vms[CTL_VMS_MAX];
	size_t vm_count;
	char token[MSP_TOKEN_SIZE];
	const char *command;
	const char *args[CTL_ARGS_MAX];
	size_t arg_count;
	const char *comment; /* or NULL */
	unsigned int timeout_s;
	uint64_t after;
	unsigned int limit;
	bool json;
	bool wait;
	bool check;
} ctl_options_t;

/* One run of the tool. */
typedef struct ctl {
	ctl_options_t options;
	msp_env_t env;
	msp_loop_t *loop;
	msp_http_client_t *client;
	size_t current_vm; /* VM that is asked */
	msp_time_t deadline;
} ctl_t;

/* A whole answer, or that there was none. */
typedef struct ctl_response {
	msp_status_t status; /* MSP_OK: the answer is whole */
	bool maybe_sent; /* the VM may have got the request */
	int http_status;
	msp_buffer_t body;
} ctl_response_t;

/* options.c: prints what is wrong, or the help. Returns false to end with
 * *code. */
bool parse_options(
    int argc, char **argv, ctl_options_t *options, ctl_exit_t *code);

/*
 * explain.c: tells from the logs of VMs what became of a request. `words` are
 * its id and the files.
 */
ctl_exit_t run_explain(int count, char **words);

/* request.c */
bool open_ctl(ctl_t *ctl);
void close_ctl(ctl_t *ctl);
void call_vm(ctl_t *ctl, const ctl_vm_t *vm, const char *method,
    const char *path, const msp_buffer_t *body, bool first_try,
    ctl_response_t *answer);
void drop_response(ctl_response_t *answer);

/* Runs the loop for a while. */
void run_ctl_loop(ctl_t *ctl, msp_time_t span);
msp_time_t time_left(const ctl_t *ctl);

/*
 * Asks the VMs in turn until one answers or the time is over. On CTL_OK the
 * answer has HTTP status 2xx; otherwise what is wrong was printed.
 */
ctl_exit_t call_any_vm(ctl_t *ctl, const char *method, const char *path,
    const msp_buffer_t *body, ctl_response_t *answer);

/* The same, parsed; NULL with *code. Freed with json_object_put(). */
json_object *fetch_json(ctl_t *ctl, const char *path, ctl_exit_t *code);

/* The release in force at a VM; NULL with *code. */
msp_release_t *fetch_release(ctl_t *ctl, ctl_exit_t *code);

/* report.c: prints a problem document; returns the exit code it means. */
ctl_exit_t report_problem(const ctl_t *ctl, const ctl_response_t *answer);

/* Prints one line to standard error. */
void print_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* A member of an object as text or number; "" or 0 if it is not there. */
const char *get_json_text(json_object *object, const char *key);
uint64_t get_json_number(json_object *object, const char *key);

/* note_file.c: reads and checks a note; "-" is standard input. */
msp_note_t *read_note_file(const char *path, ctl_exit_t *code);

/* Fills in id, comment and base where the note has none. *new_id: the id was
 * chosen now. */
ctl_exit_t complete_note(ctl_t *ctl, msp_note_t *note, bool *new_id);

/* send.c: sends until there is a final answer, and waits if asked to. */
ctl_exit_t send_note(ctl_t *ctl, const msp_note_t *note, bool new_id);

/* wait.c: until each live VM is at `version`. Appends the missing ones. */
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
