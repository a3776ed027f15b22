#include "summary_codec.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "gossip_fields.h"

#define SUMMARY_FIXED_BYTES 48 /* bytes without strings, lists and credits */
#define ENTRY_FIXED_BYTES 8
#define HEADROOM_FIXED_BYTES 8

msp_time_t
msp_summary_age(const msp_summary_t *summary, msp_time_t now)
{
	return summary->age_received + (now - summary->received);
}

size_t
msp_summary_size(const msp_summary_t *summary)
{
	size_t size = SUMMARY_FIXED_BYTES +
	    msp_xdr_opaque_size(summary->credits_len) +
	    msp_xdr_opaque_size(strlen(summary->place)) +
	    msp_xdr_opaque_size(strlen(summary->region));
	size_t i;

	for (i = 0; i < summary->entry_count; i++)
		size += ENTRY_FIXED_BYTES +
		    msp_xdr_opaque_size(strlen(summary->entries[i].name)) +
		    msp_xdr_opaque_size(strlen(summary->entries[i].address));
	for (i = 0; i < summary->service_count; i++)
		size += HEADROOM_FIXED_BYTES +
		    msp_xdr_opaque_size(strlen(summary->services[i].service));
	return size;
}

void
msp_trim_summary(msp_summary_t *summary)
{
	while (msp_summary_size(summary) > MSP_SUMMARY_SIZE_MAX) {
		if (summary->service_count > 1)
			summary->service_count--;
		else if (summary->entry_count > 1)
			summary->entry_count--;
		else
			return;
	}
}

static msp_status_t
fill_entries(msp_gossip_summary_t *message, const msp_summary_t *summary)
{
	size_t i;

	message->entries.entries_val =
	    calloc(MSP_SUMMARY_ENTRIES_MAX, sizeof(msp_gossip_entry_t));
	if (message->entries.entries_val == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	for (i = 0; i < summary->entry_count; i++) {
		const msp_entry_vm_t *entry = &summary->entries[i];
		msp_gossip_entry_t *out = &message->entries.entries_val[i];

		message->entries.entries_len++;
		out->name = strdup(entry->name);
		out->address = strdup(entry->address);
		out->caller_port = entry->caller_port;
		out->peer_port = entry->peer_port;
		if (out->name == NULL || out->address == NULL)
			return msp_fail(
			    MSP_E_NO_MEMORY, "no memory for a message");
	}
	return MSP_OK;
}

static msp_status_t
fill_services(msp_gossip_summary_t *message, const msp_summary_t *summary)
{
	size_t i;

	message->services.services_val =
	    calloc(MSP_SUMMARY_SERVICES_MAX, sizeof(msp_gossip_headroom_t));
	if (message->services.services_val == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	for (i = 0; i < summary->service_count; i++) {
		const msp_headroom_t *headroom = &summary->services[i];
		msp_gossip_headroom_t *out = &message->services.services_val[i];

		message->services.services_len++;
		out->service = strdup(headroom->service);
		out->slots_free = headroom->slots_free;
		out->slots = headroom->slots;
		if (out->service == NULL)
			return msp_fail(
			    MSP_E_NO_MEMORY, "no memory for a message");
	}
	return MSP_OK;
}

msp_status_t
msp_fill_summary_message(
    msp_gossip_summary_t *message, const msp_summary_t *summary, msp_time_t now)
{
	msp_time_t age_ms = msp_summary_age(summary, now) / MSP_MS;
	msp_status_t status;

	message->place = strdup(summary->place);
	message->region = strdup(summary->region);
	message->credits.credits_val = malloc(MSP_SUMMARY_CREDITS_MAX);
	if (message->place == NULL || message->region == NULL ||
	    message->credits.credits_val == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for a message");
	message->incarnation = summary->incarnation;
	message->sequence = summary->sequence;
	message->age_ms = age_ms < UINT32_MAX ? (u_int)age_ms : UINT32_MAX;
	message->release = summary->release;
	message->live = summary->live;
	message->draining = summary->draining;
	message->credits.credits_len = (u_int)summary->credits_len;
	memcpy(message->credits.credits_val, summary->credits,
	    summary->credits_len);
	status = fill_entries(message, summary);
	return status == MSP_OK ? fill_services(message, summary) : status;
}

static bool
parse_entries(msp_summary_t *summary, const msp_gossip_summary_t *message)
{
	u_int i;

	if (message->entries.entries_len > MSP_SUMMARY_ENTRIES_MAX)
		return false;
	for (i = 0; i < message->entries.entries_len; i++) {
		const msp_gossip_entry_t *in = &message->entries.entries_val[i];
		msp_entry_vm_t *entry = &summary->entries[i];

		if (!msp_name_is_valid(in->name) ||
		    !msp_address_is_valid(in->address) ||
		    !msp_port_is_valid(in->caller_port) ||
		    !msp_port_is_valid(in->peer_port))
			return false;
		strlcpy(entry->name, in->name, sizeof(entry->name));
		strlcpy(entry->address, in->address, sizeof(entry->address));
		entry->caller_port = (uint16_t)in->caller_port;
		entry->peer_port = (uint16_t)in->peer_port;
	}
	summary->entry_count = message->entries.entries_len;
	return true;
}

static bool
parse_services(msp_summary_t *summary, const msp_gossip_summary_t *message)
{
	u_int i;

	if (message->services.services_len > MSP_SUMMARY_SERVICES_MAX)
		return false;
	for (i = 0; i < message->services.services_len; i++) {
		const msp_gossip_headroom_t *in =
		    &message->services.services_val[i];
		msp_headroom_t *headroom = &summary->services[i];

		if (!msp_name_is_valid(in->service))
			return false;
		strlcpy(
		    headroom->service, in->service, sizeof(headroom->service));
		headroom->slots_free = in->slots_free;
		headroom->slots = in->slots;
	}
	summary->service_count = message->services.services_len;
	return true;
}

msp_status_t
msp_parse_summary_message(
    msp_summary_t *summary, const msp_gossip_summary_t *message, msp_time_t now)
{
	memset(summary, 0, sizeof(*summary));
	if (!msp_name_is_valid(message->place) ||
	    !msp_name_is_valid(message->region) ||
	    message->credits.credits_len > MSP_SUMMARY_CREDITS_MAX ||
	    !parse_entries(summary, message) ||
	    !parse_services(summary, message))
		return msp_fail(MSP_E_BAD_REQUEST, "malformed summary");
	strlcpy(summary->place, message->place, sizeof(summary->place));
	strlcpy(summary->region, message->region, sizeof(summary->region));
	summary->incarnation = message->incarnation;
	summary->sequence = message->sequence;
	summary->received = now;
	summary->age_received = message->age_ms * MSP_MS;
	summary->release = message->release;
	summary->live = message->live;
	summary->draining = message->draining;
	summary->credits_len = message->credits.credits_len;
	if (summary->credits_len > 0)
		memcpy(summary->credits, message->credits.credits_val,
		    summary->credits_len);
	if (msp_summary_size(summary) > MSP_SUMMARY_SIZE_MAX)
		return msp_fail(MSP_E_BAD_REQUEST, "oversized summary");
	return MSP_OK;
}
