#ifndef SPINDLED_PLACES_H
#define SPINDLED_PLACES_H

#include "monsoonspindle/coord/relay.h"
#include "monsoonspindle/platform/store.h"
#include "proxy_request.h"

struct daemon;
struct json_object;

/* What this VM knows of other data centres, from their summaries. */
typedef struct places places_t;

/* A VM of another data centre. */
typedef struct remote_vm {
	char name[PROXY_NAME_SIZE];
	char place[PROXY_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
	const char *reason; /* static */
} remote_vm_t;

places_t *new_places(struct daemon *daemon);
void drop_places(places_t *places);

/* Borrowed. */
msp_relay_t *get_places_relay(const places_t *places);

/* Serves another data centre's MSP_GOSSIP_EXCHANGE. */
msp_status_t serve_summary_exchange(
    places_t *places, const void *argument, void *result);

/* The platform's list of VMs has come. */
void set_places_from_vm_list(
    places_t *places, const msp_vm_t *vms, size_t count);

/* Draws one of the entry VMs of a data centre; false if it lists none. */
bool choose_entry_vm(
    const places_t *places, const msp_summary_t *summary, remote_vm_t *choice);

/*
 * Chooses a VM of another data centre that has a newer release than `after`.
 * Returns false if there is none.
 */
bool choose_release_peer(places_t *places, uint64_t after, remote_vm_t *choice);

/* Whether a data centre is drained, by the release in force. */
bool is_place_drained(const struct daemon *daemon, const char *place);

/* The other data centres as JSON; the caller puts it. */
struct json_object *describe_places(const places_t *places);

#endif
