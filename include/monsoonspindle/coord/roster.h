#ifndef MONSOONSPINDLE_COORD_ROSTER_H
#define MONSOONSPINDLE_COORD_ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "monsoonspindle/base/env.h"
#include "monsoonspindle/base/status.h"

/*
 * The VMs of one data centre of which a majority has to be seen: those that the
 * platform lists and those that the membership knows as live. A VM that is
 * listed and not live may be gone for good, or run and be cut off; silence
 * doesn't tell. So it is asked through the store, which both may reach:
 *
 * - After MSP_ROSTER_UNSEEN_TIME its row is marked as doubted.
 * - A VM that finds its own row doubted, or gone, writes it again. A VM that
 *   knows the doubted one as live does so for it.
 * - A doubt that stays for MSP_ROSTER_ANSWER_TIME retires the VM: its row is
 *   removed. Until then the VM counts.
 *
 * All times are of this VM's clock and begin with what it has read itself; no
 * time counts while the store can't be read, as nobody could object then. No
 * I/O: the owner reads the rows and makes the changes, each only if the row is
 * still what it was.
 */
typedef struct msp_roster msp_roster_t;

#define MSP_ROSTER_UNSEEN_TIME (4 * MSP_SECOND)
#define MSP_ROSTER_ANSWER_TIME (6 * MSP_SECOND)
/*
 * For a VM of an earlier build, which knows no doubts: others have to answer
 * for it, or it writes its row again once that has been removed.
 */
#define MSP_ROSTER_LATE_ANSWER_TIME (75 * MSP_SECOND)
/* The first VMs by rank make changes, each so long after the one before. */
#define MSP_ROSTER_KEEPERS 3
#define MSP_ROSTER_KEEPER_DELAY (3 * MSP_SECOND)
/* How often they read the list while a VM is not seen; so does a minority. */
#define MSP_ROSTER_READ_INTERVAL (2 * MSP_SECOND)
#define MSP_ROSTER_CHANGES_MAX 50 /* in one transaction */
/* Before a row that is still there after its removal is removed once more. */
#define MSP_ROSTER_REMOVAL_INTERVAL (30 * MSP_SECOND)

/* A row of the platform's list. Borrowed. */
typedef struct msp_roster_row {
	const char *name; /* of the VM */
	uint64_t version;
	bool is_doubted;
	bool answers_late; /* of an earlier build */
	const char *value;
	size_t value_len; /* bytes */
} msp_roster_row_t;

typedef enum msp_roster_step {
	MSP_ROSTER_DOUBT, /* mark the row as doubted */
	MSP_ROSTER_RESTORE, /* take the mark away */
	MSP_ROSTER_RETIRE, /* remove the row */
} msp_roster_step_t;

/* A change that is due. Borrowed until the next call that isn't a getter. */
typedef struct msp_roster_change {
	msp_roster_step_t step;
	const char *name; /* of the VM */
	uint64_t version; /* that its row must have */
	const char *value; /* of the row now */
	size_t value_len; /* bytes */
	msp_time_t unseen_for; /* 0: the VM is live */
} msp_roster_change_t;

typedef struct msp_roster_counts {
	size_t voters; /* of which a majority has to be seen */
	size_t seen; /* live members, this VM among them */
	size_t unsettled; /* voters that are not seen, or are doubted */
} msp_roster_counts_t;

/* Returns NULL if out of memory. `env` is copied. */
msp_roster_t *msp_new_roster(const msp_env_t *env);
void msp_drop_roster(msp_roster_t *roster);

/*
 * Takes over the rows of a whole read of the list. MSP_E_NO_MEMORY leaves it
 * incomplete.
 */
msp_status_t msp_load_roster(
    msp_roster_t *roster, const msp_roster_row_t *rows, size_t count);

/* The store did not answer, or may have lost rows: times begin anew. */
void msp_suspend_roster(msp_roster_t *roster);

/* Sets the live members, this VM among them. To be called about each second. */
msp_status_t msp_set_roster_members(
    msp_roster_t *roster, const char *const *names, size_t count);

void msp_count_roster(const msp_roster_t *roster, msp_roster_counts_t *counts);

/* Whether most of the VMs that count are seen. */
bool msp_is_majority(const msp_roster_counts_t *counts);

/*
 * Fills in the changes that are due for the VM that ranks at `rank` among the
 * live members, 0 first, and returns their number, at most
 * MSP_ROSTER_CHANGES_MAX. VMs that run are restored before others are doubted.
 * To be called after msp_load_roster() and msp_set_roster_members().
 */
size_t msp_plan_roster(msp_roster_t *roster, size_t rank,
    msp_roster_change_t changes[MSP_ROSTER_CHANGES_MAX]);

#endif
