#ifndef MONSOONSPINDLE_STANDINS_TARGET_FAULTS_H
#define MONSOONSPINDLE_STANDINS_TARGET_FAULTS_H

#include <json-c/json.h>

#include "monsoonspindle/net.h"

#define CRASH_PATH_MAX 256

typedef enum target_mode {
	MODE_OK,
	MODE_SHED, /* refuse all work */
	MODE_CUT, /* cut each answer in the middle */
	MODE_SILENT, /* take requests and never answer */
	MODE_SILENT_OLD, /* the same, on connections opened until now */
	MODE_CHUNKED, /* answers of chunk_bytes in chunks */
	MODE_COUNT
} target_mode_t;

/* What `POST /control` has set. Zero is a target without faults. */
typedef struct target_faults {
	target_mode_t mode;
	msp_time_t mode_set_at; /* when the mode was set */
	char crash_path[CRASH_PATH_MAX]; /* exits on it; "": none */
	uint32_t slow_ms; /* added to the service time */
	size_t chunk_bytes;
	int reported_in_use; /* reported instead of the truth, if is_stuck */
	bool overrides_in_use;
	bool leaving;
} target_faults_t;

/*
 * Applies a control document: "mode" (ok, shed, cut, silent, silent-old,
 * chunked), "crash_path", "slow_ms", "chunk_bytes", "report_in_use" (null: the
 * truth again), "leaving". Mode ok without more resets all. MSP_E_BAD_REQUEST
 * for an unknown mode or name; nothing is changed then.
 */
msp_status_t apply_control(
    target_faults_t *faults, json_object *control, msp_time_t now);

#endif
