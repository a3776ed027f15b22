#include "fleet_private.h"

#include <stdio.h>
#include <string.h>

const char *
get_place_region(const fleet_t *fleet, const char *place)
{
	const fleet_place_t *at;

	for (at = fleet->options.places; at->name != NULL; at++) {
		if (strcmp(at->name, place) == 0)
			return at->region;
	}
	return "";
}

/* Returns the seed of a VM: the first VM of its place. */
static const fleet_process_t *
find_seed(const fleet_t *fleet, const fleet_process_t *vm)
{
	size_t i;

	for (i = 0; i < fleet->vm_count; i++) {
		if (strcmp(fleet->vms[i].place, vm->place) == 0)
			return &fleet->vms[i];
	}
	return vm;
}

int
write_vm_settings(const fleet_t *fleet, fleet_process_t *vm)
{
	const fleet_process_t *seed = find_seed(fleet, vm);
	const char *more = fleet->options.extra_settings;
	FILE *file;

	snprintf(vm->settings_path, sizeof(vm->settings_path), "%s/%s.json",
	    fleet->dir, vm->name);
	file = fopen(vm->settings_path, "w");
	if (file == NULL)
		return -1;
	fprintf(file,
	    "{\n"
	    "\t// one VM of a fleet on loopback\n"
	    "\t\"vm\": \"%s\", \"region\": \"%s\", \"place\": \"%s\",\n"
	    "\t\"address\": \"127.0.0.1\",\n"
	    "\t\"caller_port\": %u, \"peer_port\": %u,\n"
	    "\t\"operator_port\": %u,\n"
	    "\t\"operator_token\": \"" FLEET_TOKEN "\",\n"
	    "\t\"platform\": {\"address\": \"127.0.0.1\", \"port\": %u},\n"
	    "\t\"seeds\": [{\"address\": \"127.0.0.1\", \"peer_port\": %u}]"
	    "%s%s\n}\n",
	    vm->name, get_place_region(fleet, vm->place), vm->place, vm->port,
	    vm->peer_port, vm->operator_port, fleet->platform.port,
	    seed->peer_port, more == NULL ? "" : ",\n\t",
	    more == NULL ? "" : more);
	return fclose(file);
}

/* Returns whether a place before `at` is in the same region. */
static bool
is_region_listed(const fleet_t *fleet, const fleet_place_t *at)
{
	const fleet_place_t *earlier;

	for (earlier = fleet->options.places; earlier != at; earlier++) {
		if (strcmp(earlier->region, at->region) == 0)
			return true;
	}
	return false;
}

static void
print_places(const fleet_t *fleet, msp_buffer_t *out)
{
	const fleet_place_t *at;
	const char *comma = "";

	msp_append_printf(out, "\"regions\": [");
	for (at = fleet->options.places; at->name != NULL; at++) {
		if (is_region_listed(fleet, at))
			continue;
		msp_append_printf(
		    out, "%s{\"name\": \"%s\"}", comma, at->region);
		comma = ", ";
	}
	msp_append_printf(out, "], \"places\": [");
	for (at = fleet->options.places; at->name != NULL; at++)
		msp_append_printf(out,
		    "%s{\"name\": \"%s\", \"region\": \"%s\"}",
		    at == fleet->options.places ? "" : ", ", at->name,
		    at->region);
	msp_append_printf(out, "], ");
}

/* Prints a link between each two regions. */
static void
print_links(const fleet_t *fleet, msp_buffer_t *out)
{
	const fleet_place_t *a;
	const fleet_place_t *b;
	const char *comma = "";

	msp_append_printf(out, "\"links\": [");
	for (a = fleet->options.places; a->name != NULL; a++) {
		for (b = a + 1; b->name != NULL && !is_region_listed(fleet, a);
		     b++) {
			if (is_region_listed(fleet, b))
				continue;
			msp_append_printf(out,
			    "%s{\"name\": \"%s-%s\", \"region_a\": \"%s\", "
			    "\"region_b\": \"%s\", \"max_requests_per_s\": "
			    "2000, \"max_bytes_per_s\": 500000000}",
			    comma, a->region, b->region, a->region, b->region);
			comma = ", ";
		}
	}
	msp_append_printf(out, "], ");
}

void
print_initial_note(const fleet_t *fleet, msp_buffer_t *out)
{
	const fleet_options_t *options = &fleet->options;
	size_t i;

	msp_append_printf(out,
	    "{\"id\": \"first\", \"base_version\": 0, \"base_digest\": "
	    "\"00000000000000000000000000000000\", \"add\": {");
	print_places(fleet, out);
	print_links(fleet, out);
	msp_append_printf(out,
	    "\"services\": [{\"name\": \"%s\", \"priority\": \"%s\", "
	    "\"routes\": ["
	    "{\"method\": \"GET\", \"prefix\": \"/\", \"class\": "
	    "\"interactive\"}, "
	    "{\"method\": \"GET\", \"prefix\": \"/archive\", \"class\": "
	    "\"background\"}, "
	    "{\"method\": \"POST\", \"prefix\": \"/\", \"class\": "
	    "\"commit\"}]}], \"targets\": [",
	    options->service,
	    options->priority == NULL ? "latency" : options->priority);
	for (i = 0; i < fleet->target_count; i++)
		msp_append_printf(out,
		    "%s{\"name\": \"%s\", \"service\": \"%s\", \"place\": "
		    "\"%s\", \"address\": \"127.0.0.1\", \"port\": %u, "
		    "\"slots\": %d}",
		    i == 0 ? "" : ", ", fleet->targets[i].name,
		    options->service, fleet->targets[i].place,
		    fleet->targets[i].port, options->slots);
	msp_append_printf(out, "]}}");
}
