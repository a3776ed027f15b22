#include "settings_file.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/sys/queue.h>
#include <sys/stat.h>

#include "log.h"

#define CHECK_PERIOD (2 * MSP_SECOND)

/* Settings that were read; parts of the daemon borrow from them. */
typedef struct read_settings {
	SLIST_ENTRY(read_settings) link;
	msp_settings_t settings;
} read_settings_t;

struct settings_file {
	char *path;
	const msp_settings_t *first;
	SLIST_HEAD(, read_settings) read; /* the last one first */
	struct stat seen;
	msp_timer_t *timer;
	void (*changed)(void *ctx);
	void *ctx;
};

const msp_settings_t *
get_current_settings(const settings_file_t *file)
{
	const read_settings_t *last = SLIST_FIRST(&file->read);

	return last == NULL ? file->first : &last->settings;
}

void
reload_settings_file(settings_file_t *file)
{
	read_settings_t *read = calloc(1, sizeof(*read));

	if (read == NULL) {
		log_error("event=settings state=not-read error=no-memory");
		return;
	}
	if (msp_load_settings(file->path, &read->settings) != MSP_OK) {
		log_error("event=settings state=not-valid error=%s",
		    msp_last_message());
		free(read);
		return;
	}
	SLIST_INSERT_HEAD(&file->read, read, link);
	log_info("event=settings state=reloaded");
	file->changed(file->ctx);
}

static void
on_reload_signal(void *ctx)
{
	log_info("event=signal name=SIGHUP");
	reload_settings_file(ctx);
}

static void
check_file(void *ctx)
{
	settings_file_t *file = ctx;
	struct stat now;

	if (stat(file->path, &now) != 0)
		return;
	if (now.st_mtim.tv_sec == file->seen.st_mtim.tv_sec &&
	    now.st_mtim.tv_nsec == file->seen.st_mtim.tv_nsec &&
	    now.st_ino == file->seen.st_ino &&
	    now.st_size == file->seen.st_size)
		return;
	file->seen = now;
	reload_settings_file(file);
}

settings_file_t *
new_settings_file(msp_loop_t *loop, const char *path,
    const msp_settings_t *settings, void (*changed)(void *ctx), void *ctx)
{
	settings_file_t *file = calloc(1, sizeof(*file));

	if (file == NULL)
		goto no_memory;
	SLIST_INIT(&file->read);
	file->first = settings;
	file->changed = changed;
	file->ctx = ctx;
	file->path = strdup(path);
	if (file->path == NULL)
		goto no_memory;
	if (stat(path, &file->seen) != 0)
		memset(&file->seen, 0, sizeof(file->seen));
	file->timer =
	    msp_new_timer(loop, CHECK_PERIOD, CHECK_PERIOD, check_file, file);
	if (file->timer == NULL)
		goto no_memory;
	msp_watch_reload_signal(loop, on_reload_signal, file);
	return file;

no_memory:
	drop_settings_file(file);
	msp_fail(MSP_E_NO_MEMORY, "no memory for the settings' file");
	return NULL;
}

void
drop_settings_file(settings_file_t *file)
{
	read_settings_t *read;

	if (file == NULL)
		return;
	msp_drop_timer(file->timer);
	while ((read = SLIST_FIRST(&file->read)) != NULL) {
		SLIST_REMOVE_HEAD(&file->read, link);
		msp_drop_settings(&read->settings);
		free(read);
	}
	free(file->path);
	free(file);
}
