#ifndef SPINDLED_SETTINGS_FILE_H
#define SPINDLED_SETTINGS_FILE_H

#include "monsoonspindle/config/settings.h"
#include "monsoonspindle/net/loop.h"

/* Follows a settings file that may change while the daemon runs. */
typedef struct settings_file settings_file_t;

/*
 * `settings` are those in force, borrowed. Calls `changed` from the loop when
 * others were read that are valid. NULL without memory.
 */
settings_file_t *new_settings_file(msp_loop_t *loop, const char *path,
    const msp_settings_t *settings, void (*changed)(void *ctx), void *ctx);

/* Frees all settings that were read; what borrowed from them goes first. */
void drop_settings_file(settings_file_t *file);

/* Reads the file now, as on SIGHUP. */
void reload_settings_file(settings_file_t *file);

/* Those last read. All that were read before stay valid too. */
const msp_settings_t *get_current_settings(const settings_file_t *file);

#endif
