#ifndef SUPPORT_SOAK_LOOP_H
#define SUPPORT_SOAK_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/buffer.h"
#include "monsoonspindle/base/env.h"

/*
 * Event loop, timers and sockets of the soak. It shares nothing with the loop
 * of the daemon, so that a fault there cannot hide itself.
 */

typedef struct soak_loop soak_loop_t;

/* Zero-initialise it and set `fire` and `ctx`. */
typedef struct soak_timer {
	void (*fire)(void *ctx);
	void *ctx;
	msp_time_t due;
	size_t slot; /* in the heap, from 1; 0 while not set */
} soak_timer_t;

/* A connection. Zero-initialise it and set the callback. */
typedef struct soak_stream {
	soak_loop_t *loop;
	/*
	 * Called after bytes were appended to `in`, and with `closed` when the
	 * peer has closed or reset the connection. May close the stream.
	 */
	void (*on_input)(void *ctx, bool closed);
	void *ctx;
	void (*on_accept)(void *ctx, int fd); /* of listeners */
	void (*on_datagram)(void *ctx); /* of datagram sockets: reads them */
	msp_buffer_t in;
	msp_buffer_t out; /* not written yet */
	int fd; /* -1 while closed */
	bool close_after_output;
} soak_stream_t;

soak_loop_t *new_soak_loop(uint64_t seed);
void drop_soak_loop(soak_loop_t *loop);
msp_time_t soak_now(void);

/* Handles what is due, and waits for at most `wait_ms`. */
void step_soak_loop(soak_loop_t *loop, int wait_ms);

void set_soak_timer(soak_loop_t *loop, soak_timer_t *timer, msp_time_t due);
void clear_soak_timer(soak_loop_t *loop, soak_timer_t *timer);

/* Seeded random numbers. */
uint64_t soak_random(soak_loop_t *loop, uint64_t bound);
bool soak_chance(soak_loop_t *loop, double probability);
msp_time_t soak_between(soak_loop_t *loop, msp_time_t low, msp_time_t high);

/* Exponentially distributed, at `per_second` on average. */
msp_time_t soak_interval(soak_loop_t *loop, double per_second);

/* Takes over a connected, connecting or listening socket. */
void open_soak_stream(soak_loop_t *loop, soak_stream_t *stream, int fd);
void send_soak_data(soak_stream_t *stream, const void *data, size_t len);
void close_soak_stream(soak_stream_t *stream);
void reset_soak_stream(soak_stream_t *stream);
void finish_soak_stream(soak_stream_t *stream); /* once all is written */

/* A listener that is paused accepts nothing; its queue becomes short. */
void pause_soak_listener(soak_stream_t *stream);
void resume_soak_listener(soak_stream_t *stream);

/* Return a socket on loopback, or -1. */
int connect_soak_socket(uint16_t port, bool small_window);
int listen_soak_socket(uint16_t port, bool small_window);
int open_soak_datagram_socket(uint16_t port);

/* The same for any IPv4 address, in host byte order. */
int connect_soak_address(uint32_t address, uint16_t port, bool small_window);
int listen_soak_address(uint32_t address, uint16_t port, bool small_window);

/* Return the port of a connected socket's own end or of its peer's, or 0. */
uint16_t soak_own_port(int fd);
uint16_t soak_peer_port(int fd);

#endif
