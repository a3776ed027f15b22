#include <stdio.h>
#include <string.h>

#include "soak_private.h"

/*
 * The routes of the soak. In profiles with homes, the homes of some routes
 * change from one version to the next, and the number of routes may grow.
 */

#define ROUTE_TIMEOUT_MS 2500
#define FIRST_VERSION 7
#define CONFIG_DEADLINE (4 * MSP_SECOND) /* until a version is in force */
#define CHANGED_ROUTES_MAX 5 /* by one version */
#define GROWTH_STEPS 4 /* versions until the routes have their full size */
#define SPARE_ROUTE_SIZE 222 /* bytes, on average */
#define OBJECTS 80
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define MARKER_HOST "m.example"
#define MARKER_VERSIONS 12 /* in which a marker is a route */
#define MARKER_INTERVAL (250 * MSP_MS) /* between two requests to a VM */
#define START_TIME (4 * MSP_SECOND) /* for which a VM's answers don't count */

/* What the index of a route with homes says about it, as bits. */
#define OF_SERVICE_B 1U
#define IS_SAFE 2U
#define ON_HOST_B 4U
#define IS_NESTED 8U

static const char *const hosts[] = {"a.example", "b.example"};

static const char *
get_home_host(unsigned int index)
{
	return hosts[(index & ON_HOST_B) != 0];
}

static void
print_home_prefix(unsigned int index, char *out, size_t size)
{
	snprintf(out, size, "/%c%c/h/%s", (index & IS_SAFE) != 0 ? 'r' : 'w',
	    (index & OF_SERVICE_B) != 0 ? 'b' : 'a',
	    (index & IS_NESTED) != 0 ? "n/" : "");
}

static void
append_regions(msp_buffer_t *text, unsigned int homes)
{
	const char *comma = "";
	unsigned int i;

	for (i = 0; i < SOAK_ZONES; i++) {
		if ((homes & 1U << i) == 0)
			continue;
		msp_append_printf(text, "%s\"reg%u\"", comma, i);
		comma = ",";
	}
}

static void
append_route(const soak_t *soak, msp_buffer_t *text, const char *name,
    const char *host, const char *prefix, unsigned int homes)
{
	msp_append_printf(text,
	    "{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"%s\","
	    "\"kind\":\"%s\",\"timeoutMs\":%u,\"targetLatencyMs\":500,"
	    "\"priority\":1,\"service\":\"%c\",\"maxAttempts\":2,"
	    "\"stickySessions\":true,\"homeRegions\":[",
	    name, host, prefix,
	    prefix[1] == 'r' ? "idempotent" : "non_idempotent",
	    soak->profile->route_timeout_ms != 0
		? soak->profile->route_timeout_ms
		: ROUTE_TIMEOUT_MS,
	    prefix[2]);
	append_regions(text, homes);
	msp_append_printf(text, "]},");
}

/* Appends a route that the judge must know. */
static void
append_judged_route(soak_t *soak, msp_buffer_t *text, const char *name,
    const char *host, const char *prefix, unsigned int homes)
{
	append_route(soak, text, name, host, prefix, homes);
	add_judged_route(&soak->homes, host, prefix, homes);
}

static void
append_plain_routes(soak_t *soak, msp_buffer_t *text, const char *host)
{
	static const char *const prefixes[] = {"/ra/", "/rb/", "/wa/", "/wb/"};
	char name[16];
	size_t i;

	for (i = 0; i < sizeof(prefixes) / sizeof(*prefixes); i++) {
		snprintf(
		    name, sizeof(name), "%.2s-%c", prefixes[i] + 1, host[0]);
		append_judged_route(soak, text, name, host, prefixes[i], 0);
	}
}

static void
append_home_routes(soak_t *soak, msp_buffer_t *text)
{
	const soak_home_route_t *route;
	char name[16];
	char prefix[16];
	unsigned int i;

	for (i = 0; i < SOAK_HOME_ROUTES; i++) {
		route = &soak->routes.homes[i];
		if (route->is_absent)
			continue;
		snprintf(name, sizeof(name), "home-%u", i);
		print_home_prefix(i, prefix, sizeof(prefix));
		append_judged_route(
		    soak, text, name, get_home_host(i), prefix, route->homes);
	}
}

/* Each version adds a route, and removes that of an older one. */
static void
append_markers(soak_t *soak, msp_buffer_t *text)
{
	char name[32];
	char prefix[32];
	unsigned int version;

	for (version = FIRST_VERSION; version <= soak->routes.version;
	     version++) {
		if (version + MARKER_VERSIONS <= soak->routes.version)
			continue;
		snprintf(name, sizeof(name), "marker-%u", version);
		snprintf(prefix, sizeof(prefix), "/ra/%u/", version);
		append_judged_route(soak, text, name, MARKER_HOST, prefix, 0);
	}
}

