#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include "world.h"

#define DEPLOYMENT_MACHINES 6
#define DEPLOYMENT_SERVERS 6
#define DEPLOYMENT_CLIENTS 12

typedef struct sent_request {
	int client;
	int machine; /* to which it was sent */
	double sent_at;
	double answered_at;
	answer_t answer;
} sent_request_t;

/* A small deployment, and clients that ask one machine each. */
typedef struct deployment {
	const char *tenants; /* of the manifest, as JSON; NULL: none */
	const char *key; /* that all clients send; NULL: none */
	upstream_t *servers[DEPLOYMENT_SERVERS];
	bool (*on_arrival)(upstream_t *upstream, int machine,
	    const char *request_id, const char *start);
	machine_t *machines[DEPLOYMENT_MACHINES];
	/* Called by the threads of the clients. */
	void (*on_sent)(const sent_request_t *request);
	void (*on_answered)(const sent_request_t *request);
} deployment_t;

/* Starts all but the clients. */
void start_deployment(deployment_t *out);
/* A new server in the place of one that has crashed, cold at first. */
upstream_t *replace_server(deployment_t *of, int index);
void start_traffic(const deployment_t *of);
/* Ends the program with code 2 if hardly any request was answered. */
void stop_traffic(void);

#endif
