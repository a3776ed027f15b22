#include "monsoonspindle/net/loop.h"

#include <errno.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/resource.h>
#include <sys/signalfd.h>

#include <libwebsockets.h>

#include "socket_monitor.h"
#include "timer_queue.h"
#include "watch.h"

#define HEADER_BYTES_MAX 65000 /* of a response's head, in libwebsockets */
/* Bytes; holds the head of a request of the HTTP client. */
#define SERVICE_BUFFER_SIZE 65536
/* Free bytes at the top of the heap from which it is shrunk. */
#define TRIM_THRESHOLD (8 * 1024 * 1024)
#define FDS_MIN 1024 /* lower bound of the limit on open descriptors */
/* Timeout of libwebsockets; client and server set their own, shorter ones. */
#define LWS_TIMEOUT_S 3600

struct msp_loop {
	struct lws_context *lws;
	struct lws_vhost *vhost; /* of watches */
	msp_socket_monitor_t *socket_monitor;
	msp_timer_queue_t *timers;
	lws_sorted_usec_list_t wake_timer;
	int stopped;
	msp_watch_t *signal_watch;
	int signal_fd;
	void (*on_stop)(void *ctx); /* SIGTERM and SIGINT */
	void *stop_ctx;
	void (*on_reload)(void *ctx); /* SIGHUP; or NULL */
	void *reload_ctx;
};

static const struct lws_protocols protocols[] = {
    {.name = MSP_WATCH_PROTOCOL, .callback = msp_handle_watch_event},
    {.name = NULL},
};

static struct lws_vhost *
new_vhost(struct lws_context *lws)
{
	struct lws_context_creation_info info = {
	    .port = CONTEXT_PORT_NO_LISTEN_SERVER,
	    .protocols = protocols,
	    .vhost_name = "msp-loop",
	    .keepalive_timeout = LWS_TIMEOUT_S,
	    .timeout_secs_ah_idle = LWS_TIMEOUT_S,
	};
	struct lws_vhost *vhost = lws_create_vhost(lws, &info);

	if (vhost == NULL)
		msp_fail(
		    MSP_E_NO_MEMORY, "cannot create a vhost of libwebsockets");
	return vhost;
}

/*
 * Sets the limit of the process on open descriptors. libwebsockets keeps a
 * table of all descriptors that the process may open and searches it linearly
 * when a connection is reused, so the limit is no higher than needed. A lower
 * limit in libwebsockets itself would make it search the table for every event.
 */
static void
set_fd_limit(unsigned int max_fds)
{
	struct rlimit limit;
	rlim_t wanted;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	wanted = max_fds > FDS_MIN ? max_fds : FDS_MIN;
	if (wanted > limit.rlim_max)
		wanted = limit.rlim_max;
	limit.rlim_cur = wanted;
	setrlimit(RLIMIT_NOFILE, &limit);
}

msp_loop_t *
msp_new_loop(unsigned int max_fds)
{
	struct lws_context_creation_info info = {
	    .port = CONTEXT_PORT_NO_LISTEN,
	    .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS |
		LWS_SERVER_OPTION_NO_LWS_SYSTEM_STATES,
	    .max_http_header_data2 = HEADER_BYTES_MAX,
	    .pt_serv_buf_size = SERVICE_BUFFER_SIZE,
	    .timeout_secs = LWS_TIMEOUT_S,
	    .gid = -1,
	    .uid = -1,
	};
	msp_loop_t *loop = calloc(1, sizeof(*loop));

	if (loop == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for a loop");
		return NULL;
	}
	loop->signal_fd = -1;
	set_fd_limit(max_fds);
	/*
	 * libwebsockets allocates and frees 64 KiB for each request. Don't
	 * return them to the kernel each time.
	 */
	mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD);
	/* libwebsockets would send client requests through this proxy. */
	unsetenv("http_proxy");
	lws_set_log_level(0, NULL);
	loop->lws = lws_create_context(&info);
	if (loop->lws == NULL) {
		msp_fail(MSP_E_INTERNAL, "cannot create the event loop");
		free(loop);
		return NULL;
	}
	loop->vhost = new_vhost(loop->lws);
	if (loop->vhost != NULL)
		loop->socket_monitor = msp_new_socket_monitor(loop);
	if (loop->socket_monitor != NULL)
		loop->timers = msp_new_timer_queue(loop);
	if (loop->timers == NULL) {
		msp_drop_loop(loop);
		return NULL;
	}
	return loop;
}

