#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "ctl.h"

#define LINE_SIZE 4096
#define VALUE_SIZE 256
#define TIMESTAMP_SIZE 32
#define UNKNOWN_AGE "-1" /* logged if the data had not been read yet */
#define STALE_AGE_MS 2000 /* older data may have led to a wrong decision */

/* A line that spindled logged, without the prefix of a log collector. */
typedef struct log_line {
	TAILQ_ENTRY(log_line) link;
	char timestamp[TIMESTAMP_SIZE]; /* UTC; sorts as text */
	char vm[VALUE_SIZE];
	char *text; /* from the timestamp on; owned */
} log_line_t;

TAILQ_HEAD(log_lines, log_line);

/* Description of a logged outcome. */
typedef struct outcome_text {
	const char *outcome;
	const char *text;
} outcome_text_t;

static const outcome_text_t outcomes[] = {
    {"answered", "a target responded"},
    {"target-error", "the target itself responded with an error"},
    {"target-full",
	"a target refused it for lack of free slots and it could not be sent "
	"to another; it did not run"},
    {"overload",
	"no target was expected to respond in the time left, so it was refused "
	"on arrival; it did not run"},
    {"target-limit",
	"all targets that could take it had named limits, and this VM's parts "
	"of them were used up, so it was refused on arrival; it did not run"},
    {"target-pause",
	"all targets that could take it had asked this VM for a pause, so it "
	"was refused on arrival with the time until the first one ends; it did "
	"not run"},
    {"no-target",
	"no target could take it (all are draining, suspect, cold or "
	"evacuated), so it was refused; it did not run"},
    {"no-routes",
	"the VM had no routes yet, so it was refused; it did not run"},
    {"routes-outdated",
	"another VM had newer routes, so that home regions, or the caller's "
	"key, may have changed; it did not run"},
    {"key-missing", "it had no API key, and its route is not public"},
    {"key-malformed", "its Authorization field is not \"Bearer KEY\""},
    {"key-repeated", "it had more than one Authorization field"},
    {"key-unknown",
	"no organisation had its API key in the version in force at the VM, "
	"and the VM knew of no newer version"},
    {"key-revoked",
	"its API key was taken away after it had arrived; it did not run "
	"unless the status is 502"},
    {"unknown-organisation",
	"another VM forwarded it for an organisation that this VM's version "
	"does not have; it did not run here"},
    {"rate-limit",
	"its organisation had used up its limit in this data centre; it did "
	"not run"},
    {"no-rate-owner",
	"no VM that keeps the limits of organisations for this data centre "
	"could be asked, and this VM's own part was used up; it did not run"},
    {"no-route", "no route in force at the VM matches its host and path"},
    {"leaving",
	"the VM was stopping and might not have finished it in time, so it was "
	"refused; it did not run"},
    {"quarantined",
	"requests like it made several targets fail, so it was refused; it did "
	"not run"},
    {"timeout",
	"the target did not respond before the route's timeout or the caller's "
	"deadline"},
    {"cut", "the connection to the target was lost; it may have run"},
    {"wrong-answer",
	"the target sent no valid response to this request; it may have run"},
    {"no-connection",
	"no connection to a target could be opened; it did not run"},
    {"misdirected", "another target was at the address; it did not run there"},
    {"stopped",
	"the VM stopped before a target had responded; it may have run"},
    {"caller-gone", "the caller disconnected before the response"},
};

/* Copies the value of a field key=value of a line; "" if it is absent. */
static void
get_field(const char *text, const char *key, char out[VALUE_SIZE])
{
	size_t key_len = strlen(key);
	const char *at = text;
	size_t len;

	out[0] = '\0';
	while ((at = strstr(at, key)) != NULL) {
		if (at[key_len] == '=' && (at == text || at[-1] == ' '))
			break;
		at += key_len;
	}
	if (at == NULL)
		return;
	at += key_len + 1;
	len = strcspn(at, " \r\n");
	if (len >= VALUE_SIZE)
		len = VALUE_SIZE - 1;
	memcpy(out, at, len);
	out[len] = '\0';
}

static uint64_t
get_number_field(const char *text, const char *key)
{
	char value[VALUE_SIZE];

	get_field(text, key, value);
	return strtoull(value, NULL, 10);
}

