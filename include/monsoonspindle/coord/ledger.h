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
 * One VM's replica of the chain of release notes. The ledger commits notes to
 * the store, follows the notes that other VMs commit, and serves notes to
 * peers. No I/O of its own: the store and the peers come as callbacks.
 *
 * One transaction commits a note. Its conditions are that the head is still at
 * the note's base and that the note's id is unused; it writes the note's rows
 * and moves the head. Each note carries the digest of the chain before it. A VM
 * applies a note only if it continues its own chain, so its version never
 * decreases, whatever the store or a peer sends. Data that does not fit the
 * chain is rejected, counted and reported.
 *
 * Rows in the store: "release/head", "release/id/ID" and
 * "release/note/VERSION/PART". Object: "release-snapshot".
 */
typedef struct msp_ledger msp_ledger_t;

/* A note can be rebased if its base is at most this many notes old. */
#define MSP_REBASE_NOTES_MAX 256

/* A value of 0 or NULL selects the default, the last value in the comment. */
typedef struct msp_ledger_options {
	msp_env_t env; /* copied */
	msp_store_t store; /* copied */
	msp_counters_t *counters; /* borrowed; none */
	uint32_t store_timeout_ms; /* per call to the store; 1000 */
	msp_time_t submit_timeout; /* per note; 10 s */
	msp_time_t poll_period; /* of the head, while this VM polls it; 1 s */
	msp_time_t peer_timeout; /* per fetch_from_peer() call; 1 s */
	uint32_t snapshot_every; /* notes between snapshots; 64 */
	/* Notes kept in memory for peers and rebases; 4096, up to 16 MiB. */
	size_t retained_notes;
	bool no_rebase; /* refuse every note that is not based on the head */
	/*
	 * A newer release is in force. It is borrowed; use msp_keep_release()
	 * to keep it. Any function of the ledger that can apply notes may make
	 * this call, except msp_submit_note().
	 */
	void (*on_release)(void *ctx, msp_release_t *release);
	/*
	 * Requests the output of msp_print_ledger_update(after_version) from
	 * any peer. Pass the answer to msp_apply_ledger_update(), or call
	 * msp_fail_ledger_fetch(), but not from inside this callback. NULL if
	 * there are no peers.
	 */
	void (*fetch_from_peer)(void *ctx, uint64_t after_version);
	/*
	 * Data from the store or a peer was rejected. `reason` is static text:
	 * "stale-head" (the store is behind), "fork" (another chain),
	 * "invalid-note", "bad-peer-answer", "bad-rows", "bad-snapshot" or
	 * "unconfirmed-version". May be NULL.
	 */
	void (*on_rejected)(void *ctx, const char *reason, uint64_t version);
	void *ctx; /* of the callbacks */
} msp_ledger_options_t;

/*
 * Creates a ledger, which starts to read the chain and is not ready yet.
 * Returns NULL if memory is short.
 */
msp_ledger_t *msp_new_ledger(const msp_ledger_options_t *options);

/*
 * Frees the ledger. Pending submissions are dropped without calling `done`.
 * The store must have answered all calls or been dropped before.
 */
void msp_drop_ledger(msp_ledger_t *ledger);

/* Runs due timers. Call it at msp_ledger_deadline() at the latest. */
void msp_tick_ledger(msp_ledger_t *ledger);
msp_time_t msp_ledger_deadline(const msp_ledger_t *ledger);

/* True once a release has been read from the store or from a peer. */
bool msp_ledger_is_ready(const msp_ledger_t *ledger);

/* Returns the release in force; borrowed. Meaningless until ready. */
msp_release_t *msp_ledger_release(const msp_ledger_t *ledger);

/* Sets whether this VM polls the head in the store. */
void msp_set_ledger_poller(msp_ledger_t *ledger, bool is_poller);

/*
 * Records that a peer has `version` in force: pulls the missing notes if it is
 * newer, and checks for a fork if `digest` is not NULL.
 */
void msp_observe_ledger_version(
    msp_ledger_t *ledger, uint64_t version, const msp_digest_t *digest);

/*
 * Appends an update for a peer at version `after`: up to about 1 MiB of notes,
 * or a snapshot if the next note is no longer in memory. MSP_E_NOT_READY,
 * MSP_E_NO_MEMORY.
 */
msp_status_t msp_print_ledger_update(
    const msp_ledger_t *ledger, uint64_t after, msp_buffer_t *out);

/* Applies a peer's answer; malformed text is rejected and counted. */
void msp_apply_ledger_update(
    msp_ledger_t *ledger, const char *text, size_t len);

/* Reports that fetch_from_peer() got no answer. */
void msp_fail_ledger_fetch(msp_ledger_t *ledger);

/*
 * Appends a JSON list of at most `limit` notes above version `after` that are
 * still in memory, oldest first: {"version", "digest", "note"}.
 */
msp_status_t msp_print_ledger_history(const msp_ledger_t *ledger,
    uint64_t after, size_t limit, msp_buffer_t *out);

/*
 * The result of a submission; all pointers are borrowed.
 *
 * MSP_OK              accepted as `version`
 * MSP_E_CONFLICT      refused: the items in `clashes` were changed by
 *                     `other_note`, the id was used for another note or refused
 *                     before, or the base is not on the chain or too old
 * MSP_E_INVALID_NOTE  refused: the resulting release is not valid
 * MSP_E_STORE_DOWN    not accepted: this VM wrote nothing
 * MSP_E_OVERLOAD      not accepted: other notes were committed first too often,
 *                     or too many notes are waiting
 * MSP_E_NOT_READY     not accepted: this VM knows no release yet
 * MSP_E_IN_DOUBT      a write got no answer: send the same note again, to any
 *                     VM
 */
typedef struct msp_submit_result {
	msp_status_t status;
	uint64_t version; /* MSP_OK: of the note */
	msp_digest_t digest; /* MSP_OK: of the chain up to the note */
	bool rebased; /* committed after notes newer than its base */
	const char *clashes; /* names of conflicting items, or "" */
	const char *other_note; /* id, or "" */
	const char *message; /* human-readable, unless MSP_OK */
} msp_submit_result_t;

typedef void msp_submit_done_t(void *ctx, const msp_submit_result_t *result);

/*
 * Commits a note, which must have an id. Keeps a reference to `note` and may
 * rebase it, so it must not be used elsewhere meanwhile. `done` is called once,
 * not from inside this call. Notes are committed one after the other.
 *
 * A note that was accepted before is answered with its version, so a note can
 * be sent again, to any VM, until an answer arrives.
 *
 * A refusal is written to the store before it is returned. Otherwise another
 * VM that is still processing an earlier attempt could accept the note
 * afterwards. A refused id can't be used again.
 */
void msp_submit_note(msp_ledger_t *ledger, msp_note_t *note,
    msp_submit_done_t *done, void *done_ctx);

/*
 * The same for a note that was sent to no VM before. A refusal needs no write
 * to the store then.
 */
void msp_submit_new_note(msp_ledger_t *ledger, msp_note_t *note,
    msp_submit_done_t *done, void *done_ctx);

#endif
