#ifndef SPINDLED_COMMITS_H
#define SPINDLED_COMMITS_H

#include "entry.h"

struct daemon;

/* Requests that run at most once: claims, their owners and outcomes. */
typedef struct commits commits_t;

commits_t *new_commits(struct daemon *daemon);
void drop_commits(commits_t *commits);

/*
 * Claims the entry's key, runs the request if it may, and answers it. A key
 * that another VM issued is decided by that one.
 */
void start_commit(commits_t *commits, entry_t *entry);

/* The same, decided here. */
void begin_commit(commits_t *commits, entry_t *entry);

/* The entry's caller went away. What runs, runs on for its next try. */
void leave_commit(commits_t *commits, entry_t *entry);

/* Commits that are not settled yet: claimed, running, or not recorded. */
size_t count_commits(const commits_t *commits);

/* Answers another VM's question about a claim that this one owns. */
void serve_claim_question(commits_t *commits, msp_exchange_t *exchange);

/* The operators' requests: GET and POST /v1/doubt. */
void get_doubt(commits_t *commits, msp_exchange_t *exchange);
void post_doubt(commits_t *commits, msp_exchange_t *exchange);

#endif
