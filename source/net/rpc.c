#include "monsoonspindle/net/rpc.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <bsd/stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "rpc_endpoint.h"
#include "socket.h"

#define DATAGRAMS_PER_TURN 64 /* read per turn of the loop */
/* sendto() may fail with the pending error of an earlier datagram. */
#define SEND_ATTEMPTS 3
#define MESSAGE_PREFIX_SIZE 8 /* bytes of xid and message type */

void
msp_send_datagram(
    msp_rpc_t *rpc, const struct sockaddr_in *to, const void *data, size_t len)
{
	ssize_t sent = -1;
	int i;

	for (i = 0; i < SEND_ATTEMPTS && sent < 0; i++)
		sent = sendto(rpc->fd, data, len, MSG_DONTWAIT,
		    (const struct sockaddr *)to, sizeof(*to));
	if (sent < 0)
		return;
	rpc->stats.messages_out++;
	rpc->stats.bytes_out += len;
}

static void
handle_datagram(
    msp_rpc_t *rpc, const struct sockaddr_in *from, char *data, size_t len)
{
	uint32_t direction;

	rpc->stats.messages_in++;
	rpc->stats.bytes_in += len;
	if (len < MESSAGE_PREFIX_SIZE || len > MSP_RPC_MESSAGE_MAX) {
		rpc->stats.refused++;
		return;
	}
	memcpy(&direction, data + 4, sizeof(direction));
	switch (ntohl(direction)) {
	case CALL:
		msp_serve_rpc_call(rpc, from, data, len);
		break;
	case REPLY:
		msp_handle_rpc_reply(rpc, from, data, len);
		break;
	default:
		rpc->stats.refused++;
		break;
	}
}

/* Frees the endpoint if it was dropped by a callback. */
static void
end_callback(msp_rpc_t *rpc)
{
	rpc->in_callback = false;
	if (rpc->dropped)
		free(rpc);
}

static void
read_error_queue(msp_rpc_t *rpc)
{
	char data[MSP_RPC_MESSAGE_MAX];
	char control[512];
	struct sockaddr_in to;
	struct iovec iov = {.iov_base = data, .iov_len = sizeof(data)};
	struct msghdr message = {
	    .msg_name = &to,
	    .msg_iov = &iov,
	    .msg_iovlen = 1,
	    .msg_control = control,
	};
	ssize_t len;

	while (!rpc->dropped) {
		message.msg_namelen = sizeof(to);
		message.msg_controllen = sizeof(control);
		len = recvmsg(rpc->fd, &message, MSG_ERRQUEUE | MSG_DONTWAIT);
		if (len < 0)
			break;
		if (message.msg_namelen == sizeof(to))
			msp_handle_icmp_error(rpc, &to, data, (size_t)len);
	}
}

static void
handle_readable(void *ctx)
{
	msp_rpc_t *rpc = ctx;
	/*
	 * Words, so that XDR decoding reads aligned data; one more than the
	 * maximum, to detect longer datagrams.
	 */
	uint32_t data[MSP_RPC_MESSAGE_MAX / sizeof(uint32_t) + 1];
	struct sockaddr_in from;
	socklen_t from_len;
	struct epoll_event event;
	ssize_t len;
	int i;

	rpc->in_callback = true;
	/* Without this, epoll_fd could stay ready after the reads. */
	if (epoll_wait(rpc->epoll_fd, &event, 1, 0) < 0)
		event.events = 0;
	for (i = 0; i < DATAGRAMS_PER_TURN && !rpc->dropped; i++) {
		from_len = sizeof(from);
		len = recvfrom(rpc->fd, data, sizeof(data), MSG_DONTWAIT,
		    (struct sockaddr *)&from, &from_len);
		if (len < 0 && errno == EAGAIN)
			break;
		if (len >= 0 && from_len == sizeof(from))
			handle_datagram(rpc, &from, (char *)data, (size_t)len);
	}
	if (!rpc->dropped)
		read_error_queue(rpc);
	end_callback(rpc);
}

static bool
watch_socket(msp_rpc_t *rpc)
{
	struct epoll_event event = {.events = EPOLLIN | EPOLLERR};

	/* libwebsockets doesn't report a socket that has only an error. */
	rpc->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (rpc->epoll_fd < 0) {
		msp_fail(MSP_E_IO, "epoll_create1: %s", strerror(errno));
		return false;
	}
	if (epoll_ctl(rpc->epoll_fd, EPOLL_CTL_ADD, rpc->fd, &event) != 0) {
		msp_fail(MSP_E_IO, "epoll_ctl: %s", strerror(errno));
		close(rpc->epoll_fd);
		return false;
	}
	rpc->watch =
	    msp_new_watch(rpc->loop, rpc->epoll_fd, handle_readable, rpc);
	return rpc->watch != NULL;
}

/* Deadline of the first pending call; MSP_NEVER if there is none. */
static msp_time_t
next_deadline(const msp_rpc_t *rpc)
{
	const msp_rpc_call_t *call = TAILQ_FIRST(&rpc->pending);

	return call == NULL ? MSP_NEVER : call->deadline;
}

static void
handle_deadline(msp_deadline_t *deadline)
{
	msp_rpc_t *rpc = lws_container_of(deadline, msp_rpc_t, deadline);
	msp_time_t now = msp_loop_now();

	rpc->in_callback = true;
	while (!rpc->dropped && next_deadline(rpc) <= now)
		msp_end_rpc_call(
		    rpc, TAILQ_FIRST(&rpc->pending), MSP_E_DEADLINE, NULL);
	if (!rpc->dropped)
		msp_set_deadline(&rpc->deadline, next_deadline(rpc));
	end_callback(rpc);
}

msp_rpc_t *
msp_new_rpc(msp_loop_t *loop, const msp_rpc_options_t *options)
{
	msp_rpc_t *rpc = calloc(1, sizeof(*rpc));

	if (rpc == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for an RPC endpoint");
		return NULL;
	}
	rpc->loop = loop;
	rpc->options = *options;
	rpc->next_xid = arc4random();
	TAILQ_INIT(&rpc->pending);
	msp_init_deadline(&rpc->deadline, loop, handle_deadline);
	rpc->fd = msp_bind_udp(options->address, options->port, &rpc->port);
	if (rpc->fd < 0) {
		free(rpc);
		return NULL;
	}
	if (!watch_socket(rpc)) {
		close(rpc->fd);
		free(rpc);
		return NULL;
	}
	return rpc;
}

void
msp_drop_rpc(msp_rpc_t *rpc)
{
	msp_rpc_call_t *call;

	if (rpc == NULL)
		return;
	msp_clear_deadline(&rpc->deadline);
	while ((call = TAILQ_FIRST(&rpc->pending)) != NULL) {
		TAILQ_REMOVE(&rpc->pending, call, pending_link);
		free(call);
	}
	msp_drop_watch(rpc->watch);
	close(rpc->fd);
	rpc->dropped = true;
	if (!rpc->in_callback)
		free(rpc);
}

uint16_t
msp_rpc_port(const msp_rpc_t *rpc)
{
	return rpc->port;
}

const msp_rpc_stats_t *
msp_rpc_statistics(const msp_rpc_t *rpc)
{
	return &rpc->stats;
}
