#include "fleet_private.h"
#include "free_port.h"

#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/wait.h>

static bool
is_responding(fleet_t *fleet, const fleet_process_t *process, uint16_t port,
    const char *path)
{
	fleet_reply_t reply;

	if (process->pid == 0)
		return false;
	send_fleet_request(fleet, port, "GET", path, NULL, NULL, &reply);
	msp_drop_response(&reply.response);
	return reply.status == MSP_OK;
}

/* Waits until a process responds on its port. */
static bool
wait_until_responding(fleet_t *fleet, const fleet_process_t *process,
    uint16_t port, const char *path)
{
	msp_env_t env = msp_system_env();
	msp_time_t end = msp_now(&env) + FLEET_WAIT_TIMEOUT_MS * MSP_MS;

	while (!is_responding(fleet, process, port, path)) {
		if (msp_now(&env) > end) {
			fprintf(stderr, "%s: no response on port %u\n",
			    process->name, port);
			return false;
		}
		msp_step_loop(fleet->loop, 20);
	}
	return true;
}

static void
name_process(
    fleet_process_t *process, const char *place, const char *kind, int number)
{
	if (place == NULL)
		snprintf(process->name, sizeof(process->name), "%s", kind);
	else
		snprintf(process->name, sizeof(process->name), "%s-%s%d", place,
		    kind, number);
	if (place != NULL)
		snprintf(process->place, sizeof(process->place), "%s", place);
	process->port = pick_free_port();
	process->peer_port = pick_free_port();
	process->operator_port = pick_free_port();
}

static void
name_processes(fleet_t *fleet)
{
	const fleet_place_t *place;
	int i;

	name_process(&fleet->platform, NULL, "platform", 0);
	for (place = fleet->options.places; place->name != NULL; place++) {
		for (i = 1; i <= place->vms; i++)
			name_process(&fleet->vms[fleet->vm_count++],
			    place->name, "vm", i);
		for (i = 1; i <= place->targets; i++)
			name_process(&fleet->targets[fleet->target_count++],
			    place->name, "t", i);
	}
}

static bool
start_processes(fleet_t *fleet)
{
	size_t i;

	if (spawn_fleet_platform(fleet) != 0 ||
	    !wait_until_responding(
		fleet, &fleet->platform, fleet->platform.port, "/v1/vms") ||
	    !send_fleet_vm_list(fleet))
		return false;
	for (i = 0; i < fleet->target_count; i++) {
		if (spawn_fleet_target(fleet, i) != 0)
			return false;
	}
	for (i = 0; i < fleet->vm_count; i++) {
		if (write_vm_settings(fleet, &fleet->vms[i]) != 0 ||
		    spawn_fleet_vm(fleet, i) != 0)
			return false;
	}
	for (i = 0; i < fleet->target_count; i++) {
		if (!wait_until_responding(fleet, &fleet->targets[i],
			fleet->targets[i].port, "/load"))
			return false;
	}
	for (i = 0; i < fleet->vm_count; i++) {
		if (!wait_until_responding(fleet, &fleet->vms[i],
			fleet->vms[i].operator_port, "/healthz"))
			return false;
	}
	return true;
}

fleet_t *
new_fleet(const fleet_options_t *options)
{
	msp_http_client_options_t client = {.max_connections_per_server = 64};
	fleet_t *fleet = calloc(1, sizeof(*fleet));

	if (fleet == NULL)
		return NULL;
	fleet->options = *options;
	snprintf(fleet->dir, sizeof(fleet->dir), "%s/fleet-XXXXXX",
	    getenv("TMPDIR") == NULL ? P_tmpdir : getenv("TMPDIR"));
	if (mkdtemp(fleet->dir) == NULL) {
		free(fleet);
		return NULL;
	}
	snprintf(fleet->journal_path, sizeof(fleet->journal_path), "%s/journal",
	    fleet->dir);
	fleet->loop = msp_new_loop(1024);
	if (fleet->loop != NULL)
		fleet->client = msp_new_http_client(fleet->loop, &client);
	name_processes(fleet);
	if (fleet->client != NULL && start_processes(fleet))
		return fleet;
	drop_fleet(fleet);
	return NULL;
}

static void
kill_process(fleet_process_t *process)
{
	if (process->pid == 0)
		return;
	kill(process->pid, SIGCONT);
	kill(process->pid, SIGKILL);
	waitpid(process->pid, &process->status, 0);
	process->pid = 0;
}

/* Removes the settings and logs, but keeps them if FLEET_KEEP is set. */
static void
remove_files(const fleet_t *fleet)
{
	DIR *dir = opendir(fleet->dir);
	struct dirent *entry;
	char path[512];

	if (dir == NULL)
		return;
	if (getenv("FLEET_KEEP") != NULL) {
		fprintf(stderr, "settings and logs are in %s\n", fleet->dir);
		closedir(dir);
		return;
	}
	while ((entry = readdir(dir)) != NULL) {
		snprintf(
		    path, sizeof(path), "%s/%s", fleet->dir, entry->d_name);
		if (entry->d_name[0] != '.')
			unlink(path);
	}
	closedir(dir);
	rmdir(fleet->dir);
}

void
drop_fleet(fleet_t *fleet)
{
	size_t i;

	if (fleet == NULL)
		return;
	for (i = 0; i < fleet->vm_count; i++)
		kill_process(&fleet->vms[i]);
	for (i = 0; i < fleet->target_count; i++)
		kill_process(&fleet->targets[i]);
	kill_process(&fleet->platform);
	if (fleet->client != NULL)
		msp_drop_http_client(fleet->client);
	if (fleet->loop != NULL)
		msp_drop_loop(fleet->loop);
	remove_files(fleet);
	free(fleet);
}
