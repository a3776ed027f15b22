#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "ctl.h"
#include "monsoonspindle.h"

#define DEFAULT_TIMEOUT_S 30
#define TIMEOUT_MAX_S 86400
#define DEFAULT_HISTORY_LIMIT 20
#define HISTORY_LIMIT_MAX 1000
#define ARG_ERRORS_MAX 8

static const char commands_help[] =
    "Commands:\n"
    "  apply NOTE.json           send a release note; --wait until in force,\n"
    "                            --check to validate it only; - is stdin\n"
    "  diff NOTE.json            what the note would change\n"
    "  history                   accepted notes; --after, --limit\n"
    "  status                    the VMs and their versions\n"
    "  members                   membership as seen by a VM\n"
    "  doubt [list]              keys whose outcome is unknown\n"
    "  doubt rule SERVICE KEY ran|not-ran\n"
    "                            record the outcome of one of them\n"
    "  drain place|target NAME   set its state to draining, with a note\n"
    "  drain vm NAME             make a VM leave and stop\n"
    "  metrics                   metrics of a VM\n"
    "  explain ID FILE...        what became of a request, from VMs' logs\n"
    "  check FILE                a configuration of the users' platform:\n"
    "                            errors, entries without use, limits that\n"
    "                            contradict; --against FILE: what it changes;\n"
    "                            --region NAME, --vms N, --json; exits with "
    "0,\n"
    "                            1 after warnings, 2 after errors\n"
    "\n"
    "Exit codes: 0 done, 1 refused or conflicting, 2 bad arguments, token or "
    "note,\n"
    "3 no final response in time, 4 accepted but not in force everywhere in "
    "time.\n";

/* Definitions and parsed values of the options. */
typedef struct arg_set {
	struct arg_str *vm;
	struct arg_str *token;
	struct arg_str *token_file;
	struct arg_str *comment;
	struct arg_int *timeout;
	struct arg_int *after;
	struct arg_int *limit;
	struct arg_lit *json;
	struct arg_lit *wait;
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_lit *help_notes;
	struct arg_lit *version;
	struct arg_str *words; /* the command and its arguments */
	struct arg_end *end;
} arg_set_t;

static msp_status_t
parse_vm(const char *text, ctl_vm_t *vm)
{
	const char *colon = strrchr(text, ':');
	char address[MSP_ADDRESS_SIZE];
	char *end;
	size_t len;
	long port;

	if (colon == NULL)
		return msp_fail(
		    MSP_E_SYNTAX, "--vm: \"%s\" is not ADDRESS:PORT", text);
	len = (size_t)(colon - text);
	if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
		text++;
		len -= 2;
	}
	if (len >= sizeof(address))
		return msp_fail(MSP_E_SYNTAX, "--vm: the address is too long");
	memcpy(address, text, len);
	address[len] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || port < 1 || port > 65535)
		return msp_fail(MSP_E_RANGE,
		    "--vm: port \"%s\" is out of range 1..65535", colon + 1);
	vm->port = (uint16_t)port;
	if (msp_normalise_address(address, vm->address, sizeof(vm->address)) !=
	    MSP_OK)
		return msp_fail(
		    MSP_E_SYNTAX, "--vm: \"%s\" is not an IP address", address);
	return MSP_OK;
}

static msp_status_t
read_vms(const arg_set_t *set, ctl_options_t *options)
{
	const char *env_vm = getenv("MSP_VM");
	msp_status_t status = MSP_OK;
	int i;

	for (i = 0; i < set->vm->count && status == MSP_OK; i++)
		status = parse_vm(
		    set->vm->sval[i], &options->vms[options->vm_count++]);
	if (status != MSP_OK || options->vm_count > 0)
		return status;
	if (env_vm == NULL)
		return msp_fail(MSP_E_SYNTAX,
		    "no VM: give --vm ADDRESS:PORT or set MSP_VM");
	options->vm_count = 1;
	return parse_vm(env_vm, &options->vms[0]);
}

static msp_status_t
read_token_file(const char *path, ctl_options_t *options)
{
	FILE *file = fopen(path, "r");
	size_t len;

	if (file == NULL)
		return msp_fail(MSP_E_IO, "%s: cannot be read", path);
	len = fread(options->token, 1, sizeof(options->token) - 1, file);
	fclose(file);
	options->token[len] = '\0';
	options->token[strcspn(options->token, "\r\n")] = '\0';
	return MSP_OK;
}

static msp_status_t
read_token(const arg_set_t *set, ctl_options_t *options)
{
	const char *token = getenv("MSP_TOKEN");

	if (set->token_file->count > 0 && set->token->count == 0)
		return read_token_file(set->token_file->sval[0], options);
	if (set->token->count > 0)
		token = set->token->sval[0];
	if (token == NULL)
		return msp_fail(MSP_E_SYNTAX,
		    "no token: give --token or --token-file, or set MSP_TOKEN");
	if (strlen(token) >= sizeof(options->token))
		return msp_fail(MSP_E_RANGE, "token: longer than %zu bytes",
		    sizeof(options->token) - 1);
	memcpy(options->token, token, strlen(token) + 1);
	return MSP_OK;
}

