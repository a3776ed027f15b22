#include "raw_response.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>

#include <sys/socket.h>

#include "../../source/net/connection.h"

#define CHUNK_SIZE 4096 /* bytes */
#define SEND_TIMEOUT_MS 2000

static bool
send_all(int fd, const char *data, size_t len)
{
	struct pollfd poll_fd = {.fd = fd, .events = POLLOUT};
	ssize_t sent;

	while (len > 0) {
		if (poll(&poll_fd, 1, SEND_TIMEOUT_MS) <= 0)
			return false;
		sent = send(fd, data, len, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (sent < 0)
			return false;
		data += sent;
		len -= (size_t)sent;
	}
	return true;
}

static int
get_exchange_fd(const msp_exchange_t *exchange)
{
	return exchange->connection->fd;
}

void
send_chunked_response(msp_exchange_t *exchange, size_t bytes)
{
	static const char head[] =
	    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
	    "connection: close\r\ntransfer-encoding: chunked\r\n\r\n";
	char chunk[CHUNK_SIZE + 32];
	int fd = get_exchange_fd(exchange);
	bool sent = send_all(fd, head, sizeof(head) - 1);
	size_t len;
	size_t size;

	while (sent && bytes > 0) {
		size = bytes < CHUNK_SIZE ? bytes : CHUNK_SIZE;
		len = (size_t)snprintf(chunk, sizeof(chunk), "%zx\r\n", size);
		memset(chunk + len, 'x', size);
		chunk[len + size] = '\r';
		chunk[len + size + 1] = '\n';
		sent = send_all(fd, chunk, len + size + 2);
		bytes -= size;
	}
	if (sent)
		send_all(fd, "0\r\n\r\n", 5);
	shutdown(fd, SHUT_WR);
}

void
send_truncated_response(msp_exchange_t *exchange, const char *body)
{
	char text[512];
	int fd = get_exchange_fd(exchange);
	size_t len = strlen(body);

	len = (size_t)snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
	    "content-length: %zu\r\n\r\n%.*s",
	    len, (int)(len / 2 < 200 ? len / 2 : 200), body);
	send_all(fd, text, len);
	shutdown(fd, SHUT_RDWR);
}

bool
is_connection_opened_before(const msp_exchange_t *exchange, msp_time_t time)
{
	return exchange->connection->opened < time;
}
