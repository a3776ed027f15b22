#include "soak_limit.h"

#include <stdlib.h>

#define CONTACT_TIME (4 * MSP_SECOND)
#define TOLD_TIME (500 * MSP_MS)
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5 /* requests */
#define ARRIVALS_MIN 64

void
name_judged_limit(limit_judge_t *judge, msp_time_t now, double per_second)
{
	if (!judge->named) {
		judge->named_at = now;
		judge->arrived = 0;
	}
	judge->named = true;
	judge->per_second = per_second;
}

void
lift_judged_limit(limit_judge_t *judge)
{
	size_t i;

	judge->named = false;
	judge->count = 0;
	for (i = 0; i < LIMIT_VMS_MAX; i++)
		judge->told_at[i] = 0;
}

void
tell_judged_limit(limit_judge_t *judge, msp_time_t now, unsigned int vm)
{
	if (judge->named && vm < LIMIT_VMS_MAX && judge->told_at[vm] == 0)
		judge->told_at[vm] = now;
}

void
excuse_limit_vm(limit_judge_t *judge, unsigned int vm)
{
	if (vm < LIMIT_VMS_MAX)
		judge->told_at[vm] = 0;
}

double
allowed_in_limit_window(const limit_judge_t *judge)
{
	return LIMIT_FACTOR * judge->per_second * (double)LIMIT_WINDOW /
	    (double)MSP_SECOND +
	    LIMIT_SLACK;
}

/* Makes room for one more arrival; returns false if out of memory. */
static bool
grow(limit_judge_t *judge)
{
	size_t size = judge->size == 0 ? ARRIVALS_MIN : judge->size * 2;
	msp_time_t *arrivals;
	size_t i;

	if (judge->count < judge->size)
		return true;
	arrivals = calloc(size, sizeof(*arrivals));
	if (arrivals == NULL)
		return false;
	for (i = 0; judge->size > 0 && i < judge->count; i++)
		arrivals[i] = judge->arrivals[(judge->first + i) % judge->size];
	free(judge->arrivals);
	judge->arrivals = arrivals;
	judge->first = 0;
	judge->size = size;
	return true;
}

unsigned int
judge_limit_arrival(limit_judge_t *judge, msp_time_t now, unsigned int vm)
{
	double ratio;

	judge->arrived++;
	if (!judge->named || vm >= LIMIT_VMS_MAX || judge->told_at[vm] == 0 ||
	    now < judge->told_at[vm] + TOLD_TIME || !grow(judge))
		return 0;
	judge->arrivals[(judge->first + judge->count) % judge->size] = now;
	judge->count++;
	while (judge->arrivals[judge->first] + LIMIT_WINDOW <= now) {
		judge->first = (judge->first + 1) % judge->size;
		judge->count--;
	}
	if (now < judge->named_at + CONTACT_TIME)
		return 0;
	ratio = (double)judge->count / allowed_in_limit_window(judge);
	if (judge->count > judge->worst)
		judge->worst = (unsigned int)judge->count;
	if (ratio > judge->worst_ratio)
		judge->worst_ratio = ratio;
	return ratio > 1 ? (unsigned int)judge->count : 0;
}

void
drop_limit_judge(limit_judge_t *judge)
{
	free(judge->arrivals);
	*judge = (limit_judge_t){0};
}
