#include "monsoonspindle/net/http_server.h"

#include <stdlib.h>
#include <unistd.h>

#include <sys/socket.h>

#include "connection.h"
#include "socket.h"
#include "watch.h"

/*
 * Connections over max_connections that still get an error response. Any
 * further ones are closed at once.
 */
#define REFUSED_CONNECTIONS_MAX 64

static void
handle_new_connections(void *ctx)
{
	msp_http_server_t *server = ctx;
	unsigned int hard_limit =
	    server->limits.max_connections + REFUSED_CONNECTIONS_MAX;
	struct sockaddr_in peer;
	socklen_t len;
	int fd;

	for (;;) {
		len = sizeof(peer);
		fd = accept(server->listen_fd, (struct sockaddr *)&peer, &len);
		if (fd < 0)
			return;
		if (server->connection_count >= hard_limit) {
			close(fd);
			continue;
		}
		msp_set_tcp_options(fd);
		msp_new_connection(server, fd, &peer);
	}
}

#define DEFAULT_LIMIT(field, value)              \
	do {                                     \
		if (limits->field == 0)          \
			limits->field = (value); \
	} while (0)

static void
fill_limits(msp_http_limits_t *limits)
{
	DEFAULT_LIMIT(max_body, 1024 * 1024);
	DEFAULT_LIMIT(max_headers, 16 * 1024);
	DEFAULT_LIMIT(max_connections, 4096);
	DEFAULT_LIMIT(head_timeout_ms, 10 * 1000);
	DEFAULT_LIMIT(body_timeout_ms, 30 * 1000);
	DEFAULT_LIMIT(send_timeout_ms, 30 * 1000);
	DEFAULT_LIMIT(idle_timeout_ms, 60 * 1000);
	DEFAULT_LIMIT(max_pipeline, 16);
	DEFAULT_LIMIT(max_pipeline_bytes, 1024 * 1024);
}

msp_http_server_t *
msp_new_http_server(msp_loop_t *loop, const msp_http_server_options_t *options)
{
	msp_http_server_t *server = calloc(1, sizeof(*server));

	if (server == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for an HTTP server");
		return NULL;
	}
	server->loop = loop;
	server->limits = options->limits;
	server->handler = options->handler;
	fill_limits(&server->limits);
	LIST_INIT(&server->connections);
	server->listen_fd =
	    msp_listen_tcp(options->address, options->port, &server->port);
	if (server->listen_fd < 0) {
		free(server);
		return NULL;
	}
	server->listener = msp_new_watch(
	    loop, server->listen_fd, handle_new_connections, server);
	if (server->listener == NULL) {
		free(server);
		return NULL;
	}
	return server;
}

static void
close_listener(msp_http_server_t *server)
{
	if (server->listener == NULL)
		return;
	/* The watch closes the socket later; stop accepting connections now. */
	shutdown(server->listen_fd, SHUT_RDWR);
	msp_drop_watch(server->listener);
	server->listener = NULL;
}

void
msp_drop_http_server(msp_http_server_t *server)
{
	msp_connection_t *connection;

	if (server == NULL)
		return;
	close_listener(server);
	while ((connection = LIST_FIRST(&server->connections)) != NULL)
		msp_close_connection(connection);
	free(server);
}

void
msp_disable_keep_alive(msp_http_server_t *server)
{
	server->no_keep_alive = true;
}

void
msp_close_http_listener(msp_http_server_t *server)
{
	msp_connection_t *connection = LIST_FIRST(&server->connections);
	msp_connection_t *next;

	close_listener(server);
	server->closing = true;
	for (; connection != NULL; connection = next) {
		next = LIST_NEXT(connection, link);
		/* Takes a request that has arrived already. */
		connection->readable = true;
		msp_process_connection(connection);
	}
}

size_t
msp_count_open_exchanges(const msp_http_server_t *server)
{
	return server->open_exchanges;
}

uint16_t
msp_http_server_port(const msp_http_server_t *server)
{
	return server->port;
}

const msp_request_t *
msp_exchange_request(const msp_exchange_t *exchange)
{
	return &exchange->request;
}

const char *
msp_exchange_client_address(const msp_exchange_t *exchange)
{
	return exchange->connection->client_address;
}

msp_time_t
msp_exchange_arrival(const msp_exchange_t *exchange)
{
	return exchange->arrival;
}

void
msp_set_exchange_data(msp_exchange_t *exchange, void *data)
{
	exchange->data = data;
}

void *
msp_exchange_data(const msp_exchange_t *exchange)
{
	return exchange->data;
}

size_t
msp_exchange_position(const msp_exchange_t *exchange)
{
	return exchange->position;
}

msp_time_t
msp_exchange_hold_time(const msp_exchange_t *exchange)
{
	return exchange->started - exchange->arrival;
}

msp_time_t
msp_exchange_response_time(const msp_exchange_t *exchange)
{
	return exchange->answered;
}

void
msp_send_exchange_response(msp_exchange_t *exchange, msp_response_t *response)
{
	msp_connection_t *connection = exchange->connection;

	exchange->response = *response;
	*response = (msp_response_t){0};
	exchange->answered = msp_loop_now();
	exchange->state = MSP_EXCHANGE_ANSWERED;
	connection->kept_bytes += exchange->response.body.len;
	if (connection->processing)
		return;
	msp_write_responses(connection);
	msp_continue_connection(connection);
}
