#ifndef MONSOONSPINDLE_STANDINS_TARGET_FAULTS_H
#define MONSOONSPINDLE_STANDINS_TARGET_FAULTS_H

#include <json-c/json.h>

#include "monsoonspindle/net.h"

#define CRASH_PATH_MAX 256

typedef enum target_mode {
	MODE_OK,
	MODE_SHED, /* refuse all requests */
	MODE_CUT, /* close the connection in the middle of each response */
	MODE_SILENT, /* accept requests and never respond */
	MODE_SILENT_OLD, /* the same on connections opened before mode_set_at */
	MODE_CHUNKED, /* chunked responses with a body of chunk_bytes */
	MODE_COUNT
} target_mode_t;

/* Faults set by `POST /control`. All zero: no faults. */
typedef struct target_faults {
	target_mode_t mode;
	msp_time_t mode_set_at;
	/* A request whose path has this prefix ends the process; "": none. */
	char crash_path[CRASH_PATH_MAX];
	uint32_t slow_ms; /* added to the service time */
	size_t chunk_bytes; /* of a body in MODE_CHUNKED */
	int reported_in_use; /* slots in use to report if overrides_in_use */
	bool overrides_in_use;
	bool leaving; /* report that the target is leaving */
} target_faults_t;

/*
 * Applies a control document: "mode" (ok, shed, cut, silent, silent-old,
 * chunked), "crash_path", "slow_ms", "chunk_bytes", "report_in_use" (null: the
 * real number again), "leaving". Mode ok first resets all faults.
 * MSP_E_BAD_REQUEST for an unknown mode or member; nothing is changed then.
 */
msp_status_t apply_control(
    target_faults_t *faults, json_object *control, msp_time_t now);

#endif
