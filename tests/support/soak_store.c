#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/prctl.h>
#include <sys/wait.h>

#include "free_port.h"
#include "monsoonspindle/net.h"
#include "monsoonspindle/platform.h"
#include "soak_private.h"

#define ADDRESS "127.0.0.1"
#define MAX_FDS 2048
#define COMMAND_MAX 8192 /* bytes of a command */
#define WRITE_TIMEOUT_MS 1000

/* The child process: a store that also takes commands from a pipe. */
typedef struct store {
	msp_loop_t *loop;
	msp_memory_store_t *memory;
	msp_store_service_t *service;
	int pipe;
	msp_buffer_t input;
} store_t;

static void
ignore_reply(void *ctx, const msp_store_reply_t *reply)
{
	(void)ctx;
	(void)reply;
}

/* "put KEY VALUE" writes a row, or removes it without a value. */
static void
put_row(store_t *store, char *text)
{
	msp_store_t interface = msp_memory_store(store->memory);
	msp_store_faults_t *faults = msp_memory_store_faults(store->memory);
	msp_store_faults_t before = *faults;
	char *value = strchr(text, ' ');
	msp_write_t write = {.key = text};
	msp_txn_t txn = {.writes = &write, .write_count = 1};

	if (value != NULL) {
		*value++ = '\0';
		write.value = value;
		write.value_len = strlen(value);
	}
	/* The faults are for the VMs only. */
	*faults = (msp_store_faults_t){0};
	interface.transact(
	    interface.ctx, &txn, WRITE_TIMEOUT_MS, ignore_reply, NULL);
	*faults = before;
}

static void
run_command(store_t *store, char *line)
{
	msp_store_faults_t *faults = msp_memory_store_faults(store->memory);

	if (strncmp(line, "put ", 4) == 0)
		put_row(store, line + 4);
	else if (strncmp(line, "down ", 5) == 0)
		faults->down = line[5] != '0';
	else if (strncmp(line, "latency ", 8) == 0)
		faults->latency = strtoul(line + 8, NULL, 10) * MSP_MS;
}

static void
handle_step(void *ctx)
{
	store_t *store = ctx;
	char data[COMMAND_MAX];
	ssize_t len;
	char *end;

	while ((len = read(store->pipe, data, sizeof(data))) > 0)
		msp_append_data(&store->input, data, (size_t)len);
	while (store->input.len > 0 &&
	    (end = strchr(store->input.data, '\n')) != NULL) {
		size_t used = (size_t)(end + 1 - store->input.data);

		*end = '\0';
		run_command(store, store->input.data);
		store->input.len -= used;
		memmove(store->input.data, end + 1, store->input.len + 1);
	}
	msp_step_memory_store(store->memory);
	msp_step_store_service(store->service);
	if (len == 0)
		msp_stop_loop(store->loop);
}

static void
serve_store(int pipe_fd, uint16_t port)
{
	store_t store = {.pipe = pipe_fd};
	msp_env_t env = msp_system_env();
	msp_http_server_options_t options = {.address = ADDRESS, .port = port};

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fcntl(pipe_fd, F_SETFL, O_NONBLOCK);
	store.loop = msp_new_loop(MAX_FDS);
	store.memory = msp_new_memory_store(&env);
	store.service = msp_new_store_service(store.memory);
	options.handler = msp_store_service_handler(store.service);
	if (msp_new_http_server(store.loop, &options) == NULL ||
	    msp_new_timer(store.loop, MSP_MS, MSP_MS, handle_step, &store) ==
		NULL)
		_exit(1);
	msp_run_loop(store.loop);
	_exit(0);
}

int
start_soak_store(soak_t *soak)
{
	int ends[2];

	soak->store_port = pick_free_port();
	if (pipe(ends) != 0)
		return -1;
	fcntl(ends[1], F_SETFD, FD_CLOEXEC);
	soak->store_pid = fork();
	if (soak->store_pid == 0) {
		close(ends[1]);
		serve_store(ends[0], soak->store_port);
	}
	close(ends[0]);
	soak->store_pipe = ends[1];
	return soak->store_pid < 0 ? -1 : 0;
}

void
stop_soak_store(soak_t *soak)
{
	if (soak->store_pid <= 0)
		return;
	close(soak->store_pipe);
	kill(soak->store_pid, SIGKILL);
	waitpid(soak->store_pid, NULL, 0);
	soak->store_pid = 0;
}

void
freeze_soak_store(soak_t *soak, bool frozen)
{
	kill(soak->store_pid, frozen ? SIGSTOP : SIGCONT);
}

static void
send_command(soak_t *soak, const char *line, int len)
{
	if (write(soak->store_pipe, line, (size_t)len) != len)
		fprintf(stderr, "soak: the store takes no commands\n");
}

void
put_soak_row(soak_t *soak, const char *key, const char *value)
{
	char line[COMMAND_MAX];

	send_command(soak, line,
	    snprintf(line, sizeof(line),
		value == NULL ? "put %s\n" : "put %s %s\n", key, value));
}

void
command_soak_store(soak_t *soak, const char *command, unsigned int value)
{
	char line[64];

	send_command(soak, line,
	    snprintf(line, sizeof(line), "%s %u\n", command, value));
}

static void
append_route(
    msp_buffer_t *text, const char *name, const char *kind, const char *service)
{
	msp_append_printf(text,
	    "{\"name\":\"%s\",\"host\":\"a.example\",\"prefix\":\"/%s/\","
	    "\"kind\":\"%s\",\"timeoutMs\":2500,\"targetLatencyMs\":500,"
	    "\"priority\":1,\"service\":\"%s\",\"maxAttempts\":2,"
	    "\"stickySessions\":true,\"homeRegions\":[]},",
	    name, name, kind, service);
}

void
put_soak_routes(soak_t *soak)
{
	msp_buffer_t text = {0};
	unsigned int i;

	msp_append_printf(&text, "{\"version\":\"r7\",\"routes\":[");
	append_route(&text, "ra", "idempotent", "a");
	append_route(&text, "rb", "idempotent", "b");
	append_route(&text, "wa", "non_idempotent", "a");
	append_route(&text, "wb", "non_idempotent", "b");
	text.len--; /* the last comma */
	msp_append_printf(&text, "],\"services\":[");
	for (i = 0; i < SOAK_SERVICES; i++)
		msp_append_printf(&text,
		    "%s{\"name\":\"%c\",\"healthPath\":\"/health\","
		    "\"maxConns\":%u,\"protocol\":\"h1\",\"tls\":false,"
		    "\"coldStartS\":3.0,\"coldPerS\":3.4}",
		    i == 0 ? "" : ",", 'a' + (int)i,
		    soak->profile->max_connections);
	msp_append_printf(&text,
	    "],\"limits\":{\"maxHeaderBytes\":16384,"
	    "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
	    "\"idleTimeoutMs\":15000}}");
	put_soak_row(soak, "op|config", msp_buffer_text(&text));
	msp_drop_buffer(&text);
}
