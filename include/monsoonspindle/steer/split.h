#ifndef MONSOONSPINDLE_STEER_SPLIT_H
#define MONSOONSPINDLE_STEER_SPLIT_H

#include "monsoonspindle/config/route_table.h"

/*
 * Divides the requests of each route among its services by their weights, by
 * smooth weighted round robin: after any number of requests each service is
 * within one request of its share.
 */
typedef struct msp_split msp_split_t;

/* Returns NULL without memory. */
msp_split_t *msp_new_split(void);
void msp_drop_split(msp_split_t *split);

/* The service of the route's next request; borrowed from the route. */
const char *msp_split_request(
    msp_split_t *split, const msp_path_route_t *route);

#endif
