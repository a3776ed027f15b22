#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>

#include "ctl.h"

#define LINE_SIZE 4096
#define VALUE_SIZE 256
#define STAMP_SIZE 32
#define UNKNOWN_AGE "-1" /* in place of an age */
#define AGE_LIMIT_MS 2000 /* older knowledge may have decided wrongly */

/* One line of a log, as spindled writes it, whatever stands before it. */
typedef struct log_line {
	TAILQ_ENTRY(log_line) link;
	char stamp[STAMP_SIZE]; /* time of day; sorts as text */
	char vm[VALUE_SIZE];
	char *text; /* from the stamp on */
} log_line_t;

TAILQ_HEAD(log_lines, log_line);

/* What an end of a request says, in one sentence. */
typedef struct outcome_text {
	const char *outcome;
	const char *text;
} outcome_text_t;

static const outcome_text_t outcomes[] = {
    {"answered", "a target answered it"},
    {"target-error", "the target itself answered with an error"},
    {"target-full",
	"a target refused it for want of room and it might not be sent to "
	"another; it did not run"},
    {"overload",
	"no target was expected to answer in the time left, so it was refused "
	"on arrival; it did not run"},
    {"no-target",
	"no target might have it (all drain, are suspect, cold or evacuated), "
	"so it was refused; it did not run"},
    {"no-routes",
	"the VM had no routes yet, so it was refused; it did not run"},
    {"no-route", "the routes in force here have none for its host and path"},
    {"quarantined",
	"requests like it ended several targets, so it was refused; it did "
	"not run"},
    {"timeout",
	"the target did not answer before the route's timeout or the caller's "
	"deadline"},
    {"cut", "the connection to the target broke; it may have run"},
    {"wrong-answer",
	"what came back from the target was not its answer; it may have run"},
    {"no-connection", "no connection to a target could be had; it did not run"},
    {"misdirected",
	"another target stood at the address; it did not run there"},
    {"caller-gone", "the caller went away before the answer"},
};

/* Copies the value of `key` in `text`; "" if it is not there. */
static void
find_value(const char *text, const char *key, char out[VALUE_SIZE])
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
find_number(const char *text, const char *key)
{
	char value[VALUE_SIZE];

	find_value(text, key, value);
	return strtoull(value, NULL, 10);
}

/* The time of day in a line, such as 2026-03-05T13:15:06.060Z; or NULL. */
static const char *
find_stamp(const char *line)
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