/*
 * Finds a timestamp such as 2026-03-05T13:15:06.060Z in a line; NULL if there
 * is none.
 */
static const char *
find_timestamp(const char *line)
{
	const char *at = line;

	while ((at = strchr(at, 'T')) != NULL) {
		if (at - line >= 10 && at[-3] == '-' && at[-6] == '-' &&
		    strlen(at) > 9 && at[3] == ':' && at[6] == ':')
			return at - 10;
		at++;
	}
	return NULL;
}

/* Inserts the line into the list, which is sorted by timestamp. */
static void
add_line(struct log_lines *lines, const char *timestamp)
{
	log_line_t *line = calloc(1, sizeof(*line));
	log_line_t *before;
	size_t len;

	if (line != NULL)
		line->text = strdup(timestamp);
	if (line == NULL || line->text == NULL) {
		free(line);
		return;
	}
	line->text[strcspn(line->text, "\r\n")] = '\0';
	len = strcspn(line->text, " ");
	if (len >= TIMESTAMP_SIZE)
		len = TIMESTAMP_SIZE - 1;
	memcpy(line->timestamp, line->text, len);
	get_field(line->text, "vm", line->vm);
	TAILQ_FOREACH_REVERSE(before, lines, log_lines, link)
	if (strcmp(before->timestamp, line->timestamp) <= 0)
		break;
	if (before == NULL)
		TAILQ_INSERT_HEAD(lines, line, link);
	else
		TAILQ_INSERT_AFTER(lines, before, line, link);
}

static void
drop_lines(struct log_lines *lines)
{
	log_line_t *line;

	while ((line = TAILQ_FIRST(lines)) != NULL) {
		TAILQ_REMOVE(lines, line, link);
		free(line->text);
		free(line);
	}
}

/* Returns true for a line to include; `text` starts at its timestamp. */
typedef bool line_filter_t(void *ctx, const char *text);

/* Adds the lines of a file that pass the filter. */
static bool
read_lines(
    const char *path, line_filter_t *filter, void *ctx, struct log_lines *lines)
{
	char text[LINE_SIZE];
	FILE *file = fopen(path, "r");
	const char *timestamp;

	if (file == NULL) {
		print_ctl_error("%s: cannot be read", path);
		return false;
	}
	while (fgets(text, sizeof(text), file) != NULL) {
		timestamp = find_timestamp(text);
		if (timestamp != NULL && filter(ctx, timestamp))
			add_line(lines, timestamp);
	}
	fclose(file);
	return true;
}

/*
 * Whether the line is of the request, or of another request that was given a
 * response with the id of this one.
 */
static bool
has_request_id(void *ctx, const char *text)
{
	char id[VALUE_SIZE];

	get_field(text, "id", id);
	if (strcmp(id, ctx) == 0)
		return true;
	get_field(text, "response_of", id);
	return strcmp(id, ctx) == 0;
}

/* Selects what a VM logged about its state up to the end of a request. */
typedef struct state_filter {
	char vm[VALUE_SIZE];
	char target[VALUE_SIZE]; /* of the request; the only one included */
	char end_time[TIMESTAMP_SIZE]; /* of the request */
} state_filter_t;

static bool
is_state_change(void *ctx, const char *text)
{
	const state_filter_t *filter = ctx;
	char value[VALUE_SIZE];

	if (strncmp(text, filter->end_time, strlen(filter->end_time)) > 0)
		return false;
	get_field(text, "vm", value);
	if (strcmp(value, filter->vm) != 0)
		return false;
	get_field(text, "event", value);
	if (strcmp(value, "routes") == 0 || strcmp(value, "table") == 0 ||
	    strcmp(value, "store") == 0 || strcmp(value, "evacuation") == 0)
		return true;
	if (strcmp(value, "target") != 0)
		return false;
	get_field(text, "target", value);
	return strcmp(value, filter->target) == 0;
}

