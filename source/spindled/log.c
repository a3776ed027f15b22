#include "log.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#define LINE_SIZE 1024
#define CATEGORY "spindled"

static log4c_category_t *category;
static FILE *stream;
static msp_line_writer_t *writer; /* used instead of `stream` if not NULL */
static msp_line_stats_t logged_stats; /* as of the last event=log line */
static char vm_name[64];

/* Formats a line: time, level, VM, message. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	static char line[LINE_SIZE + 128];
	struct timespec now;
	struct tm parts;
	char stamp[32];

	(void)layout;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
	snprintf(line, sizeof(line), "%s.%03ldZ %s vm=%s %s\n", stamp,
	    now.tv_nsec / 1000000,
	    log4c_priority_to_string(event->evt_priority), vm_name,
	    event->evt_msg);
	return line;
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	if (writer != NULL) {
		msp_write_line(writer, event->evt_rendered_msg,
		    strlen(event->evt_rendered_msg));
		return 0;
	}
	return fputs(event->evt_rendered_msg, stream) < 0 ? -1 : 0;
}

static const log4c_layout_type_t layout_type = {
    .name = "spindled",
    .format = format_line,
};

static const log4c_appender_type_t appender_type = {
    .name = "spindled",
    .append = append_line,
};

static msp_status_t
open_writer(void)
{
	msp_env_t env = msp_system_env();
	msp_line_writer_options_t options = {.fd = STDOUT_FILENO};

	writer = msp_new_line_writer(&env, &options);
	if (writer == NULL)
		return msp_fail(MSP_E_NO_MEMORY, "no memory for the log");
	return MSP_OK;
}

msp_status_t
open_log(const char *vm, const char *level, const char *file)
{
	int priority = log4c_priority_to_int(level);
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	if (priority == LOG4C_PRIORITY_UNKNOWN)
		return msp_fail(
		    MSP_E_RANGE, "log.level: unknown level \"%s\"", level);
	stream = stderr;
	if (file != NULL && strcmp(file, "-") == 0) {
		if (open_writer() != MSP_OK)
			return MSP_E_NO_MEMORY;
	} else if (file != NULL && file[0] != '\0') {
		stream = fopen(file, "ae");
		if (stream == NULL) {
			stream = stderr;
			return msp_fail(MSP_E_IO, "log.file: %s: %s", file,
			    strerror(errno));
		}
	}
	setvbuf(stream, NULL, _IOLBF, 0);
	snprintf(vm_name, sizeof(vm_name), "%s", vm);
	log4c_init();
	log4c_layout_type_set(&layout_type);
	log4c_appender_type_set(&appender_type);
	layout = log4c_layout_get(CATEGORY);
	log4c_layout_set_type(layout, &layout_type);
	appender = log4c_appender_get(CATEGORY);
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(CATEGORY);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priority);
	return MSP_OK;
}

void
close_log(void)
{
	if (category == NULL)
		return;
	category = NULL;
	log4c_fini();
	msp_drop_line_writer(writer);
	writer = NULL;
	if (stream != stderr)
		fclose(stream);
	stream = NULL;
}

static void
write_line(int priority, msp_line_rank_t rank, const char *fmt, va_list args)
{
	char text[LINE_SIZE];

	if (category == NULL ||
	    !log4c_category_is_priority_enabled(category, priority))
		return;
	if (writer != NULL && !msp_spend_line_token(writer, rank))
		return;
	vsnprintf(text, sizeof(text), fmt, args);
	log4c_category_log(category, priority, "%s", text);
}

void
log_error(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	write_line(LOG4C_PRIORITY_ERROR, MSP_LINE_VITAL, fmt, args);
	va_end(args);
}

void
log_warn(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	write_line(LOG4C_PRIORITY_WARN, MSP_LINE_VITAL, fmt, args);
	va_end(args);
}

void
log_info(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	write_line(LOG4C_PRIORITY_INFO, MSP_LINE_VITAL, fmt, args);
	va_end(args);
}

void
log_request(msp_line_rank_t rank, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	write_line(LOG4C_PRIORITY_INFO, rank, fmt, args);
	va_end(args);
}

void
flush_log(void)
{
	const msp_line_stats_t *now;

	if (writer == NULL)
		return;
	now = msp_line_statistics(writer);
	if (now->omitted[MSP_LINE_VITAL] !=
		logged_stats.omitted[MSP_LINE_VITAL] ||
	    now->omitted[MSP_LINE_NOTABLE] !=
		logged_stats.omitted[MSP_LINE_NOTABLE] ||
	    now->omitted[MSP_LINE_SAMPLE] !=
		logged_stats.omitted[MSP_LINE_SAMPLE] ||
	    now->lost != logged_stats.lost) {
		log_warn("event=log omitted_vital=%" PRIu64
			 " omitted_notable=%" PRIu64 " omitted_sample=%" PRIu64
			 " lost=%" PRIu64,
		    now->omitted[MSP_LINE_VITAL],
		    now->omitted[MSP_LINE_NOTABLE],
		    now->omitted[MSP_LINE_SAMPLE], now->lost);
		logged_stats = *now;
	}
	msp_flush_lines(writer);
}

const msp_line_stats_t *
get_log_statistics(void)
{
	return writer == NULL ? NULL : msp_line_statistics(writer);
}

/*
 * Replaces blanks, quotes, control and non-ASCII characters, which would break
 * the key=value format: the text may come from a client.
 */
const char *
clean_log_value(const char *text, char *out, size_t size)
{
	size_t i;

	if (text == NULL)
		return "-";
	for (i = 0; text[i] != '\0' && i + 1 < size; i++) {
		out[i] = text[i];
		if (text[i] <= ' ' || text[i] >= 127 || text[i] == '"')
			out[i] = '_';
	}
	out[i] = '\0';
	return out;
}

void
log_decision(void *ctx, const msp_decision_t *decision)
{
	char id[128];
	char service[64];

	(void)ctx;
	log_info("decision=%s request=%s service=%s place=%s chosen_vm=%s "
		 "target=%s reason=%s wait_us=%" PRIu64,
	    decision->action,
	    clean_log_value(decision->request_id, id, sizeof(id)),
	    clean_log_value(decision->service, service, sizeof(service)),
	    decision->place == NULL ? "-" : decision->place,
	    decision->vm == NULL ? "-" : decision->vm,
	    decision->target == NULL ? "-" : decision->target,
	    decision->reason == NULL ? "-" : decision->reason, decision->wait);
}
