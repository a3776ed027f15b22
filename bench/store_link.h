#ifndef STORE_LINK_H
#define STORE_LINK_H

#include <stdbool.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/platform/memory_store.h"

/* A fault of one call of a VM. */
typedef enum link_fault {
	LINK_NO_FAULT,
	LINK_REFUSE_CALL, /* fails as if the store were down */
	LINK_LOSE_CALL,
	LINK_LOSE_REPLY,
	LINK_LATE_EFFECT, /* no reply; takes effect 300 ms after its timeout */
	LINK_FAULT_COUNT
} link_fault_t;

/*
 * One VM's connection to the in-memory store that the VMs share. Once it is
 * dropped, as when the VM is killed, replies to its pending calls are
 * discarded.
 */
typedef struct store_link store_link_t;

/* `env` and `store` are borrowed. */
store_link_t *new_store_link(const msp_env_t *env, msp_memory_store_t *store);
void drop_store_link(store_link_t *link);
msp_store_t get_link_store(store_link_t *link);

/* While a link is down, its calls fail in the next step_store_link(). */
void set_store_link_down(store_link_t *link, bool down);

/* While stale, reads of rows by key get old rows, as from a lagging replica. */
void set_store_link_stale(store_link_t *link, bool stale);

/* Injects a fault into the `nth` call from now, where 0 is the next. */
void inject_link_fault(
    store_link_t *link, unsigned int nth, link_fault_t fault);

/* Completes refused calls with MSP_E_STORE_DOWN. */
void step_store_link(store_link_t *link);

#endif
