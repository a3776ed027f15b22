#include "edge_request.h"

/* A service that has sent nothing for this time may be out of reach. */
#define SILENCE_TIME (1 * MSP_SECOND)
/* Targets that must be silent, since a single one may just be slow. */
#define SILENT_TARGETS_MIN 2

/* Whether the target should have answered the request by now. */
static bool
is_overdue(const edge_request_t *request, msp_time_t now)
{
	msp_time_t waited = now - request->sent_at;

	return request->call != NULL && !request->forward.in_flight &&
	    waited >= SILENCE_TIME &&
	    waited >= request->choice.expected_latency;
}

/* Whether an earlier request in the list waits for the same target. */
static bool
is_repeated(const edge_request_t *request, msp_time_t now)
{
	const edge_request_t *other;

	TAILQ_FOREACH(other, &request->edge->requests, link) {
		if (other == request)
			return false;
		if (is_overdue(other, now) &&
		    other->choice.target == request->choice.target)
			return true;
	}
	return false;
}

/* Counts the targets of the service that owe this VM a response. */
static size_t
count_silent_targets(const edge_request_t *first, msp_time_t now)
{
	const edge_request_t *request;
	size_t count = 0;

	TAILQ_FOREACH(request, &first->edge->requests, link) {
		if (is_overdue(request, now) &&
		    request->criteria.service == first->criteria.service &&
		    !is_repeated(request, now))
			count++;
		if (count == SILENT_TARGETS_MIN)
			break;
	}
	return count;
}

/*
 * Requests stay in flight: a slow target is no reason to end them. Only new
 * ones go elsewhere if the check finds that the target can't be connected to.
 */
void
check_silent_targets(edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);
	edge_request_t *request;

	TAILQ_FOREACH(request, &edge->requests, link) {
		if (!is_overdue(request, now) ||
		    get_contact_time(edge, request->criteria.service->name) +
			    SILENCE_TIME >
			now)
			continue;
		if (count_silent_targets(request, now) >= SILENT_TARGETS_MIN)
			check_target(edge, request->choice.target);
	}
}
