#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "monsoonspindle/net.h"

#define TOKEN "0123456789abcdef"
#define ARGS_MAX 16
#define STEPS_MAX 6
#define OUTPUT_SIZE 8192
#define ZERO_DIGEST "00000000000000000000000000000000"
/* Status document of VM a, in which VM b has the given version. */
#define STATUS(version_)                                                \
	"{\"vm\":\"a\",\"version\":0,\"digest\":\"" ZERO_DIGEST         \
	"\",\"vms\":[{\"vm\":\"a\",\"version\":1,\"state\":\"ready\"}," \
	"{\"vm\":\"b\",\"version\":" #version_ ",\"state\":\"ready\"}]}"
#define ACCEPTED                                   \
	"{\"version\":1,\"digest\":\"" ZERO_DIGEST \
	"\",\"id\":\"n\",\"rebased\":false}"

extern char **environ;

/* An expected request and the response to it. */
typedef struct step {
	const char *request; /* as checked by is_expected() */
	int status; /* HTTP */
	const char *body;
} step_t;

typedef struct ctl_case {
	const char *name;
	const char *args[ARGS_MAX]; /* those after --vm and --token */
	const char *note; /* content of the file passed for NOTE */
	step_t steps[STEPS_MAX]; /* the last one is repeated */
	int code; /* exit code */
	const char *output; /* part of standard output or error */
} ctl_case_t;

/* A VM with scripted responses. */
typedef struct fake_vm {
	msp_loop_t *loop;
	msp_http_server_t *server;
	const step_t *steps;
	size_t step_index;
	char unexpected_request[256]; /* the first; "": none */
} fake_vm_t;

#define NOTE_WITH_ID "{\"id\":\"n\",\"add\":{\"regions\":[{\"name\":\"r\"}]}}"
#define NOTE_WITHOUT_ID "{\"add\":{\"regions\":[{\"name\":\"r\"}]}}"

/* The line that a VM logs at the end of request 7a. */
#define END_LINE(fields_)                                                 \
	"2026-03-05T13:15:06.060Z INFO vm=a event=request id=7a " fields_ \
	" took_ms=0 left_ms=100 sent=0 tried=0 goal_ms=0\n"

/* The line of an attempt of request `id_`. */
#define ATTEMPT_LINE(id_, fields_)                                 \
	"2026-03-05T13:15:06.059Z INFO vm=a event=attempt id=" id_ \
	" target=i-1 attempt=1 " fields_ " conn=12 nth=3 took_ms=1\n"

#define REFUSED_LINE                                                         \
	END_LINE("status=503 outcome=target-full routes=6 routes_age_ms=20 " \
		 "targets_age_ms=30")

