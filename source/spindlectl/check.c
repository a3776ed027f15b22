#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "../../platform/manifest.h"
#include "ctl.h"

/*
 * Checks a configuration in the form of the users' platform before it is sent:
 * what can't be read, what can never be used, limits that contradict each
 * other, and what it changes. Sends nothing.
 */

#define REGIONS_MAX 64
#define ARG_ERRORS_MAX 8
#define DOCUMENT_BYTES_MAX ((size_t)64 << 20)

/* Exit codes of this command. */
typedef enum check_exit {
	CHECK_CLEAN = 0,
	CHECK_WARNINGS = 1,
	CHECK_ERRORS = 2,
} check_exit_t;

/* Prints findings, and remembers the worst. */
typedef struct check_output {
	struct json_object *list; /* NULL: print text */
	msp_finding_level_t worst;
	size_t count;
} check_output_t;

static void
print_finding(void *ctx, const msp_finding_t *finding)
{
	check_output_t *output = ctx;
	const char *level = msp_finding_level_name(finding->level);
	struct json_object *object;

	output->count++;
	if (finding->level > output->worst)
		output->worst = finding->level;
	if (output->list == NULL) {
		printf("%s: %s: %s\n", level, finding->place, finding->text);
		return;
	}
	object = json_object_new_object();
	json_object_object_add(object, "level", json_object_new_string(level));
	json_object_object_add(
	    object, "place", json_object_new_string(finding->place));
	json_object_object_add(
	    object, "text", json_object_new_string(finding->text));
	json_object_array_add(output->list, object);
}

static void
print_unreadable(void *ctx, const char *path, const char *message)
{
	msp_finding_t finding = {
	    .level = MSP_FINDING_ERROR, .place = path, .text = message};

	print_finding(ctx, &finding);
}

static msp_route_table_t *
read_table(const char *path, const manifest_error_callback_t *callback)
{
	msp_route_table_t *table = NULL;
	msp_buffer_t text = {.limit = DOCUMENT_BYTES_MAX};

	if (read_input_file(path, &text) != MSP_OK)
		print_ctl_error("%s", msp_last_message());
	else
		table = decode_manifest_parts(
		    msp_buffer_text(&text), text.len, callback);
	msp_drop_buffer(&text);
	return table;
}

static void
ignore_unreadable(void *ctx, const char *path, const char *message)
{
	(void)ctx;
	(void)path;
	(void)message;
}

/* Compares with the version in force, of which only readable parts count. */
static bool
compare_with(const char *path, const msp_route_table_t *table,
    const msp_finding_callback_t *callback)
{
	manifest_error_callback_t ignore = {.report = ignore_unreadable};
	msp_route_table_t *before = read_table(path, &ignore);

	if (before == NULL)
		return false;
	msp_compare_route_tables(before, table, callback);
	msp_drop_route_table(before);
	return true;
}

static check_exit_t
end_check(check_output_t *output)
{
	static const check_exit_t codes[] = {
	    [MSP_FINDING_NOTE] = CHECK_CLEAN,
	    [MSP_FINDING_WARNING] = CHECK_WARNINGS,
	    [MSP_FINDING_ERROR] = CHECK_ERRORS,
	};

	if (output->list != NULL) {
		printf("%s\n",
		    json_object_to_json_string_ext(
			output->list, JSON_C_TO_STRING_PRETTY));
		json_object_put(output->list);
	} else if (output->count == 0) {
		printf("clean\n");
	}
	return codes[output->worst];
}

/* What the command line asks for. */
typedef struct check_request {
	const char *path;
	const char *against; /* NULL: no comparison */
	msp_check_options_t options;
	bool json;
} check_request_t;

static check_exit_t
check_file(const check_request_t *request)
{
	check_output_t output = {
	    .list = request->json ? json_object_new_array() : NULL};
	manifest_error_callback_t unreadable = {
	    .report = print_unreadable, .ctx = &output};
	msp_finding_callback_t callback = {
	    .report = print_finding, .ctx = &output};
	msp_route_table_t *table = read_table(request->path, &unreadable);

	if (table == NULL)
		output.worst = MSP_FINDING_ERROR;
	else
		msp_check_route_table(table, &request->options, &callback);
	if (table != NULL && request->against != NULL &&
	    !compare_with(request->against, table, &callback))
		output.worst = MSP_FINDING_ERROR;
	msp_drop_route_table(table);
	return end_check(&output);
}

int
run_check(int argc, char **argv)
{
	struct arg_str *against =
	    arg_str0(NULL, "against", "FILE", "the version in force");
	struct arg_str *regions = arg_strn(NULL, "region", "NAME", 0,
	    REGIONS_MAX, "a region that has data centres; once for each");
	struct arg_int *vms = arg_int0(NULL, "vms", "N", "number of VMs");
	struct arg_lit *json = arg_lit0(NULL, "json", "output for programs");
	struct arg_str *file =
	    arg_str1(NULL, NULL, "FILE", "the configuration; - is stdin");
	struct arg_end *end = arg_end(ARG_ERRORS_MAX);
	void *table[] = {against, regions, vms, json, file, end};
	check_request_t request = {0};
	int code = CHECK_ERRORS;

	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, "spindlectl check");
	} else {
		request.path = file->sval[0];
		request.against = against->count > 0 ? against->sval[0] : NULL;
		request.json = json->count > 0;
		request.options.regions = regions->sval;
		request.options.region_count = (size_t)regions->count;
		if (vms->count > 0 && vms->ival[0] > 0)
			request.options.vms = (unsigned int)vms->ival[0];
		code = check_file(&request);
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
