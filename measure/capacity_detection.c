/*
 * How soon the members of a data centre notice that one is gone, and what it
 * costs them, on the virtual clock.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gossip_net.h"

#define SEEDS 20
#define SETTLE_TIME (60 * MSP_SECOND)
#define BOUND (60 * MSP_SECOND)
#define STEP (50 * MSP_MS)
#define VICTIM 5

/* How the member goes. */
typedef enum loss_kind {
	KILLED,
	UNREACHABLE,
	FROZEN
} loss_kind_t;

typedef struct detection_case {
	const char *what;
	loss_kind_t kind;
	size_t members;
	double loss;
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

/* Peers that hold the victim to be at least in `state`. */
static size_t
count_at_least(const gossip_net_t *net, msp_member_state_t state)
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
print_times(const char *what, double *times)
{
	qsort(times, SEEDS, sizeof(double), compare);
	printf(
	    "  %s p50 %.2f max %.2f", what, times[SEEDS / 2], times[SEEDS - 1]);
}

static void
lose(gossip_net_t *net, loss_kind_t kind)
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
measure(const detection_case_t *row)
{
	double first[SEEDS];
	double all[SEEDS];
	double dead[SEEDS];
	uint64_t seed;

	for (seed = 0; seed < SEEDS; seed++) {
		gossip_net_t *net = new_gossip_net(row->members, seed + 1);
		size_t peers = row->members - 1;
		msp_time_t start;
		size_t i;

		net->loss_rate = row->loss;
		for (i = 0; i < row->members; i++)
			start_gossip_node(net, i);
		run_gossip_net(net, SETTLE_TIME);
		first[seed] = all[seed] = dead[seed] = 0;
		start = net->now;
		lose(net, row->kind);
		while (net->now - start < BOUND && dead[seed] == 0) {
			double now;

			run_gossip_net(net, STEP);
			now = (double)(net->now - start) / MSP_SECOND;
			if (first[seed] == 0 &&
			    count_at_least(net, MSP_MEMBER_SUSPECT) > 0)
				first[seed] = now;
			if (all[seed] == 0 &&
			    count_at_least(net, MSP_MEMBER_SUSPECT) == peers)
				all[seed] = now;
			if (count_at_least(net, MSP_MEMBER_DEAD) == peers)
				dead[seed] = now;
		}
		drop_gossip_net(net);
	}
	printf("%s, %zu members, loss %.0f%%:", row->what, row->members,
	    row->loss * 100);
	print_times("first suspects", first);
	print_times("all suspect", all);
	print_times("dead to all", dead);
	printf(" s\n");
	fflush(stdout);
}

int
main(void)
{
	size_t i;

	printf("seconds until a lost member is noticed, %d seeds:\n", SEEDS);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		measure(&cases[i]);
	return 0;
}
