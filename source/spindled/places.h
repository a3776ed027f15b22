#ifndef SPINDLED_PLACES_H
#define SPINDLED_PLACES_H

#include "monsoonspindle/coord/relay.h"
#include "monsoonspindle/platform/store.h"
#include "proxy_request.h"

struct daemon;
struct json_object;

/* The known data centres, from the summaries that they exchange. */
typedef struct places places_t;

/* A VM of another data centre that was chosen to send a message to. */
typedef struct remote_vm {
	char name[PROXY_NAME_SIZE];
	char place[PROXY_NAME_SIZE];
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
	const char *reason; /* of the choice, for the log; static */
} remote_vm_t;

places_t *new_places(struct daemon *daemon);
void drop_places(places_t *places);

/* Borrowed; never NULL. */
msp_relay_t *get_places_relay(const places_t *places);

/* Serves a call of MSP_GOSSIP_EXCHANGE from another data centre. */
msp_status_t serve_summary_exchange(
    places_t *places, const void *argument, void *result);

/* Replaces the data centres and contacts by those of the platform's VM list. */
void set_places_from_vm_list(
    places_t *places, const msp_vm_t *vms, size_t count);

/*
 * Chooses a random entry VM of a data centre. Returns false if its summary has
 * none. Doesn't set the reason.
 */
bool choose_entry_vm(
    const places_t *places, const msp_summary_t *summary, remote_vm_t *vm);

/*
 * Chooses a random VM of another data centre that has a newer release than
 * `after`. Returns false if there is none.
 */
bool choose_release_peer(places_t *places, uint64_t after, remote_vm_t *vm);

/* Whether the release in force drains a data centre. */
bool is_place_drained(const struct daemon *daemon, const char *place);

/* Returns the other data centres as JSON, which the caller frees. */
struct json_object *describe_places(const places_t *places);

#endif
