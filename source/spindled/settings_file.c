#include "settings_file.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <sys/stat.h>

#include "log.h"

#define CHECK_INTERVAL (2 * MSP_SECOND)

/* Settings that were loaded; components of the daemon borrow from them. */
typedef struct loaded_settings {
	SLIST_ENTRY(loaded_settings) link;
	msp_settings_t settings;
} loaded_settings_t;

struct settings_file {
	char *path;
	const msp_settings_t *initial;
	SLIST_HEAD(, loaded_settings) loaded; /* newest first */
	struct stat last_stat;
	msp_timer_t *timer;
	void (*on_changed)(void *ctx);
	void *ctx;
};

const msp_settings_t *
get_current_settings(const settings_file_t *file)
{
	const loaded_settings_t *last = SLIST_FIRST(&file->loaded);

	return last == NULL ? file->initial : &last->settings;
}

void
reload_settings_file(settings_file_t *file)
{
	loaded_settings_t *loaded = calloc(1, sizeof(*loaded));

	if (loaded == NULL) {
		log_error("event=settings state=not-read error=no-memory");
		return;
	}
	if (msp_load_settings(file->path, &loaded->settings) != MSP_OK) {
		log_error("event=settings state=not-valid error=%s",
		    msp_last_message());
		free(loaded);
		return;
	}
	SLIST_INSERT_HEAD(&file->loaded, loaded, link);
	log_info("event=settings state=reloaded");
	file->on_changed(file->ctx);
}

static void
handle_reload_signal(void *ctx)
{
	log_info("event=signal name=SIGHUP");
	reload_settings_file(ctx);
}

static void
handle_check_timer(void *ctx)
{
	settings_file_t *file = ctx;
	struct stat current;

	if (stat(file->path, &current) != 0)
		return;
	if (current.st_mtim.tv_sec == file->last_stat.st_mtim.tv_sec &&
	    current.st_mtim.tv_nsec == file->last_stat.st_mtim.tv_nsec &&
	    current.st_ino == file->last_stat.st_ino &&
	    current.st_size == file->last_stat.st_size)
		return;
	file->last_stat = current;
	reload_settings_file(file);
}

settings_file_t *
new_settings_file(msp_loop_t *loop, const char *path,
    const msp_settings_t *settings, void (*on_changed)(void *ctx), void *ctx)
{
	settings_file_t *file = calloc(1, sizeof(*file));

	if (file == NULL)
		goto no_memory;
	SLIST_INIT(&file->loaded);
	file->initial = settings;
	file->on_changed = on_changed;
	file->ctx = ctx;
	file->path = strdup(path);
	if (file->path == NULL)
		goto no_memory;
	if (stat(path, &file->last_stat) != 0)
		memset(&file->last_stat, 0, sizeof(file->last_stat));
	file->timer = msp_new_timer(
	    loop, CHECK_INTERVAL, CHECK_INTERVAL, handle_check_timer, file);
	if (file->timer == NULL)
		goto no_memory;
	msp_watch_reload_signal(loop, handle_reload_signal, file);
	return file;

no_memory:
	drop_settings_file(file);
	msp_fail(MSP_E_NO_MEMORY, "no memory for the settings file");
	return NULL;
}

void
drop_settings_file(settings_file_t *file)
{
	loaded_settings_t *loaded;

	if (file == NULL)
		return;
	msp_drop_timer(file->timer);
	while ((loaded = SLIST_FIRST(&file->loaded)) != NULL) {
		SLIST_REMOVE_HEAD(&file->loaded, link);
		msp_drop_settings(&loaded->settings);
		free(loaded);
	}
	free(file->path);
	free(file);
}
