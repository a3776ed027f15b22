#ifndef MONSOONSPINDLE_NET_SOCKET_H
#define MONSOONSPINDLE_NET_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "monsoonspindle/base/status.h"

/*
 * Opens a non-blocking listening TCP socket on an IPv4 address. Sets *bound to
 * its port. Returns -1 on failure, with the reason in msp_last_message().
 */
int msp_listen_tcp(const char *address, uint16_t port, uint16_t *bound);

/* The same for a UDP socket, which also reports ICMP errors (IP_RECVERR). */
int msp_bind_udp(const char *address, uint16_t port, uint16_t *bound);

/*
 * Sets the options that detect dead peers, which are keep-alive and a limit on
 * the time for which sent data may stay unacknowledged, and TCP_NODELAY.
 */
void msp_set_tcp_options(int fd);

/*
 * Returns a number that no other socket of the machine has had since it was
 * started; 0 if the kernel gives none.
 */
uint64_t msp_get_socket_cookie(int fd);

/* Whether there is nothing left to read and the peer has closed its side. */
bool msp_is_socket_at_eof(int fd);

#endif
