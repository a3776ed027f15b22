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

#include "connection.h"
#include "socket_monitor.h"
#include "timer_queue.h"
#include "watch.h"

#define HEADER_BYTES_MAX 65000 /* request line and headers, lws's own bound */
#define SERVICE_BUFFER 65536 /* bytes; holds the head of a client request */
#define TRIM_THRESHOLD \
	(8 * 1024 * 1024) /* bytes free before the heap shrinks */
#define FDS_MIN 1024 /* descriptors that a process always may open */
#define LIBRARY_TIMEOUT_S 3600 /* the modules of net have their own */

struct msp_loop {
	struct lws_context *lws;
	struct lws_vhost *vhost; /* of watches and server connections */
	msp_socket_monitor_t *socket_monitor;
	msp_timer_queue_t *timers;
	lws_sorted_usec_list_t wake;
	int stopped;
	msp_watch_t *signals;
	int signal_fd;
	void (*on_signal)(void *ctx);
	void *signal_ctx;
	void (*on_reload)(void *ctx);
	void *reload_ctx;
};

static const struct lws_protocols protocols[] = {
    {.name = "http", .callback = msp_on_http_event},
    {.name = MSP_WATCH_PROTOCOL, .callback = msp_on_watch_event},
    {.name = NULL},
};

static struct lws_vhost *
new_vhost(struct lws_context *lws)
{
	struct lws_context_creation_info info = {
	    .port = CONTEXT_PORT_NO_LISTEN_SERVER,
	    .protocols = protocols,
	    .vhost_name = "msp-loop",
	    .keepalive_timeout = LIBRARY_TIMEOUT_S,
	    .timeout_secs_ah_idle = LIBRARY_TIMEOUT_S,
	};
	struct lws_vhost *vhost = lws_create_vhost(lws, &info);

	if (vhost == NULL)
		msp_fail(MSP_E_NO_MEMORY, "cannot create a vhost");
	return vhost;
}

/*
 * The library keeps a table for all descriptors that the process may open, and
 * still searches all of it when a connection is taken up again; with a limit of
 * its own it would search it for each event. So the process's limit is set, and
 * no higher than asked for.
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
	    .pt_serv_buf_size = SERVICE_BUFFER,
	    .timeout_secs = LIBRARY_TIMEOUT_S,
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
	/* The library takes and returns 64 KiB for each request. */
	mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD);
	/* The library would send client requests through this proxy. */
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
 * A call on a kept connection takes over its socket. The library frees the
 * connection without a socket in its next turn; its destruction misses it.
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
	msp_drop_watch(loop->signals);
	msp_drop_timer_queue(loop->timers);
	msp_drop_socket_monitor(loop->socket_monitor);
	lws_sul_cancel(&loop->wake);
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
wake(lws_sorted_usec_list_t *sul)
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
	lws_sul_schedule(
	    loop->lws, 0, &loop->wake, wake, (lws_usec_t)max_ms * 1000);
	lws_service(loop->lws, 0);
	lws_sul_cancel(&loop->wake);
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
read_signal(void *ctx)
{
	msp_loop_t *loop = ctx;
	struct signalfd_siginfo info;

	if (read(loop->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo != SIGHUP)
		loop->on_signal(loop->signal_ctx);
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
		return msp_fail(MSP_E_EXISTS, "signals are watched already");
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	if (sigprocmask(SIG_BLOCK, &set, NULL) != 0)
		return msp_fail(MSP_E_IO, "sigprocmask: %s", strerror(errno));
	loop->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (loop->signal_fd < 0)
		return msp_fail(MSP_E_IO, "signalfd: %s", strerror(errno));
	loop->on_signal = handler;
	loop->signal_ctx = ctx;
	loop->signals = msp_new_watch(loop, loop->signal_fd, read_signal, loop);
	if (loop->signals == NULL)
		loop->signal_fd = -1;
	return loop->signals == NULL ? MSP_E_NO_MEMORY : MSP_OK;
}
