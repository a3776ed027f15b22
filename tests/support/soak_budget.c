#include "soak_budget.h"

#include <stddef.h>

#define STEP (BUDGET_WINDOW / BUDGET_STEPS_IN_WINDOW)

static budget_step_t *
get_step(budget_judge_t *judge, msp_time_t now)
{
	uint64_t number = now / STEP;
	budget_step_t *step = &judge->steps[number % BUDGET_STEPS];

	if (step->number != number)
		*step = (budget_step_t){.number = number};
	return step;
}

void
count_budget_request(budget_judge_t *judge, msp_time_t now)
{
	get_step(judge, now)->requests++;
}

/* Sums up the window whose last step is `ago` steps before `now`. */
static budget_step_t
sum_window(const budget_judge_t *judge, msp_time_t now, uint64_t ago)
{
	uint64_t last = now / STEP - ago;
	budget_step_t sum = {0};
	size_t i;

	for (i = 0; i < BUDGET_STEPS; i++) {
		const budget_step_t *step = &judge->steps[i];

		if (step->number > last ||
		    step->number + BUDGET_STEPS_IN_WINDOW <= last)
			continue;
		sum.requests += step->requests;
		sum.repeats += step->repeats;
	}
	return sum;
}

unsigned int
judge_budget_repeat(budget_judge_t *judge, msp_time_t now)
{
	static const uint64_t windows[] = {
	    0, BUDGET_STEPS_IN_WINDOW / 2, BUDGET_STEPS_IN_WINDOW};
	unsigned int requests = 0;
	unsigned int repeats;
	double allowed;
	size_t i;

	get_step(judge, now)->repeats++;
	repeats = sum_window(judge, now, 0).repeats;
	for (i = 0; i < sizeof(windows) / sizeof(*windows); i++) {
		budget_step_t sum = sum_window(judge, now, windows[i]);

		if (sum.requests > requests)
			requests = sum.requests;
	}
	allowed = judge->options.ratio * requests + judge->options.slack;
	if (repeats / allowed > judge->worst)
		judge->worst = repeats / allowed;
	return repeats > allowed ? repeats - (unsigned int)allowed : 0;
}

bool
is_beyond_client_time(
    const budget_time_t *known, msp_time_t now, msp_time_t time_left)
{
	msp_time_t end;

	if (time_left == MSP_NEVER)
		return true;
	if (known->client != 0 && time_left > known->client + BUDGET_TIME_SLACK)
		return true;
	if (known->first_arrival == 0 ||
	    now <= known->first_arrival + BUDGET_TIME_SLACK ||
	    known->client == 0)
		return false;
	end = now + time_left;
	return end > known->first_end + BUDGET_TIME_SLACK &&
	    end > known->sent + known->client + BUDGET_TIME_SLACK;
}
