#ifndef MONSOONSPINDLE_BASE_MEMORY_BUDGET_H
#define MONSOONSPINDLE_BASE_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/*
 * An upper bound for the memory that buffers of one kind hold together, however
 * many there are and whatever each may hold. Zero-initialise it and set
 * `limit`; with a limit of 0 it only counts.
 */
typedef struct msp_memory_budget {
	size_t limit; /* bytes; 0: none */
	size_t used;
	size_t most_used; /* so far */
	size_t refused; /* calls of msp_take_memory() that failed */
	/* What is taken from this one is taken from `whole`, too; or NULL. */
	struct msp_memory_budget *whole;
} msp_memory_budget_t;

/* Whether so much could be taken now. A `budget` of NULL has no bound. */
bool msp_has_memory(const msp_memory_budget_t *budget, size_t bytes);

/* Takes it, or takes nothing and returns false. */
bool msp_take_memory(msp_memory_budget_t *budget, size_t bytes);
void msp_return_memory(msp_memory_budget_t *budget, size_t bytes);

#endif
