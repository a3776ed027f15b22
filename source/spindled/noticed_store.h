#ifndef SPINDLED_NOTICED_STORE_H
#define SPINDLED_NOTICED_STORE_H

#include "monsoonspindle/platform/store.h"

/*
 * The platform's store with a notice after each answer, for modules that have
 * to be stepped after one.
 */
typedef struct noticed_store {
	const msp_store_t *store; /* borrowed */
	void (*notice)(void *ctx);
	void *ctx;
} noticed_store_t;

/* The callbacks over `noticed`, which is borrowed. */
msp_store_t notice_store(noticed_store_t *noticed);

#endif