static const ctl_case_t cases[] = {
    {"explain: refusal of another request", {"explain", "7a", "NOTE", NULL},
	ATTEMPT_LINE("7a",
	    "concluded=not-executed status=503 response_id=other "
	    "response_of=6f not_executed=1 signed=0 wrong_target=0")
	    REFUSED_LINE,
	{{0}}, 0,
	"Attempt 1, at i-1: taken as not-executed because of a response 503 to "
	"another request, 6f; connection 12 had delivered 3 responses before."},
    {"explain: line of the attempt", {"explain", "7a", "NOTE", NULL},
	ATTEMPT_LINE("7a",
	    "concluded=unknown status=503 response_id=missing response_of=- "
	    "not_executed=0 signed=0 wrong_target=0") REFUSED_LINE,
	{{0}}, 0,
	"vm=a event=attempt id=7a target=i-1 attempt=1 concluded=unknown "},
    {"explain: unidentified refusal", {"explain", "7a", "NOTE", NULL},
	ATTEMPT_LINE("7a",
	    "concluded=not-executed status=503 response_id=missing "
	    "response_of=- not_executed=1 signed=0 wrong_target=0")
	    REFUSED_LINE,
	{{0}}, 0, "because of an unidentified response 503; connection 12 "},
    {"explain: own refusal", {"explain", "7a", "NOTE", NULL},
	ATTEMPT_LINE("7a",
	    "concluded=not-executed status=503 response_id=own response_of=- "
	    "not_executed=1 signed=0 wrong_target=0") REFUSED_LINE,
	{{0}}, 0, "because of its own response 503; connection 12 "},
    {"explain: failed call", {"explain", "7a", "NOTE", NULL},
	ATTEMPT_LINE("7a",
	    "concluded=unknown error=cut-answer maybe_sent=1 no_first_byte=0")
	    REFUSED_LINE,
	{{0}}, 0, "taken as unknown because of the error cut-answer; "},
    {"explain: response given to another request",
	{"explain", "7a", "NOTE", NULL},
	ATTEMPT_LINE("8b",
	    "concluded=unknown status=200 response_id=other response_of=7a "
	    "not_executed=0 signed=1 wrong_target=0") REFUSED_LINE,
	{{0}}, 0,
	"A response to request 7a was given to request 8b, at i-1 on "
	"connection 12: i-1 may have executed it."},
    {"explain: refused by the HTTP server", {"explain", "7a", "NOTE", NULL},
	"2026-03-05T13:15:06.060Z INFO vm=a event=server-refusal id=7a "
	"status=408 reason=request-timeout client=127.0.0.1 request_read=1 "
	"body_bytes=3\n",
	{{0}}, 0,
	"Request 7a was refused with 408 by the HTTP server of a "
	"(request-timeout); it was sent to no target."},
    {"explain: behind others of its connection",
	{"explain", "7a", "NOTE", NULL},
	END_LINE("status=503 outcome=overload routes=6 routes_age_ms=20 "
		 "targets_age_ms=30 pipeline_position=2 held_ms=40"),
	{{0}}, 0,
	"It was sent behind 2 unanswered requests of its connection and waited "
	"40 ms for them before it began."},
    {"explain: response behind others", {"explain", "7a", "NOTE", NULL},
	"2026-03-05T13:15:06.060Z INFO vm=a event=delayed-response id=7a "
	"pipeline_position=2 wait_ms=90\n",
	{{0}}, 0,
	"Its response was ready 90 ms before those to earlier requests of its "
	"connection at a were sent."},
    {"explain: no routes read yet", {"explain", "7a", "NOTE", NULL},
	END_LINE("status=503 outcome=no-routes routes=0 routes_age_ms=-1 "
		 "targets_age_ms=-1"),
	{{0}}, 0, "Unknown: the VM had not read the routes yet."},
    {"explain: stale targets", {"explain", "7a", "NOTE", NULL},
	END_LINE("status=503 outcome=overload routes=6 routes_age_ms=20 "
		 "targets_age_ms=9000"),
	{{0}}, 0, "Stale: the VM's copy of the targets was 9000 ms old."},
    {"explain: refused on arrival", {"explain", "7a", "NOTE", NULL},
	END_LINE("status=503 outcome=overload routes=6 routes_age_ms=20 "
		 "targets_age_ms=30"),
	{{0}}, 0, "refused on arrival; it did not run"},
    {"explain: caller disconnected", {"explain", "7a", "NOTE", NULL},
	END_LINE("status=0 outcome=caller-gone routes=6 routes_age_ms=20 "
		 "targets_age_ms=30"),
	{{0}}, 0, "the caller disconnected before the response"},
    {"explain: no such request", {"explain", "7b", "NOTE", NULL},
	END_LINE("status=200 outcome=answered"), {{0}}, 1, "7b"},
    {"explain: no such file", {"explain", "7a", "/nonexistent", NULL}, NULL,
	{{0}}, 2, "/nonexistent"},
    {"no command", {NULL}, NULL, {{0}}, 2, "no command"},
    {"unknown command", {"aply", NULL}, NULL, {{0}}, 2,
	"unknown command \"aply\""},
    {"too few arguments", {"apply", NULL}, NULL, {{0}}, 2, "apply takes 1"},
    {"unknown option", {"--frob", "status", NULL}, NULL, {{0}}, 2, "frob"},
    {"bad timeout", {"--timeout", "0", "status", NULL}, NULL, {{0}}, 2,
	"--timeout: 0 is out of range 1..86400"},
    {"bad ruling", {"doubt", "rule", "s", "k", "maybe", NULL}, NULL, {{0}}, 2,
	"ran|not-ran"},
    {"help", {"--help", NULL}, NULL, {{0}}, 0, "Exit codes"},
    {"help on notes", {"--help-notes", NULL}, NULL, {{0}}, 0,
	"targets[].slots"},
    {"version", {"--version", NULL}, NULL, {{0}}, 0, "spindlectl 0."},
    {"no such file", {"apply", "/nonexistent", NULL}, NULL, {{0}}, 2,
	"/nonexistent"},
    {"invalid note is not sent", {"apply", "NOTE", NULL},
	"{\"add\":{\"regions\":[{\"name\":\"R\"}]}}", {{0}}, 2,
	"add.regions[0].name"},
    {"accepted", {"apply", "NOTE", NULL}, NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases \"id\":\"n\",\"base_version\":0", 201,
		ACCEPTED}},
	0, "n: accepted as version 1"},
    {"accepted, JSON output", {"--json", "apply", "NOTE", NULL}, NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases ", 201, ACCEPTED}},
	0, "{\"id\":\"n\",\"version\":1,"},
    {"waits until in force", {"apply", "--wait", "NOTE", NULL}, NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases ", 201, ACCEPTED},
	    {"GET /v1/status ", 200, STATUS(0)},
	    {"GET /v1/status ", 200, STATUS(1)}},
	0, "in force everywhere"},
    {"not in force in time",
	{"apply", "--wait", "--timeout", "1", "NOTE", NULL}, NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases ", 201, ACCEPTED},
	    {"GET /v1/status ", 200, STATUS(0)}},
	4, "not in force in time at: b"},
    {"conflict", {"apply", "NOTE", NULL}, NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases ", 409,
		"{\"kind\":\"conflict\",\"detail\":\"clashes with note m\","
		"\"clashes\":[\"region r\"],\"other_note\":\"m\"}"}},
	1, "region r"},
    {"refused as invalid", {"apply", "NOTE", NULL}, NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases ", 422,
		"{\"kind\":\"invalid-note\",\"detail\":\"add.regions.r\"}"}},
	2, "add.regions.r"},
    {"wrong token", {"status", NULL}, NULL,
	{{"GET /v1/status ", 401,
	    "{\"kind\":\"unauthorized\",\"title\":\"A token is needed\"}"}},
	2, "A token is needed"},
    {"retried with the same id", {"apply", "NOTE", NULL}, NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases \"id\":\"n\"", 502, "{\"kind\":\"in-doubt\"}"},
	    {"POST /v1/releases \"id\":\"n\"", 503,
		"{\"kind\":\"store-down\"}"},
	    {"POST /v1/releases \"id\":\"n\"", 201, ACCEPTED}},
	0, "accepted as version 1"},
    {"in doubt until the timeout", {"apply", "--timeout", "1", "NOTE", NULL},
	NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases ", 502, "{\"kind\":\"in-doubt\"}"}},
	3, "is not known"},
    {"store down until the timeout", {"apply", "--timeout", "1", "NOTE", NULL},
	NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases ", 503, "{\"kind\":\"store-down\"}"}},
	3, "was not accepted"},
    {"first attempt with a generated id is marked", {"apply", "NOTE", NULL},
	NOTE_WITHOUT_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases FIRST", 502, "{\"kind\":\"in-doubt\"}"},
	    {"POST /v1/releases AGAIN", 201, ACCEPTED}},
	0, "note-"},
    {"attempt with a given id is not marked as the first",
	{"apply", "NOTE", NULL}, NOTE_WITH_ID,
	{{"GET /v1/status ", 200, STATUS(1)},
	    {"POST /v1/releases AGAIN", 201, ACCEPTED}},
	0, "accepted"},
    {"status", {"status", NULL}, NULL, {{"GET /v1/status ", 200, STATUS(1)}}, 0,
	"VERSION"},
    {"status, JSON output", {"--json", "status", NULL}, NULL,
	{{"GET /v1/status ", 200, STATUS(1)}}, 0, "{\"vm\":\"a\","},
    {"response is not JSON", {"members", NULL}, NULL,
	{{"GET /v1/members ", 200, "<html>"}}, 3, "is not JSON"},
    {"history", {"--after", "3", "--limit", "2", "history", NULL}, NULL,
	{{"GET /v1/releases?after=3&limit=2 ", 200,
	    "[{\"version\":4,\"note\":{\"id\":\"n4\",\"comment\":\"c\"}}]"}},
	0, "n4"},
    {"claims in doubt", {"doubt", NULL}, NULL,
	{{"GET /v1/doubt ", 200,
	    "[{\"service\":\"desk\",\"key\":\"k1\",\"since_ms\":5}]"}},
	0, "k1"},
    {"ruling on a claim in doubt",
	{"doubt", "rule", "s", "k1", "not-ran", NULL}, NULL,
	{{"POST /v1/doubt \"ran\": false", 200, "{}"}}, 0, "not run"},
    {"metrics", {"metrics", NULL}, NULL, {{"GET /metrics ", 200, "msp_x 1\n"}},
	0, "msp_x 1"},
    {"drain of a VM", {"drain", "vm", "a", NULL}, NULL,
	{{"GET /v1/status ", 200, STATUS(1)}, {"POST /v1/leave ", 202, "{}"}},
	0, "a is leaving"},
    {"drain of an unknown kind", {"drain", "zone", "a", NULL}, NULL, {{0}}, 2,
	"not one of place, target, vm"},
};

