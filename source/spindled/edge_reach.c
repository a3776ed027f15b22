#include "edge_private.h"
#include "log.h"

/* Returns NULL if out of memory. */
static msp_reach_t *
open_reach(edge_t *edge, const char *service)
{
	return msp_map_get_or_add(edge->reaches, service, sizeof(msp_reach_t));
}

msp_status_t
open_reaches(edge_t *edge)
{
	edge->forward_choice = msp_new_forward_choice(&edge->daemon->env);
	edge->reaches = msp_new_map();
	return edge->reaches == NULL || edge->forward_choice == NULL
	    ? MSP_E_NO_MEMORY
	    : MSP_OK;
}

void
close_reaches(edge_t *edge)
{
	msp_drop_forward_choice(edge->forward_choice);
	msp_drop_map_and_values(edge->reaches);
}

void
record_no_connection(edge_t *edge, msp_view_target_t *target)
{
	const char *service = target->registration.service;
	msp_reach_t *reach = open_reach(edge, service);
	msp_time_t now = msp_now(&edge->daemon->env);
	bool was_lost;

	if (reach == NULL)
		return;
	was_lost = msp_reach_is_lost(reach, now);
	msp_record_connect_failure(reach, &target->traffic.connect_failed, now);
	if (!was_lost && msp_reach_is_lost(reach, now))
		log_info("event=reach service=%s state=lost", service);
}

void
record_target_contact(edge_t *edge, const msp_view_target_t *target)
{
	const char *service = target->registration.service;
	msp_reach_t *reach = open_reach(edge, service);
	msp_time_t now = msp_now(&edge->daemon->env);

	if (reach == NULL)
		return;
	if (msp_reach_is_lost(reach, now))
		log_info("event=reach service=%s state=regained target=%s",
		    service, target->registration.id);
	msp_record_contact(reach, now);
}

bool
has_lost_service(const edge_t *edge, const char *service)
{
	const msp_reach_t *reach = msp_map_get(edge->reaches, service);

	return reach != NULL &&
	    msp_reach_is_lost(reach, msp_now(&edge->daemon->env));
}

msp_time_t
get_contact_time(const edge_t *edge, const char *service)
{
	const msp_reach_t *reach = msp_map_get(edge->reaches, service);

	return reach == NULL ? 0 : reach->contact_at;
}

size_t
count_lost_services(const edge_t *edge)
{
	msp_time_t now = msp_now(&edge->daemon->env);
	size_t cursor = 0;
	size_t count = 0;
	void *reach;

	while (msp_map_next(edge->reaches, &cursor, NULL, &reach)) {
		if (msp_reach_is_lost(reach, now))
			count++;
	}
	return count;
}
