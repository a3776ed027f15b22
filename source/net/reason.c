#include "reason.h"

#include <string.h>

#include <http_parser.h>

const char *
msp_get_reason_phrase(int http_status)
{
	const char *reason = http_status_str((enum http_status)http_status);

	return strcmp(reason, "<unknown>") == 0 ? "" : reason;
}