static msp_status_t
read_int_option(const struct arg_int *arg, const char *name, int min, int max,
    unsigned int *out)
{
	if (arg->count == 0)
		return MSP_OK;
	if (arg->ival[0] < min || arg->ival[0] > max)
		return msp_fail(MSP_E_RANGE, "%s: %d is out of range %d..%d",
		    name, arg->ival[0], min, max);
	*out = (unsigned int)arg->ival[0];
	return MSP_OK;
}

static msp_status_t
read_options(const arg_set_t *set, ctl_options_t *options)
{
	unsigned int after = 0;
	msp_status_t status;
	int i;

	options->timeout_s = DEFAULT_TIMEOUT_S;
	options->limit = DEFAULT_HISTORY_LIMIT;
	options->json = set->json->count > 0;
	options->wait = set->wait->count > 0;
	options->check = set->check->count > 0;
	if (set->comment->count > 0)
		options->comment = set->comment->sval[0];
	if (set->words->count == 0)
		return msp_fail(MSP_E_SYNTAX, "no command; see --help");
	options->command = set->words->sval[0];
	for (i = 1; i < set->words->count; i++)
		options->args[options->arg_count++] = set->words->sval[i];
	status = read_vms(set, options);
	if (status == MSP_OK)
		status = read_token(set, options);
	if (status == MSP_OK)
		status = read_int_option(set->timeout, "--timeout", 1,
		    TIMEOUT_MAX_S, &options->timeout_s);
	if (status == MSP_OK)
		status = read_int_option(set->limit, "--limit", 1,
		    HISTORY_LIMIT_MAX, &options->limit);
	if (status == MSP_OK)
		status = read_int_option(
		    set->after, "--after", 0, INT32_MAX, &after);
	options->after = after;
	return status;
}

static void
print_help(void **table)
{
	printf("Usage: spindlectl [OPTIONS] COMMAND [ARGUMENTS]\n\n"
	       "Options:\n");
	arg_print_glossary(stdout, table, "  %-25s %s\n");
	printf("\n%s", commands_help);
}

static ctl_exit_t
print_notes_help(void)
{
	msp_buffer_t text = {0};
	msp_status_t status = msp_print_items_help(&text);

	printf("%s", msp_buffer_text(&text));
	msp_drop_buffer(&text);
	return status == MSP_OK ? CTL_OK : CTL_USAGE;
}

bool
parse_options(int argc, char **argv, ctl_options_t *options, ctl_exit_t *code)
{
	arg_set_t set = {
	    .vm = arg_strn(NULL, "vm", "ADDRESS:PORT", 0, CTL_VMS_MAX,
		"operator port of a VM; repeat to give alternatives "
		"(MSP_VM)"),
	    .token = arg_str0(
		NULL, "token", "TOKEN", "operator's token (MSP_TOKEN)"),
	    .token_file =
		arg_str0(NULL, "token-file", "FILE", "file with the token"),
	    .comment = arg_str0(
		NULL, "comment", "TEXT", "comment of the note, if it has none"),
	    .timeout = arg_int0(NULL, "timeout", "SECONDS",
		"timeout of the whole command (30)"),
	    .after = arg_int0(NULL, "after", "VERSION",
		"history: only notes of later versions"),
	    .limit = arg_int0(
		NULL, "limit", "N", "history: maximum number of notes (20)"),
	    .json = arg_lit0(NULL, "json", "print JSON"),
	    .wait = arg_lit0(
		NULL, "wait", "wait until all live VMs have it in force"),
	    .check =
		arg_lit0(NULL, "check", "apply: validate only, send nothing"),
	    .help = arg_lit0("h", "help", "print this and exit"),
	    .help_notes = arg_lit0(NULL, "help-notes",
		"print the keys of a note's items and exit"),
	    .version = arg_lit0(NULL, "version", "print the version and exit"),
	    .words = arg_strn(NULL, NULL, "COMMAND", 0, CTL_ARGS_MAX + 1, NULL),
	    .end = arg_end(ARG_ERRORS_MAX),
	};
	void *table[] = {set.vm, set.token, set.token_file, set.comment,
	    set.timeout, set.after, set.limit, set.json, set.wait, set.check,
	    set.help, set.help_notes, set.version, set.words, set.end};
	size_t count = sizeof(table) / sizeof(table[0]);
	bool run_command = false;
	int errors;

	*code = CTL_USAGE;
	if (arg_nullcheck(table) != 0) {
		print_ctl_error("no memory");
		return false;
	}
	errors = arg_parse(argc, argv, table);
	if (set.help->count > 0) {
		*code = CTL_OK;
		print_help(table);
	} else if (set.help_notes->count > 0) {
		*code = print_notes_help();
	} else if (set.version->count > 0) {
		*code = CTL_OK;
		printf("spindlectl %s\n", MSP_VERSION);
	} else if (errors > 0) {
		arg_print_errors(stderr, set.end, "spindlectl");
	} else if (read_options(&set, options) != MSP_OK) {
		print_ctl_error("%s", msp_last_message());
	} else {
		run_command = true;
	}
	arg_freetable(table, count);
	return run_command;
}
