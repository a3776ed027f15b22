#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <unistd.h>

#include <sys/wait.h>

#include <cmocka.h>

#include "free_port.h"

/*
 * Free ports are picked for processes that bind them later. Tests run at the
 * same time, so two of them must not pick the same port.
 */

#define PICKERS 8
#define PORTS_EACH 100
#define PORT_COUNT 65536

typedef struct picker {
	pid_t pid;
	int ports[2]; /* pipe: the ports picked */
	int end[2]; /* pipe: closed when all have picked */
} picker_t;

static void
pick_ports(const picker_t *picker)
{
	uint16_t ports[PORTS_EACH];
	char byte;
	int i;

	close(picker->end[1]);
	for (i = 0; i < PORTS_EACH; i++)
		ports[i] = pick_free_port();
	/* Its ports are reserved until this process exits. */
	if (write(picker->ports[1], ports, sizeof(ports)) == sizeof(ports))
		(void)!read(picker->end[0], &byte, 1);
	_exit(0);
}

static void
start_picker(picker_t *picker)
{
	assert_int_equal(pipe(picker->ports), 0);
	assert_int_equal(pipe(picker->end), 0);
	picker->pid = fork();
	assert_true(picker->pid >= 0);
	if (picker->pid == 0)
		pick_ports(picker);
	close(picker->ports[1]);
	close(picker->end[0]);
}

static void
no_port_is_picked_by_two_processes(void **state)
{
	static unsigned char seen[PORT_COUNT];
	picker_t pickers[PICKERS];
	uint16_t ports[PORTS_EACH];
	int duplicates = 0;
	int i;
	int k;

	(void)state;
	for (i = 0; i < PICKERS; i++)
		start_picker(&pickers[i]);
	for (i = 0; i < PICKERS; i++) {
		assert_int_equal(
		    read(pickers[i].ports[0], ports, sizeof(ports)),
		    sizeof(ports));
		for (k = 0; k < PORTS_EACH; k++) {
			assert_int_not_equal(ports[k], 0);
			duplicates += seen[ports[k]]++ != 0;
		}
	}
	for (i = 0; i < PICKERS; i++) {
		close(pickers[i].end[1]);
		close(pickers[i].ports[0]);
	}
	for (i = 0; i < PICKERS; i++)
		waitpid(pickers[i].pid, NULL, 0);
	assert_int_equal(duplicates, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(no_port_is_picked_by_two_processes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
