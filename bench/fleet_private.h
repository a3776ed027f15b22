#ifndef SUPPORT_FLEET_PRIVATE_H
#define SUPPORT_FLEET_PRIVATE_H

#include "fleet.h"

/* Starts a program in $OUT/bin with its output in a file in fleet->dir. */
int spawn_fleet_process(
    const fleet_t *fleet, fleet_process_t *process, const char *const *argv);

/* Writes a VM's settings file. Returns 0 on success. */
int write_vm_settings(const fleet_t *fleet, fleet_process_t *vm);

/* Appends the text of the note that describes the fleet. */
void print_initial_note(const fleet_t *fleet, msp_buffer_t *out);

/* Returns the region of a place, or "". */
const char *get_place_region(const fleet_t *fleet, const char *place);

#endif
