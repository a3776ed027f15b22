#include "check_call.h"

#include <string.h>

#define OBJECT_NAME_CHARS \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:-"

static msp_status_t
check_length(const char *name, const char *what)
{
	size_t len = name == NULL ? 0 : strlen(name);

	if (len == 0 || len > MSP_ROW_KEY_MAX)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "%s has %zu bytes; 1 to %d are allowed", what, len,
		    MSP_ROW_KEY_MAX);
	return MSP_OK;
}

msp_status_t
msp_check_row_key(const char *key)
{
	msp_status_t status = check_length(key, "row key");
	const char *p;

	if (status != MSP_OK)
		return status;
	for (p = key; *p != '\0'; p++) {
		if (*p <= ' ' || *p > '~')
			return msp_fail(MSP_E_BAD_REQUEST,
			    "row key contains byte %u, which is not allowed",
			    (unsigned int)(unsigned char)*p);
	}
	return MSP_OK;
}

msp_status_t
msp_check_object_name(const char *name)
{
	msp_status_t status = check_length(name, "object name");

	if (status == MSP_OK && strspn(name, OBJECT_NAME_CHARS) != strlen(name))
		status = msp_fail(MSP_E_BAD_REQUEST,
		    "object name may have letters, digits and ._:- only");
	return status;
}

static msp_status_t
check_write(const msp_write_t *write)
{
	if (write->value != NULL && write->value_len > MSP_ROW_VALUE_MAX)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "value has %zu bytes; up to %d are allowed",
		    write->value_len, MSP_ROW_VALUE_MAX);
	return msp_check_row_key(write->key);
}

msp_status_t
msp_check_txn(const msp_txn_t *txn)
{
	msp_status_t status = MSP_OK;
	size_t i;

	if (txn->condition_count > MSP_TXN_ITEMS_MAX ||
	    txn->write_count > MSP_TXN_ITEMS_MAX)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "more than %d conditions or writes", MSP_TXN_ITEMS_MAX);
	for (i = 0; i < txn->condition_count && status == MSP_OK; i++)
		status = msp_check_row_key(txn->conditions[i].key);
	for (i = 0; i < txn->write_count && status == MSP_OK; i++)
		status = check_write(&txn->writes[i]);
	return status;
}
