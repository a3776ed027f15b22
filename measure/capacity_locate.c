/* CPU time of a lookup of entry VMs, by data centres and by members. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gossip_net.h"
#include "linear_fit.h"
#include "monsoonspindle/steer.h"

#define SEED 1
#define SETTLE_TIME (180 * MSP_SECOND)
#define LOOKUPS 50000

typedef struct size_case {
	size_t places;
	size_t regions;
	size_t members; /* per place */
} size_case_t;

static const size_case_t size_cases[] = {
    {4, 2, 4},
    {16, 4, 4},
    {62, 16, 4},
    {4, 2, 16},
    {4, 2, 47},
};

/* Returns the CPU time of a lookup in microseconds. */
static double
measure(const size_case_t *size)
{
	gossip_net_t *net = new_gossip_net(size->places * size->members, SEED);
	msp_lookup_result_t result = {0};
	char client[MSP_MEMBER_ADDRESS_SIZE];
	double start;
	double us_per_lookup;
	size_t i;

	net->with_relays = true;
	assign_node_places(net, size->places, size->regions);
	for (i = 0; i < net->count; i++) {
		start_gossip_node(net, i);
		run_gossip_net(net, 50 * MSP_MS);
	}
	run_gossip_net(net, SETTLE_TIME);
	start = get_cpu_seconds();
	for (i = 0; i < LOOKUPS; i++) {
		msp_lookup_t lookup = {
		    .service = "records-vault",
		    .client = client,
		};

		snprintf(client, sizeof(client), "10.%zu.%zu.%zu", i >> 16,
		    i >> 8 & 255, i & 255);
		if (msp_locate_entries(net->nodes[0].membership,
			net->nodes[0].relay, &lookup, &result) != MSP_OK) {
			fprintf(stderr, "%s\n", msp_last_message());
			exit(1);
		}
	}
	us_per_lookup = (get_cpu_seconds() - start) * 1e6 / LOOKUPS;
	printf("%6zu %8zu %11.2f %12.0f %8zu\n", size->places, size->members,
	    us_per_lookup, 1e6 / us_per_lookup, result.count);
	fflush(stdout);
	drop_gossip_net(net);
	return us_per_lookup;
}

int
main(void)
{
	double places[] = {4, 16, 62};
	double by_places[3];
	double members[] = {4, 16, 47};
	double by_members[3];
	size_t i;

	printf("lookups of entry VMs, seed %d:\n"
	       "places  members   us/lookup   lookups/s  entries\n",
	    SEED);
	for (i = 0; i < 3; i++)
		by_places[i] = measure(&size_cases[i]);
	by_members[0] = by_places[0];
	for (i = 1; i < 3; i++)
		by_members[i] = measure(&size_cases[i + 2]);
	print_fit("lookup", "us", "places", places, by_places, 3, 62);
	print_fit("lookup", "us", "members", members, by_members, 3, 47);
	return 0;
}