/*
 * `expected` is "METHOD PATH " followed by FIRST (marked as the first attempt),
 * AGAIN (not marked) or a part of the body.
 */
static bool
is_expected(const msp_request_t *request, const char *expected)
{
	const char *attempt =
	    msp_find_header(&request->headers, "Request-Attempt");
	const char *token = msp_find_header(&request->headers, "Authorization");
	char start[MSP_PATH_MAX + 32];
	const char *rest;

	snprintf(
	    start, sizeof(start), "%s %s ", request->method, request->path);
	if (token == NULL || strcmp(token, "Bearer " TOKEN) != 0)
		return false;
	if (strncmp(expected, start, strlen(start)) != 0)
		return false;
	rest = expected + strlen(start);
	if (strcmp(rest, "FIRST") == 0)
		return attempt != NULL && strcmp(attempt, "1") == 0;
	if (strcmp(rest, "AGAIN") == 0)
		return attempt == NULL;
	return strstr(msp_buffer_text(&request->body), rest) != NULL;
}

static void
handle_request(void *ctx, msp_exchange_t *exchange)
{
	fake_vm_t *vm = ctx;
	const msp_request_t *request = msp_exchange_request(exchange);
	const step_t *step = &vm->steps[vm->step_index];
	msp_response_t response = {.status = 500};

	if (step->request == NULL || !is_expected(request, step->request)) {
		if (vm->unexpected_request[0] == '\0')
			snprintf(vm->unexpected_request,
			    sizeof(vm->unexpected_request), "%s %.200s",
			    request->method, request->path);
	} else {
		response.status = step->status;
		msp_append_data(&response.body, step->body, strlen(step->body));
	}
	if (vm->step_index + 1 < STEPS_MAX &&
	    vm->steps[vm->step_index + 1].request != NULL)
		vm->step_index++;
	msp_send_exchange_response(exchange, &response);
}

