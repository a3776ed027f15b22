#include "soak_loop.h"

#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/epoll.h>
#include <sys/socket.h>

#define HEAP_MAX 65536
#define READ_SIZE 65536
#define BACKLOG 1024
#define EVENTS_PER_STEP 256
#define RANDOM_SCALE 9007199254740992.0 /* 2^53 */

struct soak_loop {
	int epoll_fd;
	msp_rng_t rng;
	size_t count; /* of `heap`, whose first slot is 1 */
	soak_timer_t *heap[HEAP_MAX];
};

soak_loop_t *
new_soak_loop(uint64_t seed)
{
	soak_loop_t *loop = calloc(1, sizeof(*loop));

	if (loop == NULL)
		return NULL;
	loop->rng.state = seed;
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (loop->epoll_fd >= 0)
		return loop;
	free(loop);
	return NULL;
}

void
drop_soak_loop(soak_loop_t *loop)
{
	if (loop == NULL)
		return;
	close(loop->epoll_fd);
	free(loop);
}

msp_time_t
soak_now(void)
{
	msp_env_t env = msp_system_env();

	return msp_now(&env);
}

static void
place_timer(soak_loop_t *loop, size_t slot, soak_timer_t *timer)
{
	loop->heap[slot] = timer;
	timer->slot = slot;
}

static void
move_up(soak_loop_t *loop, size_t slot, soak_timer_t *timer)
{
	while (slot > 1 && loop->heap[slot / 2]->due > timer->due) {
		place_timer(loop, slot, loop->heap[slot / 2]);
		slot /= 2;
	}
	place_timer(loop, slot, timer);
}

static void
move_down(soak_loop_t *loop, size_t slot, soak_timer_t *timer)
{
	size_t child;

	while ((child = slot * 2) <= loop->count) {
		if (child < loop->count &&
		    loop->heap[child + 1]->due < loop->heap[child]->due)
			child++;
		if (loop->heap[child]->due >= timer->due)
			break;
		place_timer(loop, slot, loop->heap[child]);
		slot = child;
	}
	place_timer(loop, slot, timer);
}

void
clear_soak_timer(soak_loop_t *loop, soak_timer_t *timer)
{
	soak_timer_t *last;
	size_t slot = timer->slot;

	if (slot == 0)
		return;
	timer->slot = 0;
	last = loop->heap[loop->count--];
	if (last == timer)
		return;
	if (slot > 1 && loop->heap[slot / 2]->due > last->due)
		move_up(loop, slot, last);
	else
		move_down(loop, slot, last);
}

void
set_soak_timer(soak_loop_t *loop, soak_timer_t *timer, msp_time_t due)
{
	clear_soak_timer(loop, timer);
	if (loop->count + 1 >= HEAP_MAX)
		abort();
	timer->due = due;
	loop->count++;
	move_up(loop, loop->count, timer);
}

static void
fire_timers(soak_loop_t *loop)
{
	msp_time_t now = soak_now();
	soak_timer_t *timer;

	while (loop->count > 0 && loop->heap[1]->due <= now) {
		timer = loop->heap[1];
		clear_soak_timer(loop, timer);
		timer->fire(timer->ctx);
	}
}

static void
watch_stream(soak_stream_t *stream, int operation)
{
	struct epoll_event event = {
	    .events = EPOLLIN | (stream->out.len > 0 ? EPOLLOUT : 0),
	    .data.ptr = stream,
	};

	epoll_ctl(stream->loop->epoll_fd, operation, stream->fd, &event);
}

static void
write_output(soak_stream_t *stream)
{
	msp_buffer_t *out = &stream->out;
	ssize_t sent =
	    send(stream->fd, out->data, out->len, MSG_DONTWAIT | MSG_NOSIGNAL);

	if (sent < 0 && (errno == EAGAIN || errno == ENOTCONN))
		return;
	if (sent < 0)
		sent = (ssize_t)out->len; /* a read reports the end */
	memmove(out->data, out->data + sent, out->len - (size_t)sent);
	out->len -= (size_t)sent;
}

static void
read_input(soak_stream_t *stream)
{
	static char data[READ_SIZE];
	ssize_t len = recv(stream->fd, data, sizeof(data), MSG_DONTWAIT);

	if (len < 0 && errno == EAGAIN)
		return;
	if (len > 0)
		msp_append_data(&stream->in, data, (size_t)len);
	stream->on_input(stream->ctx, len <= 0);
}

