#ifndef SUPPORT_ROW_SPREAD_H
#define SUPPORT_ROW_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"

/*
 * A model of how the versions of one large row reach all VMs of a data centre:
 * links as fluids that their transfers share, without sockets or a clock. The
 * reader is chosen, responses are paced and patches are encoded by the modules
 * of the daemon.
 */

#define SPREAD_VMS_MAX 300
#define SPREAD_VERSIONS_MAX 8

/* How the VMs spread a row. */
typedef struct spread_policy {
	bool ranks_links; /* the reader is a VM with a fast link */
	bool patches; /* VMs send each other what has changed */
	bool second_reads; /* beside slow ones, and by gossip */
	bool paces; /* large responses go out one after the other */
} spread_policy_t;

typedef struct spread_options {
	spread_policy_t policy;
	unsigned int vms;
	unsigned int fast_vms; /* of these */
	double slow_rate; /* bytes per second of a link, each way */
	double fast_rate;
	double store_rate; /* of one connection to the store */
	/* The versions of the row: how many routes, and when they are written.
	 */
	unsigned int versions;
	unsigned int routes[SPREAD_VERSIONS_MAX];
	uint32_t written_ms[SPREAD_VERSIONS_MAX];
	uint64_t seed; /* of the names of routes and VMs */
} spread_options_t;

typedef struct spread_result {
	/* From the writing of a version until all VMs have it or a newer one.
	 */
	msp_time_t worst;
	double store_bytes; /* that all VMs have read from the store */
	double reader_bytes; /* that the reader has sent to others */
} spread_result_t;

void run_row_spread(const spread_options_t *options, spread_result_t *result);

#endif
