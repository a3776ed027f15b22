#include "monsoonspindle/base/refusal.h"

#include <string.h>

static const char *const class_names[MSP_CLASS_COUNT] = {
    [MSP_CLASS_INTERACTIVE] = "interactive",
    [MSP_CLASS_COMMIT] = "commit",
    [MSP_CLASS_BACKGROUND] = "background",
};

const char *
msp_request_class_name(msp_request_class_t class)
{
	return (unsigned int)class < MSP_CLASS_COUNT ? class_names[class]
						     : "unknown";
}

msp_status_t
msp_parse_request_class(const char *name, msp_request_class_t *class)
{
	unsigned int i;

	for (i = 0; i < MSP_CLASS_COUNT; i++) {
		if (strcmp(class_names[i], name) == 0) {
			*class = (msp_request_class_t)i;
			return MSP_OK;
		}
	}
	return msp_fail(MSP_E_RANGE, "unknown request class \"%s\"", name);
}

const char *
msp_run_status_name(msp_run_status_t run)
{
	return run == MSP_RUN_NOT_EXECUTED ? "no" : "unknown";
}