/* Whether a later line has the same event and table, so that only it counts. */
static bool
is_superseded(const log_line_t *line)
{
	const log_line_t *later = line;
	char event[VALUE_SIZE];
	char table[VALUE_SIZE];
	char other[VALUE_SIZE];

	get_field(line->text, "event", event);
	get_field(line->text, "table", table);
	while ((later = TAILQ_NEXT(later, link)) != NULL) {
		get_field(later->text, "event", other);
		if (strcmp(event, other) != 0)
			continue;
		get_field(later->text, "table", other);
		if (strcmp(table, other) == 0)
			return true;
	}
	return false;
}

static void
print_known_state(int count, char **paths, const log_line_t *end_line)
{
	struct log_lines lines = TAILQ_HEAD_INITIALIZER(lines);
	const log_line_t *line;
	state_filter_t filter = {0};
	int i;

	strcpy(filter.vm, end_line->vm);
	strcpy(filter.end_time, end_line->timestamp);
	get_field(end_line->text, "target", filter.target);
	for (i = 0; i < count; i++)
		read_lines(paths[i], is_state_change, &filter, &lines);
	printf("\nState known to %s at that time:\n", end_line->vm);
	TAILQ_FOREACH(line, &lines, link) {
		if (!is_superseded(line))
			printf("  %s\n", line->text);
	}
	drop_lines(&lines);
}

static const char *
describe_outcome(const char *outcome)
{
	size_t i;

	for (i = 0; i < sizeof(outcomes) / sizeof(*outcomes); i++) {
		if (strcmp(outcomes[i].outcome, outcome) == 0)
			return outcomes[i].text;
	}
	return "unknown outcome";
}

/* Prints by how much the request missed its latency goal, and likely causes. */
static void
print_slowness(const char *text)
{
	char warmth[VALUE_SIZE];
	uint64_t took = get_number_field(text, "took_ms");
	uint64_t goal = get_number_field(text, "goal_ms");
	int64_t wait = (int64_t)get_number_field(text, "wait_ms");

	if (goal == 0 || took <= goal)
		return;
	printf("It took %" PRIu64 " ms, over its latency goal of %" PRIu64
	       " ms",
	    took, goal);
	get_field(text, "warmth", warmth);
	if (wait > 0)
		printf("; a wait of about %" PRId64 " ms for a slot was "
		       "expected",
		    wait);
	if (strcmp(warmth, "warm") != 0)
		printf("; the target was not known to have its object in "
		       "memory");
	printf(".\n");
}

/* Prints that the data used was missing or out of date, if it was. */
static void
print_data_age(const char *text, const char *key, const char *what)
{
	char value[VALUE_SIZE];
	uint64_t age = get_number_field(text, key);

	get_field(text, key, value);
	if (strcmp(value, UNKNOWN_AGE) == 0)
		printf("Unknown: the VM had not read the %s yet.\n", what);
	else if (age > STALE_AGE_MS)
		printf("Stale: the VM's copy of the %s was %" PRIu64
		       " ms old.\n",
		    what, age);
}

/* Prints what an attempt came to, and whose response said so. */
static void
print_attempt(const char *text)
{
	char target[VALUE_SIZE];
	char concluded[VALUE_SIZE];
	char owner[VALUE_SIZE];
	char value[VALUE_SIZE];

	get_field(text, "target", target);
	get_field(text, "concluded", concluded);
	get_field(text, "response_id", owner);
	printf("Attempt %" PRIu64 ", at %s: taken as %s because of ",
	    get_number_field(text, "attempt"), target, concluded);
	if (owner[0] == '\0') {
		get_field(text, "error", value);
		printf("the error %s", value);
	} else if (strcmp(owner, "other") == 0) {
		get_field(text, "response_of", value);
		printf("a response %" PRIu64 " to another request, %s",
		    get_number_field(text, "status"), value);
	} else {
		printf("%s response %" PRIu64,
		    strcmp(owner, "own") == 0 ? "its own" : "an unidentified",
		    get_number_field(text, "status"));
	}
	printf("; connection %" PRIu64 " had delivered %" PRIu64
	       " responses before.\n",
	    get_number_field(text, "conn"), get_number_field(text, "nth"));
}

/* Prints which other request was given the response to this one. */
static void
print_lost_response(const char *id, const char *text)
{
	char other[VALUE_SIZE];
	char target[VALUE_SIZE];

	get_field(text, "id", other);
	get_field(text, "target", target);
	printf("A response to request %s was given to request %s, at %s on "
	       "connection %" PRIu64 ": %s may have executed it.\n",
	    id, other, target, get_number_field(text, "conn"), target);
}

