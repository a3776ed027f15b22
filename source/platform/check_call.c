#include "check_call.h"

#include <string.h>

static msp_status_t
check_name(const char *name, const char *forbidden, const char *what)
{
	size_t len = name == NULL ? 0 : strlen(name);
	size_t i;

	if (len == 0 || len > MSP_ROW_KEY_MAX)
		return msp_fail(MSP_E_BAD_REQUEST, "%s of %zu bytes: 1 to %d",
		    what, len, MSP_ROW_KEY_MAX);
	for (i = 0; i < len; i++) {
		if (name[i] <= ' ' || name[i] > '~' ||
		    strchr(forbidden, name[i]) != NULL)
			return msp_fail(MSP_E_BAD_REQUEST,
			    "%s: byte %u is not allowed", what,
			    (unsigned int)(unsigned char)name[i]);
	}
	return MSP_OK;
}

msp_status_t
msp_check_row_key(const char *key)
{
	return check_name(key, "", "row key");
}

msp_status_t
msp_check_object_name(const char *name)
{
	return check_name(name, "/?#%", "object name");
}

static msp_status_t
check_write(const msp_write_t *write)
{
	if (write->value != NULL && write->value_len > MSP_ROW_VALUE_MAX)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "value of %zu bytes: up to %d", write->value_len,
		    MSP_ROW_VALUE_MAX);
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