/* Routes that no client uses. */
static void
append_spare_routes(const soak_t *soak, msp_buffer_t *text)
{
	char name[32];
	char host[32];
	char prefix[32];
	unsigned int i;

	for (i = 0; i < soak->routes.spare_count; i++) {
		snprintf(name, sizeof(name), "spare-%u", i);
		snprintf(host, sizeof(host), "s%u.example", i);
		snprintf(prefix, sizeof(prefix), "/rb/%u/", i);
		append_route(soak, text, name, host, prefix, 0);
	}
}

static void
append_services(const soak_t *soak, msp_buffer_t *text)
{
	unsigned int i;

	for (i = 0; i < SOAK_SERVICES; i++)
		msp_append_printf(text,
		    "%s{\"name\":\"%c\",\"healthPath\":\"/health\","
		    "\"maxConns\":%u,\"protocol\":\"h1\",\"tls\":false,"
		    "\"coldStartS\":3.0,\"coldPerS\":3.4}",
		    i == 0 ? "" : ",", 'a' + (int)i,
		    soak->profile->max_connections);
}

static void
send_version(soak_t *soak)
{
	soak_routes_t *routes = &soak->routes;
	msp_buffer_t text = {0};

	send_judged_version(&soak->homes, soak_now(), ++routes->version);
	msp_append_printf(
	    &text, "{\"version\":\"r%u\",\"routes\":[", routes->version);
	append_plain_routes(soak, &text, hosts[0]);
	if (soak->profile->homes > 0) {
		append_plain_routes(soak, &text, hosts[1]);
		append_home_routes(soak, &text);
		append_spare_routes(soak, &text);
	}
	if (soak->profile->markers) {
		append_markers(soak, &text);
	}
	text.len--; /* the last comma */
	msp_append_printf(&text, "],\"services\":[");
	append_services(soak, &text);
	msp_append_printf(&text,
	    "],\"limits\":{\"maxHeaderBytes\":16384,"
	    "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
	    "\"idleTimeoutMs\":15000}");
	append_soak_organisations(soak, &text);
	msp_append_printf(&text, "}");
	write_soak_routes(soak, routes->version, &text);
	soak->result->route_versions++;
	soak->result->route_bytes = (unsigned int)text.len;
	msp_drop_buffer(&text);
}

/* Changes of the routes don't depend on how much traffic there was. */
static uint64_t
draw(soak_t *soak, uint64_t bound)
{
	return msp_next_random(&soak->routes.rng) % bound;
}

/* No, one or two regions. */
static unsigned int
draw_homes(soak_t *soak)
{
	static const unsigned int choices[] = {0, 1, 2, 4, 1, 2, 4, 3, 5, 6};

	return choices[draw(soak, sizeof(choices) / sizeof(*choices))];
}

static void
change_route(soak_t *soak)
{
	soak_home_route_t *homes = soak->routes.homes;
	unsigned int index = (unsigned int)draw(soak, SOAK_HOME_ROUTES);
	unsigned int other = (unsigned int)draw(soak, SOAK_HOME_ROUTES);
	unsigned int before = homes[index].homes;

	switch (draw(soak, 4)) {
	case 0:
		homes[index].homes = homes[other].homes;
		homes[other].homes = before;
		break;
	case 1:
		/* The shorter prefix then binds its paths. */
		if ((index & IS_NESTED) != 0)
			homes[index].is_absent = !homes[index].is_absent;
		break;
	default:
		homes[index].homes = draw_homes(soak);
		break;
	}
}

static void
grow_routes(soak_t *soak)
{
	unsigned int full = soak->profile->routes_size / SPARE_ROUTE_SIZE;

	if (soak->routes.spare_count < full)
		soak->routes.spare_count += full / GROWTH_STEPS;
}

static void
set_change_timer(soak_t *soak)
{
	msp_time_t period =
	    (msp_time_t)(MSP_SECOND / soak->profile->home_changes);

	set_soak_timer(soak->loop, &soak->routes.change,
	    soak_now() + period / 2 + draw(soak, period));
}

/* Sends the next version if the last one was acknowledged. */
static void
handle_change(void *ctx)
{
	soak_t *soak = ctx;
	uint64_t count = 1 + draw(soak, CHANGED_ROUTES_MAX);

	if (soak->finishing)
		return;
	set_change_timer(soak);
	if (soak->routes.acknowledged < soak->routes.version)
		return;
	for (; count > 0; count--)
		change_route(soak);
	grow_routes(soak);
	send_version(soak);
}

void
put_soak_routes(soak_t *soak)
{
	unsigned int i;

	soak->homes.options.deadline = CONFIG_DEADLINE;
	if (soak->profile->markers)
		soak->homes.options.start_time = START_TIME;
	soak->routes.rng.state = soak->options->seed;
	soak->routes.version = FIRST_VERSION - 1;
	if (soak->profile->homes > 0) {
		for (i = 0; i < SOAK_HOME_ROUTES; i++)
			soak->routes.homes[i].homes = draw_homes(soak);
	}
	send_version(soak);
}

void
acknowledge_soak_routes(soak_t *soak, unsigned int version)
{
	soak->routes.acknowledged = version;
	acknowledge_judged_version(&soak->homes, soak_now(), version);
	acknowledge_soak_organisations(soak, version);
}

