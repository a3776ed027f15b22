#ifndef MSP_COORD_CLAIM_ROW_H
#define MSP_COORD_CLAIM_ROW_H

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/base/env.h"
#include "monsoonspindle/coord/nonces.h"
#include "monsoonspindle/coord/claim_outcome.h"

#define MSP_CLAIM_ROW_PREFIX "claim/"
#define MSP_SERVICE_NAME_MAX 100 /* bytes */
#define MSP_IDEMPOTENCY_KEY_MAX 200 /* bytes */
#define MSP_CLAIM_ROW_KEY_SIZE                                 \
	(sizeof(MSP_CLAIM_ROW_PREFIX) + MSP_SERVICE_NAME_MAX + \
	    MSP_IDEMPOTENCY_KEY_MAX + 1)
#define MSP_OWNER_ADDRESS_SIZE 64
#define MSP_OPERATOR_NAME_SIZE 64

typedef enum msp_claim_state {
	MSP_CLAIM_HELD, /* the owner may run the request */
	MSP_CLAIM_RELEASED, /* the owner never ran the request */
	MSP_CLAIM_DONE, /* ran; the outcome is recorded */
	MSP_CLAIM_IN_DOUBT, /* may have run */
	MSP_CLAIM_RULED_RAN, /* ran, as an operator ruled */
	MSP_CLAIM_RULED_NOT_RUN, /* didn't run, as an operator ruled */
	MSP_CLAIM_STATE_COUNT
} msp_claim_state_t;

/* A row of the store's table: the claim on one idempotency key of a service. */
typedef struct msp_claim_row {
	msp_claim_state_t state;
	msp_digest_t digest; /* of the request */
	msp_nonce_t nonce;
	uint64_t incarnation; /* of the owner */
	char address[MSP_OWNER_ADDRESS_SIZE];
	msp_time_t written_at; /* by wall clock */
	char operator_name[MSP_OPERATOR_NAME_SIZE]; /* of a ruling */
	/* DONE: the outcome is owned, and has no body if `in_object` is set. */
	msp_claim_outcome_t *outcome;
	bool in_object; /* the body is in an object named after the nonce */
	size_t body_len;
	msp_digest_t body_digest;
} msp_claim_row_t;

#define MSP_OUTCOME_OBJECT_NAME_SIZE 48

/* Prints the name of the object that holds the body of an outcome. */
void msp_print_outcome_object_name(
    msp_nonce_t nonce, char out[MSP_OUTCOME_OBJECT_NAME_SIZE]);

/* Returns MSP_E_BAD_REQUEST if service or key are malformed. */
msp_status_t msp_print_claim_row_key(
    const char *service, const char *key, char out[MSP_CLAIM_ROW_KEY_SIZE]);

/* Returns MSP_E_SYNTAX if `row_key` is not the key of a claim's row. */
msp_status_t msp_parse_claim_row_key(const char *row_key,
    char service[MSP_SERVICE_NAME_MAX + 1],
    char key[MSP_IDEMPOTENCY_KEY_MAX + 1]);

msp_status_t msp_encode_claim_row(
    const msp_claim_row_t *row, msp_buffer_t *out);

/* Returns MSP_E_SYNTAX, and clears `row`, if the value is malformed. */
msp_status_t msp_decode_claim_row(
    const char *value, size_t len, msp_claim_row_t *row);
void msp_drop_claim_row(msp_claim_row_t *row);

/*
 * Sets the body that was read from the object. Returns MSP_E_TRUNCATED_RESPONSE
 * if it doesn't match the recorded length and digest.
 */
msp_status_t msp_set_outcome_body(
    msp_claim_row_t *row, const char *body, size_t len);

#endif
