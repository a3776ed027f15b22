#ifndef SUPPORT_SOAK_HOME_H
#define SUPPORT_SOAK_HOME_H

#include <stdbool.h>
#include <stddef.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/base/env.h"

/*
 * Judges whether requests run only in the home regions of their route, while
 * the homes change from one version of the routes to the next.
 *
 * A version may be in force from its sending until `deadline` after the
 * acknowledgement of a newer one. A request is judged by all versions that may
 * be in force at some time between its sending and its arrival at a target; one
 * of them must allow the target's region. A VM that is out of touch has no
 * excuse, nor has one that has just started, except for `start_time`.
 */

typedef struct home_options {
	msp_time_t deadline;
	/* Arrivals are not judged for so long after the start of their VM. */
	msp_time_t start_time;
} home_options_t;

typedef struct home_version home_version_t;
TAILQ_HEAD(home_versions, home_version);

/* Zero-initialise it, set `options` and call open_home_judge(). */
typedef struct home_judge {
	home_options_t options;
	struct home_versions versions; /* newest first */
	unsigned int judged; /* arrivals on routes with homes */
	unsigned int broken;
} home_judge_t;

/* A request of a client that reaches a target. */
typedef struct home_arrival {
	const char *host;
	const char *path;
	unsigned int region; /* of the target, from 0 */
	msp_time_t sent_at; /* by the client */
	msp_time_t arrived_at;
	unsigned int vm; /* that the client sent it to */
	msp_time_t vm_started; /* the VM's last start */
} home_arrival_t;

/* What forbids an arrival, for a report. */
typedef struct home_finding {
	unsigned int version; /* newest that may be in force */
	unsigned int homes; /* by that version */
	msp_time_t acknowledged_at; /* of that version; MSP_NEVER: not yet */
	unsigned int obeyed; /* newest of all that allows it; 0: none */
} home_finding_t;

void open_home_judge(home_judge_t *judge);
void drop_home_judge(home_judge_t *judge);

/* The next version is sent; its number is larger than those before. */
void send_home_version(
    home_judge_t *judge, msp_time_t now, unsigned int number);

/*
 * Adds a route to the newest version. `homes` has a bit for each region; 0
 * allows all regions. The longest prefix of a host binds a path.
 */
void add_home_route(home_judge_t *judge, const char *host, const char *prefix,
    unsigned int homes);

/* The store has acknowledged the version. */
void acknowledge_home_version(
    home_judge_t *judge, msp_time_t now, unsigned int number);

/*
 * Returns true if a version that may be in force has homes for the arrival, and
 * none of these versions allows it. Fills in `finding`.
 */
bool judge_home_arrival(home_judge_t *judge, const home_arrival_t *arrival,
    home_finding_t *finding);

#endif
