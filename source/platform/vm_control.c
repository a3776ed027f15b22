#include "vm_control.h"

#include <stdlib.h>

#include "../../platform/json_reader.h"

#define VMS_MAX 10000

static msp_status_t
decode_port(struct json_object *object, const char *name, uint16_t *port)
{
	uint64_t number;
	msp_status_t status = read_json_uint(object, name, UINT16_MAX, &number);

	if (status == MSP_OK)
		*port = (uint16_t)number;
	return status;
}

static msp_status_t
decode_vm(struct json_object *object, msp_vm_t *vm)
{
	struct json_object *leaving;
	msp_status_t status =
	    read_json_string(object, "name", vm->name, sizeof(vm->name));

	if (status == MSP_OK)
		status = read_json_string(
		    object, "place", vm->place, sizeof(vm->place));
	if (status == MSP_OK)
		status = read_json_string(
		    object, "address", vm->address, sizeof(vm->address));
	if (status == MSP_OK)
		status = decode_port(object, "caller_port", &vm->caller_port);
	if (status == MSP_OK)
		status = decode_port(object, "peer_port", &vm->peer_port);
	if (status != MSP_OK)
		return status;
	if (!json_object_object_get_ex(object, "leaving", &leaving) ||
	    !json_object_is_type(leaving, json_type_boolean))
		return msp_fail(
		    MSP_E_SYNTAX, "\"leaving\" is missing or not a boolean");
	vm->leaving = json_object_get_boolean(leaving);
	return MSP_OK;
}

msp_status_t
msp_apply_vm_list(msp_memory_store_t *store, struct json_object *message)
{
	struct json_object *array;
	uint64_t lag_ms = 0;
	msp_status_t status = read_json_array(message, "vms", &array);
	msp_vm_t *vms;
	size_t count;
	size_t i;

	if (status == MSP_OK &&
	    json_object_object_get_ex(message, "lag_ms", NULL))
		status = read_json_uint(message, "lag_ms", UINT32_MAX, &lag_ms);
	if (status != MSP_OK)
		return status;
	count = json_object_array_length(array);
	if (count > VMS_MAX)
		return msp_fail(MSP_E_SYNTAX, "more than %d VMs", VMS_MAX);
	vms = calloc(count + 1, sizeof(*vms));
	if (vms == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for VMs");
	for (i = 0; i < count && status == MSP_OK; i++)
		status =
		    decode_vm(json_object_array_get_idx(array, i), &vms[i]);
	if (status == MSP_OK)
		status = msp_set_memory_store_vms(
		    store, vms, count, lag_ms * MSP_MS);
	free(vms);
	return status;
}
