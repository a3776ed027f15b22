#ifndef SPINDLED_FORWARD_TRY_H
#define SPINDLED_FORWARD_TRY_H

#include "commits.h"

#define TRIES_PATH "/v1/tries"

/*
 * Passes a commit whose key another VM of this data centre issued on to that
 * VM, whose memory decides about it, and answers the entry with its answer.
 * Returns false if the VM is not known here, or is this one.
 */
bool forward_try(commits_t *commits, entry_t *entry);

/* Takes in a try that another VM passed on. */
void serve_forwarded_try(commits_t *commits, msp_exchange_t *exchange);

#endif
