#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

#include "ctl.h"

void
print_ctl_error(const char *fmt, ...)
{
	va_list args;

	fflush(stdout);
	fputs("spindlectl: ", stderr);
	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fputc('\n', stderr);
}

const char *
get_json_text(json_object *object, const char *key)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(object, key, &value) || value == NULL)
		return "";
	return json_object_get_string(value);
}

uint64_t
get_json_number(json_object *object, const char *key)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(object, key, &value))
		return 0;
	return json_object_get_uint64(value);
}

static ctl_exit_t
get_exit_code(int http_status)
{
	switch (http_status) {
	case 400:
	case 401:
	case 413:
	case 422:
		return CTL_USAGE;
	case 404:
	case 405:
	case 409:
		return CTL_REFUSED;
	default:
		return CTL_UNREACHABLE;
	}
}

static void
print_conflicts(json_object *problem)
{
	json_object *conflicts = NULL;
	size_t i;

	if (!json_object_object_get_ex(problem, "clashes", &conflicts) ||
	    !json_object_is_type(conflicts, json_type_array))
		return;
	for (i = 0; i < json_object_array_length(conflicts); i++)
		print_ctl_error("  %s",
		    json_object_get_string(
			json_object_array_get_idx(conflicts, i)));
}

ctl_exit_t
report_problem(const ctl_t *ctl, const ctl_response_t *response)
{
	const ctl_vm_t *vm = &ctl->options.vms[ctl->current_vm];
	json_object *problem;

	if (response->status != MSP_OK) {
		print_ctl_error("%s port %u: no response (%s)", vm->address,
		    vm->port, msp_status_name(response->status));
		return CTL_UNREACHABLE;
	}
	problem = json_tokener_parse(msp_buffer_text(&response->body));
	if (ctl->options.json)
		printf("%s\n", msp_buffer_text(&response->body));
	print_ctl_error("%s: %s", get_json_text(problem, "kind"),
	    get_json_text(problem, "detail")[0] != '\0'
		? get_json_text(problem, "detail")
		: get_json_text(problem, "title"));
	print_conflicts(problem);
	json_object_put(problem);
	return get_exit_code(response->http_status);
}
