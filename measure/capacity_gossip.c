/*
 * Bytes, messages and CPU time of membership by number of members, and of
 * relays by number of data centres, on the virtual clock. Messages are encoded
 * as on the wire.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gossip_net.h"
#include "linear_fit.h"

#define SEED 1
#define SETTLE_TIMEOUT (180 * MSP_SECOND)
#define MEASURED_TIME (60 * MSP_SECOND)
#define LOAD_BYTES 64 /* each member changes its load once per second */
#define VMS_IN_PLACE 8
#define SERVICES 10
#define CREDITS_BYTES 128

typedef struct traffic {
	double bytes; /* sent per node and second, with headers */
	double max_bytes; /* of the node that sent most */
	double messages; /* sent per node and second */
	double microseconds; /* of CPU time per node and second */
} traffic_t;

/* Sets a new load on each member; it starts with the time of the change. */
static void
change_loads(gossip_net_t *net)
{
	uint8_t load[LOAD_BYTES] = {0};
	size_t i;

	memcpy(load, &net->now, sizeof(net->now));
	for (i = 0; i < net->count; i++)
		msp_set_member_load(
		    net->nodes[i].membership, load, sizeof(load));
}

static traffic_t
measure(gossip_net_t *net, bool loads)
{
	traffic_t traffic = {0};
	double seconds = (double)MEASURED_TIME / MSP_SECOND;
	double nodes = (double)net->count;
	double start;
	msp_time_t end = net->now + MEASURED_TIME;
	size_t i;

	for (i = 0; i < net->count; i++) {
		net->nodes[i].bytes_out = 0;
		net->nodes[i].messages_out = 0;
	}
	start = get_cpu_seconds();
	while (net->now < end) {
		if (loads)
			change_loads(net);
		run_gossip_net(net, MSP_SECOND);
	}
	traffic.microseconds =
	    (get_cpu_seconds() - start) * 1e6 / seconds / nodes;
	for (i = 0; i < net->count; i++) {
		double bytes = (double)net->nodes[i].bytes_out / seconds;

		traffic.bytes += bytes / nodes;
		traffic.messages +=
		    (double)net->nodes[i].messages_out / seconds / nodes;
		if (bytes > traffic.max_bytes)
			traffic.max_bytes = bytes;
	}
	return traffic;
}

static int
compare_ages(const void *a, const void *b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return (first > second) - (first < second);
}

/* Prints the ages of the loads that the members have of each other. */
static void
print_load_ages(const gossip_net_t *net)
{
	double *ages = calloc(net->count * net->count, sizeof(double));
	size_t count = 0;
	size_t i;
	size_t j;

	for (i = 0; i < net->count; i++) {
		for (j = 0; j < net->count; j++) {
			const msp_member_t *member = msp_find_member(
			    net->nodes[i].membership, net->nodes[j].name);
			msp_time_t set_at;

			if (i == j || member == NULL ||
			    member->load_len != LOAD_BYTES)
				continue;
			memcpy(&set_at, member->load, sizeof(set_at));
			ages[count++] =
			    (double)(net->now - set_at) / MSP_SECOND;
		}
	}
	qsort(ages, count, sizeof(double), compare_ages);
	if (count > 0)
		printf("    loads of others: %zu of %zu, age p50 %.1f s, "
		       "p99 %.1f s\n",
		    count, net->count * (net->count - 1), ages[count / 2],
		    ages[count * 99 / 100]);
	free(ages);
}

static gossip_net_t *
new_settled_net(size_t nodes, size_t places, size_t regions, bool relays)
{
	gossip_net_t *net = new_gossip_net(nodes, SEED);
	size_t i;

	net->with_relays = relays;
	assign_node_places(net, places, regions);
	for (i = 0; i < nodes; i++) {
		start_gossip_node(net, i);
		run_gossip_net(net, 50 * MSP_MS);
	}
	if (run_until_converged(net, SETTLE_TIMEOUT) >= SETTLE_TIMEOUT)
		printf("membership of %zu nodes did not converge\n", nodes);
	/* Longer than members go on synchronising after a change. */
	run_gossip_net(net, 3 * MEASURED_TIME);
	return net;
}

