#ifndef MONSOONSPINDLE_COORD_LEDGER_H
#define MONSOONSPINDLE_COORD_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/counters.h"
#include "monsoonspindle/base/env.h"
#include "monsoonspindle/config/note.h"
#include "monsoonspindle/platform/store.h"

/*
 * The chain of release notes, as one VM knows it: commits notes to the store,
 * follows what others commit, and hands notes to peers.
 *
 * A note is accepted by one transaction: the head is still at the note's base,
 * the note's id is new; then the note's rows are written and the head moved.
 * Each note carries the digest of the chain before it. A VM takes a note only
 * if it continues its own chain, so its version never decreases, whatever the
 * store or a peer says; what does not fit is kept out, counted and reported.
 *
 * Rows: "release/head", "release/id/ID", "release/note/VERSION/PART".
 * Object: "release-snapshot".
 */
typedef struct msp_ledger msp_ledger_t;

#define MSP_REBASE_NOTES_MAX                            \
	256 /* notes that a note may be behind the head \
	     */

/* 0 or NULL takes the default given. */
typedef struct msp_ledger_options {
	msp_env_t env; /* copied */
	msp_store_t store; /* copied */
	msp_counters_t *counters; /* borrowed; none */
	uint32_t store_timeout_ms; /* of one call; 1000 */
	msp_time_t submit_timeout; /* of one note; 10 s */
	msp_time_t poll_period; /* of the head, in this VM's turn; 1 s */
	msp_time_t peer_timeout; /* of one fetch_from_peer; 1 s */
	uint32_t snapshot_every; /* notes; 64 */
	size_t retained_notes; /* for peers and rebases; 4096, up to 16 MiB */
	bool no_rebase; /* refuse each note that lost a race */
	/*
	 * A newer release is in force; borrowed, msp_keep_release() to keep.
	 * May be called from within any function of the ledger that is given
	 * news, but for msp_submit_note().
	 */
	void (*on_release)(void *ctx, msp_release_t *release);
	/*
	 * Asks some peer for msp_print_ledger_update(after_version). Its answer
	 * goes to msp_apply_ledger_update(), a failure to
	 * msp_fail_ledger_fetch(); not from inside this call. NULL: there are
	 * no peers.
	 */
	void (*fetch_from_peer)(void *ctx, uint64_t after_version);
	/*
	 * Something was kept out: "stale-head" (the store is behind), "fork"
	 * (another chain), "invalid-note", "bad-peer-answer", "bad-rows",
	 * "bad-snapshot", "unconfirmed-version". Static text. May be NULL.
	 */
	void (*on_rejected)(void *ctx, const char *reason, uint64_t version);
	void *ctx; /* of the callbacks */
} msp_ledger_options_t;

/* Returns a ledger that is not ready, and starts to read. NULL: no memory. */
msp_ledger_t *msp_new_ledger(const msp_ledger_options_t *options);

/*
 * Frees the ledger; pending submissions end without `done`. The store must
 * have answered all calls, or have been dropped before.
 */
void msp_drop_ledger(msp_ledger_t *ledger);

/* Does what is due; to be called at msp_ledger_deadline() at the latest. */
void msp_tick_ledger(msp_ledger_t *ledger);
msp_time_t msp_ledger_deadline(const msp_ledger_t *ledger);

/* Whether the release is known, from the store or from a peer. */
bool msp_ledger_is_ready(const msp_ledger_t *ledger);

/* The release in force here; borrowed. Of no use until ready. */
msp_release_t *msp_ledger_release(const msp_ledger_t *ledger);

/* Whether this VM is to poll the head of the store now. */
void msp_set_ledger_poller(msp_ledger_t *ledger, bool turn);

/* A version, and its digest or NULL, that a peer has in force. */
void msp_observe_ledger_version(
    msp_ledger_t *ledger, uint64_t version, const msp_digest_t *digest);

/*
 * Appends what a peer at `after` is missing, up to about 1 MiB: notes, or a
 * snapshot if they are no longer kept. MSP_E_NOT_READY, MSP_E_NO_MEMORY.
 */
msp_status_t msp_print_ledger_update(
    const msp_ledger_t *ledger, uint64_t after, msp_buffer_t *out);

/* Takes a peer's answer; bad text is counted and kept out. */
void msp_apply_ledger_update(
    msp_ledger_t *ledger, const char *text, size_t len);
void msp_fail_ledger_fetch(msp_ledger_t *ledger);

/*
 * Appends a JSON list of kept notes above version `after`, oldest first:
 * {"version", "digest", "note"}. At most `limit`.
 */
msp_status_t msp_print_ledger_history(const msp_ledger_t *ledger,
    uint64_t after, size_t limit, msp_buffer_t *out);

/*
 * How a submission ended; all borrowed.
 *
 * MSP_OK              accepted, as `version`
 * MSP_E_CONFLICT      refused: `clashes` with `other_note`, or the id was used
 *                     for another note
 * MSP_E_INVALID_NOTE  refused: the resulting state is not valid
 * MSP_E_STORE_DOWN    not accepted: this VM wrote nothing
 * MSP_E_OVERLOAD      not accepted: too many races lost, or notes waiting
 * MSP_E_NOT_READY     not accepted: no release is known here yet
 * MSP_E_IN_DOUBT      a write was lost: send the same note again, to any VM
 */
typedef struct msp_submit_result {
	msp_status_t status;
	uint64_t version; /* MSP_OK: of the note */
	msp_digest_t digest; /* MSP_OK: of the chain with it */
	bool rebased; /* others' notes went first */
	const char *clashes; /* names of items, or "" */
	const char *other_note; /* id, or "" */
	const char *message; /* for people, unless MSP_OK */
} msp_submit_result_t;

typedef void msp_submit_done_t(void *ctx, const msp_submit_result_t *result);

/*
 * Commits a note, which must have an id. Takes a reference to `note`, and may
 * rebase it; it must not be used elsewhere meanwhile. `done` is called once,
 * not from inside this call. Notes are committed one after the other.
 *
 * An id that was accepted before is answered with its version, so a note can
 * be sent again until an answer arrives, to any VM.
 *
 * A refusal is written down in the store before it is given, so that no other
 * VM, still at work on an earlier try, accepts the note afterwards; a refused
 * id can't be used again.
 */
void msp_submit_note(msp_ledger_t *ledger, msp_note_t *note,
    msp_submit_done_t *done, void *done_ctx);

/* The same for a note that its sender sent to no VM before. */
void msp_submit_new_note(msp_ledger_t *ledger, msp_note_t *note,
    msp_submit_done_t *done, void *done_ctx);

#endif
