#ifndef SPINDLED_NOTIFYING_STORE_H
#define SPINDLED_NOTIFYING_STORE_H

#include "monsoonspindle/platform/store.h"

/*
 * A store that calls back after each reply, for modules that have to be stepped
 * then.
 */
typedef struct notifying_store {
	const msp_store_t *store; /* that executes the calls; borrowed */
	void (*on_replied)(void *ctx); /* after the call's own callback */
	void *ctx;
} notifying_store_t;

/* Returns the functions of the store; `notifying` is borrowed. */
msp_store_t make_notifying_store(notifying_store_t *notifying);

#endif
