#include "raw_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

static struct sockaddr_in
loopback(uint16_t port)
{
	struct sockaddr_in sa = {
	    .sin_family = AF_INET,
	    .sin_port = htons(port),
	};

	inet_pton(AF_INET, TEST_ADDRESS, &sa.sin_addr);
	return sa;
}

raw_socket_t
raw_connect(msp_loop_t *loop, uint16_t port)
{
	raw_socket_t raw = {.loop = loop};
	struct sockaddr_in sa = loopback(port);

	raw.fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(raw.fd, (struct sockaddr *)&sa, sizeof(sa)) != 0)
		raw.closed = true;
	return raw;
}

void
raw_begin_connect(raw_socket_t *raw, uint16_t port)
{
	struct sockaddr_in sa = loopback(port);

	if (connect(raw->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 &&
	    errno != EINPROGRESS)
		raw->closed = true;
}

raw_socket_t
raw_listen(msp_loop_t *loop, uint16_t *port)
{
	raw_socket_t raw = {.loop = loop};
	struct sockaddr_in sa = loopback(0);
	socklen_t len = sizeof(sa);

	raw.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (bind(raw.fd, (struct sockaddr *)&sa, len) != 0 ||
	    listen(raw.fd, 64) != 0)
		raw.closed = true;
	getsockname(raw.fd, (struct sockaddr *)&sa, &len);
	*port = ntohs(sa.sin_port);
	return raw;
}

static bool
is_ready(int fd, short events)
{
	struct pollfd poll_fd = {.fd = fd, .events = events};

	return poll(&poll_fd, 1, 0) > 0;
}

static bool
can_read(void *ctx)
{
	return is_ready(((raw_socket_t *)ctx)->fd, POLLIN);
}

static bool
can_write(void *ctx)
{
	return is_ready(((raw_socket_t *)ctx)->fd, POLLOUT);
}

raw_socket_t
raw_accept(raw_socket_t *listener)
{
	raw_socket_t raw = {.loop = listener->loop, .fd = -1, .closed = true};

	if (!run_until(listener->loop, can_read, listener))
		return raw;
	raw.fd = accept(listener->fd, NULL, NULL);
	raw.closed = raw.fd < 0;
	return raw;
}

bool
raw_send(raw_socket_t *raw, const char *data, size_t len)
{
	ssize_t sent;

	while (len > 0) {
		if (!run_until(raw->loop, can_write, raw))
			return false;
		sent = send(raw->fd, data, len, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (sent < 0 && errno != EAGAIN)
			return false;
		if (sent < 0)
			continue;
		data += sent;
		len -= (size_t)sent;
	}
	return true;
}

bool
raw_send_text(raw_socket_t *raw, const char *text)
{
	return raw_send(raw, text, strlen(text));
}

void
raw_read(raw_socket_t *raw)
{
	char data[65536];
	ssize_t len;

	while (!raw->closed) {
		len = recv(raw->fd, data, sizeof(data), MSG_DONTWAIT);
		if (len < 0 && errno == EAGAIN)
			return;
		if (len <= 0)
			raw->closed = true;
		else
			msp_append_data(&raw->input, data, (size_t)len);
	}
}

static bool
has_text(void *ctx)
{
	raw_socket_t *raw = ctx;

	raw_read(raw);
	return raw->closed ||
	    strstr(msp_buffer_text(&raw->input), raw->expected_text) != NULL;
}

static bool
has_ended(void *ctx)
{
	raw_socket_t *raw = ctx;

	raw_read(raw);
	return raw->closed;
}

bool
raw_expect(raw_socket_t *raw, const char *text)
{
	raw->expected_text = text;
	return run_until(raw->loop, has_text, raw) &&
	    strstr(msp_buffer_text(&raw->input), text) != NULL;
}

bool
raw_expect_close(raw_socket_t *raw)
{
	return run_until(raw->loop, has_ended, raw);
}

void
raw_clear_input(raw_socket_t *raw)
{
	msp_clear_buffer(&raw->input);
}

void
raw_close(raw_socket_t *raw)
{
	if (raw->fd >= 0)
		close(raw->fd);
	raw->fd = -1;
	msp_drop_buffer(&raw->input);
}

void
raw_reset(raw_socket_t *raw)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(raw->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	raw_close(raw);
}
