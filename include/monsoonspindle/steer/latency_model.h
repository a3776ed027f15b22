#ifndef MONSOONSPINDLE_STEER_LATENCY_MODEL_H
#define MONSOONSPINDLE_STEER_LATENCY_MODEL_H

#include <stdbool.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/config/route_table.h"

/* How likely a target has the object of a request cached in memory. */
typedef enum msp_warmth {
	MSP_WARM, /* it recently responded to this VM for the object */
	MSP_LIKELY_WARM, /* it is the first in the ranking for the object */
	MSP_UNLIKELY_WARM,
	MSP_WARMTH_COUNT
} msp_warmth_t;

/* "warm", "likely" or "unlikely". */
const char *msp_warmth_name(msp_warmth_t warmth);

/*
 * Predicts latency from complete responses: the service time for each route and
 * warmth, and the delay that each other region adds. Until there are samples, a
 * multiple of the route's latency objective is used.
 */
typedef struct msp_latency_model msp_latency_model_t;

/*
 * `default_remote_delay` is the delay that another region adds until it has
 * been measured. Returns NULL if out of memory.
 */
msp_latency_model_t *msp_new_latency_model(msp_time_t default_remote_delay);
void msp_drop_latency_model(msp_latency_model_t *model);

/* Without queueing; `region` is NULL for this VM's own region. */
msp_time_t msp_predict_latency(const msp_latency_model_t *model,
    const msp_path_route_t *route, msp_warmth_t warmth, const char *region);

/* How long the request occupies a slot of the target. */
msp_time_t msp_predict_service_time(const msp_latency_model_t *model,
    const msp_path_route_t *route, msp_warmth_t warmth);

/* Moving mean over all recent requests of a service; 0: not known. */
msp_time_t msp_mean_service_time(
    const msp_latency_model_t *model, const char *service);

/* Records a complete response to a request that is not known to have queued. */
void msp_record_latency(msp_latency_model_t *model,
    const msp_path_route_t *route, const char *service, msp_warmth_t warmth,
    const char *region, msp_time_t took);

#endif
