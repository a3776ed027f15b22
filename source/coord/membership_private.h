#ifndef MONSOONSPINDLE_SOURCE_COORD_MEMBERSHIP_PRIVATE_H
#define MONSOONSPINDLE_SOURCE_COORD_MEMBERSHIP_PRIVATE_H

#include "peers.h"

#define MSP_CALLS_MAX 256 /* pending calls; a power of two */

/* Purpose of a pending call. */
typedef enum msp_call_kind {
	MSP_CALL_FREE, /* the slot is unused */
	MSP_CALL_PROBE, /* ping of the current probe */
	MSP_CALL_CHECK, /* ping of a suspect or dead peer, or after a pause */
	MSP_CALL_INDIRECT, /* ping on behalf of another member */
	MSP_CALL_VERIFY, /* ping of a process that uses this VM's name */
	MSP_CALL_SYNC
} msp_call_kind_t;

/* A pending call. */
typedef struct msp_gossip_call {
	uint32_t token;
	msp_call_kind_t kind;
	uint32_t pause_count; /* of the membership when it was sent */
	char name[MSP_MEMBER_NAME_SIZE]; /* callee; "" if not known */
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
	uint64_t incarnation; /* VERIFY: claimed by the other process */
	/* INDIRECT: the member that asked for the ping, and its token. */
	char requester_address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t requester_port;
	uint32_t requester_token;
	unsigned int page; /* SYNC: number of pages received before */
	unsigned int retries; /* SYNC: earlier requests for this page */
	char after[MSP_MEMBER_NAME_SIZE]; /* SYNC: last name received */
	uint64_t digest; /* SYNC: of this VM's view, or 0 */
} msp_gossip_call_t;

/* The probe of the current period. */
typedef struct msp_probe {
	char name[MSP_MEMBER_NAME_SIZE]; /* of the target; "": no probe */
	uint32_t token; /* of the indirect pings */
	unsigned int ping_count; /* pings sent */
	msp_time_t next_ping;
} msp_probe_t;

/* A seed and when to contact it next. */
typedef struct msp_known_seed {
	msp_seed_t seed;
	msp_time_t next_contact;
	msp_time_t retry_delay; /* until the contact after that */
} msp_known_seed_t;

struct msp_membership {
	msp_env_t env;
	msp_membership_options_t options; /* without the seeds */
	msp_membership_callbacks_t callbacks;
	msp_peers_t peers;
	msp_peer_t *self;
	uint64_t start_incarnation; /* of this process at `start` */
	msp_time_t start;
	msp_time_t last_clock; /* the clock at the last call */
	msp_time_t next_period;
	msp_time_t next_contact;
	msp_time_t next_sync;
	msp_time_t next_urgent; /* earliest next urgent announcement */
	bool urgent; /* a change must be announced at once */
	msp_time_t next_announce; /* while leaving */
	unsigned int announces_left; /* while leaving */
	uint32_t pause_count; /* pauses of the process detected so far */
	bool paused;
	bool superseded;
	msp_time_t heard_at; /* last call or answer of a peer */
	bool verifying; /* a VERIFY call is pending */
	msp_probe_t probe;
	uint32_t last_token;
	msp_gossip_call_t calls[MSP_CALLS_MAX];
	msp_known_seed_t seeds[2 * MSP_SEEDS_MAX];
	size_t configured_seed_count; /* first in `seeds`; from the settings */
	size_t seed_count;
};

/* member_record.c: the members' records. */

/* Return how often an update, or a load, is sent before it leaves the queue. */
unsigned int msp_update_sends(const msp_membership_t *m);
unsigned int msp_load_sends(const msp_membership_t *m);

/* Returns true if the record changed what is known of another member. */
bool msp_apply_record(msp_membership_t *m, const msp_gossip_member_t *record);

void msp_set_peer_state(
    msp_membership_t *m, msp_peer_t *peer, msp_member_state_t state);

/*
 * Makes an alive peer suspect, and a leaving one dead. If `wait` is not 0, the
 * peer is dead after that time at the latest.
 */
void msp_suspect_peer(msp_membership_t *m, msp_peer_t *peer, msp_time_t wait);

/* Declares suspects dead and removes dead peers whose time is over. */
void msp_expire_peers(msp_membership_t *m);

