#include "socket_monitor.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/epoll.h>

#include "connection.h"
#include "watch.h"

#define BATCH 64 /* hang-ups a turn of the loop */

struct msp_socket_monitor {
	int poll_fd;
	msp_watch_t *watch;
};

static void
read_hangups(void *ctx)
{
	msp_socket_monitor_t *hangups = ctx;
	struct epoll_event event;
	int i;

	/* One at a time: the end of a connection may end others. */
	for (i = 0; i < BATCH; i++) {
		if (epoll_wait(hangups->poll_fd, &event, 1, 0) != 1)
			return;
		msp_handle_socket_event(event.data.ptr,
		    (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
	}
}

msp_socket_monitor_t *
msp_new_socket_monitor(msp_loop_t *loop)
{
	msp_socket_monitor_t *hangups = calloc(1, sizeof(*hangups));

	if (hangups == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for a loop");
		return NULL;
	}
	hangups->poll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (hangups->poll_fd < 0) {
		msp_fail(MSP_E_IO, "epoll_create1: %s", strerror(errno));
		free(hangups);
		return NULL;
	}
	hangups->watch =
	    msp_new_watch(loop, hangups->poll_fd, read_hangups, hangups);
	if (hangups->watch == NULL) {
		free(hangups);
		return NULL;
	}
	return hangups;
}

void
msp_drop_socket_monitor(msp_socket_monitor_t *hangups)
{
	if (hangups == NULL)
		return;
	msp_drop_watch(hangups->watch);
	free(hangups);
}

void
msp_monitor_socket(msp_socket_monitor_t *hangups, int fd,
    msp_monitor_mode_t mode, msp_connection_t *connection)
{
	struct epoll_event event = {
	    .events = EPOLLRDHUP | EPOLLET,
	    .data.ptr = connection,
	};

	if (mode == MSP_MONITOR_HANGUP_OR_READABLE)
		event.events |= EPOLLIN;
	if (mode == MSP_MONITOR_HANGUP_OR_WRITABLE)
		event.events |= EPOLLOUT;
	if (epoll_ctl(hangups->poll_fd, EPOLL_CTL_MOD, fd, &event) != 0)
		epoll_ctl(hangups->poll_fd, EPOLL_CTL_ADD, fd, &event);
}

void
msp_unmonitor_socket(msp_socket_monitor_t *hangups, int fd)
{
	epoll_ctl(hangups->poll_fd, EPOLL_CTL_DEL, fd, NULL);
}
