/*
 * Time until the members of a data centre detect that one of them has failed,
 * on the virtual clock.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gossip_net.h"

#define SEEDS 20
#define SETTLE_TIME (60 * MSP_SECOND)
#define TIMEOUT (60 * MSP_SECOND)
#define STEP (50 * MSP_MS)
#define VICTIM 5

/* How the member fails. */
typedef enum failure_kind {
	KILLED,
	UNREACHABLE,
	FROZEN
} failure_kind_t;

typedef struct detection_case {
	const char *name;
	failure_kind_t kind;
	size_t members;
	double loss; /* fraction of the messages that are lost */
} detection_case_t;

static const detection_case_t cases[] = {
    {"killed, port closed", KILLED, 4, 0},
    {"killed, port closed", KILLED, 23, 0},
    {"killed, port closed", KILLED, 23, 0.1},
    {"killed, port closed", KILLED, 128, 0},
    {"unreachable", UNREACHABLE, 4, 0},
    {"unreachable", UNREACHABLE, 23, 0},
    {"unreachable", UNREACHABLE, 23, 0.1},
    {"unreachable", UNREACHABLE, 128, 0},
    {"frozen", FROZEN, 23, 0},
};

/* Returns how many peers see the victim in `state` or a later state. */
static size_t
count_observers(const gossip_net_t *net, msp_member_state_t state)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < net->count; i++) {
		if (i != VICTIM % net->count && net->nodes[i].membership)
			count += get_observed_state(
				     net, i, VICTIM % net->count) >= state;
	}
	return count;
}

static int
compare(const void *a, const void *b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return (first > second) - (first < second);
}

static void
print_times(const char *name, double *times)
{
	qsort(times, SEEDS, sizeof(double), compare);
	printf(
	    "  %s p50 %.2f max %.2f", name, times[SEEDS / 2], times[SEEDS - 1]);
}

static void
fail_member(gossip_net_t *net, failure_kind_t kind)
{
	size_t victim = VICTIM % net->count;

	if (kind == KILLED)
		kill_gossip_node(net, victim);
	else if (kind == UNREACHABLE)
		net->nodes[victim].partition = 1;
	else
		freeze_gossip_node(net, victim);
}

static void
measure(const detection_case_t *test)
{
	double one_suspects[SEEDS];
	double all_suspect[SEEDS];
	double all_dead[SEEDS];
	uint64_t seed;

	for (seed = 0; seed < SEEDS; seed++) {
		gossip_net_t *net = new_gossip_net(test->members, seed + 1);
		size_t peers = test->members - 1;
		msp_time_t start;
		size_t i;

		net->loss_rate = test->loss;
		for (i = 0; i < test->members; i++)
			start_gossip_node(net, i);
		run_gossip_net(net, SETTLE_TIME);
		one_suspects[seed] = all_suspect[seed] = all_dead[seed] = 0;
		start = net->now;
		fail_member(net, test->kind);
		while (net->now - start < TIMEOUT && all_dead[seed] == 0) {
			double now;

			run_gossip_net(net, STEP);
			now = (double)(net->now - start) / MSP_SECOND;
			if (one_suspects[seed] == 0 &&
			    count_observers(net, MSP_MEMBER_SUSPECT) > 0)
				one_suspects[seed] = now;
			if (all_suspect[seed] == 0 &&
			    count_observers(net, MSP_MEMBER_SUSPECT) == peers)
				all_suspect[seed] = now;
			if (count_observers(net, MSP_MEMBER_DEAD) == peers)
				all_dead[seed] = now;
		}
		drop_gossip_net(net);
	}
	printf("%s, %zu members, loss %.0f%%:", test->name, test->members,
	    test->loss * 100);
	print_times("one suspects", one_suspects);
	print_times("all suspect", all_suspect);
	print_times("dead for all", all_dead);
	printf(" s\n");
	fflush(stdout);
}

int
main(void)
{
	size_t i;

	printf("seconds until a failed member is detected, %d seeds:\n", SEEDS);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		measure(&cases[i]);
	return 0;
}
