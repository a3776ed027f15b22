#ifndef STORE_LINK_H
#define STORE_LINK_H

#include <stdbool.h>

#include <bsd/sys/queue.h>

#include "monsoonspindle/platform/memory_store.h"

/* What happens to one call of a VM. */
typedef enum link_fault {
	LINK_NO_FAULT,
	LINK_REFUSE_CALL, /* refused */
	LINK_LOSE_CALL,
	LINK_LOSE_ANSWER,
	LINK_LATE_EFFECT, /* lost answer; takes effect after it */
	LINK_FAULT_COUNT
} link_fault_t;

/*
 * One VM's way to the shared memory store. When it is closed, as when the VM
 * dies, answers that are under way go nowhere.
 */
typedef struct store_link store_link_t;

/* `env` and `store` are borrowed. */
store_link_t *new_store_link(const msp_env_t *env, msp_memory_store_t *store);
void drop_store_link(store_link_t *link);
msp_store_t get_link_store(store_link_t *link);

/* All calls are refused at once, as by a network that is cut. */
void set_store_link_down(store_link_t *link, bool cut);

/* Reads of single rows get an earlier answer, as from a lagging replica. */
void set_store_link_stale(store_link_t *link, bool stale);

/* The `nth` call from now (0: the next) meets `fault`. */
void inject_link_fault(
    store_link_t *link, unsigned int nth, link_fault_t fault);

/* Delivers answers of a cut link. */
void step_store_link(store_link_t *link);

#endif
