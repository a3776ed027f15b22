#include "store_call.h"

#include <stdlib.h>
#include <string.h>

void
msp_drop_store_call(msp_store_call_t *call)
{
	size_t i;

	if (call == NULL)
		return;
	for (i = 0; i < call->key_count; i++)
		free(call->keys[i]);
	for (i = 0; i < call->write_count; i++) {
		free((char *)call->writes[i].key);
		free((char *)call->writes[i].value);
	}
	free(call->keys);
	free(call->after);
	free(call->conditions);
	free(call->writes);
	free(call->object);
	msp_drop_captured_reply(&call->captured);
	free(call);
}

msp_store_call_t *
msp_new_store_call(msp_store_op_t op, const char *const *keys, size_t count)
{
	msp_store_call_t *call = calloc(1, sizeof(*call));
	size_t i;

	if (call == NULL)
		return NULL;
	call->op = op;
	call->keys = calloc(count + 1, sizeof(*call->keys));
	if (call->keys == NULL)
		goto no_memory;
	for (i = 0; i < count; i++) {
		call->keys[i] = strdup(keys[i]);
		if (call->keys[i] == NULL)
			goto no_memory;
		call->key_count++;
	}
	return call;

no_memory:
	msp_drop_store_call(call);
	return NULL;
}

static msp_status_t
copy_writes(msp_store_call_t *call, const msp_txn_t *txn)
{
	size_t i;

	call->writes = calloc(txn->write_count + 1, sizeof(*call->writes));
	if (call->writes == NULL)
		return MSP_E_NO_MEMORY;
	for (i = 0; i < txn->write_count; i++) {
		const msp_write_t *from = &txn->writes[i];
		msp_write_t *to = &call->writes[call->write_count++];

		to->key = strdup(from->key);
		if (to->key == NULL)
			return MSP_E_NO_MEMORY;
		if (from->value == NULL)
			continue;
		to->value = malloc(from->value_len + 1);
		if (to->value == NULL)
			return MSP_E_NO_MEMORY;
		memcpy((char *)to->value, from->value, from->value_len);
		to->value_len = from->value_len;
	}
	return MSP_OK;
}

msp_store_call_t *
msp_new_txn_call(const msp_txn_t *txn)
{
	msp_store_call_t *call =
	    msp_new_store_call(MSP_STORE_TRANSACT, NULL, 0);
	size_t i;

	if (call == NULL)
		return NULL;
	free(call->keys);
	call->keys = calloc(txn->condition_count + 1, sizeof(*call->keys));
	call->conditions =
	    calloc(txn->condition_count + 1, sizeof(*call->conditions));
	if (call->keys == NULL || call->conditions == NULL ||
	    copy_writes(call, txn) != MSP_OK)
		goto no_memory;
	for (i = 0; i < txn->condition_count; i++) {
		call->keys[i] = strdup(txn->conditions[i].key);
		if (call->keys[i] == NULL)
			goto no_memory;
		call->key_count++;
		call->conditions[i].key = call->keys[i];
		call->conditions[i].version = txn->conditions[i].version;
	}
	return call;

no_memory:
	msp_drop_store_call(call);
	return NULL;
}