static void
handle_disconnect(void *ctx, msp_exchange_t *exchange)
{
	(void)ctx;
	(void)exchange;
}

/* Creates a file by the mkstemp template `path`; `note` is its content. */
static void
write_note(char *path, const char *note)
{
	int fd = mkstemp(path);

	assert_true(fd >= 0);
	if (note != NULL)
		assert_int_equal(
		    write(fd, note, strlen(note)), (ssize_t)strlen(note));
	close(fd);
}

static pid_t
start_ctl(const char *const *argv, const char *output)
{
	const char *out = getenv("OUT");
	posix_spawn_file_actions_t actions;
	char path[256];
	pid_t pid;

	snprintf(path, sizeof(path), "%s/bin/spindlectl",
	    out == NULL ? "build/asan" : out);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
	    &actions, STDOUT_FILENO, output, O_WRONLY | O_APPEND, 0);
	posix_spawn_file_actions_adddup2(
	    &actions, STDOUT_FILENO, STDERR_FILENO);
	assert_int_equal(posix_spawn(&pid, path, &actions, NULL,
			     (char *const *)argv, environ),
	    0);
	posix_spawn_file_actions_destroy(&actions);
	return pid;
}

/*
 * Runs the tool against `vm`. Returns its exit code, or -1 after a signal, and
 * the start of its output in `text`.
 */
