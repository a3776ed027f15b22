#ifndef SUPPORT_FLEET_CTL_H
#define SUPPORT_FLEET_CTL_H

#include "fleet.h"

/* Writes a text file. Returns 0, or -1 on failure. */
int write_text_file(const char *path, const char *text);

/*
 * Runs `spindlectl --vm ... --token ...` against a VM with the given arguments,
 * ended by NULL, and copies the start of its output to `out`. Returns the
 * waitpid status, or -1 on failure.
 */
int run_spindlectl(fleet_t *fleet, size_t vm, char *out, size_t size, ...);

#endif
