#include <inttypes.h>
#include <stdio.h>

#include "soak_private.h"

/* The entry of a target in the store's table. */

void
put_soak_target_row(soak_target_t *target)
{
	char key[64];
	char value[512];

	snprintf(key, sizeof(key), "servers|%s", target->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"%s:%u\","
	    "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%u,"
	    "\"state\":\"%s\",\"coldRemainingMs\":0,\"seq\":%" PRIu64 ","
	    "\"born\":%" PRIu64 "}",
	    target->service,
	    has_soak_links(target->soak) ? SOAK_LINKS_ALIAS : "127.0.0.1",
	    target->link_port, target->zone, target->soak->profile->slots,
	    target->draining && !target->drains_quietly ? "draining" : "ready",
	    ++target->seq, target->born);
	put_soak_row(target->soak, key, value);
}

static void
remove_row(const soak_target_t *target, const char *id)
{
	char key[64];

	snprintf(key, sizeof(key), "servers|%s", id);
	put_soak_row(target->soak, key, NULL);
}

void
remove_soak_target_row(soak_target_t *target, const char *id)
{
	char *kept =
	    target->removed_ids[target->removed_count++ % SOAK_REMOVED_IDS];

	snprintf(kept, sizeof(target->removed_ids[0]), "%s", id);
	remove_row(target, id);
}

void
write_soak_target_again(soak_target_t *target)
{
	size_t i;

	for (i = 0; i < SOAK_REMOVED_IDS; i++) {
		if (target->removed_ids[i][0] != '\0')
			remove_row(target, target->removed_ids[i]);
	}
	if (target->up)
		put_soak_target_row(target);
}
