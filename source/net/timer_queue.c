#include "timer_queue.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/timerfd.h>

#include "deadline.h"

struct msp_timer_queue {
	/* By due time, earliest first. */
	TAILQ_HEAD(msp_timer_list, msp_timer) timers;
	msp_watch_t *watch; /* owns fd */
	int fd; /* timerfd */
	msp_timer_t *firing; /* NULL once it was dropped */
	msp_time_t armed; /* when fd expires; MSP_NEVER: not armed */
};

/* Sets the timerfd to the time of the first timer. */
static void
arm(msp_timer_queue_t *queue)
{
	const msp_timer_t *first = TAILQ_FIRST(&queue->timers);
	msp_time_t due = first == NULL ? MSP_NEVER : first->due;
	struct itimerspec spec = {{0}, {0}};

	if (due == queue->armed)
		return;
	queue->armed = due;
	if (due != MSP_NEVER) {
		spec.it_value.tv_sec = (time_t)(due / MSP_SECOND);
		spec.it_value.tv_nsec = (long)(due % MSP_SECOND) * 1000;
	}
	timerfd_settime(queue->fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void
fire(msp_timer_queue_t *queue, msp_timer_t *timer, msp_time_t now)
{
	TAILQ_REMOVE(&queue->timers, timer, link);
	timer->firing = true;
	queue->firing = timer;
	timer->fire(timer->ctx);
	if (queue->firing == NULL)
		return; /* the timer was dropped */
	queue->firing = NULL;
	timer->firing = false;
	if (timer->period == 0) {
		timer->queue = NULL;
		return;
	}
	timer->due += timer->period;
	if (timer->due <= now)
		timer->due = now + timer->period;
	msp_queue_timer(queue, timer);
}

static void
handle_due_timers(void *ctx)
{
	msp_timer_queue_t *queue = ctx;
	msp_time_t now = msp_loop_now();
	msp_timer_t *first;
	uint64_t expirations;

	if (read(queue->fd, &expirations, sizeof(expirations)) !=
	    sizeof(expirations))
		expirations = 0;
	queue->armed = MSP_NEVER;
	while (
	    (first = TAILQ_FIRST(&queue->timers)) != NULL && first->due <= now)
		fire(queue, first, now);
	arm(queue);
}

msp_timer_queue_t *
msp_new_timer_queue(msp_loop_t *loop)
{
	msp_timer_queue_t *queue = calloc(1, sizeof(*queue));

	if (queue == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for a timer queue");
		return NULL;
	}
	TAILQ_INIT(&queue->timers);
	queue->armed = MSP_NEVER;
	queue->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (queue->fd < 0) {
		msp_fail(MSP_E_IO, "timerfd_create: %s", strerror(errno));
		free(queue);
		return NULL;
	}
	queue->watch = msp_new_watch(loop, queue->fd, handle_due_timers, queue);
	if (queue->watch == NULL) {
		free(queue);
		return NULL;
	}
	return queue;
}

void
msp_drop_timer_queue(msp_timer_queue_t *queue)
{
	msp_timer_t *timer, *next;

	if (queue == NULL)
		return;
	TAILQ_FOREACH_SAFE(timer, &queue->timers, link, next)
		timer->queue = NULL;
	msp_drop_watch(queue->watch);
	free(queue);
}

void
msp_queue_timer(msp_timer_queue_t *queue, msp_timer_t *timer)
{
	msp_timer_t *before = TAILQ_LAST(&queue->timers, msp_timer_list);

	while (before != NULL && before->due > timer->due)
		before = TAILQ_PREV(before, msp_timer_list, link);
	if (before == NULL)
		TAILQ_INSERT_HEAD(&queue->timers, timer, link);
	else
		TAILQ_INSERT_AFTER(&queue->timers, before, timer, link);
	timer->queue = queue;
	arm(queue);
}

void
msp_unqueue_timer(msp_timer_t *timer)
{
	if (timer->queue == NULL)
		return;
	if (timer->firing) {
		timer->queue->firing = NULL;
		return;
	}
	TAILQ_REMOVE(&timer->queue->timers, timer, link);
	arm(timer->queue);
	timer->queue = NULL;
}
