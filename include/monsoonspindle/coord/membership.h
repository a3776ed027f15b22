#ifndef MONSOONSPINDLE_COORD_MEMBERSHIP_H
#define MONSOONSPINDLE_COORD_MEMBERSHIP_H

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/coord/gossip_xdr.h"
#include "monsoonspindle/coord/member.h"

/*
 * The members of one data centre, after SWIM: one probe a period, indirect
 * probes, suspicion that the suspect can refute, changes carried on the probes.
 * No I/O: messages go out through `send`, and the owner hands in what arrives.
 * Members live in different processes, and their views differ for a moment.
 */
typedef struct msp_membership msp_membership_t;

#define MSP_MEMBERS_MAX 1024
#define MSP_SEEDS_MAX 256

/* An address where a member may be found. It only suggests. */
typedef struct msp_seed {
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
} msp_seed_t;

typedef struct msp_membership_options {
	/*
	 * This VM: names, address and ports. Its incarnation is the wall clock
	 * at the start of the process in microseconds; others refuse one that
	 * is more than a day ahead of theirs. State and load are ignored.
	 */
	msp_member_t self;
	msp_time_t period; /* between probes; 0: 1 s */
	msp_time_t ping_timeout; /* before the next try; 0: a fifth of it */
	msp_time_t
	    suspicion_timeout; /* until dead, at 1 member; 0: 3 periods */
	msp_time_t
	    pause_threshold; /* a longer jump was a pause; 0: 2 periods */
	msp_time_t dead_retention; /* the dead are remembered; 0: 30 min */
	msp_time_t contact_period; /* to seeds and the dead; 0: 2 periods */
	msp_time_t sync_period; /* full comparison with one; 0: 30 periods */
	unsigned int indirect_probes; /* 0: 3 */
	size_t load_bytes_max; /* of loads in a message; 0: 400 */
	const msp_seed_t *seeds; /* of the settings; copied */
	size_t seed_count;
} msp_membership_options_t;

typedef struct msp_membership_callbacks {
	/*
	 * Sends `message`, the argument of `procedure` of gossip.x (see
	 * msp_find_gossip_codec()), borrowed during the call. If `token` is not
	 * 0, call msp_complete_membership_call() with it once, later, at the
	 * latest after `timeout`.
	 */
	void (*send)(void *ctx, const char *address, uint16_t peer_port,
	    uint32_t procedure, const void *message, uint32_t token,
	    msp_time_t timeout);
	/*
	 * `member`, another than this VM, has a new state or incarnation; it
	 * is dead, too, before it is forgotten. May be NULL.
	 */
	void (*on_change)(void *ctx, const msp_member_t *member);
	void *ctx;
} msp_membership_callbacks_t;

/* How to code the argument and the result of one procedure of gossip.x. */
typedef struct msp_gossip_codec {
	uint32_t procedure;
	xdrproc_t argument;
	size_t argument_size; /* bytes of the struct */
	xdrproc_t result; /* NULL: it has no answer */
	size_t result_size;
} msp_gossip_codec_t;

/* NULL if there is no such procedure. Static. */
const msp_gossip_codec_t *msp_find_gossip_codec(uint32_t procedure);

/* Returns NULL with a last message. */
msp_membership_t *msp_new_membership(const msp_env_t *env,
    const msp_membership_options_t *options,
    const msp_membership_callbacks_t *callbacks);
void msp_drop_membership(msp_membership_t *membership);

/* Call it about ten times a period. */
void msp_tick_membership(msp_membership_t *membership);

/*
 * Serves one call of `procedure`: fills `result`, which is zeroed and later
 * freed by its codec. MSP_E_BAD_REQUEST if the argument is not acceptable, or
 * the procedure is not one of membership.
 */
msp_status_t msp_serve_membership(msp_membership_t *membership,
    uint32_t procedure, const void *argument, void *result);

/*
 * The call with `token` ended: MSP_OK with the decoded result, MSP_E_PEER_DOWN
 * if the port was closed, else as msp_rpc_done_t.
 */
void msp_complete_membership_call(msp_membership_t *membership, uint32_t token,
    msp_status_t status, const void *result);

/* A connection to the member was refused: suspects it at once. */
void msp_report_refused_connection(
    msp_membership_t *membership, const char *name);

/*
 * The platform's list, in place of the last one given. Addresses where no live
 * member is known are tried now and then.
 */
void msp_set_discovered_seeds(
    msp_membership_t *membership, const msp_seed_t *seeds, size_t count);

/* Tells all that this VM takes nothing new. There is no way back. */
void msp_leave_membership(msp_membership_t *membership);

/* Sets the release version in force here. */
void msp_set_member_release(msp_membership_t *membership, uint64_t release);

/*
 * Sets what the others get as this member's load.
 * MSP_E_TOO_LARGE over MSP_MEMBER_LOAD_MAX.
 */
msp_status_t msp_set_member_load(
    msp_membership_t *membership, const void *load, size_t len);

/*
 * True from the moment when the clock was seen to jump until peers were heard
 * again: what is known of them is old, and this VM may have been replaced. Two
 * peers suffice, or all that are left; one without live peers trusts itself.
 */
bool msp_membership_is_paused(const msp_membership_t *membership);

/* True once another process runs under this VM's name: stop serving. */
bool msp_membership_is_superseded(const msp_membership_t *membership);

/* This VM. Borrowed. */
const msp_member_t *msp_membership_self(const msp_membership_t *membership);

/*
 * All members that are known, the dead too, sorted by name, this VM among them.
 * Borrowed; valid until the next call that is not a getter.
 */
size_t msp_member_count(const msp_membership_t *membership);
const msp_member_t *msp_member_at(
    const msp_membership_t *membership, size_t index);

/* NULL if it is not known. */
const msp_member_t *msp_find_member(
    const msp_membership_t *membership, const char *name);

/* Fills `out` with members that are not dead, sorted by name. */
size_t msp_list_live_members(
    const msp_membership_t *membership, const msp_member_t **out, size_t max);

#endif