static void
measure_members(void)
{
	static const size_t sizes[] = {4, 16, 47, 128, 512};
	enum {
		COUNT = sizeof(sizes) / sizeof(sizes[0])
	};
	double x[COUNT];
	double idle[COUNT];
	double loaded[COUNT];
	double cpu[COUNT];
	size_t i;

	printf(
	    "membership of one data centre, by number of members; each sends:\n"
	    "members  idle B/s  loads B/s   max B/s  messages/s  "
	    "us CPU/s (simulation included)\n");
	for (i = 0; i < COUNT; i++) {
		gossip_net_t *net = new_settled_net(sizes[i], 1, 1, false);
		traffic_t idle_traffic = measure(net, false);
		traffic_t busy_traffic = measure(net, true);

		printf("%7zu %9.0f %10.0f %9.0f %11.1f %9.0f\n", sizes[i],
		    idle_traffic.bytes, busy_traffic.bytes,
		    busy_traffic.max_bytes, busy_traffic.messages,
		    busy_traffic.microseconds);
		print_load_ages(net);
		fflush(stdout);
		x[i] = (double)sizes[i];
		idle[i] = idle_traffic.bytes;
		loaded[i] = busy_traffic.bytes;
		cpu[i] = busy_traffic.microseconds;
		drop_gossip_net(net);
	}
	print_fit("idle", "bytes/s per member", "members", x, idle, COUNT, 47);
	print_fit(
	    "loads", "bytes/s per member", "members", x, loaded, COUNT, 47);
	print_fit("cpu", "us/s per member", "members", x, cpu, COUNT, 47);
}

/* Gives each data centre a summary with SERVICES services and credits. */
static void
fill_summaries(gossip_net_t *net)
{
	msp_summary_t own = {
	    .service_count = SERVICES,
	    .credits_len = CREDITS_BYTES,
	};
	size_t i;

	for (i = 0; i < SERVICES; i++) {
		snprintf(own.services[i].service,
		    sizeof(own.services[i].service), "service-%02zu", i);
		own.services[i].slots = 90;
		own.services[i].slots_free = (uint32_t)i;
	}
	for (i = 0; i < net->count; i++)
		msp_set_own_summary(net->nodes[i].relay, &own);
}

/*
 * Prints the ages that the summaries of other data centres have on all nodes:
 * those of the node's region, or those of other regions.
 */
static void
print_summary_ages(const gossip_net_t *net, bool own_region)
{
	double *ages = calloc(net->count * MSP_PLACES_MAX, sizeof(double));
	size_t count = 0;
	size_t i;
	size_t j;

	for (i = 0; i < net->count; i++) {
		const gossip_node_t *node = &net->nodes[i];

		for (j = 0; j < msp_summary_count(node->relay); j++) {
			const msp_summary_t *summary =
			    msp_summary_at(node->relay, j);

			if (strcmp(summary->place, node->place) != 0 &&
			    (strcmp(summary->region, node->region) == 0) ==
				own_region)
				ages[count++] =
				    (double)msp_summary_age(summary, net->now) /
				    MSP_SECOND;
		}
	}
	qsort(ages, count, sizeof(double), compare_ages);
	if (count > 0)
		printf("    %s: %zu summaries, age p50 %.1f s, p99 %.1f s\n",
		    own_region ? "own region" : "other regions", count,
		    ages[count / 2], ages[count * 99 / 100]);
	free(ages);
}

static void
measure_places(void)
{
	static const size_t places[] = {4, 16, 62};
	static const size_t regions[] = {2, 4, 16};
	enum {
		COUNT = sizeof(places) / sizeof(places[0])
	};
	double x[COUNT];
	double bytes[COUNT];
	double cpu[COUNT];
	size_t i;

	printf("membership and relays, by number of data centres of %d VMs:\n"
	       "places  B/s   max B/s  messages/s  us CPU/s  largest message\n",
	    VMS_IN_PLACE);
	for (i = 0; i < COUNT; i++) {
		gossip_net_t *net = new_settled_net(
		    places[i] * VMS_IN_PLACE, places[i], regions[i], true);
		traffic_t traffic;

		fill_summaries(net);
		run_gossip_net(net, MEASURED_TIME);
		traffic = measure(net, true);
		printf("%6zu %5.0f %9.0f %11.1f %9.0f %12zu\n", places[i],
		    traffic.bytes, traffic.max_bytes, traffic.messages,
		    traffic.microseconds, net->largest_message);
		print_summary_ages(net, true);
		print_summary_ages(net, false);
		fflush(stdout);
		x[i] = (double)places[i];
		bytes[i] = traffic.bytes;
		cpu[i] = traffic.microseconds;
		drop_gossip_net(net);
	}
	print_fit("bytes", "bytes/s per member", "places", x, bytes, COUNT, 62);
	print_fit("cpu", "us/s per member", "places", x, cpu, COUNT, 62);
}

int
main(void)
{
	printf("seed %d, %d s each\n", SEED, (int)(MEASURED_TIME / MSP_SECOND));
	measure_members();
	measure_places();
	return 0;
}
