#include "socket_monitor.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/epoll.h>

#include "connection.h"
#include "watch.h"

#define EVENTS_PER_TURN 64 /* handled per turn of the loop */

struct msp_socket_monitor {
	int epoll_fd;
	msp_watch_t *watch;
};

static void
handle_socket_events(void *ctx)
{
	msp_socket_monitor_t *monitor = ctx;
	struct epoll_event event;
	int i;

	/* One at a time, since handling an event may free other connections. */
	for (i = 0; i < EVENTS_PER_TURN; i++) {
		if (epoll_wait(monitor->epoll_fd, &event, 1, 0) != 1)
			return;
		msp_handle_socket_event(event.data.ptr,
		    (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
	}
}

msp_socket_monitor_t *
msp_new_socket_monitor(msp_loop_t *loop)
{
	msp_socket_monitor_t *monitor = calloc(1, sizeof(*monitor));

	if (monitor == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for a socket monitor");
		return NULL;
	}
	monitor->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (monitor->epoll_fd < 0) {
		msp_fail(MSP_E_IO, "epoll_create1: %s", strerror(errno));
		free(monitor);
		return NULL;
	}
	monitor->watch = msp_new_watch(
	    loop, monitor->epoll_fd, handle_socket_events, monitor);
	if (monitor->watch == NULL) {
		free(monitor);
		return NULL;
	}
	return monitor;
}

void
msp_drop_socket_monitor(msp_socket_monitor_t *monitor)
{
	if (monitor == NULL)
		return;
	msp_drop_watch(monitor->watch);
	free(monitor);
}

void
msp_monitor_socket(msp_socket_monitor_t *monitor, int fd,
    msp_monitor_mode_t mode, msp_connection_t *connection)
{
	struct epoll_event event = {
	    .events = EPOLLIN | EPOLLRDHUP | EPOLLET,
	    .data.ptr = connection,
	};

	if (mode == MSP_MONITOR_READ_WRITE)
		event.events |= EPOLLOUT;
	if (epoll_ctl(monitor->epoll_fd, EPOLL_CTL_MOD, fd, &event) != 0)
		epoll_ctl(monitor->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

void
msp_unmonitor_socket(msp_socket_monitor_t *monitor, int fd)
{
	epoll_ctl(monitor->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
}
