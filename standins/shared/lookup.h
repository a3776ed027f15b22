#ifndef MONSOONSPINDLE_STANDINS_LOOKUP_H
#define MONSOONSPINDLE_STANDINS_LOOKUP_H

#include "monsoonspindle/net.h"

#define ENTRY_VMS_MAX 64

typedef struct entry_vm {
	char address[48]; /* IP number */
	uint16_t port;
} entry_vm_t;

/* The entry VMs of a service, kept for the time that the answer names. */
typedef struct lookup lookup_t;

/*
 * `locator`: the VM to ask first; later any of the entries. Calls `changed`
 * each time that entries came.
 */
lookup_t *new_lookup(msp_loop_t *loop, msp_http_client_t *client,
    const char *address, uint16_t port, const char *service,
    void (*changed)(void *ctx), void *ctx);
void drop_lookup(lookup_t *lookup);

/* Entry number `n`, counted round; NULL if none is known. */
const entry_vm_t *get_entry_vm(const lookup_t *lookup, unsigned int n);

/* Looks up again at once, for instance because an entry did not answer. */
void refresh_lookup(lookup_t *lookup);

/* Adds an entry by hand, for a caller that looks nothing up. */
lookup_t *new_fixed_lookup(const char *address, uint16_t port);

#endif
