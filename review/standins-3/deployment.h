#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include "world.h"

#define DEPLOYMENT_MACHINES 6
#define DEPLOYMENT_SERVERS 6
#define DEPLOYMENT_CLIENTS 12

/* A small deployment, and clients that ask one machine each. */
typedef struct deployment {
	const char *tenants; /* of the manifest, as JSON */
	const char *key; /* that all clients send */
	upstream_t *servers[DEPLOYMENT_SERVERS];
	/* Called by threads of the servers. */
	void (*on_run)(const upstream_t *upstream, int machine,
	    const char *request_id);
	machine_t *machines[DEPLOYMENT_MACHINES];
} deployment_t;

/* Starts all but the clients. */
void start_deployment(deployment_t *out);
void start_traffic(const deployment_t *of);
/* Ends the program with code 2 if hardly any request was answered. */
void stop_traffic(void);

#endif