static int
run_ctl(fake_vm_t *vm, const ctl_case_t *test, char text[OUTPUT_SIZE])
{
	char note[] = "/tmp/ctl-note-XXXXXX";
	char output[] = "/tmp/ctl-output-XXXXXX";
	char address[32];
	const char *argv[ARGS_MAX + 6] = {
	    "spindlectl", "--vm", address, "--token", TOKEN};
	size_t count = 5;
	size_t i;
	int status = 0;
	pid_t pid;
	int fd;
	ssize_t len;

	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    msp_http_server_port(vm->server));
	/* explain takes no --vm and --token, and must be the first argument. */
	if (test->args[0] != NULL && strcmp(test->args[0], "explain") == 0)
		count = 1;
	write_note(note, test->note);
	write_note(output, NULL);
	for (i = 0; test->args[i] != NULL; i++)
		argv[count++] =
		    strcmp(test->args[i], "NOTE") == 0 ? note : test->args[i];
	argv[count] = NULL;
	pid = start_ctl(argv, output);
	while (waitpid(pid, &status, WNOHANG) == 0)
		msp_step_loop(vm->loop, 10);
	fd = open(output, O_RDONLY);
	assert_true(fd >= 0);
	len = read(fd, text, OUTPUT_SIZE - 1);
	text[len > 0 ? len : 0] = '\0';
	close(fd);
	unlink(output);
	unlink(note);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void
commands_print_and_exit_as_documented(void **state)
{
	fake_vm_t vm = {.loop = msp_new_loop(64)};
	const msp_http_server_options_t options = {.address = "127.0.0.1",
	    .handler = {.on_request = handle_request,
		.on_disconnect = handle_disconnect,
		.ctx = &vm}};
	char text[OUTPUT_SIZE];
	size_t i;
	int code;

	(void)state;
	assert_non_null(vm.loop);
	vm.server = msp_new_http_server(vm.loop, &options);
	assert_non_null(vm.server);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		vm.steps = cases[i].steps;
		vm.step_index = 0;
		vm.unexpected_request[0] = '\0';
		code = run_ctl(&vm, &cases[i], text);
		if (vm.unexpected_request[0] != '\0')
			fail_msg("%s: unexpected request %s; %s", cases[i].name,
			    vm.unexpected_request, text);
		if (code != cases[i].code ||
		    strstr(text, cases[i].output) == NULL)
			fail_msg("%s: exit code %d, not %d: %s", cases[i].name,
			    code, cases[i].code, text);
	}
	msp_drop_http_server(vm.server);
	msp_drop_loop(vm.loop);
}

/* A VM that refuses connections must lead to exit code 3 after --timeout. */
static void
unreachable_vm_fails_within_timeout(void **state)
{
	static const ctl_case_t test = {"unreachable",
	    {"--timeout", "1", "status", NULL}, NULL, {{0}}, 3, "no response"};
	fake_vm_t vm = {.loop = msp_new_loop(64)};
	const msp_http_server_options_t options = {.address = "127.0.0.1",
	    .handler = {.on_request = handle_request,
		.on_disconnect = handle_disconnect,
		.ctx = &vm}};
	char text[OUTPUT_SIZE];

	(void)state;
	assert_non_null(vm.loop);
	vm.server = msp_new_http_server(vm.loop, &options);
	assert_non_null(vm.server);
	msp_close_http_listener(vm.server);
	assert_int_equal(run_ctl(&vm, &test, text), 3);
	assert_non_null(strstr(text, test.output));
	msp_drop_http_server(vm.server);
	msp_drop_loop(vm.loop);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(commands_print_and_exit_as_documented),
	    cmocka_unit_test(unreachable_vm_fails_within_timeout),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