static void
print_attempts(const char *id, const struct log_lines *lines)
{
	const log_line_t *line;
	char value[VALUE_SIZE];

	TAILQ_FOREACH(line, lines, link) {
		get_field(line->text, "event", value);
		if (strcmp(value, "attempt") != 0)
			continue;
		get_field(line->text, "id", value);
		if (strcmp(value, id) == 0)
			print_attempt(line->text);
		else
			print_lost_response(id, line->text);
	}
}

/* Prints that the HTTP server of a VM refused the request by itself. */
static void
print_server_refusal(const char *id, const log_line_t *line)
{
	char reason[VALUE_SIZE];

	get_field(line->text, "reason", reason);
	printf("\nRequest %s was refused with %" PRIu64
	       " by the HTTP server of %s (%s); it was sent to no target.\n",
	    id, get_number_field(line->text, "status"), line->vm, reason);
}

/* Prints that the request was pipelined behind others, if it was. */
static void
print_pipeline(const char *text)
{
	uint64_t position = get_number_field(text, "pipeline_position");
	uint64_t held = get_number_field(text, "held_ms");

	if (position == 0)
		return;
	printf("It was sent behind %" PRIu64
	       " unanswered requests of its connection and waited %" PRIu64
	       " ms for them before it began.\n",
	    position, held);
}

/* Prints that the response had to wait for earlier ones. */
static void
print_delayed_response(const log_line_t *line)
{
	printf("\nIts response was ready %" PRIu64
	       " ms before those to earlier requests of its connection at %s "
	       "were sent.\n",
	    get_number_field(line->text, "wait_ms"), line->vm);
}

static void
print_summary(const char *id, const log_line_t *end_line)
{
	char outcome[VALUE_SIZE];
	char status[VALUE_SIZE];

	get_field(end_line->text, "outcome", outcome);
	get_field(end_line->text, "status", status);
	printf("\nRequest %s at %s ended with %s: %s.\n", id, end_line->vm,
	    status, describe_outcome(outcome));
	printf("It was handled with routes version %" PRIu64 "; %" PRIu64
	       " targets may have received it.\n",
	    get_number_field(end_line->text, "routes"),
	    get_number_field(end_line->text, "sent"));
	print_pipeline(end_line->text);
	print_slowness(end_line->text);
	print_data_age(end_line->text, "routes_age_ms", "routes");
	print_data_age(end_line->text, "targets_age_ms", "targets");
}

ctl_exit_t
run_explain(int count, char **args)
{
	struct log_lines lines = TAILQ_HEAD_INITIALIZER(lines);
	const log_line_t *line;
	const log_line_t *end_line = NULL;
	const log_line_t *refusal = NULL;
	const log_line_t *delay = NULL;
	ctl_exit_t code = CTL_OK;
	char event[VALUE_SIZE];
	int i;

	if (count < 2) {
		print_ctl_error("usage: spindlectl explain ID FILE...");
		return CTL_USAGE;
	}
	for (i = 1; i < count; i++) {
		if (!read_lines(args[i], has_request_id, args[0], &lines))
			code = CTL_USAGE;
	}
	TAILQ_FOREACH(line, &lines, link) {
		printf("%s\n", line->text);
		get_field(line->text, "event", event);
		if (strcmp(event, "request") == 0)
			end_line = line;
		if (strcmp(event, "server-refusal") == 0)
			refusal = line;
		if (strcmp(event, "delayed-response") == 0)
			delay = line;
	}
	if (refusal != NULL)
		print_server_refusal(args[0], refusal);
	if (end_line != NULL) {
		print_known_state(count - 1, args + 1, end_line);
		print_summary(args[0], end_line);
	}
	if (delay != NULL)
		print_delayed_response(delay);
	print_attempts(args[0], &lines);
	if (end_line == NULL && refusal == NULL && delay == NULL &&
	    code == CTL_OK) {
		print_ctl_error("no log line has the end of request %s; only a "
				"sample of successful requests is logged",
		    args[0]);
		code = CTL_REFUSED;
	}
	drop_lines(&lines);
	return code;
}
