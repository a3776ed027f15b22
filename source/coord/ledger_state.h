#ifndef COORD_LEDGER_STATE_H
#define COORD_LEDGER_STATE_H

#include <bsd/sys/queue.h>

#include "ledger_rows.h"
#include "monsoonspindle/coord/ledger.h"
#include "note_log.h"

#define CATCH_UP_INTERVAL (10 * MSP_MS) /* while missing notes are pulled */

/* Where a submission stands. */
typedef enum submit_step {
	SUBMIT_READ, /* read head and id, when it is due */
	SUBMIT_READING,
	SUBMIT_FETCHING, /* notes since its base that are not kept here */
	SUBMIT_CATCH_UP, /* until this VM is at the head that was read */
	SUBMIT_WRITING,
	SUBMIT_REFUSE, /* bar the id, when it is due */
	SUBMIT_REFUSING,
	SUBMIT_ENDED /* the result is set */
} submit_step_t;

/* One note on its way to the store. */
typedef struct submission {
	TAILQ_ENTRY(submission) link;
	msp_note_t *note;
	msp_submit_done_t *done;
	void *done_ctx;
	submit_step_t step;
	msp_time_t due; /* of the step's read */
	msp_time_t deadline;
	unsigned int lost_races; /* lost */
	bool first_try; /* no other VM has got this note */
	bool maybe_written; /* a write was lost */
	bool rebased;
	uint64_t head_version; /* CATCH_UP: to reach */
	note_log_t fetched; /* notes since its base, from the store */
	id_row_t new_row; /* WRITING: what the note becomes */
	msp_status_t status; /* ENDED, REFUSE, REFUSING */
	id_row_t accepted; /* ENDED with MSP_OK */
	msp_buffer_t clashes;
	char other_note[MSP_NOTE_ID_SIZE];
	char message[512];
} submission_t;

/* How the ledger gets the notes that it lacks. */
typedef enum pull_step {
	PULL_IDLE,
	PULL_WAITING, /* until `due` */
	PULL_PEER, /* asked, until `due` */
	PULL_SNAPSHOT, /* not ready: reading the snapshot */
	PULL_HEAD, /* not ready: reading the head */
	PULL_SCAN /* reading notes */
} pull_step_t;

typedef struct pull {
	pull_step_t step;
	msp_time_t due;
	bool from_peer; /* the next source */
	msp_time_t backoff_until; /* after an unconfirmed version */
	unsigned int failures; /* since the last progress */
	uint64_t start_version; /* version when the source was asked */
	bool snapshot_rejected; /* read all notes instead */
	chain_head_t head; /* not ready: to reach */
} pull_t;

struct msp_ledger {
	msp_ledger_options_t options;
	bool ready;
	bool is_poller;
	bool poll_pending;
	msp_time_t next_poll;
	uint64_t highest_observed; /* highest version heard of */
	msp_release_t *release;
	note_log_t log;
	pull_t pull;
	TAILQ_HEAD(submission_list, submission) submissions;
	size_t submission_count;
};

/* ledger_report.c */
msp_time_t ledger_now(const msp_ledger_t *ledger);
void report_rejected(
    msp_ledger_t *ledger, const char *reason, uint64_t version);
void count_ledger_event(msp_ledger_t *ledger, const char *event);

/*
 * ledger_chain.c: takes a note in canonical text if it continues the chain.
 * MSP_OK if it does, or if it is known already; MSP_E_NOT_FOUND if notes before
 * it are missing; MSP_E_CONFLICT if it belongs to another chain, and others of
 * msp_parse_note() and msp_apply_note(): counted and kept out.
 */
msp_status_t apply_note_text(
    msp_ledger_t *ledger, const char *text, size_t len);

/* Puts a whole release in force while the ledger is not ready. */
void replace_release(msp_ledger_t *ledger, msp_release_t *release);

/* Marks the ledger ready with the release that it has. */
void mark_ready(msp_ledger_t *ledger);

/* Compares a head with this VM's chain: true if it is behind or forked. */
bool reject_head(msp_ledger_t *ledger, const chain_head_t *head);

/* ledger_pull.c */
void start_pull(msp_ledger_t *ledger, bool from_peer);
void tick_pull(msp_ledger_t *ledger);
msp_time_t pull_deadline(const msp_ledger_t *ledger);
void handle_pull_result(msp_ledger_t *ledger, bool complete);

/* ledger_boot.c: reads snapshot and head, then scans. */
void start_boot(msp_ledger_t *ledger);

/* ledger_scan.c */
void start_scan(msp_ledger_t *ledger);

/* ledger_queue.c: the notes that wait to be committed, one after the other. */
void tick_submissions(msp_ledger_t *ledger);
msp_time_t submit_deadline(const msp_ledger_t *ledger);
void drop_submissions(msp_ledger_t *ledger);

/* ledger_submit.c: one note on its way. */
void start_read(msp_ledger_t *ledger, submission_t *submission);
void end_submission(
    submission_t *submission, msp_status_t status, const char *message);
void schedule_read(
    msp_ledger_t *ledger, submission_t *submission, msp_time_t delay);
void check_id_row(
    msp_ledger_t *ledger, submission_t *submission, const msp_row_t *row);

/* Ends it, or tries again: the store gave no use, for the reason `status`. */
void handle_store_failure(
    msp_ledger_t *ledger, submission_t *submission, msp_status_t status);

/*
 * ledger_refuse.c: ends a submission that was found at fault. Another VM may
 * still be at work on an earlier try and find it right later, so unless this is
 * the first try the id is barred in the store before the answer is given.
 */
void refuse_submission(msp_ledger_t *ledger, submission_t *submission);
void record_refusal(msp_ledger_t *ledger, submission_t *submission);

/* ledger_prepare.c: rebases and validates, and fills `commit` for the head;
 * otherwise sets the submission's result. MSP_E_NOT_FOUND: notes since its base
 * have to be fetched first. */
msp_status_t prepare_commit(msp_ledger_t *ledger, submission_t *submission,
    uint64_t head_row, commit_txn_t *commit);

/* ledger_fetch.c: reads the notes since the submission's base. */
void fetch_missing_notes(msp_ledger_t *ledger, submission_t *submission);

/* Returns a note that is kept here or was fetched, or NULL. */
const logged_note_t *find_known_note(const msp_ledger_t *ledger,
    const submission_t *submission, uint64_t version);

/* ledger_snapshot.c */
void put_snapshot(msp_ledger_t *ledger);

#endif
