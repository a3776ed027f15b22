#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <netinet/in.h>

#include "free_port.h"
#include "soak_private.h"

/*
 * Links between each VM and each target. The links of one VM can be cut
 * without those of the others: each VM has an address of its own for them, to
 * which the library in tests/preload diverts its connections.
 */

#define LINK_ADDRESS(vm) (INADDR_LOOPBACK + 10 + (vm))
/* Connections that fill the queue of a listener that is paused. */
#define FILLERS 2

typedef struct soak_link {
	soak_vm_t *vm;
	soak_target_t *target;
	soak_stream_t listener;
	int fillers[FILLERS]; /* -1: none */
} soak_link_t;

static void
handle_accept(void *ctx, int fd)
{
	soak_link_t *link = ctx;
	soak_t *soak = link->vm->soak;
	int to = connect_soak_socket(
	    link->target->port, soak->profile->small_windows);

	if (to < 0) {
		/* The target does not run. */
		close(fd);
		return;
	}
	open_soak_pair(link->vm, fd, to);
}

static int
open_listener(soak_link_t *link)
{
	int fd = listen_soak_address(
	    LINK_ADDRESS(link->vm->index), link->target->link_port, false);

	if (fd < 0)
		return -1;
	link->listener.on_accept = handle_accept;
	link->listener.ctx = link;
	open_soak_stream(link->vm->soak->loop, &link->listener, fd);
	return 0;
}

/* Lets later connections time out. */
static void
fill_listener(soak_link_t *link)
{
	unsigned int i;

	pause_soak_listener(&link->listener);
	for (i = 0; i < FILLERS; i++)
		link->fillers[i] =
		    connect_soak_address(LINK_ADDRESS(link->vm->index),
			link->target->link_port, false);
}

static void
close_fillers(soak_link_t *link)
{
	unsigned int i;

	for (i = 0; i < FILLERS; i++) {
		if (link->fillers[i] >= 0)
			close(link->fillers[i]);
		link->fillers[i] = -1;
	}
}

bool
has_soak_links(const soak_t *soak)
{
	return soak->profile->link_delay_ms > 0 ||
	    soak->profile->cut_ways != 0 || soak->profile->pausing > 0 ||
	    soak->profile->quiet_drains > 0;
}

void
print_soak_link_address(const soak_vm_t *vm, char *text, size_t size)
{
	uint32_t address = LINK_ADDRESS(vm->index);

	snprintf(text, size, "127.0.0.%u", address & 0xff);
}

static soak_link_t *
find_link(const soak_vm_t *vm, unsigned int target)
{
	soak_t *soak = vm->soak;

	return &soak->links[vm->index * soak->options->targets + target];
}

static int
open_link(soak_link_t *link, soak_vm_t *vm, soak_target_t *target)
{
	*link = (soak_link_t){.vm = vm,
	    .target = target,
	    .listener = {.fd = -1},
	    .fillers = {-1, -1}};
	return open_listener(link);
}

static int
allocate_links(soak_t *soak)
{
	size_t count = (size_t)soak->options->vms * soak->options->targets;
	size_t i;

	if (soak->links != NULL)
		return 0;
	soak->links = calloc(count, sizeof(*soak->links));
	if (soak->links == NULL)
		return -1;
	for (i = 0; i < count; i++)
		soak->links[i].listener.fd = -1;
	return 0;
}

int
open_soak_links(soak_target_t *target)
{
	soak_t *soak = target->soak;
	soak_vm_t *vm;
	unsigned int i;

	target->link_port = target->port;
	if (!has_soak_links(soak))
		return 0;
	target->link_port = pick_free_port();
	if (allocate_links(soak) != 0)
		return -1;
	for (i = 0; i < soak->options->vms; i++) {
		vm = &soak->vms[i];
		vm->soak = soak;
		vm->index = i;
		if (open_link(find_link(vm, target->index), vm, target) != 0)
			return -1;
	}
	return 0;
}

static bool
resets_open_connections(soak_cut_t way)
{
	return way == SOAK_CUT_RESET;
}

static bool
refuses_connections(soak_cut_t way)
{
	return way == SOAK_CUT_RESET || way == SOAK_CUT_NEW_RESET;
}

void
cut_soak_links(soak_vm_t *vm, soak_cut_t way, msp_time_t until)
{
	unsigned int i;

	for (i = 0; i < vm->soak->options->targets; i++) {
		if (refuses_connections(way))
			close_soak_stream(&find_link(vm, i)->listener);
		else
			fill_listener(find_link(vm, i));
	}
	if (resets_open_connections(way))
		reset_soak_pairs(vm);
	if (way == SOAK_CUT_HANG)
		vm->silent_until = until;
	vm->cut = way;
}

void
join_soak_links(soak_vm_t *vm)
{
	soak_link_t *link;
	unsigned int i;

	for (i = 0; i < vm->soak->options->targets; i++) {
		link = find_link(vm, i);
		close_fillers(link);
		if (!refuses_connections(vm->cut))
			resume_soak_listener(&link->listener);
		else if (open_listener(link) != 0)
			abort();
	}
	vm->silent_until = 0;
	vm->cut = SOAK_WHOLE;
}

void
close_soak_links(soak_t *soak)
{
	size_t count = (size_t)soak->options->vms * soak->options->targets;
	size_t i;

	close_soak_pairs(soak);
	if (soak->links == NULL)
		return;
	for (i = 0; i < count; i++) {
		if (soak->links[i].listener.fd < 0)
			continue;
		close_fillers(&soak->links[i]);
		close_soak_stream(&soak->links[i].listener);
	}
	free(soak->links);
	soak->links = NULL;
}
