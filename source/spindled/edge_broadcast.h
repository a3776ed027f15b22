#ifndef SPINDLED_EDGE_BROADCAST_H
#define SPINDLED_EDGE_BROADCAST_H

#include "monsoonspindle/net/http.h"

/*
 * Messages to all other VMs, as POST requests to their peer listeners. Those of
 * this data centre get them at once; of each other data centre some VMs get
 * them, which pass them on. A message is sent once and may be lost.
 */

struct edge;

/* A kind of message. The strings are static. */
typedef struct edge_broadcast {
	struct edge *edge;
	const char *path;
	const char *lost_counter; /* of messages that did not arrive */
} edge_broadcast_t;

/* Sends `text` to all other VMs. `kind` must outlive the edge's client. */
void broadcast_to_vms(const edge_broadcast_t *kind, const char *text);

/* Sends it to VMs of each other data centre only, for them to pass on. */
void send_to_other_places(const edge_broadcast_t *kind, const char *text);

/* Sends it to the VM with this peer listener only. */
void send_to_one_vm(const edge_broadcast_t *kind, const char *address,
    uint16_t port, const char *text);

/* Whether a message was received for this VM to pass on. */
bool is_to_pass_on(const msp_request_t *request);

/* Passes a received message on to the other VMs of this data centre. */
void pass_on_to_members(const edge_broadcast_t *kind, const char *text);

#endif
