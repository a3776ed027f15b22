#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* A column of a printed table. */
typedef struct column {
	const char *title;
	const char *key; /* member of each row */
	int width; /* characters */
} column_t;

static void
print_table(json_object *rows, const column_t *columns, size_t count)
{
	size_t i;
	size_t j;

	for (j = 0; j < count; j++)
		printf("%-*s%s", columns[j].width, columns[j].title,
		    j + 1 < count ? " " : "\n");
	for (i = 0; i < json_object_array_length(rows); i++) {
		json_object *row = json_object_array_get_idx(rows, i);

		for (j = 0; j < count; j++)
			printf("%-*s%s", columns[j].width,
			    get_json_text(row, columns[j].key),
			    j + 1 < count ? " " : "\n");
	}
}

/*
 * Prints the list at `path` as a table, or the JSON document with --json.
 * `list_key`: the member with the list, or NULL if the document is the list.
 */
static ctl_exit_t
show_list(ctl_t *ctl, const char *path, const char *list_key,
    const column_t *columns, size_t count)
{
	json_object *doc;
	json_object *rows;
	ctl_exit_t code;

	doc = fetch_json(ctl, path, &code);
	if (doc == NULL)
		return code;
	rows = doc;
	if (list_key != NULL)
		json_object_object_get_ex(doc, list_key, &rows);
	if (ctl->options.json)
		printf("%s\n",
		    json_object_to_json_string_ext(
			doc, JSON_C_TO_STRING_PLAIN));
	else if (json_object_is_type(rows, json_type_array))
		print_table(rows, columns, count);
	json_object_put(doc);
	return CTL_OK;
}

ctl_exit_t
run_status(ctl_t *ctl)
{
	static const column_t columns[] = {
	    {"VM", "vm", 20},
	    {"REGION", "region", 14},
	    {"PLACE", "place", 14},
	    {"VERSION", "version", 8},
	    {"STATE", "state", 10},
	    {"AGE-MS", "age_ms", 7},
	};

	return show_list(ctl, "/v1/status", "vms", columns,
	    sizeof(columns) / sizeof(columns[0]));
}

ctl_exit_t
run_members(ctl_t *ctl)
{
	static const column_t columns[] = {
	    {"VM", "vm", 20},
	    {"PLACE", "place", 14},
	    {"ADDRESS", "address", 16},
	    {"CALLERS", "caller_port", 7},
	    {"PEERS", "peer_port", 7},
	    {"STATE", "state", 8},
	    {"INCARNATION", "incarnation", 12},
	};

	return show_list(ctl, "/v1/members", NULL, columns,
	    sizeof(columns) / sizeof(columns[0]));
}

static void
print_history(json_object *list)
{
	size_t i;

	printf("%-8s %-24s %s\n", "VERSION", "ID", "COMMENT");
	for (i = 0; i < json_object_array_length(list); i++) {
		json_object *entry = json_object_array_get_idx(list, i);
		json_object *note = NULL;

		json_object_object_get_ex(entry, "note", &note);
		printf("%-8" PRIu64 " %-24s %s\n",
		    get_json_number(entry, "version"),
		    get_json_text(note, "id"), get_json_text(note, "comment"));
	}
}

ctl_exit_t
run_history(ctl_t *ctl)
{
	char path[128];
	json_object *doc;
	ctl_exit_t code;

	snprintf(path, sizeof(path), "/v1/releases?after=%" PRIu64 "&limit=%u",
	    ctl->options.after, ctl->options.limit);
	doc = fetch_json(ctl, path, &code);
	if (doc == NULL)
		return code;
	if (ctl->options.json)
		printf("%s\n",
		    json_object_to_json_string_ext(
			doc, JSON_C_TO_STRING_PLAIN));
	else if (json_object_is_type(doc, json_type_array))
		print_history(doc);
	json_object_put(doc);
	return CTL_OK;
}

static ctl_exit_t
list_claims_in_doubt(ctl_t *ctl)
{
	static const column_t columns[] = {
	    {"SERVICE", "service", 20},
	    {"KEY", "key", 36},
	    {"SINCE-MS", "since_ms", 10},
	    {"OWNER", "owner", 20},
	    {"REASON", "reason", 10},
	};

	return show_list(ctl, "/v1/doubt", NULL, columns,
	    sizeof(columns) / sizeof(columns[0]));
}

static ctl_exit_t
rule_claim_in_doubt(ctl_t *ctl, const char *service, const char *key, bool ran)
{
	const char *who = getenv("USER");
	json_object *doc = json_object_new_object();
	msp_buffer_t body = {0};
	ctl_response_t response;
	ctl_exit_t code;

	json_object_object_add(doc, "service", json_object_new_string(service));
	json_object_object_add(doc, "key", json_object_new_string(key));
	json_object_object_add(doc, "who",
	    json_object_new_string(who == NULL ? "spindlectl" : who));
	json_object_object_add(doc, "ran", json_object_new_boolean(ran));
	msp_append_printf(&body, "%s", json_object_to_json_string(doc));
	json_object_put(doc);
	code = call_any_vm(ctl, "POST", "/v1/doubt", &body, &response);
	msp_drop_buffer(&body);
	if (code != CTL_OK)
		return code;
	if (ctl->options.json)
		printf("%s\n", msp_buffer_text(&response.body));
	else
		printf("%s: ruled as %s\n", key, ran ? "ran" : "not run");
	drop_response(&response);
	return CTL_OK;
}

ctl_exit_t
run_doubt(ctl_t *ctl)
{
	const char *const *args = ctl->options.args;

	if (ctl->options.arg_count == 0 ||
	    (ctl->options.arg_count == 1 && strcmp(args[0], "list") == 0))
		return list_claims_in_doubt(ctl);
	if (ctl->options.arg_count == 4 && strcmp(args[0], "rule") == 0) {
		if (strcmp(args[3], "ran") == 0)
			return rule_claim_in_doubt(ctl, args[1], args[2], true);
		if (strcmp(args[3], "not-ran") == 0)
			return rule_claim_in_doubt(
			    ctl, args[1], args[2], false);
	}
	print_ctl_error("doubt takes: list, or: rule SERVICE KEY ran|not-ran");
	return CTL_USAGE;
}

ctl_exit_t
run_metrics(ctl_t *ctl)
{
	ctl_response_t response;
	ctl_exit_t code = call_any_vm(ctl, "GET", "/metrics", NULL, &response);

	if (code != CTL_OK)
		return code;
	fwrite(msp_buffer_text(&response.body), 1, response.body.len, stdout);
	drop_response(&response);
	return CTL_OK;
}
