#include <errno.h>
#include <string.h>

#include <sys/socket.h>

#include "connection.h"
#include "socket_monitor.h"
#include "watch.h"

#define METHOD_MAX 16 /* bytes, including the space after it */

static const char *const methods[] = {
    "GET ", "POST ", "PUT ", "PATCH ", "DELETE ", "HEAD ", "OPTIONS "};

/* Returns MSP_E_CANCELLED if there are too few bytes to decide. */
static msp_status_t
check_method(const char *data, size_t len)
{
	size_t letters = 0;
	size_t i;

	while (letters < len && data[letters] >= 'A' && data[letters] <= 'Z')
		letters++;
	if (letters == len)
		return len < METHOD_MAX ? MSP_E_CANCELLED : MSP_E_METHOD;
	if (letters == 0 || data[letters] != ' ')
		return MSP_E_BAD_REQUEST;
	for (i = 0; i < sizeof(methods) / sizeof(*methods); i++) {
		if (strlen(methods[i]) == letters + 1 &&
		    strncmp(methods[i], data, letters) == 0)
			return MSP_OK;
	}
	return MSP_E_METHOD;
}

/* Hands the connection over to libwebsockets. */
static void
adopt_connection(msp_connection_t *connection)
{
	msp_http_server_t *server = connection->server;
	lws_adopt_desc_t desc = {
	    .vh = msp_loop_vhost(server->loop),
	    .type = LWS_ADOPT_HTTP | LWS_ADOPT_SOCKET,
	    .fd.sockfd = connection->fd,
	};

	msp_monitor_socket(msp_loop_socket_monitor(server->loop),
	    connection->fd, MSP_MONITOR_CLOSE, connection);
	connection->state = MSP_CONNECTION_IDLE;
	connection->wsi = lws_adopt_descriptor_vhost_via_info(&desc);
	if (connection->wsi == NULL) {
		/* libwebsockets has closed the socket. */
		msp_drop_connection(connection);
		return;
	}
	lws_set_opaque_user_data(connection->wsi, connection);
	lws_set_timeout(connection->wsi, NO_PENDING_TIMEOUT, 0);
}

void
msp_check_first_bytes(msp_connection_t *connection)
{
	char data[METHOD_MAX];
	ssize_t len =
	    recv(connection->fd, data, sizeof(data), MSG_PEEK | MSG_DONTWAIT);
	msp_status_t status;

	if (len < 0 && errno == EAGAIN)
		return;
	if (len <= 0) {
		msp_close_connection(connection);
		return;
	}
	status = check_method(data, (size_t)len);
	if (status == MSP_OK)
		adopt_connection(connection);
	else if (status != MSP_E_CANCELLED)
		msp_refuse_connection(connection, status);
}