static void
add_line(struct log_lines *lines, const char *stamp)
{
	log_line_t *line = calloc(1, sizeof(*line));
	log_line_t *before;
	size_t len;

	if (line != NULL)
		line->text = strdup(stamp);
	if (line == NULL || line->text == NULL) {
		free(line);
		return;
	}
	line->text[strcspn(line->text, "\r\n")] = '\0';
	len = strcspn(line->text, " ");
	if (len >= STAMP_SIZE)
		len = STAMP_SIZE - 1;
	memcpy(line->stamp, line->text, len);
	find_value(line->text, "vm", line->vm);
	TAILQ_FOREACH_REVERSE(before, lines, log_lines, link)
	if (strcmp(before->stamp, line->stamp) <= 0)
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

typedef bool wants_line_t(void *ctx, const char *text);

static bool
read_lines(
    const char *path, wants_line_t *wants, void *ctx, struct log_lines *lines)
{
	char text[LINE_SIZE];
	FILE *file = fopen(path, "r");
	const char *stamp;

	if (file == NULL) {
		print_error("%s: can't be read", path);
		return false;
	}
	while (fgets(text, sizeof(text), file) != NULL) {
		stamp = find_stamp(text);
		if (stamp != NULL && wants(ctx, stamp))
			add_line(lines, stamp);
	}
	fclose(file);
	return true;
}

static bool
has_id(void *ctx, const char *text)
{
	char id[VALUE_SIZE];

	find_value(text, "id", id);
	return strcmp(id, ctx) == 0;
}

/* What a VM believed that bears on a request, before it ended. */
typedef struct belief {
	char vm[VALUE_SIZE];
	char target[VALUE_SIZE];
	char until[STAMP_SIZE];
} belief_t;

static bool
is_belief(void *ctx, const char *text)
{
	const belief_t *belief = ctx;
	char value[VALUE_SIZE];

	if (strncmp(text, belief->until, strlen(belief->until)) > 0)
		return false;
	find_value(text, "vm", value);
	if (strcmp(value, belief->vm) != 0)
		return false;
	find_value(text, "event", value);
	if (strcmp(value, "routes") == 0 || strcmp(value, "table") == 0 ||
	    strcmp(value, "store") == 0 || strcmp(value, "evacuation") == 0)
		return true;
	if (strcmp(value, "target") != 0)
		return false;
	find_value(text, "target", value);
	return strcmp(value, belief->target) == 0;
}

/* Whether a later line of the same kind takes the place of this one. */
static bool
is_superseded(const log_line_t *line)
{
	const log_line_t *later = line;
	char event[VALUE_SIZE];
	char table[VALUE_SIZE];
	char other[VALUE_SIZE];

	find_value(line->text, "event", event);
	find_value(line->text, "table", table);
	while ((later = TAILQ_NEXT(later, link)) != NULL) {
		find_value(later->text, "event", other);
		if (strcmp(event, other) != 0)
			continue;
		find_value(later->text, "table", other);
		if (strcmp(table, other) == 0)
			return true;
	}
	return false;
}

static void
print_beliefs(int count, char **paths, const log_line_t *end)
{
	struct log_lines lines = TAILQ_HEAD_INITIALIZER(lines);
	const log_line_t *line;
	belief_t belief = {0};
	int i;

	strcpy(belief.vm, end->vm);
	strcpy(belief.until, end->stamp);
	find_value(end->text, "target", belief.target);
	for (i = 0; i < count; i++)
		read_lines(paths[i], is_belief, &belief, &lines);
	printf("\nWhat %s believed then:\n", end->vm);
	TAILQ_FOREACH(line, &lines, link) {
		if (!is_superseded(line))
			printf("  %s\n", line->text);
	}
	drop_lines(&lines);
}

static const char *
find_outcome(const char *outcome)
{
	size_t i;

	for (i = 0; i < sizeof(outcomes) / sizeof(*outcomes); i++) {
		if (strcmp(outcomes[i].outcome, outcome) == 0)
			return outcomes[i].text;
	}
	return "its end is of no kind that is known";
}

static void
print_lateness(const char *text)
{
	char warmth[VALUE_SIZE];
	uint64_t took = find_number(text, "took_ms");
	uint64_t goal = find_number(text, "goal_ms");
	uint64_t wait = find_number(text, "wait_ms");

	if (goal == 0 || took <= goal)
		return;
	printf("It took %" PRIu64 " ms, over its objective of %" PRIu64 " ms",
	    took, goal);
	find_value(text, "warmth", warmth);
	if (wait > 0)
		printf("; a wait of about %" PRIu64 " ms for a slot was "
		       "expected",
		    wait);
	if (strcmp(warmth, "warm") != 0)
		printf("; the target was not known to have its object in "
		       "memory");
	printf(".\n");
}

static void
print_age(const char *text, const char *key, const char *what)
{
	char value[VALUE_SIZE];
	uint64_t age = find_number(text, key);

	find_value(text, key, value);
	if (strcmp(value, UNKNOWN_AGE) == 0)
		printf("Unknown: the VM had not read the %s yet.\n", what);
	else if (age > AGE_LIMIT_MS)
		printf("Stale: what the VM knew of %s was %" PRIu64
		       " ms old.\n",
		    what, age);
}

static void
print_summary(const char *id, const log_line_t *end)
{
	char outcome[VALUE_SIZE];
	char status[VALUE_SIZE];

	find_value(end->text, "outcome", outcome);
	find_value(end->text, "status", status);
	printf("\nRequest %s at %s ended with %s: %s.\n", id, end->vm, status,
	    find_outcome(outcome));
	printf("It was handled by routes %" PRIu64 "; %" PRIu64
	       " targets may have got it.\n",
	    find_number(end->text, "routes"), find_number(end->text, "sent"));
	print_lateness(end->text);
	print_age(end->text, "routes_age_ms", "routes");
	print_age(end->text, "targets_age_ms", "targets");
}

ctl_exit_t
run_explain(int count, char **words)
{
	struct log_lines lines = TAILQ_HEAD_INITIALIZER(lines);
	const log_line_t *line;
	const log_line_t *end = NULL;
	ctl_exit_t code = CTL_OK;
	char event[VALUE_SIZE];
	int i;

	if (count < 2) {
		print_error("usage: spindlectl explain ID FILE...");
		return CTL_USAGE;
	}
	for (i = 1; i < count; i++) {
		if (!read_lines(words[i], has_id, words[0], &lines))
			code = CTL_USAGE;
	}
	TAILQ_FOREACH(line, &lines, link) {
		printf("%s\n", line->text);
		find_value(line->text, "event", event);
		if (strcmp(event, "request") == 0)
			end = line;
	}
	if (end != NULL) {
		print_beliefs(count - 1, words + 1, end);
		print_summary(words[0], end);
	} else if (code == CTL_OK) {
		print_error("no line tells the end of request %s; of requests "
			    "that went well only a sample is logged",
		    words[0]);
		code = CTL_REFUSED;
	}
	drop_lines(&lines);
	return code;
}
