#include "monsoonspindle/steer/latency_model.h"

#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/map.h"

/* Weights of a new sample in the moving means. */
#define SAMPLE_WEIGHT 0.1
#define DELAY_WEIGHT 0.05
/* Number of samples up to which the plain mean is used. */
#define FEW_SAMPLES 8

/* Service time as a multiple of the route's objective, until measured. */
static const double default_factors[MSP_WARMTH_COUNT] = {
    [MSP_WARM] = 0.4,
    [MSP_LIKELY_WARM] = 0.8,
    [MSP_UNLIKELY_WARM] = 1.6,
};

static const char *const warmth_names[MSP_WARMTH_COUNT] = {
    [MSP_WARM] = "warm",
    [MSP_LIKELY_WARM] = "likely",
    [MSP_UNLIKELY_WARM] = "unlikely",
};

/* An exponential moving mean that starts as a plain mean. */
typedef struct mean {
	double value; /* microseconds */
	unsigned int count;
} mean_t;

typedef struct route_latency {
	mean_t service_time[MSP_WARMTH_COUNT];
} route_latency_t;

struct msp_latency_model {
	msp_time_t default_remote_delay;
	msp_map_t *routes; /* route_latency_t by route name */
	msp_map_t *delays; /* mean_t by region */
	msp_map_t *services; /* mean_t of the service time, by service */
};

const char *
msp_warmth_name(msp_warmth_t warmth)
{
	return warmth_names[warmth];
}

msp_latency_model_t *
msp_new_latency_model(msp_time_t default_remote_delay)
{
	msp_latency_model_t *model = calloc(1, sizeof(*model));

	if (model == NULL)
		return NULL;
	model->default_remote_delay = default_remote_delay;
	model->routes = msp_new_map();
	model->delays = msp_new_map();
	model->services = msp_new_map();
	if (model->routes != NULL && model->delays != NULL &&
	    model->services != NULL)
		return model;
	msp_drop_latency_model(model);
	return NULL;
}

void
msp_drop_latency_model(msp_latency_model_t *model)
{
	if (model == NULL)
		return;
	msp_drop_map_and_values(model->routes);
	msp_drop_map_and_values(model->delays);
	msp_drop_map_and_values(model->services);
	free(model);
}

static void
add_sample(mean_t *mean, double value, double weight)
{
	mean->count++;
	if (mean->count <= FEW_SAMPLES)
		weight = 1.0 / mean->count;
	mean->value += (value - mean->value) * weight;
}

static msp_time_t
get_remote_delay(const msp_latency_model_t *model, const char *region)
{
	const mean_t *delay;

	if (region == NULL)
		return 0;
	delay = msp_map_get(model->delays, region);
	if (delay == NULL || delay->count == 0)
		return model->default_remote_delay;
	return (msp_time_t)delay->value;
}

msp_time_t
msp_predict_service_time(const msp_latency_model_t *model,
    const msp_path_route_t *route, msp_warmth_t warmth)
{
	const route_latency_t *latency =
	    msp_map_get(model->routes, route->name);

	if (latency != NULL && latency->service_time[warmth].count > 0)
		return (msp_time_t)latency->service_time[warmth].value;
	return (msp_time_t)(default_factors[warmth] * (double)route->goal_ms *
	    (double)MSP_MS);
}

msp_time_t
msp_predict_latency(const msp_latency_model_t *model,
    const msp_path_route_t *route, msp_warmth_t warmth, const char *region)
{
	return msp_predict_service_time(model, route, warmth) +
	    get_remote_delay(model, region);
}

msp_time_t
msp_mean_service_time(const msp_latency_model_t *model, const char *service)
{
	const mean_t *mean = msp_map_get(model->services, service);

	return mean == NULL ? 0 : (msp_time_t)mean->value;
}

static void
record_delay(msp_latency_model_t *model, const msp_path_route_t *route,
    msp_warmth_t warmth, const char *region, msp_time_t took)
{
	const route_latency_t *latency =
	    msp_map_get(model->routes, route->name);
	mean_t *delay;
	double extra;

	if (latency == NULL ||
	    latency->service_time[warmth].count < FEW_SAMPLES)
		return;
	delay = msp_map_get_or_add(model->delays, region, sizeof(*delay));
	if (delay == NULL)
		return;
	extra = (double)took - latency->service_time[warmth].value;
	if (extra < 0)
		extra = 0;
	/* Service times vary far more than the delay: limit outliers. */
	if (extra > 2.0 * (double)model->default_remote_delay)
		extra = 2.0 * (double)model->default_remote_delay;
	add_sample(delay, extra, DELAY_WEIGHT);
}

void
msp_record_latency(msp_latency_model_t *model, const msp_path_route_t *route,
    const char *service, msp_warmth_t warmth, const char *region,
    msp_time_t took)
{
	msp_time_t delay;
	msp_time_t service_time;
	route_latency_t *latency;
	mean_t *mean;

	if (region != NULL)
		record_delay(model, route, warmth, region, took);
	delay = get_remote_delay(model, region);
	service_time = took > delay ? took - delay : 0;
	latency =
	    msp_map_get_or_add(model->routes, route->name, sizeof(*latency));
	/* Samples of other regions include an estimated delay. */
	if (latency != NULL && region == NULL)
		add_sample(&latency->service_time[warmth], (double)service_time,
		    SAMPLE_WEIGHT);
	mean = msp_map_get_or_add(model->services, service, sizeof(*mean));
	if (mean != NULL)
		add_sample(mean, (double)service_time, SAMPLE_WEIGHT);
}
