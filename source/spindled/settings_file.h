#ifndef SPINDLED_SETTINGS_FILE_H
#define SPINDLED_SETTINGS_FILE_H

#include "monsoonspindle/config/settings.h"
#include "monsoonspindle/net/loop.h"

/* Reloads a settings file that changes while the daemon runs. */
typedef struct settings_file settings_file_t;

/*
 * `settings` are those in force, borrowed. `on_changed` is called from the loop
 * after valid settings were loaded. Returns NULL without memory.
 */
settings_file_t *new_settings_file(msp_loop_t *loop, const char *path,
    const msp_settings_t *settings, void (*on_changed)(void *ctx), void *ctx);

/* Frees all settings that were loaded; drop what borrows from them before. */
void drop_settings_file(settings_file_t *file);

/* Loads the file now, as on SIGHUP. */
void reload_settings_file(settings_file_t *file);

/*
 * The settings loaded last. Those loaded before stay allocated, since
 * components may still borrow from them.
 */
const msp_settings_t *get_current_settings(const settings_file_t *file);

#endif
