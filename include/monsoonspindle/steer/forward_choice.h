#ifndef MONSOONSPINDLE_STEER_FORWARD_CHOICE_H
#define MONSOONSPINDLE_STEER_FORWARD_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/config/route_table.h"

/*
 * Chooses the VM to which a request is forwarded that none of this VM's own
 * targets can take. The nearest VMs come first, and among equals a random one,
 * so that the requests are spread. VMs that could not take such a request are
 * passed over for a while. No I/O.
 */
typedef struct msp_forward_choice msp_forward_choice_t;

/* A VM, by its peer listener. The strings are borrowed. */
typedef struct msp_forward_vm {
	const char *address; /* IP address; NULL: no VM */
	uint16_t port;
	const char *place; /* its data centre */
	const char *region; /* NULL: not known */
} msp_forward_vm_t;

/* What is asked for. Borrowed until the answer is used. */
typedef struct msp_forward_query {
	const char *place; /* of this VM */
	const char *region; /* of this VM */
	const char *service;
	msp_homes_t homes; /* that bind the request */
	const msp_forward_vm_t *tried; /* VMs not to choose again */
	size_t tried_count;
} msp_forward_query_t;

/* The best of the VMs offered so far. Zero-initialise. */
typedef struct msp_forward_pick {
	msp_forward_vm_t vm; /* its address is NULL if there is none */
	unsigned int rank; /* of `vm`; lower is better */
	uint32_t equal_count; /* VMs of this rank */
} msp_forward_pick_t;

/* Why a VM is passed over. */
typedef enum msp_forward_failure {
	MSP_FORWARD_UNREACHABLE, /* accepts no connection, or is leaving */
	MSP_FORWARD_NO_TARGET, /* none of its targets of the service can */
} msp_forward_failure_t;

/* Returns NULL if out of memory. */
msp_forward_choice_t *msp_new_forward_choice(const msp_env_t *env);
void msp_drop_forward_choice(msp_forward_choice_t *choice);

/*
 * Offers a VM for the query; `pick` then holds the best of those offered.
 * Data centres that the request has not been sent to are preferred.
 */
void msp_offer_forward_vm(msp_forward_choice_t *choice,
    const msp_forward_query_t *query, const msp_forward_vm_t *vm,
    msp_forward_pick_t *pick);

/*
 * Passes the VM over from now on: after MSP_FORWARD_NO_TARGET for 1 s and for
 * this service only, after MSP_FORWARD_UNREACHABLE for 2 s. The time doubles
 * with each failure that soon follows, up to 4 s and 32 s.
 */
void msp_pass_over_forward_vm(msp_forward_choice_t *choice,
    const msp_forward_vm_t *vm, const char *service,
    msp_forward_failure_t failure);

/* The VM has served a request of the service: it is no longer passed over. */
void msp_trust_forward_vm(msp_forward_choice_t *choice,
    const msp_forward_vm_t *vm, const char *service);

#endif
