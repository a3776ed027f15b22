#include <string.h>

#include "edge_private.h"
#include "members.h"
#include "monsoonspindle/base/hash.h"
#include "monsoonspindle/coord/rendezvous.h"

/*
 * Time from the first read of the table of VMs until the VMs of a data centre
 * know each other, also if all of them start together.
 */
#define JOIN_TIME (3 * MSP_SECOND)

/* Where a data centre stands in the order of those that share a rate. */
typedef struct place_order {
	unsigned int distance; /* 0: the target's own, 1: of its region */
	uint64_t hash;
} place_order_t;

static place_order_t
order_place(const msp_settings_place_t *place, const msp_view_target_t *target)
{
	const msp_registration_t *registration = &target->registration;
	place_order_t order = {
	    .distance = 2,
	    .hash =
		msp_hash_text(place->place, msp_hash_text(registration->id, 0)),
	};

	if (strcmp(place->place, registration->place) == 0)
		order.distance = 0;
	else if (strcmp(place->region, target->region) == 0)
		order.distance = 1;
	return order;
}

static bool
comes_before(const place_order_t *a, const place_order_t *b)
{
	return a->distance != b->distance ? a->distance < b->distance
					  : a->hash < b->hash;
}

/*
 * All data centres of the settings take part, also those without live VMs: all
 * VMs must divide by the same number.
 */
static void
rank_place(const edge_t *edge, const msp_view_target_t *target,
    msp_sender_rank_t *rank)
{
	const msp_settings_t *settings = edge->daemon->settings;
	const msp_settings_edge_t *places = &settings->edge;
	msp_settings_place_t own = {0};
	place_order_t own_order;
	place_order_t order;
	size_t i;

	strcpy(own.place, settings->place);
	strcpy(own.region, settings->region);
	own_order = order_place(&own, target);
	rank->place_count = places->place_count;
	for (i = 0; i < places->place_count; i++) {
		order = order_place(&places->places[i], target);
		if (comes_before(&order, &own_order))
			rank->place++;
	}
}

static bool
is_live(const msp_member_t *member)
{
	return member->state == MSP_MEMBER_ALIVE ||
	    member->state == MSP_MEMBER_SUSPECT;
}

static bool
has_joined(const edge_t *edge)
{
	return edge->vms_read_at != 0 &&
	    msp_now(&edge->daemon->env) >= edge->vms_read_at + JOIN_TIME;
}

/* A VM that does not know the others of its data centre has no part. */
static void
rank_vm(const edge_t *edge, uint64_t key, msp_sender_rank_t *rank)
{
	const msp_membership_t *list = get_membership(edge->daemon->members);
	const msp_member_t *self = msp_membership_self(list);
	uint64_t score = msp_rendezvous_score(self->name, key);
	size_t i;

	if (!has_joined(edge) || msp_membership_is_paused(list) ||
	    msp_membership_is_superseded(list) || edge->daemon->leaving)
		return;
	for (i = 0; i < msp_member_count(list); i++) {
		const msp_member_t *member = msp_member_at(list, i);

		if (member != self && !is_live(member))
			continue;
		rank->vm_count++;
		if (member != self &&
		    msp_rendezvous_score(member->name, key) > score)
			rank->vm++;
	}
}

void
rank_sender(void *ctx, const msp_view_target_t *target, msp_sender_rank_t *rank)
{
	const edge_t *edge = ctx;

	*rank = (msp_sender_rank_t){0};
	rank_place(edge, target, rank);
	rank_vm(edge, msp_hash_text(target->registration.id, 0), rank);
}

void
rank_rate_sender(
    const edge_t *edge, const char *organisation, msp_sender_rank_t *rank)
{
	const msp_settings_t *settings = edge->daemon->settings;
	uint64_t key = msp_hash_text(organisation, 0);
	uint64_t own = msp_hash_text(settings->place, key);
	size_t i;

	*rank = (msp_sender_rank_t){.place_count = settings->edge.place_count};
	for (i = 0; i < settings->edge.place_count; i++) {
		if (msp_hash_text(settings->edge.places[i].place, key) < own)
			rank->place++;
	}
	rank_vm(edge, key, rank);
}
