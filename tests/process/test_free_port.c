#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <unistd.h>

#include <sys/wait.h>

#include <cmocka.h>

#include "free_port.h"

/* Ports that tests give to processes which bind them later. */

#define DRAWERS 8
#define DRAWN 100
#define PORTS 65536

typedef struct drawer {
	pid_t pid;
	int ports[2]; /* pipe: what was drawn */
	int end[2]; /* pipe: closed when all have drawn */
} drawer_t;

static void
draw_ports(const drawer_t *drawer)
{
	uint16_t ports[DRAWN];
	char byte;
	int i;

	close(drawer->end[1]);
	for (i = 0; i < DRAWN; i++)
		ports[i] = pick_free_port();
	if (write(drawer->ports[1], ports, sizeof(ports)) == sizeof(ports))
		(void)!read(drawer->end[0], &byte, 1);
	_exit(0);
}

static void
start_drawer(drawer_t *drawer)
{
	assert_int_equal(pipe(drawer->ports), 0);
	assert_int_equal(pipe(drawer->end), 0);
	drawer->pid = fork();
	assert_true(drawer->pid >= 0);
	if (drawer->pid == 0)
		draw_ports(drawer);
	close(drawer->ports[1]);
	close(drawer->end[0]);
}

static void
no_port_is_drawn_by_two_processes(void **state)
{
	static unsigned char seen[PORTS];
	drawer_t drawers[DRAWERS];
	uint16_t ports[DRAWN];
	int twice = 0;
	int i;
	int at;

	(void)state;
	for (i = 0; i < DRAWERS; i++)
		start_drawer(&drawers[i]);
	for (i = 0; i < DRAWERS; i++) {
		assert_int_equal(
		    read(drawers[i].ports[0], ports, sizeof(ports)),
		    sizeof(ports));
		for (at = 0; at < DRAWN; at++) {
			assert_int_not_equal(ports[at], 0);
			twice += seen[ports[at]]++ != 0;
		}
	}
	for (i = 0; i < DRAWERS; i++) {
		close(drawers[i].end[1]);
		close(drawers[i].ports[0]);
	}
	for (i = 0; i < DRAWERS; i++)
		waitpid(drawers[i].pid, NULL, 0);
	assert_int_equal(twice, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(no_port_is_drawn_by_two_processes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
