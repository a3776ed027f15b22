#ifndef SPINDLED_ENTRY_H
#define SPINDLED_ENTRY_H

#include <bsd/sys/queue.h>

#include "monsoonspindle/net/http_server.h"
#include "proxy_request.h"

struct daemon;

/* One caller's request at its entry VM. */
typedef struct entry {
	TAILQ_ENTRY(entry) link;
	struct daemon *daemon;
	msp_exchange_t *exchange; /* NULL once the caller went away */
	uint32_t attempt; /* the caller's own number of the try; 0: none */
	struct msp_claim_request
	    *tried; /* of a commit, until its final verdict */
	bool forwarded; /* by another VM; answered in the form for VMs */
	bool after_release; /* as in msp_claim_request_params_t, if forwarded */
	msp_digest_t release_seen;
	proxy_request_t work;
} entry_t;

/* The callers' requests that this VM has in hand. */
typedef struct entries entries_t;

entries_t *new_entries(struct daemon *daemon);
void drop_entries(entries_t *entries);
size_t count_entries(const entries_t *entries);

/* Opens the callers' listener. Returns NULL with a last message. */
msp_http_server_t *open_caller_listener(struct daemon *daemon);

/* Takes a request in. Returns NULL without memory. */
entry_t *new_entry(struct daemon *daemon, msp_exchange_t *exchange);

/* The client went away: a read is cancelled, a commit goes on without it. */
void leave_entry(entry_t *entry);

/* Answers the caller, if it is still there, and frees the entry. */
void answer_entry(entry_t *entry, proxy_result_t *result);

/* Refuses the request and frees the entry. `reason` is borrowed. */
void refuse_entry(entry_t *entry, const msp_refusal_t *refusal);

#endif
