#include <stdlib.h>
#include <string.h>

#include "membership_private.h"
#include "gossip_fields.h"

#define NEWS_BYTES_MAX 1150 /* encoded updates and loads in a message */
#define RECORD_FIXED_BYTES 28 /* encoded record without its strings */
#define LOAD_FIXED_BYTES 24 /* encoded load without name and payload */
/* A load whose sequence is further ahead than this is ignored. */
#define SEQUENCE_JUMP_MAX ((uint64_t)1 << 32)

size_t
msp_record_size(const msp_member_t *info)
{
	return RECORD_FIXED_BYTES + msp_xdr_opaque_size(strlen(info->name)) +
	    msp_xdr_opaque_size(strlen(info->region)) +
	    msp_xdr_opaque_size(strlen(info->place)) +
	    msp_xdr_opaque_size(strlen(info->address));
}

static size_t
load_size(const msp_member_t *info)
{
	return LOAD_FIXED_BYTES + msp_xdr_opaque_size(strlen(info->name)) +
	    msp_xdr_opaque_size(info->load_len);
}

msp_status_t
msp_fill_record(msp_gossip_member_t *record, const msp_member_t *info)
{
	record->name = strdup(info->name);
	record->region = strdup(info->region);
	record->place = strdup(info->place);
	record->address = strdup(info->address);
	record->caller_port = info->caller_port;
	record->peer_port = info->peer_port;
	record->incarnation = info->incarnation;
	record->round = info->round;
	record->state = (msp_gossip_state_t)info->state;
	if (record->name == NULL || record->region == NULL ||
	    record->place == NULL || record->address == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	return MSP_OK;
}

static msp_status_t
fill_load(msp_gossip_load_t *load, const msp_member_t *info)
{
	load->name = strdup(info->name);
	load->incarnation = info->incarnation;
	load->sequence = info->load_sequence;
	load->release = info->release;
	load->payload.payload_val = malloc(info->load_len + 1);
	if (load->name == NULL || load->payload.payload_val == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	load->payload.payload_len = (u_int)info->load_len;
	memcpy(load->payload.payload_val, info->load, info->load_len);
	return MSP_OK;
}

msp_status_t
msp_fill_head(const msp_membership_t *m, msp_gossip_head_t *head)
{
	const msp_member_t *self = &m->self->info;

	head->from = strdup(self->name);
	head->place = strdup(self->place);
	head->incarnation = self->incarnation;
	head->release = self->release;
	if (head->from == NULL || head->place == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	return MSP_OK;
}

static msp_status_t
fill_updates(
    msp_membership_t *m, msp_gossip_news_t *news, msp_peer_t *to, size_t *used)
{
	msp_peer_t *picked[MSP_GOSSIP_UPDATES_MAX];
	/* Sends to a member that may not receive them are not counted. */
	bool counted = to == NULL || to->info.state == MSP_MEMBER_ALIVE;
	size_t count = 0;
	msp_peer_t *peer;
	size_t i;
	msp_status_t status;

	/* A claim about the receiver goes first, for it to refute. */
	if (to != NULL &&
	    (to->info.state == MSP_MEMBER_SUSPECT ||
		to->info.state == MSP_MEMBER_DEAD))
		picked[count++] = to;
	if (count > 0)
		*used += msp_record_size(&to->info);
	for (peer = msp_first_update(&m->peers); peer != NULL;
	     peer = msp_next_update(&m->peers, peer)) {
		size_t size = msp_record_size(&peer->info);

		if (count == MSP_GOSSIP_UPDATES_MAX ||
		    *used + size > NEWS_BYTES_MAX)
			break;
		if (count > 0 && peer == picked[0])
			continue;
		*used += size;
		picked[count++] = peer;
	}
	if (count == 0)
		return MSP_OK;
	news->updates.updates_val = calloc(count, sizeof(msp_gossip_member_t));
	if (news->updates.updates_val == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	news->updates.updates_len = (u_int)count;
	for (i = 0; i < count; i++) {
		status = msp_fill_record(
		    &news->updates.updates_val[i], &picked[i]->info);
		if (status != MSP_OK)
			return status;
		if (picked[i]->update_sends_left > 0 && counted)
			msp_count_sent_update(&m->peers, picked[i]);
	}
	return MSP_OK;
}

static msp_status_t
fill_loads(msp_membership_t *m, msp_gossip_news_t *news, size_t used)
{
	msp_peer_t *picked[MSP_GOSSIP_LOADS_MAX];
	size_t limit = used + m->options.load_bytes_max;
	size_t count = 0;
	msp_peer_t *peer;
	size_t i;
	msp_status_t status;

	if (limit > NEWS_BYTES_MAX)
		limit = NEWS_BYTES_MAX;
	for (peer = msp_first_load(&m->peers); peer != NULL;
	     peer = msp_next_load(&m->peers, peer)) {
		used += load_size(&peer->info);
		if (count == MSP_GOSSIP_LOADS_MAX || used > limit)
			break;
		picked[count++] = peer;
	}
	if (count == 0)
		return MSP_OK;
	news->loads.loads_val = calloc(count, sizeof(msp_gossip_load_t));
	if (news->loads.loads_val == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	news->loads.loads_len = (u_int)count;
	for (i = 0; i < count; i++) {
		status = fill_load(&news->loads.loads_val[i], &picked[i]->info);
		if (status != MSP_OK)
			return status;
		msp_count_sent_load(&m->peers, picked[i]);
	}
	return MSP_OK;
}

msp_status_t
msp_fill_news(msp_membership_t *m, msp_gossip_news_t *news, msp_peer_t *to)
{
	size_t used = 0;
	msp_status_t status = fill_updates(m, news, to, &used);

	return status == MSP_OK ? fill_loads(m, news, used) : status;
}

msp_status_t
msp_check_head(const msp_membership_t *m, const msp_gossip_head_t *head)
{
	if (strcmp(head->place, m->self->info.place) != 0)
		return msp_fail(MSP_E_BAD_REQUEST,
		    "message from a member of place \"%s\" received in "
		    "\"%s\"",
		    head->place, m->self->info.place);
	return MSP_OK;
}

static bool
load_is_newer(const msp_member_t *info, const msp_gossip_load_t *load)
{
	return load->incarnation == info->incarnation &&
	    load->sequence > info->load_sequence &&
	    load->sequence - info->load_sequence <= SEQUENCE_JUMP_MAX;
}

static void
merge_load(msp_membership_t *m, const msp_gossip_load_t *load)
{
	msp_peer_t *peer = msp_find_peer(&m->peers, load->name);

	if (peer == NULL || !load_is_newer(&peer->info, load))
		return;
	peer->info.load_sequence = load->sequence;
	if (peer == m->self) {
		peer->info.load_sequence++;
	} else {
		peer->info.load_len = load->payload.payload_len;
		if (load->payload.payload_len > 0)
			memcpy(peer->info.load, load->payload.payload_val,
			    load->payload.payload_len);
		peer->info.release = load->release;
	}
	msp_queue_load(&m->peers, peer, msp_load_sends(m));
}

void
msp_merge_news(msp_membership_t *m, const msp_gossip_news_t *news)
{
	u_int i;

	for (i = 0; i < news->updates.updates_len; i++)
		msp_apply_record(m, &news->updates.updates_val[i]);
	for (i = 0; i < news->loads.loads_len; i++)
		merge_load(m, &news->loads.loads_val[i]);
}

void
msp_merge_head(msp_membership_t *m, const msp_gossip_head_t *head)
{
	msp_peer_t *peer = msp_find_peer(&m->peers, head->from);

	if (peer == NULL || peer == m->self ||
	    peer->info.incarnation != head->incarnation)
		return;
	peer->info.release = head->release;
}
