#ifndef MONSOONSPINDLE_STANDINS_LOOKUP_H
#define MONSOONSPINDLE_STANDINS_LOOKUP_H

#include "monsoonspindle/net.h"

#define ENTRY_VMS_MAX 64

/* An entry VM: one that takes requests from callers. */
typedef struct entry_vm {
	char address[48]; /* IP address */
	uint16_t port;
} entry_vm_t;

/* The entry VMs of a service, looked up again when their TTL has expired. */
typedef struct lookup lookup_t;

/*
 * Starts looking up the entry VMs of a service, first at the given address and
 * later also at the known entry VMs. `on_changed` is called after each
 * successful look-up.
 */
lookup_t *new_lookup(msp_loop_t *loop, msp_http_client_t *client,
    const char *address, uint16_t port, const char *service,
    void (*on_changed)(void *ctx), void *ctx);
void drop_lookup(lookup_t *lookup);

/* Returns entry VM number `n` modulo their number; NULL if none is known. */
const entry_vm_t *get_entry_vm(const lookup_t *lookup, unsigned int n);

/* Looks up again at once, for instance after an entry VM did not respond. */
void refresh_lookup(lookup_t *lookup);

/* Creates a fixed list of one entry VM, without look-ups. */
lookup_t *new_fixed_lookup(const char *address, uint16_t port);

#endif
