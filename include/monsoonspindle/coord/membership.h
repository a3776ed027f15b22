#ifndef MONSOONSPINDLE_COORD_MEMBERSHIP_H
#define MONSOONSPINDLE_COORD_MEMBERSHIP_H

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"
#include "monsoonspindle/coord/gossip_xdr.h"
#include "monsoonspindle/coord/member.h"

/*
 * Failure detection and membership of one data centre, after SWIM: one probe
 * per period, indirect probes, suspicion that the suspect can refute, and
 * changes piggybacked on the probes. No I/O: messages go out through `send()`,
 * and the owner passes in those that arrive. The members' views are eventually
 * consistent.
 */
typedef struct msp_membership msp_membership_t;

#define MSP_MEMBERS_MAX 1024
#define MSP_SEEDS_MAX 256

/* An address at which a member may run; nothing guarantees that one does. */
typedef struct msp_seed {
	char address[MSP_MEMBER_ADDRESS_SIZE];
	uint16_t peer_port;
} msp_seed_t;

typedef struct msp_membership_options {
	/*
	 * This VM: names, address and ports. The incarnation is the wall clock
	 * at the start of the process, in microseconds since 1970; other
	 * members ignore one that is more than a day ahead of their clocks.
	 * State, round and load need not be set.
	 */
	msp_member_t self;
	msp_time_t period; /* between probes; 0: 1 s */
	msp_time_t ping_timeout; /* before the next ping; 0: period / 5 */
	/*
	 * Base of the time from suspect to dead, which grows by half a period
	 * with each doubling of the members. 0: 3 periods.
	 */
	msp_time_t suspicion_timeout;
	/*
	 * A longer gap between two calls means that the process was paused.
	 * 0: 2 periods.
	 */
	msp_time_t pause_threshold;
	msp_time_t dead_retention; /* of records of dead members; 0: 30 min */
	msp_time_t contact_period; /* to seeds and the dead; 0: 2 periods */
	msp_time_t sync_period; /* full sync with one member; 0: 30 periods */
	unsigned int indirect_probes; /* 0: 3 */
	size_t load_bytes_max; /* bytes of loads per message; 0: 400 */
	const msp_seed_t *seeds; /* from the settings; copied */
	size_t seed_count;
} msp_membership_options_t;

typedef struct msp_membership_callbacks {
	/*
	 * Sends `message`, the argument of `procedure` of gossip.x (see
	 * msp_find_gossip_codec()); it is borrowed during the call. If `token`
	 * is not 0, call msp_complete_membership_call() with it exactly once,
	 * after this call has returned and at the latest after `timeout`.
	 */
	void (*send)(void *ctx, const char *address, uint16_t peer_port,
	    uint32_t procedure, const void *message, uint32_t token,
	    msp_time_t timeout);
	/*
	 * `member`, which is not this VM, has a new state, round or
	 * incarnation. A member is reported dead before its record is removed.
	 * May be NULL.
	 */
	void (*on_change)(void *ctx, const msp_member_t *member);
	void *ctx;
} msp_membership_callbacks_t;

/* XDR routines for the argument and the result of a procedure of gossip.x. */
typedef struct msp_gossip_codec {
	uint32_t procedure;
	xdrproc_t argument;
	size_t argument_size; /* bytes of the decoded struct */
	xdrproc_t result; /* NULL if the procedure has no answer */
	size_t result_size; /* bytes of the decoded struct */
} msp_gossip_codec_t;

/* Returns a static codec, or NULL if there is no such procedure. */
const msp_gossip_codec_t *msp_find_gossip_codec(uint32_t procedure);

/* Returns NULL on failure, with msp_last_message() set. */
msp_membership_t *msp_new_membership(const msp_env_t *env,
    const msp_membership_options_t *options,
    const msp_membership_callbacks_t *callbacks);
void msp_drop_membership(msp_membership_t *membership);

/* Runs due timers. Call it about ten times per period. */
void msp_tick_membership(msp_membership_t *membership);

/*
 * Serves one call of `procedure` and fills `result`, which the caller has
 * zeroed and later frees with the codec. MSP_E_BAD_REQUEST if the argument is
 * not valid or the procedure is not one of membership.
 */
msp_status_t msp_serve_membership(msp_membership_t *membership,
    uint32_t procedure, const void *argument, void *result);

/*
 * Ends the call with `token`: MSP_OK with the decoded result, MSP_E_PEER_DOWN
 * if the port was closed, otherwise the status given to msp_rpc_done_t.
 */
void msp_complete_membership_call(msp_membership_t *membership, uint32_t token,
    msp_status_t status, const void *result);

/* Reports a refused connection to the member, which makes it suspect. */
void msp_report_refused_connection(
    msp_membership_t *membership, const char *name);

/*
 * Replaces the seeds from the platform's list of VMs. Seeds at whose address no
 * live member is known are contacted with a growing delay between contacts.
 */
void msp_set_discovered_seeds(
    msp_membership_t *membership, const msp_seed_t *seeds, size_t count);

/* Announces to all members that this VM is leaving. This can't be undone. */
void msp_leave_membership(msp_membership_t *membership);

/* Sets the release version that this VM announces as in force. */
void msp_set_member_release(msp_membership_t *membership, uint64_t release);

/*
 * Sets the load report that this VM announces. MSP_E_TOO_LARGE if it is over
 * MSP_MEMBER_LOAD_MAX bytes.
 */
msp_status_t msp_set_member_load(
    msp_membership_t *membership, const void *load, size_t len);

/*
 * True from the detection of a jump of the clock until peers have answered
 * again: the member states are outdated, and this VM may have been replaced.
 * Answers of two peers suffice, or of all live ones if there are fewer. With no
 * live peer the pause ends at once.
 */
bool msp_membership_is_paused(const msp_membership_t *membership);

/*
 * True once a newer process runs under this VM's name. This process must then
 * stop serving.
 */
bool msp_membership_is_superseded(const msp_membership_t *membership);

/* When a call or an answer of another member last arrived; 0: never. */
msp_time_t msp_membership_heard_at(const msp_membership_t *membership);

/* Returns this VM's own record; borrowed. */
const msp_member_t *msp_membership_self(const msp_membership_t *membership);

/*
 * Access to all known members, sorted by name, including dead ones and this
 * VM. Borrowed; valid until the next call that is not a getter.
 */
size_t msp_member_count(const msp_membership_t *membership);
const msp_member_t *msp_member_at(
    const msp_membership_t *membership, size_t index);

/* Returns NULL if no member of that name is known. */
const msp_member_t *msp_find_member(
    const msp_membership_t *membership, const char *name);

/*
 * Fills `out` with the members that are not dead, sorted by name, and returns
 * how many; at most `max`.
 */
size_t msp_list_live_members(
    const msp_membership_t *membership, const msp_member_t **out, size_t max);

#endif
