#include "paced_server.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#define BACKLOG 16
#define HEAD_END "\r\n\r\n"

void
open_paced_server(paced_server_t *server)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);
	size_t i;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (server->listener < 0 ||
	    bind(server->listener, (struct sockaddr *)&address, len) != 0 ||
	    listen(server->listener, BACKLOG) != 0 ||
	    getsockname(server->listener, (struct sockaddr *)&address, &len) !=
		0)
		abort();
	server->port = ntohs(address.sin_port);
	for (i = 0; i < PACED_CONNECTIONS; i++)
		server->connections[i].fd = -1;
}

static void
close_connection(paced_connection_t *connection)
{
	if (connection->fd >= 0)
		close(connection->fd);
	connection->fd = -1;
}

void
close_paced_server(paced_server_t *server)
{
	size_t i;

	for (i = 0; i < PACED_CONNECTIONS; i++)
		close_connection(&server->connections[i]);
	close(server->listener);
	msp_drop_buffer(&server->response);
}

void
set_paced_body(paced_server_t *server, const char *body, size_t len)
{
	msp_drop_buffer(&server->response);
	server->response = (msp_buffer_t){0};
	msp_append_printf(&server->response,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    len);
	msp_append_data(&server->response, body, len);
}

static void
accept_connections(paced_server_t *server)
{
	size_t i;

	for (i = 0; i < PACED_CONNECTIONS; i++) {
		paced_connection_t *connection = &server->connections[i];

		if (connection->fd >= 0)
			continue;
		*connection = (paced_connection_t){0};
		connection->fd = accept(server->listener, NULL, NULL);
		if (connection->fd < 0)
			return;
	}
}

static void
begin_response(
    paced_server_t *server, paced_connection_t *connection, msp_time_t now)
{
	strcpy(server->last_request, connection->head);
	server->request_count++;
	connection->responding = true;
	connection->sent = 0;
	connection->started = now;
	connection->stop_at = server->response.len;
	if (server->stopped_responses > 0) {
		server->stopped_responses--;
		connection->stop_at /= 2;
	}
}

static void
read_request(
    paced_server_t *server, paced_connection_t *connection, msp_time_t now)
{
	size_t room = sizeof(connection->head) - 1 - connection->head_len;
	ssize_t len = recv(connection->fd,
	    connection->head + connection->head_len, room, MSG_DONTWAIT);

	if (len == 0 || (len < 0 && errno != EAGAIN)) {
		close_connection(connection);
		return;
	}
	if (len < 0)
		return;
	connection->head_len += (size_t)len;
	connection->head[connection->head_len] = '\0';
	if (strstr(connection->head, HEAD_END) != NULL)
		begin_response(server, connection, now);
}

static void
send_response(
    paced_server_t *server, paced_connection_t *connection, msp_time_t now)
{
	double seconds = (double)(now - connection->started) / MSP_SECOND;
	size_t due = (size_t)(seconds * server->bytes_per_second) + 1;
	ssize_t len;

	if (due > connection->stop_at)
		due = connection->stop_at;
	if (due > connection->sent) {
		len = send(connection->fd,
		    server->response.data + connection->sent,
		    due - connection->sent, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (len < 0 && errno != EAGAIN) {
			close_connection(connection);
			return;
		}
		if (len > 0)
			connection->sent += (size_t)len;
	}
	if (connection->sent == server->response.len) {
		connection->responding = false;
		connection->head_len = 0;
	}
}

void
step_paced_server(paced_server_t *server, msp_time_t now)
{
	size_t i;

	accept_connections(server);
	for (i = 0; i < PACED_CONNECTIONS; i++) {
		paced_connection_t *connection = &server->connections[i];

		if (connection->fd >= 0 && !connection->responding)
			read_request(server, connection, now);
		if (connection->fd >= 0 && connection->responding)
			send_response(server, connection, now);
	}
}
