#ifndef SUPPORT_FLEET_CTL_H
#define SUPPORT_FLEET_CTL_H

#include "fleet.h"

/* Writes a text file; 0, or -1 on failure. */
int write_text_file(const char *path, const char *text);

/*
 * Runs `spindlectl --vm ... --token ...` with the arguments, ended by NULL,
 * against a VM. The start of its output goes to `out`. Returns its waitpid
 * status, or -1.
 */
int run_spindlectl(fleet_t *fleet, size_t vm, char *out, size_t size, ...);

#endif
