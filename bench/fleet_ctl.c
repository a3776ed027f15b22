#include "fleet_ctl.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "fleet_private.h"

#define ARGS_MAX 24

int
write_text_file(const char *path, const char *text)
{
	FILE *file = fopen(path, "w");

	if (file == NULL)
		return -1;
	fputs(text, file);
	return fclose(file);
}

/* Reads the start of the output of a process. */
static void
read_output(const fleet_t *fleet, const fleet_process_t *process, char *out,
    size_t size)
{
	char path[256];
	FILE *file;
	size_t len;

	out[0] = '\0';
	snprintf(path, sizeof(path), "%s/%s.log", fleet->dir, process->name);
	file = fopen(path, "r");
	if (file == NULL)
		return;
	len = fread(out, 1, size - 1, file);
	out[len] = '\0';
	fclose(file);
}

int
run_spindlectl(fleet_t *fleet, size_t vm, char *out, size_t size, ...)
{
	static int runs;
	fleet_process_t ctl = {0};
	char address[64];
	const char *argv[ARGS_MAX] = {
	    "spindlectl", "--vm", address, "--token", FLEET_TOKEN};
	size_t count = 5;
	va_list args;
	int status;

	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    fleet->vms[vm].operator_port);
	va_start(args, size);
	while (count < ARGS_MAX - 1 &&
	    (argv[count] = va_arg(args, char *)) != NULL)
		count++;
	va_end(args);
	argv[count] = NULL;
	snprintf(ctl.name, sizeof(ctl.name), "ctl-%d", ++runs);
	if (spawn_fleet_process(fleet, &ctl, argv) != 0)
		return -1;
	status = wait_fleet_process_exit(fleet, &ctl);
	read_output(fleet, &ctl, out, size);
	return status;
}