/* member_messages.c: parts of messages. */
msp_status_t msp_fill_record(
    msp_gossip_member_t *record, const msp_member_t *info);

/* Returns the encoded size of a record in bytes. */
size_t msp_record_size(const msp_member_t *info);

msp_status_t msp_fill_head(const msp_membership_t *m, msp_gossip_head_t *head);

/* Adds queued updates and loads. `to`: the receiver, or NULL if not known. */
msp_status_t msp_fill_news(
    msp_membership_t *m, msp_gossip_news_t *news, msp_peer_t *to);

/* MSP_E_BAD_REQUEST if the sender belongs to another data centre. */
msp_status_t msp_check_head(
    const msp_membership_t *m, const msp_gossip_head_t *head);
void msp_merge_news(msp_membership_t *m, const msp_gossip_news_t *news);
void msp_merge_head(msp_membership_t *m, const msp_gossip_head_t *head);

/* member_call.c: pending calls, pings and announcements. */

/* Returns a new pending call, in the slot of the one MSP_CALLS_MAX before. */
msp_gossip_call_t *msp_new_call(msp_membership_t *m, msp_call_kind_t kind,
    const char *name, const char *address, uint16_t peer_port);

/* Returns NULL if there is no such pending call. */
msp_gossip_call_t *msp_find_call(msp_membership_t *m, uint32_t token);

void msp_send_ping(msp_membership_t *m, const msp_gossip_call_t *call);
void msp_ping_peer(msp_membership_t *m, msp_peer_t *peer, msp_call_kind_t kind);
void msp_announce_to(msp_membership_t *m, msp_peer_t *peer);

/* As msp_announce_to(), with this VM's own record included. */
void msp_announce_self_to(msp_membership_t *m, msp_peer_t *peer);

/* Announces urgent changes to a few members, at most twice per period. */
void msp_announce_urgent(msp_membership_t *m);

/* member_probe.c: probes, indirect pings and checks of suspects. */

/* Starts the next probe; suspects the last target if it did not answer. */
void msp_start_probe(msp_membership_t *m);

/* Pings the target again if the ping timed out, and asks others to ping it. */
void msp_retry_probe(msp_membership_t *m);

/* Ends the probe if `name` is its target. */
void msp_end_probe(msp_membership_t *m, const char *name);
void msp_handle_ping_reply(msp_membership_t *m, const msp_gossip_call_t *call,
    msp_status_t status, const msp_gossip_ack_t *ack);
msp_status_t msp_serve_ping_req(
    msp_membership_t *m, const msp_gossip_ping_req_t *request);
msp_status_t msp_serve_ping_ok(
    msp_membership_t *m, const msp_gossip_ping_ok_t *ok);

/* Pings suspects: some at random, and all whose deadline is near. */
void msp_check_suspects(msp_membership_t *m);

/* member_sync.c: contacts to seeds and dead members, and full syncs. */

/*
 * Contacts a seed and a dead member, in case a partition has healed. Contacts
 * several seeds while no other live member is known.
 */
void msp_contact_seeds_and_dead(msp_membership_t *m);

/*
 * Requests the members known to `peer`. With the digest of this VM's view, the
 * answer is empty if the peer's view is the same; otherwise the peer requests
 * this VM's members in return. With digest 0 it sends all and requests none.
 */
void msp_sync_with(
    msp_membership_t *m, const msp_peer_t *peer, uint64_t digest);
void msp_sync_random(msp_membership_t *m);
msp_status_t msp_serve_sync(msp_membership_t *m,
    const msp_gossip_sync_t *request, msp_gossip_page_t *page);
void msp_handle_sync_reply(msp_membership_t *m, const msp_gossip_call_t *call,
    msp_status_t status, const msp_gossip_page_t *page);

/* member_pause.c: pauses of this process. */

/* Begins a pause if the clock has jumped since the last call. */
void msp_detect_pause(msp_membership_t *m);

/* Ends the pause if enough peers have answered since. */
void msp_try_end_pause(msp_membership_t *m);

/* Records that the member `name` has answered `call`. */
void msp_mark_peer_answered(
    msp_membership_t *m, const char *name, const msp_gossip_call_t *call);

#endif
