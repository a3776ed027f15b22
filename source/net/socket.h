#ifndef MONSOONSPINDLE_NET_SOCKET_H
#define MONSOONSPINDLE_NET_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

/*
 * Opens a listening TCP socket, not blocking, on an IP number. Fills *port with
 * the port bound. Returns -1 with a last message.
 */
int msp_listen_tcp(const char *address, uint16_t port, uint16_t *bound);

/* The same for a UDP socket. */
int msp_bind_udp(const char *address, uint16_t port, uint16_t *bound);

/*
 * Finds out dead peers: keep-alive, and a bound on how long written bytes may
 * stay unacknowledged. No delay of small writes.
 */
void msp_set_tcp_options(int fd);

/* Bytes received and sent over a TCP socket since it was opened. */
void msp_get_tcp_byte_counts(int fd, uint64_t *received, uint64_t *sent);

/* Whether a connection holds nothing but its end: the peer has closed it. */
bool msp_is_socket_at_eof(int fd);

#endif
