#include "soak_home.h"

#include <stdlib.h>
#include <string.h>

#define HOST_SIZE 32
#define PREFIX_SIZE 32

typedef struct home_route {
	SLIST_ENTRY(home_route) link;
	char host[HOST_SIZE];
	char prefix[PREFIX_SIZE];
	unsigned int homes;
} home_route_t;

struct home_version {
	TAILQ_ENTRY(home_version) link;
	unsigned int number;
	msp_time_t sent_at;
	msp_time_t acknowledged_at; /* MSP_NEVER: not yet */
	SLIST_HEAD(, home_route) routes;
};

void
open_home_judge(home_judge_t *judge)
{
	TAILQ_INIT(&judge->versions);
}

void
drop_home_judge(home_judge_t *judge)
{
	home_version_t *version;
	home_route_t *route;

	while ((version = TAILQ_FIRST(&judge->versions)) != NULL) {
		while ((route = SLIST_FIRST(&version->routes)) != NULL) {
			SLIST_REMOVE_HEAD(&version->routes, link);
			free(route);
		}
		TAILQ_REMOVE(&judge->versions, version, link);
		free(version);
	}
}

void
send_home_version(home_judge_t *judge, msp_time_t now, unsigned int number)
{
	home_version_t *version = calloc(1, sizeof(*version));

	if (version == NULL)
		abort();
	version->number = number;
	version->sent_at = now;
	version->acknowledged_at = MSP_NEVER;
	SLIST_INIT(&version->routes);
	TAILQ_INSERT_HEAD(&judge->versions, version, link);
}

void
add_home_route(home_judge_t *judge, const char *host, const char *prefix,
    unsigned int homes)
{
	home_version_t *version = TAILQ_FIRST(&judge->versions);
	home_route_t *route = calloc(1, sizeof(*route));

	if (version == NULL || route == NULL || strlen(host) >= HOST_SIZE ||
	    strlen(prefix) >= PREFIX_SIZE)
		abort();
	strcpy(route->host, host);
	strcpy(route->prefix, prefix);
	route->homes = homes;
	SLIST_INSERT_HEAD(&version->routes, route, link);
}

void
acknowledge_home_version(
    home_judge_t *judge, msp_time_t now, unsigned int number)
{
	home_version_t *version;

	TAILQ_FOREACH(version, &judge->versions, link) {
		if (version->number == number)
			version->acknowledged_at = now;
	}
}

static const home_route_t *
find_route(const home_version_t *version, const char *host, const char *path)
{
	const home_route_t *best = NULL;
	const home_route_t *route;
	size_t len;

	SLIST_FOREACH(route, &version->routes, link) {
		len = strlen(route->prefix);
		if (strcmp(route->host, host) == 0 &&
		    strncmp(route->prefix, path, len) == 0 &&
		    (best == NULL || len > strlen(best->prefix)))
			best = route;
	}
	return best;
}

/* A version without a route for the request allows no region. */
static bool
allows(const home_route_t *route, unsigned int region)
{
	return route != NULL &&
	    (route->homes == 0 || (route->homes & 1U << region) != 0);
}

/* When a version ends to be in force because of this newer one. */
static msp_time_t
get_end(const home_judge_t *judge, const home_version_t *newer)
{
	if (newer->acknowledged_at == MSP_NEVER)
		return MSP_NEVER;
	return newer->acknowledged_at + judge->options.deadline;
}

static void
note_version(home_finding_t *finding, const home_version_t *version,
    const home_route_t *route)
{
	if (finding->version != 0)
		return;
	finding->version = version->number;
	finding->homes = route == NULL ? 0 : route->homes;
	finding->acknowledged_at = version->acknowledged_at;
}

bool
judge_home_arrival(
    home_judge_t *judge, const home_arrival_t *arrival, home_finding_t *finding)
{
	msp_time_t end = MSP_NEVER; /* of the time of `version` */
	bool has_homes = false;
	bool is_allowed = false;
	const home_version_t *version;
	const home_route_t *route;
	bool is_in_force;

	*finding = (home_finding_t){0};
	if (arrival->arrived_at <
	    arrival->vm_started + judge->options.start_time)
		return false;
	TAILQ_FOREACH(version, &judge->versions, link) {
		is_in_force = version->sent_at <= arrival->arrived_at &&
		    arrival->sent_at <= end;
		route = find_route(version, arrival->host, arrival->path);
		if (is_in_force) {
			note_version(finding, version, route);
			has_homes |= route != NULL && route->homes != 0;
			is_allowed |= allows(route, arrival->region);
		}
		if (finding->obeyed == 0 && allows(route, arrival->region))
			finding->obeyed = version->number;
		if (get_end(judge, version) < end)
			end = get_end(judge, version);
	}
	judge->judged += has_homes;
	judge->broken += has_homes && !is_allowed;
	return has_homes && !is_allowed;
}
