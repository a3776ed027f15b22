#ifndef MONSOONSPINDLE_STEER_TRAFFIC_SPLIT_H
#define MONSOONSPINDLE_STEER_TRAFFIC_SPLIT_H

#include "monsoonspindle/config/route_table.h"

/*
 * Splits the requests of each route among its services in proportion to their
 * weights, by smooth weighted round robin: after any number of requests each
 * service is within one request of its share.
 */
typedef struct msp_traffic_split msp_traffic_split_t;

/* Returns NULL if out of memory. */
msp_traffic_split_t *msp_new_traffic_split(void);
void msp_drop_traffic_split(msp_traffic_split_t *split);

/* Returns the service of the route's next request, borrowed from `route`. */
const char *msp_pick_service(
    msp_traffic_split_t *split, const msp_path_route_t *route);

#endif
