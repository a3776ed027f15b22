#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

msp_status_t
read_input_file(const char *path, msp_buffer_t *text)
{
	bool is_stdin = strcmp(path, "-") == 0;
	FILE *file = is_stdin ? stdin : fopen(path, "r");
	msp_status_t status;

	if (file == NULL)
		return msp_fail(MSP_E_IO, "%s: %s", path, strerror(errno));
	status = msp_append_stream(text, file, path);
	if (!is_stdin)
		fclose(file);
	return status;
}
