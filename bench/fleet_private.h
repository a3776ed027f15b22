#ifndef SUPPORT_FLEET_PRIVATE_H
#define SUPPORT_FLEET_PRIVATE_H

#include "fleet.h"

/* Starts a program of $OUT/bin; its output goes to a file in `dir`. */
int spawn_fleet_process(
    const fleet_t *fleet, fleet_process_t *process, const char *const *argv);

/* Writes a VM's settings file, and the note that describes the fleet. */
int write_vm_settings(const fleet_t *fleet, fleet_process_t *vm);
void print_initial_note(const fleet_t *fleet, msp_buffer_t *out);

/* The region of a place. */
const char *get_place_region(const fleet_t *fleet, const char *place);

#endif
