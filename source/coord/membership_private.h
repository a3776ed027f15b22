#ifndef MONSOONSPINDLE_SOURCE_COORD_MEMBERSHIP_PRIVATE_H
#define MONSOONSPINDLE_SOURCE_COORD_MEMBERSHIP_PRIVATE_H

#include "peers.h"

#define MSP_CALLS_MAX 256 /* calls awaited at once; a power of two */

/* What a call that is awaited was made for. */
typedef enum msp_call_kind {
	MSP_CALL_FREE,
	MSP_CALL_PROBE, /* the probe of this period */
	MSP_CALL_CHECK, /* of a suspect, or one that was dead */
	MSP_CALL_INDIRECT, /* for another member */
	MSP_CALL_VERIFY, /* who runs under this VM's name? */
	MSP_CALL_SYNC
} msp_call_kind_t;

typedef struct msp_gossip_call {
	uint32_t token;
	msp_call_kind_t kind;
	uint32_t pause_count; /* number of the wake-up before it was sent */
	char name[MSP_MEMBER_NAME_SIZE]; /* called; "" if not known */
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
	uint64_t incarnation; /* VERIFY: claimed */
	char requester_address[MSP_MEMBER_ADDRESS_SIZE]; /* INDIRECT */
	uint16_t requester_port;
	uint32_t requester_token;
	unsigned int page; /* SYNC: pages got before */
	unsigned int tries; /* SYNC: of this page before */
	char after[MSP_MEMBER_NAME_SIZE]; /* SYNC: last name of the page before
					   */
	uint64_t digest; /* SYNC */
} msp_gossip_call_t;

/* The probe of the present period. */
typedef struct msp_probe {
	char name[MSP_MEMBER_NAME_SIZE]; /* "": none */
	uint32_t token; /* of the indirect ones */
	unsigned int tries;
	msp_time_t next_try;
} msp_probe_t;

typedef struct msp_known_seed {
	msp_seed_t seed;
	msp_time_t next_try;
	msp_time_t retry_delay;
} msp_known_seed_t;

struct msp_membership {
	msp_env_t env;
	msp_membership_options_t options; /* without the seeds */
	msp_membership_callbacks_t callbacks;
	msp_peers_t peers;
	msp_peer_t *self;
	uint64_t start_incarnation;
	msp_time_t start;
	msp_time_t last_clock; /* the clock at the last call */
	msp_time_t next_period;
	msp_time_t next_contact;
	msp_time_t next_sync;
	msp_time_t next_urgent;
	bool urgent; /* a change is to be told at once */
	msp_time_t next_announce; /* while leaving */
	unsigned int announces_left; /* left */
	uint32_t pause_count; /* counts wake-ups from a pause */
	bool paused;
	bool superseded;
	bool verifying;
	msp_probe_t probe;
	uint32_t last_token;
	msp_gossip_call_t calls[MSP_CALLS_MAX];
	msp_known_seed_t seeds[2 * MSP_SEEDS_MAX];
	size_t configured_seed_count; /* of the settings, first */
	size_t seed_count;
};

/* members' records: member_record.c */
unsigned int msp_update_sends(const msp_membership_t *m);
unsigned int msp_load_sends(const msp_membership_t *m);
/* True if it was news. */
bool msp_apply_record(msp_membership_t *m, const msp_gossip_member_t *record);
void msp_set_peer_state(
    msp_membership_t *m, msp_peer_t *peer, msp_member_state_t state);
void msp_suspect_peer(msp_membership_t *m, msp_peer_t *peer, msp_time_t wait);
void msp_expire_peers(msp_membership_t *m);

/* messages: member_news.c */
msp_status_t msp_fill_record(
    msp_gossip_member_t *record, const msp_member_t *info);
size_t msp_record_size(const msp_member_t *info);
msp_status_t msp_fill_head(const msp_membership_t *m, msp_gossip_head_t *head);
msp_status_t msp_fill_news(
    msp_membership_t *m, msp_gossip_news_t *news, msp_peer_t *to);
msp_status_t msp_check_head(
    const msp_membership_t *m, const msp_gossip_head_t *head);
void msp_merge_news(msp_membership_t *m, const msp_gossip_news_t *news);
void msp_merge_head(msp_membership_t *m, const msp_gossip_head_t *head);

/* calls: member_call.c */
msp_gossip_call_t *msp_new_call(msp_membership_t *m, msp_call_kind_t kind,
    const char *name, const char *address, uint16_t peer_port);
msp_gossip_call_t *msp_find_call(msp_membership_t *m, uint32_t token);
void msp_send_ping(msp_membership_t *m, const msp_gossip_call_t *call);
void msp_ping_peer(msp_membership_t *m, msp_peer_t *peer, msp_call_kind_t kind);
void msp_announce_to(msp_membership_t *m, msp_peer_t *peer);

/* As msp_announce_to(), this VM's own record included. */
void msp_announce_self_to(msp_membership_t *m, msp_peer_t *peer);

/* Tells a few members of a change at once, at most twice a period. */
void msp_announce_urgent(msp_membership_t *m);

/* probes: member_probe.c */
void msp_start_probe(msp_membership_t *m);
void msp_retry_probe(msp_membership_t *m);
void msp_end_probe(msp_membership_t *m, const char *name);
void msp_handle_ping_reply(msp_membership_t *m, const msp_gossip_call_t *call,
    msp_status_t status, const msp_gossip_ack_t *ack);
msp_status_t msp_serve_ping_req(
    msp_membership_t *m, const msp_gossip_ping_req_t *request);
msp_status_t msp_serve_ping_ok(
    msp_membership_t *m, const msp_gossip_ping_ok_t *ok);
void msp_check_suspects(msp_membership_t *m);

/* seeds and comparisons: member_sync.c */
void msp_contact_seeds_and_dead(msp_membership_t *m);
void msp_sync_with(
    msp_membership_t *m, const msp_peer_t *peer, uint64_t digest);
void msp_sync_random(msp_membership_t *m);
msp_status_t msp_serve_sync(msp_membership_t *m,
    const msp_gossip_sync_t *request, msp_gossip_page_t *page);
void msp_handle_sync_reply(msp_membership_t *m, const msp_gossip_call_t *call,
    msp_status_t status, const msp_gossip_page_t *page);

/* pauses: member_pause.c */
void msp_detect_pause(msp_membership_t *m);
void msp_try_end_pause(msp_membership_t *m);
void msp_mark_peer_heard(
    msp_membership_t *m, const char *name, const msp_gossip_call_t *call);

#endif
