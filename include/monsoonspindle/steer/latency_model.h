#ifndef MONSOONSPINDLE_STEER_LATENCY_MODEL_H
#define MONSOONSPINDLE_STEER_LATENCY_MODEL_H

#include <stdbool.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/config/route_table.h"

/* Whether a target still holds the object of a request in its memory. */
typedef enum msp_warmth {
	MSP_WARM, /* this VM had it answered there a short time ago */
	MSP_LIKELY_WARM, /* it is the first choice of its region for it */
	MSP_UNLIKELY_WARM,
	MSP_WARMTH_COUNT
} msp_warmth_t;

/* "warm", "likely" or "unlikely". */
const char *msp_warmth_name(msp_warmth_t warmth);

/*
 * What latency to expect, learned from whole answers: for each route by
 * warmth, and for each other region the time that the way there adds. Until
 * there are answers, multiples of the route's objective stand in.
 */
typedef struct msp_latency_model msp_latency_model_t;

/* `far_prior`: what the way to another region adds until it is known. */
msp_latency_model_t *msp_new_latency_model(msp_time_t far_prior);
void msp_drop_latency_model(msp_latency_model_t *book);

/* Without waiting; `region` is NULL for this VM's own. */
msp_time_t msp_predict_latency(const msp_latency_model_t *book,
    const msp_path_route_t *route, msp_warmth_t warmth, const char *region);

/* The target's own part of it: how long a slot is taken. */
msp_time_t msp_predict_service_time(const msp_latency_model_t *book,
    const msp_path_route_t *route, msp_warmth_t warmth);

/* Mean of all recent work of a service; 0: not known. */
msp_time_t msp_mean_service_time(
    const msp_latency_model_t *book, const char *service);

/* A whole answer that, as far as is known, did not wait for a slot. */
void msp_record_latency(msp_latency_model_t *book,
    const msp_path_route_t *route, const char *service, msp_warmth_t warmth,
    const char *region, msp_time_t took);

#endif
