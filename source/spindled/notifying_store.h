#ifndef SPINDLED_NOTIFYING_STORE_H
#define SPINDLED_NOTIFYING_STORE_H

#include "monsoonspindle/platform/store.h"

/*
 * The platform's store with a notice after each answer, for modules that have
 * to be stepped after one.
 */
typedef struct notifying_store {
	const msp_store_t *store; /* borrowed */
	void (*on_replied)(void *ctx);
	void *ctx;
} notifying_store_t;

/* The callbacks over `noticed`, which is borrowed. */
msp_store_t make_notifying_store(notifying_store_t *noticed);

#endif
