#ifndef COORD_LEDGER_STATE_H
#define COORD_LEDGER_STATE_H

#include <bsd/sys/queue.h>

#include "ledger_rows.h"
#include "monsoonspindle/coord/ledger.h"
#include "note_log.h"

/* Interval of the checks whether a pull has reached a submission's head. */
#define CATCH_UP_INTERVAL (10 * MSP_MS)

/* State of a submission. */
typedef enum submit_step {
	SUBMIT_READ, /* waits until `due` to read the head and the id */
	SUBMIT_READING,
	SUBMIT_FETCHING, /* reads the notes since its base that this VM lacks */
	SUBMIT_CATCH_UP, /* waits until this VM reaches `head_version` */
	SUBMIT_WRITING,
	SUBMIT_REFUSE, /* waits until `due` to record the refusal */
	SUBMIT_REFUSING,
	SUBMIT_ENDED /* the result is set */
} submit_step_t;

/* A note that is being committed. */
typedef struct submission {
	TAILQ_ENTRY(submission) link;
	msp_note_t *note;
	msp_submit_done_t *done;
	void *done_ctx;
	submit_step_t step;
	msp_time_t due; /* when the step's next call to the store is made */
	msp_time_t deadline; /* of the submission */
	unsigned int lost_races; /* writes refused as the head had moved */
	bool first_attempt; /* the note was sent to no other VM before */
	bool maybe_written; /* a write got no answer */
	bool rebased;
	uint64_t head_version; /* CATCH_UP: version to reach */
	note_log_t fetched; /* notes since its base, read from the store */
	id_row_t new_row; /* WRITING: row of the id to write */
	msp_status_t status; /* REFUSE, REFUSING, ENDED: the result */
	id_row_t accepted; /* ENDED with MSP_OK: row of the id */
	msp_buffer_t clashes; /* as in msp_submit_result_t */
	char other_note[MSP_NOTE_ID_SIZE];
	char message[512];
} submission_t;

/* State of the pull, which gets the notes that this VM is missing. */
typedef enum pull_step {
	PULL_IDLE,
	PULL_WAITING, /* waits until `due` for the next attempt */
	PULL_PEER, /* waits for a peer's answer, until `due` */
	PULL_SNAPSHOT, /* while not ready: reads the snapshot */
	PULL_HEAD, /* while not ready: reads the head */
	PULL_SCAN /* reads notes from the store */
} pull_step_t;

typedef struct pull {
	pull_step_t step;
	msp_time_t due;
	bool from_peer; /* the next source is a peer, not the store */
	/* No pull starts before this time; set after an unconfirmed version. */
	msp_time_t backoff_until;
	unsigned int failures; /* since the last progress */
	uint64_t start_version; /* this VM's version at the last query */
	bool snapshot_rejected; /* all notes are read instead */
	chain_head_t head; /* to be reached before the ledger is ready */
} pull_t;

struct msp_ledger {
	msp_ledger_options_t options;
	bool ready;
	bool is_poller; /* this VM polls the head */
	bool poll_pending; /* a poll awaits its answer */
	msp_time_t next_poll;
	uint64_t highest_observed; /* highest version at the store or a peer */
	msp_release_t *release;
	note_log_t log;
	pull_t pull;
	TAILQ_HEAD(submission_list, submission) submissions;
	size_t submission_count;
};

/* ledger_report.c */
msp_time_t ledger_now(const msp_ledger_t *ledger);

/* Counts rejected data and calls on_rejected(). */
void report_rejected(
    msp_ledger_t *ledger, const char *reason, uint64_t version);

/* Increments the counter msp_release_EVENT_total. */
void count_ledger_event(msp_ledger_t *ledger, const char *event);

/*
 * ledger_chain.c: applies a note, given in canonical text, if it continues the
 * chain. MSP_OK if it was applied or is known already; MSP_E_NOT_FOUND if notes
 * before it are missing. MSP_E_CONFLICT if it belongs to another chain, and any
 * other error of msp_parse_note() and msp_apply_note(), mean that the note is
 * rejected and counted.
 */
msp_status_t apply_note_text(
    msp_ledger_t *ledger, const char *text, size_t len);

/* Replaces the release while the ledger is not ready. Takes ownership. */
void replace_release(msp_ledger_t *ledger, msp_release_t *release);

/* Marks the ledger ready with its present release. */
void mark_ready(msp_ledger_t *ledger);

/* Rejects a head that is behind this VM's chain or forked; true if it did. */
bool reject_head(msp_ledger_t *ledger, const chain_head_t *head);

/* ledger_pull.c */
void start_pull(msp_ledger_t *ledger, bool from_peer);
void tick_pull(msp_ledger_t *ledger);
msp_time_t pull_deadline(const msp_ledger_t *ledger);

/*
 * Call it when a source has answered or failed. `complete` means that the store
 * had no further notes. Continues with the same source while there is progress,
 * otherwise with the other one after a delay.
 */
void handle_pull_result(msp_ledger_t *ledger, bool complete);

/* ledger_boot.c: reads the snapshot and the head, then scans for notes. */
void start_boot(msp_ledger_t *ledger);

/* ledger_scan.c: reads the notes after this VM's version from the store. */
void start_scan(msp_ledger_t *ledger);

/* ledger_queue.c: the queue of submissions, which are committed in order. */
void tick_submissions(msp_ledger_t *ledger);
msp_time_t submit_deadline(const msp_ledger_t *ledger);
void drop_submissions(msp_ledger_t *ledger);

/* ledger_submit.c: the submission at the head of the queue. */

/* Reads the head and the row of the note's id. */
void start_read(msp_ledger_t *ledger, submission_t *submission);

/* Sets the result of a submission. */
void end_submission(
    submission_t *submission, msp_status_t status, const char *message);
void schedule_read(
    msp_ledger_t *ledger, submission_t *submission, msp_time_t delay);

/* Ends a submission whose id is already in the store. */
void check_id_row(
    msp_ledger_t *ledger, submission_t *submission, const msp_row_t *row);

/* Retries or ends a submission whose call to the store failed with `status`. */
void handle_store_failure(
    msp_ledger_t *ledger, submission_t *submission, msp_status_t status);

/*
 * ledger_refuse.c: ends a submission whose note was refused. Another VM that
 * is still processing an earlier attempt could accept the note later. So unless
 * this is the first attempt, the refusal is written to the row of the id before
 * the result is returned.
 */
void refuse_submission(msp_ledger_t *ledger, submission_t *submission);
void record_refusal(msp_ledger_t *ledger, submission_t *submission);

/*
 * ledger_prepare.c: rebases and validates the note and fills `commit`, or sets
 * the submission's result. Returns MSP_E_NOT_FOUND if notes since its base have
 * to be fetched first.
 */
msp_status_t prepare_commit(msp_ledger_t *ledger, submission_t *submission,
    uint64_t head_row_version, commit_txn_t *commit);

/* ledger_fetch.c: reads the notes since the submission's base. */
void fetch_missing_notes(msp_ledger_t *ledger, submission_t *submission);

/* Returns a note that is in the log or was fetched, or NULL. */
const logged_note_t *find_known_note(const msp_ledger_t *ledger,
    const submission_t *submission, uint64_t version);

/* ledger_snapshot.c: writes the present release as the snapshot object. */
void put_snapshot(msp_ledger_t *ledger);

#endif
