#ifndef MONSOONSPINDLE_CONFIG_ORGANISATION_H
#define MONSOONSPINDLE_CONFIG_ORGANISATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"
#include "monsoonspindle/config/homes.h"

/*
 * The organisations whose callers send requests, and the API keys by which
 * requests name them.
 *
 * A set is filled, finished once, and then only read. Looking up a key takes
 * the same time at any number of keys, and the time does not depend on how much
 * of a key is right: keys are found by a hash of the whole key and then
 * compared in full without an early end.
 */
typedef struct msp_organisations msp_organisations_t;

#define MSP_ORGANISATION_NAME_SIZE 128 /* bytes, with the final 0 */
#define MSP_API_KEY_MAX 512 /* bytes */

/* Limits the requests of an organisation over all VMs together. */
typedef struct msp_rate_limit {
	double per_second; /* 0: no limit */
	double burst; /* requests beyond the rate that may be saved up */
} msp_rate_limit_t;

typedef struct msp_organisation {
	char name[MSP_ORGANISATION_NAME_SIZE];
	bool has_priority;
	uint32_t priority; /* instead of the route's; 0: the most urgent */
	msp_rate_limit_t limit;
	msp_region_list_t homes;
} msp_organisation_t;

/* Returns NULL if memory is exhausted. */
msp_organisations_t *msp_new_organisations(void);
void msp_drop_organisations(msp_organisations_t *set);

/*
 * Appends a zeroed organisation to fill in; NULL: out of memory. The pointer is
 * valid until the next one is added.
 */
msp_organisation_t *msp_add_organisation(msp_organisations_t *set);

/*
 * Adds a key of the organisation that was added last. MSP_E_INVALID_NOTE if it
 * is empty or longer than MSP_API_KEY_MAX.
 */
msp_status_t msp_add_api_key(
    msp_organisations_t *set, const char *key, size_t len);

/*
 * Ends the filling. MSP_E_INVALID_NOTE if a name is empty, has control
 * characters or is there twice, or if two organisations have the same key.
 */
msp_status_t msp_finish_organisations(msp_organisations_t *set);

/* Return NULL if there is none. */
const msp_organisation_t *msp_find_key_holder(
    const msp_organisations_t *set, const char *key, size_t len);
const msp_organisation_t *msp_find_organisation(
    const msp_organisations_t *set, const char *name);

/* Visits all organisations, with the number of their keys. */
void msp_visit_organisations(const msp_organisations_t *set,
    void (*visit)(
	void *ctx, const msp_organisation_t *organisation, size_t key_count),
    void *ctx);

/* Visits all API keys, for tools of operators. */
void msp_visit_api_keys(const msp_organisations_t *set,
    void (*visit)(void *ctx, const msp_organisation_t *organisation,
	const char *key, size_t len),
    void *ctx);

size_t msp_count_organisations(const msp_organisations_t *set);
size_t msp_count_api_keys(const msp_organisations_t *set);

/* Memory that the set takes, in bytes. */
size_t msp_organisations_size(const msp_organisations_t *set);

#endif