static void
accept_connections(soak_stream_t *stream)
{
	int fd;

	while ((fd = accept(stream->fd, NULL, NULL)) >= 0) {
		fcntl(fd, F_SETFL, O_NONBLOCK);
		fcntl(fd, F_SETFD, FD_CLOEXEC);
		stream->on_accept(stream->ctx, fd);
	}
}

static void
handle_event(soak_stream_t *stream, uint32_t events)
{
	if (stream->on_datagram != NULL) {
		stream->on_datagram(stream->ctx);
		return;
	}
	if (stream->on_accept != NULL) {
		accept_connections(stream);
		return;
	}
	if ((events & EPOLLOUT) != 0 && stream->out.len > 0) {
		write_output(stream);
		if (stream->out.len == 0 && stream->close_after_output) {
			/* The peer's close then ends the stream. */
			shutdown(stream->fd, SHUT_WR);
		}
		if (stream->out.len == 0)
			watch_stream(stream, EPOLL_CTL_MOD);
	}
	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		read_input(stream);
}

void
step_soak_loop(soak_loop_t *loop, int wait_ms)
{
	struct epoll_event event;
	msp_time_t now;
	int i;

	fire_timers(loop);
	now = soak_now();
	if (loop->count > 0 && loop->heap[1]->due < now + wait_ms * MSP_MS)
		wait_ms = loop->heap[1]->due <= now
		    ? 0
		    : (int)((loop->heap[1]->due - now) / MSP_MS) + 1;
	/* One at a time, since handling an event may close other streams. */
	for (i = 0; i < EVENTS_PER_STEP; i++) {
		if (epoll_wait(
			loop->epoll_fd, &event, 1, i == 0 ? wait_ms : 0) != 1)
			return;
		handle_event(event.data.ptr, event.events);
	}
}

uint64_t
soak_random(soak_loop_t *loop, uint64_t bound)
{
	return bound == 0 ? 0 : msp_next_random(&loop->rng) % bound;
}

static double
draw_fraction(soak_loop_t *loop)
{
	return (double)(msp_next_random(&loop->rng) >> 11) / RANDOM_SCALE;
}

bool
soak_chance(soak_loop_t *loop, double probability)
{
	return draw_fraction(loop) < probability;
}

msp_time_t
soak_between(soak_loop_t *loop, msp_time_t low, msp_time_t high)
{
	return low + soak_random(loop, high - low + 1);
}

msp_time_t
soak_interval(soak_loop_t *loop, double per_second)
{
	return (msp_time_t)(-log(1.0 - draw_fraction(loop)) * MSP_SECOND /
	    per_second);
}

void
open_soak_stream(soak_loop_t *loop, soak_stream_t *stream, int fd)
{
	stream->loop = loop;
	stream->fd = fd;
	stream->close_after_output = false;
	watch_stream(stream, EPOLL_CTL_ADD);
}

void
send_soak_data(soak_stream_t *stream, const void *data, size_t len)
{
	if (stream->fd < 0 || len == 0)
		return;
	msp_append_data(&stream->out, data, len);
	write_output(stream);
	if (stream->out.len > 0)
		watch_stream(stream, EPOLL_CTL_MOD);
}

void
close_soak_stream(soak_stream_t *stream)
{
	if (stream->fd >= 0) {
		/* A process that is being started may still hold a copy. */
		epoll_ctl(
		    stream->loop->epoll_fd, EPOLL_CTL_DEL, stream->fd, NULL);
		close(stream->fd);
	}
	stream->fd = -1;
	msp_drop_buffer(&stream->in);
	msp_drop_buffer(&stream->out);
}

void
reset_soak_stream(soak_stream_t *stream)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (stream->fd >= 0)
		setsockopt(
		    stream->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close_soak_stream(stream);
}

void
finish_soak_stream(soak_stream_t *stream)
{
	stream->close_after_output = true;
	if (stream->out.len == 0)
		shutdown(stream->fd, SHUT_WR);
}

void
pause_soak_listener(soak_stream_t *stream)
{
	listen(stream->fd, 1);
	epoll_ctl(stream->loop->epoll_fd, EPOLL_CTL_DEL, stream->fd, NULL);
}

void
resume_soak_listener(soak_stream_t *stream)
{
	listen(stream->fd, BACKLOG);
	watch_stream(stream, EPOLL_CTL_ADD);
}