/*
 * When a call reuses an open connection, libwebsockets moves the socket to a
 * new wsi and frees the old one in the next turn of the loop.
 * lws_context_destroy() alone would leak it.
 */
static void
free_detached_connections(msp_loop_t *loop)
{
	lws_service(loop->lws, -1);
}

void
msp_drop_loop(msp_loop_t *loop)
{
	if (loop == NULL)
		return;
	msp_drop_watch(loop->signal_watch);
	msp_drop_timer_queue(loop->timers);
	msp_drop_socket_monitor(loop->socket_monitor);
	lws_sul_cancel(&loop->wake_timer);
	free_detached_connections(loop);
	lws_context_destroy(loop->lws);
	free(loop);
}

void
msp_run_loop(msp_loop_t *loop)
{
	loop->stopped = 0;
	while (!loop->stopped && lws_service(loop->lws, 0) >= 0)
		;
}

void
msp_stop_loop(msp_loop_t *loop)
{
	loop->stopped = 1;
	lws_cancel_service(loop->lws);
}

static void
handle_wake(lws_sorted_usec_list_t *sul)
{
	(void)sul;
}

void
msp_step_loop(msp_loop_t *loop, int max_ms)
{
	if (max_ms <= 0) {
		lws_service(loop->lws, -1);
		return;
	}
	lws_sul_schedule(loop->lws, 0, &loop->wake_timer, handle_wake,
	    (lws_usec_t)max_ms * 1000);
	lws_service(loop->lws, 0);
	lws_sul_cancel(&loop->wake_timer);
}

struct lws_context *
msp_loop_lws(msp_loop_t *loop)
{
	return loop->lws;
}

struct lws_vhost *
msp_loop_vhost(msp_loop_t *loop)
{
	return loop->vhost;
}

msp_timer_queue_t *
msp_loop_timers(msp_loop_t *loop)
{
	return loop->timers;
}

msp_socket_monitor_t *
msp_loop_socket_monitor(msp_loop_t *loop)
{
	return loop->socket_monitor;
}

static void
handle_signal(void *ctx)
{
	msp_loop_t *loop = ctx;
	struct signalfd_siginfo info;

	if (read(loop->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo != SIGHUP)
		loop->on_stop(loop->stop_ctx);
	else if (loop->on_reload != NULL)
		loop->on_reload(loop->reload_ctx);
}

void
msp_watch_reload_signal(msp_loop_t *loop, void (*handler)(void *ctx), void *ctx)
{
	loop->on_reload = handler;
	loop->reload_ctx = ctx;
}

msp_status_t
msp_watch_stop_signals(msp_loop_t *loop, void (*handler)(void *ctx), void *ctx)
{
	sigset_t set;

	if (loop->signal_fd >= 0)
		return msp_fail(
		    MSP_E_EXISTS, "a handler of stop signals is already set");
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	if (sigprocmask(SIG_BLOCK, &set, NULL) != 0)
		return msp_fail(MSP_E_IO, "sigprocmask: %s", strerror(errno));
	loop->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (loop->signal_fd < 0)
		return msp_fail(MSP_E_IO, "signalfd: %s", strerror(errno));
	loop->on_stop = handler;
	loop->stop_ctx = ctx;
	loop->signal_watch =
	    msp_new_watch(loop, loop->signal_fd, handle_signal, loop);
	if (loop->signal_watch == NULL)
		loop->signal_fd = -1;
	return loop->signal_watch == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}
