#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "monsoonspindle/net.h"
#include "monsoonspindle/platform.h"

#define MAX_FDS 4096
#define MAX_BODY (64U * 1024 * 1024) /* bytes */
#define STEP_MS 1 /* between steps of the store; longest delay of a reply */

/*
 * Stand-in for the platform: keeps the table, the objects and the list of VMs
 * in memory.
 */
typedef struct platform {
	msp_loop_t *loop;
	msp_memory_store_t *memory;
	msp_store_service_t *service;
	msp_http_server_t *server;
	msp_timer_t *step_timer;
} platform_t;

static void
handle_stop_signal(void *ctx)
{
	msp_stop_loop(((platform_t *)ctx)->loop);
}

static void
handle_step_timer(void *ctx)
{
	platform_t *platform = ctx;

	msp_step_memory_store(platform->memory);
	msp_step_store_service(platform->service);
}

static int
open_platform(platform_t *platform, const char *address, int port)
{
	msp_env_t env = msp_system_env();
	msp_http_server_options_t options = {
	    .address = address,
	    .port = (uint16_t)port,
	    .limits = {.max_body = MAX_BODY},
	};

	platform->loop = msp_new_loop(MAX_FDS);
	if (platform->loop == NULL)
		return -1;
	platform->memory = msp_new_memory_store(&env);
	if (platform->memory == NULL)
		return -1;
	platform->service = msp_new_store_service(platform->memory);
	if (platform->service == NULL)
		return -1;
	options.handler = msp_store_service_handler(platform->service);
	platform->server = msp_new_http_server(platform->loop, &options);
	if (platform->server == NULL)
		return -1;
	if (msp_watch_stop_signals(
		platform->loop, handle_stop_signal, platform) != MSP_OK)
		return -1;
	platform->step_timer = msp_new_timer(platform->loop, STEP_MS * MSP_MS,
	    STEP_MS * MSP_MS, handle_step_timer, platform);
	return platform->step_timer == NULL ? -1 : 0;
}

static void
close_platform(platform_t *platform)
{
	msp_drop_timer(platform->step_timer);
	if (platform->server != NULL)
		msp_drop_http_server(platform->server);
	msp_drop_memory_store(platform->memory);
	msp_drop_store_service(platform->service);
	if (platform->loop != NULL)
		msp_drop_loop(platform->loop);
}

int
main(int argc, char **argv)
{
	struct arg_str *address =
	    arg_str0("a", "address", "IP", "address to bind (127.0.0.1)");
	struct arg_int *port =
	    arg_int0("p", "port", "N", "port to bind (0: any free one)");
	struct arg_end *end = arg_end(4);
	void *table[] = {address, port, end};
	platform_t platform = {0};
	int code = 1;

	address->sval[0] = "127.0.0.1";
	port->ival[0] = 0;
	if (arg_parse(argc, argv, table) > 0 || port->ival[0] < 0 ||
	    port->ival[0] > UINT16_MAX) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_syntax(stderr, table, "\n");
		code = 2;
		goto out;
	}
	if (open_platform(&platform, address->sval[0], port->ival[0]) != 0) {
		fprintf(stderr, "%s: %s\n", argv[0], msp_last_message());
		goto out;
	}
	printf(
	    "port %u\n", (unsigned int)msp_http_server_port(platform.server));
	fflush(stdout);
	msp_run_loop(platform.loop);
	code = 0;
out:
	close_platform(&platform);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
