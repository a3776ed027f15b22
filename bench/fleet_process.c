#include "fleet_private.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/wait.h>

extern char **environ;

int
spawn_fleet_process(
    const fleet_t *fleet, fleet_process_t *process, const char *const *argv)
{
	const char *out = getenv("OUT");
	posix_spawn_file_actions_t actions;
	char path[512];
	char log[256];
	int code;

	snprintf(path, sizeof(path), "%s/bin/%s",
	    out == NULL ? "build/asan" : out, argv[0]);
	snprintf(log, sizeof(log), "%s/%s.log", fleet->dir, process->name);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
	    &actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
	posix_spawn_file_actions_addopen(
	    &actions, STDOUT_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(
	    &actions, STDOUT_FILENO, STDERR_FILENO);
	code = posix_spawn(
	    &process->pid, path, &actions, NULL, (char *const *)argv, environ);
	posix_spawn_file_actions_destroy(&actions);
	if (code != 0) {
		process->pid = 0;
		fprintf(stderr, "%s: %s\n", path, strerror(code));
	}
	return code;
}

void
signal_fleet_process(fleet_process_t *process, int signum)
{
	if (process->pid != 0)
		kill(process->pid, signum);
}

static bool
has_ended(void *ctx)
{
	fleet_process_t *process = ctx;

	if (process->pid == 0)
		return true;
	if (waitpid(process->pid, &process->status, WNOHANG) != process->pid)
		return false;
	process->pid = 0;
	return true;
}

int
wait_fleet_process_exit(fleet_t *fleet, fleet_process_t *process)
{
	if (!wait_fleet_until(fleet, has_ended, process))
		return -1;
	return process->status;
}

static int
start_target(fleet_t *fleet, fleet_process_t *target)
{
	const char *const *extra_args = fleet->options.target_args;
	char port[16];
	char slots[16];
	const char *argv[32] = {"target", "--port", port, "--name",
	    target->name, "--slots", slots, "--journal", fleet->journal_path};
	size_t count = 9;

	snprintf(port, sizeof(port), "%u", target->port);
	snprintf(slots, sizeof(slots), "%d", fleet->options.slots);
	while (extra_args != NULL && *extra_args != NULL && count < 31)
		argv[count++] = *extra_args++;
	return spawn_fleet_process(fleet, target, argv);
}

int
spawn_fleet_target(fleet_t *fleet, size_t target)
{
	return start_target(fleet, &fleet->targets[target]);
}

int
spawn_fleet_vm(fleet_t *fleet, size_t vm)
{
	fleet_process_t *process = &fleet->vms[vm];
	const char *argv[] = {"spindled", process->settings_path, NULL};

	return spawn_fleet_process(fleet, process, argv);
}

int
spawn_fleet_platform(fleet_t *fleet)
{
	char port[16];
	const char *argv[] = {"platform", "--port", port, NULL};

	snprintf(port, sizeof(port), "%u", fleet->platform.port);
	return spawn_fleet_process(fleet, &fleet->platform, argv);
}
