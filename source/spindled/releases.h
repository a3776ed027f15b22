#ifndef SPINDLED_RELEASES_H
#define SPINDLED_RELEASES_H

#include "monsoonspindle/config/release.h"
#include "monsoonspindle/net/http_server.h"

struct daemon;

/* The releases of this VM: the ledger, its store, and its peers. */
typedef struct releases releases_t;

releases_t *new_releases(struct daemon *daemon);
void drop_releases(releases_t *releases);

/* The release in force; never NULL. Borrowed. */
const msp_release_t *get_current_release(const releases_t *releases);

/* Whether there is a release from the store or from a peer. */
bool has_release(const releases_t *releases);

/* Answers a peer's `GET /v1/notes?after=V`. */
void serve_release_notes(releases_t *releases, msp_exchange_t *exchange);

/* The operators' requests: POST and GET /v1/releases, GET /v1/release. */
void serve_release_submission(releases_t *releases, msp_exchange_t *exchange);
void serve_release_history(releases_t *releases, msp_exchange_t *exchange);
void serve_current_release(releases_t *releases, msp_exchange_t *exchange);

#endif
