#include "monsoonspindle/steer/latency_model.h"

#include <stdlib.h>
#include <string.h>

#include "monsoonspindle/base/map.h"

#define LEARN_WEIGHT 0.1
#define TRIP_WEIGHT 0.05
#define FEW_SAMPLES 8 /* up to here a sample weighs one over their number */

/* Multiples of a route's objective that stand in for what is not known. */
static const double priors[MSP_WARMTH_COUNT] = {
    [MSP_WARM] = 0.4,
    [MSP_LIKELY_WARM] = 0.8,
    [MSP_UNLIKELY_WARM] = 1.6,
};

static const char *const warmth_names[MSP_WARMTH_COUNT] = {
    [MSP_WARM] = "warm",
    [MSP_LIKELY_WARM] = "likely",
    [MSP_UNLIKELY_WARM] = "unlikely",
};

/* A moving mean that starts as a plain one. */
typedef struct mean {
	double value; /* microseconds */
	unsigned int count;
} mean_t;

typedef struct route_latency {
	mean_t work[MSP_WARMTH_COUNT];
} route_latency_t;

struct msp_latency_model {
	msp_time_t far_prior;
	msp_map_t *routes; /* route_latency_t by route name */
	msp_map_t *trips; /* mean_t by region */
	msp_map_t *services; /* mean_t by service */
};

const char *
msp_warmth_name(msp_warmth_t warmth)
{
	return warmth_names[warmth];
}

msp_latency_model_t *
msp_new_latency_model(msp_time_t far_prior)
{
	msp_latency_model_t *book = calloc(1, sizeof(*book));

	if (book == NULL)
		return NULL;
	book->far_prior = far_prior;
	book->routes = msp_new_map();
	book->trips = msp_new_map();
	book->services = msp_new_map();
	if (book->routes != NULL && book->trips != NULL &&
	    book->services != NULL)
		return book;
	msp_drop_latency_model(book);
	return NULL;
}

static void
drop_values(msp_map_t *map)
{
	size_t cursor = 0;
	void *value;

	if (map == NULL)
		return;
	while (msp_map_next(map, &cursor, NULL, &value))
		free(value);
	msp_drop_map(map);
}

void
msp_drop_latency_model(msp_latency_model_t *book)
{
	if (book == NULL)
		return;
	drop_values(book->routes);
	drop_values(book->trips);
	drop_values(book->services);
	free(book);
}

/* Finds the value of `key` or makes a zeroed one; NULL without memory. */
static void *
find_or_add(msp_map_t *map, const char *key, size_t size)
{
	void *value = msp_map_get(map, key);

	if (value != NULL)
		return value;
	value = calloc(1, size);
	if (value == NULL)
		return NULL;
	if (msp_map_put(map, key, value) == MSP_OK)
		return value;
	free(value);
	return NULL;
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
trip_to(const msp_latency_model_t *book, const char *region)
{
	const mean_t *trip;

	if (region == NULL)
		return 0;
	trip = msp_map_get(book->trips, region);
	if (trip == NULL || trip->count == 0)
		return book->far_prior;
	return (msp_time_t)trip->value;
}

msp_time_t
msp_predict_service_time(const msp_latency_model_t *book,
    const msp_path_route_t *route, msp_warmth_t warmth)
{
	const route_latency_t *latency = msp_map_get(book->routes, route->name);

	if (latency != NULL && latency->work[warmth].count > 0)
		return (msp_time_t)latency->work[warmth].value;
	return (msp_time_t)(priors[warmth] * (double)route->goal_ms *
	    (double)MSP_MS);
}

msp_time_t
msp_predict_latency(const msp_latency_model_t *book,
    const msp_path_route_t *route, msp_warmth_t warmth, const char *region)
{
	return msp_predict_service_time(book, route, warmth) +
	    trip_to(book, region);
}

msp_time_t
msp_mean_service_time(const msp_latency_model_t *book, const char *service)
{
	const mean_t *mean = msp_map_get(book->services, service);

	return mean == NULL ? 0 : (msp_time_t)mean->value;
}

static void
learn_trip(msp_latency_model_t *book, const msp_path_route_t *route,
    msp_warmth_t warmth, const char *region, msp_time_t took)
{
	const route_latency_t *latency = msp_map_get(book->routes, route->name);
	mean_t *trip;
	double extra;

	if (latency == NULL || latency->work[warmth].count < FEW_SAMPLES)
		return;
	trip = find_or_add(book->trips, region, sizeof(*trip));
	if (trip == NULL)
		return;
	extra = (double)took - latency->work[warmth].value;
	if (extra < 0)
		extra = 0;
	/* Work differs far more than the way does. */
	if (extra > 2.0 * (double)book->far_prior)
		extra = 2.0 * (double)book->far_prior;
	add_sample(trip, extra, TRIP_WEIGHT);
}

void
msp_record_latency(msp_latency_model_t *book, const msp_path_route_t *route,
    const char *service, msp_warmth_t warmth, const char *region,
    msp_time_t took)
{
	msp_time_t trip;
	msp_time_t work;
	route_latency_t *latency;
	mean_t *mean;

	if (region != NULL)
		learn_trip(book, route, warmth, region, took);
	trip = trip_to(book, region);
	work = took > trip ? took - trip : 0;
	latency = find_or_add(book->routes, route->name, sizeof(*latency));
	/* What an answer from afar took is only known with its way. */
	if (latency != NULL && region == NULL)
		add_sample(&latency->work[warmth], (double)work, LEARN_WEIGHT);
	mean = find_or_add(book->services, service, sizeof(*mean));
	if (mean != NULL)
		add_sample(mean, (double)work, LEARN_WEIGHT);
}