void
start_soak_route_changes(soak_t *soak)
{
	soak->routes.change =
	    (soak_timer_t){.fire = handle_change, .ctx = soak};
	if (soak->profile->home_changes > 0)
		set_change_timer(soak);
}

void
draw_home_request(soak_t *soak, soak_request_t *request)
{
	unsigned int index =
	    (unsigned int)soak_random(soak->loop, SOAK_HOME_ROUTES);
	char prefix[16];

	if (!soak_chance(soak->loop, soak->profile->homes))
		return;
	index = request->safe ? index | IS_SAFE : index & ~IS_SAFE;
	print_home_prefix(index, prefix, sizeof(prefix));
	strcpy(request->host, get_home_host(index));
	snprintf(request->path, sizeof(request->path), "%s%x", prefix,
	    (unsigned int)soak_random(soak->loop, OBJECTS));
}

void
judge_soak_home(const soak_target_t *target, const soak_request_t *request)
{
	soak_t *soak = target->soak;
	const soak_vm_t *vm = &soak->vms[request->vm];
	home_arrival_t arrival = {.host = request->host,
	    .path = request->path,
	    .region = (unsigned int)(target->zone[1] - '0'),
	    .sent_at = request->sent_at,
	    .arrived_at = soak_now(),
	    .vm = request->vm,
	    .vm_started = vm->started};
	msp_time_t started = soak->ledger.started;
	route_finding_t finding;

	if (judge_home_arrival(&soak->homes, &arrival, &finding))
		report_soak(&soak->ledger, "HOME",
		    "id=%s %s%s vm=%u started=%.3f region=%u version=%u "
		    "homes=%x acknowledged=%.3f obeyed=%u sent=%.3f",
		    request->id, request->host, request->path, request->vm,
		    vm->started < started
			? 0
			: (double)(vm->started - started) / MSP_SECOND,
		    arrival.region, finding.version, finding.homes,
		    finding.acknowledged_at == MSP_NEVER
			? 0
			: (double)(finding.acknowledged_at - started) /
			    MSP_SECOND,
		    finding.obeyed,
		    (double)(request->sent_at - started) / MSP_SECOND);
	soak->result->judged_homes = soak->homes.judged;
	soak->result->outside_home = soak->homes.broken;
}

/* The newest version that must be in force, or the one that it removes. */
bool
draw_marker_request(soak_t *soak, soak_request_t *request)
{
	unsigned int version = get_due_version(&soak->homes, soak_now());

	if (version < FIRST_VERSION)
		return false;
	if (version >= FIRST_VERSION + MARKER_VERSIONS &&
	    soak_random(soak->loop, 4) == 0)
		version -= MARKER_VERSIONS;
	strcpy(request->method, "GET");
	strcpy(request->host, MARKER_HOST);
	snprintf(request->path, sizeof(request->path), "/ra/%u/%x", version,
	    (unsigned int)soak_random(soak->loop, OBJECTS));
	return true;
}

void
judge_soak_marker(const soak_vm_t *vm, const soak_request_t *request)
{
	soak_t *soak = vm->soak;
	route_answer_t answer = {.host = request->host,
	    .path = request->path,
	    .found = request->answer == HTTP_OK,
	    .sent_at = request->sent_at,
	    .answered_at = soak_now(),
	    .vm_started = vm->running_since};
	route_finding_t finding;

	/* Other refusals and failures tell nothing of the route. */
	if (strcmp(request->host, MARKER_HOST) != 0 ||
	    (!answer.found && request->answer != HTTP_NOT_FOUND))
		return;
	if (judge_route_answer(&soak->homes, &answer, &finding))
		report_soak(&soak->ledger, "CONFIG",
		    "id=%s %s vm=%u answer=%d version=%u obeyed=%u sent=%.3f",
		    request->id, request->path, vm->index, request->answer,
		    finding.version, finding.obeyed,
		    (double)(request->sent_at - soak->ledger.started) /
			MSP_SECOND);
	soak->result->judged_markers = soak->homes.judged_answers;
	soak->result->by_older_routes = soak->homes.broken_answers;
}

static void
handle_marker(void *ctx)
{
	soak_vm_t *vm = ctx;
	soak_t *soak = vm->soak;

	if (soak->finishing)
		return;
	if (vm->pid > 0 && get_due_version(&soak->homes, soak_now()) != 0)
		ask_soak_marker(vm);
	set_soak_timer(soak->loop, &vm->marker, soak_now() + MARKER_INTERVAL);
}

void
start_soak_markers(soak_t *soak)
{
	soak_vm_t *vm;
	unsigned int i;

	for (i = 0; soak->profile->markers && i < soak->options->vms; i++) {
		vm = &soak->vms[i];
		vm->marker = (soak_timer_t){.fire = handle_marker, .ctx = vm};
		set_soak_timer(soak->loop, &vm->marker,
		    soak_now() + soak_between(soak->loop, 0, MARKER_INTERVAL));
	}
}
