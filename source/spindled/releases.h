#ifndef SPINDLED_RELEASES_H
#define SPINDLED_RELEASES_H

#include "monsoonspindle/config/release.h"
#include "monsoonspindle/net/http_server.h"

struct daemon;

/* Runs the ledger of releases with its store and with other VMs as peers. */
typedef struct releases releases_t;

releases_t *new_releases(struct daemon *daemon);
void drop_releases(releases_t *releases);

/* The release in force, borrowed; never NULL. */
const msp_release_t *get_current_release(const releases_t *releases);

/* Whether a release has been loaded from the store or from a peer. */
bool has_release(const releases_t *releases);

/* Answers `GET /v1/notes?after=V` of a peer. */
void serve_release_notes(releases_t *releases, msp_exchange_t *exchange);

/* Serve operators' requests: POST and GET /v1/releases, GET /v1/release. */
void serve_release_submission(releases_t *releases, msp_exchange_t *exchange);
void serve_release_history(releases_t *releases, msp_exchange_t *exchange);
void serve_current_release(releases_t *releases, msp_exchange_t *exchange);

#endif
