#ifndef SUPPORT_EDGE_STEPS_H
#define SUPPORT_EDGE_STEPS_H

#include "edge_fixture.h"

/* Steps that several tests of the edge proxy take. */

/*
 * Writes version `version` of the configuration, whose other members are
 * `members`, as text without the outer braces, and waits until the VM serves by
 * it.
 */
void put_edge_config(
    edge_fixture_t *fixture, unsigned int version, const char *members);

/*
 * Starts a request and returns the target that gets it, which answers once told
 * to, as with fail_pending_request(). The other targets, and this one from then
 * on, answer at once.
 */
edge_target_t *start_delayed_request(
    edge_fixture_t *fixture, const char *path, caller_response_t *response);

#endif
