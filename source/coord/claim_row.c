#include "claim_row.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
is_valid_service(const char *service)
{
	size_t len = strlen(service);

	return len > 0 && len <= MSP_SERVICE_NAME_MAX &&
	    strspn(service,
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		"0123456789._-") == len;
}

static bool
is_valid_key(const char *key)
{
	size_t len = strlen(key);
	size_t i;

	if (len == 0 || len > MSP_IDEMPOTENCY_KEY_MAX)
		return false;
	for (i = 0; i < len; i++) {
		if (key[i] <= ' ' || key[i] > '~')
			return false;
	}
	return true;
}

msp_status_t
msp_print_claim_row_key(
    const char *service, const char *key, char out[MSP_CLAIM_ROW_KEY_SIZE])
{
	if (service == NULL || !is_valid_service(service))
		return msp_fail(MSP_E_BAD_REQUEST, "malformed service name");
	if (key == NULL || !is_valid_key(key))
		return msp_fail(MSP_E_BAD_REQUEST,
		    "malformed idempotency key: 1 to %d printable ASCII bytes",
		    MSP_IDEMPOTENCY_KEY_MAX);
	snprintf(out, MSP_CLAIM_ROW_KEY_SIZE, MSP_CLAIM_ROW_PREFIX "%s/%s",
	    service, key);
	return MSP_OK;
}

msp_status_t
msp_parse_claim_row_key(const char *row_key,
    char service[MSP_SERVICE_NAME_MAX + 1],
    char key[MSP_IDEMPOTENCY_KEY_MAX + 1])
{
	size_t prefix = strlen(MSP_CLAIM_ROW_PREFIX);
	const char *slash;

	if (strncmp(row_key, MSP_CLAIM_ROW_PREFIX, prefix) != 0)
		return msp_fail(MSP_E_SYNTAX, "not the key of a claim");
	row_key += prefix;
	slash = strchr(row_key, '/');
	if (slash == NULL || slash - row_key > MSP_SERVICE_NAME_MAX ||
	    strlen(slash + 1) > MSP_IDEMPOTENCY_KEY_MAX)
		return msp_fail(MSP_E_SYNTAX, "not the key of a claim");
	snprintf(service, MSP_SERVICE_NAME_MAX + 1, "%.*s",
	    (int)(slash - row_key), row_key);
	snprintf(key, MSP_IDEMPOTENCY_KEY_MAX + 1, "%s", slash + 1);
	return MSP_OK;
}

void
msp_print_outcome_object_name(
    msp_nonce_t nonce, char out[MSP_OUTCOME_OBJECT_NAME_SIZE])
{
	char text[MSP_DIGEST_TEXT_SIZE];

	msp_print_digest(nonce, text);
	snprintf(out, MSP_OUTCOME_OBJECT_NAME_SIZE, "outcome-%s", text);
}

void
msp_drop_claim_row(msp_claim_row_t *row)
{
	free(row->outcome);
	*row = (msp_claim_row_t){0};
}

msp_status_t
msp_set_outcome_body(msp_claim_row_t *row, const char *body, size_t len)
{
	msp_claim_outcome_t complete = *row->outcome;
	msp_claim_outcome_t *copy;

	if (len != row->body_len ||
	    !msp_digest_equal(msp_digest(body, len), row->body_digest))
		return msp_fail(MSP_E_TRUNCATED_RESPONSE,
		    "the recorded response is incomplete or damaged");
	complete.body = body;
	complete.body_len = len;
	copy = msp_copy_claim_outcome(&complete);
	if (copy == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for an outcome");
	free(row->outcome);
	row->outcome = copy;
	return MSP_OK;
}
