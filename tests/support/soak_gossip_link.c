#include <arpa/inet.h>
#include <string.h>

#include <sys/socket.h>

#include "soak_private.h"

/*
 * The messages of VMs to each other's link. A VM has one peer port, for UDP and
 * TCP, and tells it to the others. On their way the ports in messages are
 * replaced, so that each VM knows its own port and the links of the others.
 */

#define MESSAGE_MAX 65536 /* bytes */
#define XDR_UNIT 4 /* bytes */

/* Replaces the integers of this value. */
static void
replace_port(char *data, size_t len, uint16_t from, uint16_t to)
{
	uint32_t before = htonl(from);
	uint32_t after = htonl(to);
	size_t at;

	for (at = 0; at + XDR_UNIT <= len; at += XDR_UNIT) {
		if (memcmp(data + at, &before, XDR_UNIT) == 0)
			memcpy(data + at, &after, XDR_UNIT);
	}
}

static soak_vm_t *
find_sender(soak_t *soak, const struct sockaddr_in *from)
{
	unsigned int i;

	for (i = 0; i < soak->options->vms; i++) {
		if (soak->vms[i].peer == ntohs(from->sin_port))
			return &soak->vms[i];
	}
	return NULL;
}

/* Passes a message on from the sender's link, to which the answer goes. */
static void
forward(const soak_vm_t *sender, const soak_vm_t *to, char *data, size_t len)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(to->peer),
	    .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};

	replace_port(data, len, sender->peer, sender->peer_link_port);
	replace_port(data, len, to->peer_link_port, to->peer);
	sendto(sender->gossip_link.fd, data, len, 0,
	    (const struct sockaddr *)&address, sizeof(address));
}

static void
handle_datagram(void *ctx)
{
	static char data[MESSAGE_MAX];
	const soak_vm_t *vm = ctx;
	struct sockaddr_in from = {0};
	socklen_t from_len = sizeof(from);
	const soak_vm_t *sender;
	ssize_t len;

	len = recvfrom(vm->gossip_link.fd, data, sizeof(data), 0,
	    (struct sockaddr *)&from, &from_len);
	if (len <= 0)
		return;
	sender = find_sender(vm->soak, &from);
	if (sender != NULL && sender != vm)
		forward(sender, vm, data, (size_t)len);
}

int
open_soak_gossip_link(soak_vm_t *vm)
{
	int fd = open_soak_datagram_socket(vm->peer_link_port);

	if (fd < 0)
		return -1;
	vm->gossip_link.on_datagram = handle_datagram;
	vm->gossip_link.ctx = vm;
	open_soak_stream(vm->soak->loop, &vm->gossip_link, fd);
	return 0;
}
